package fleet

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"path/filepath"
	"strings"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/invalidation"
	"cherryramp/internal/decide/outlier"
	"cherryramp/internal/decide/quotalease"
	"cherryramp/internal/decide/topology"
	"cherryramp/internal/exchange"
)

// Sharer is a host that goes by what the fleet shares.
type ExchangeHost interface {
	Mono() int64
	exchange.Limiter
	exchange.Invalidator
	exchange.Observer
	exchange.LatencySource
}

// changed is what the exchange was last told of the fleet's fronts.
type changed struct {
	sum   uint64
	index uint64
	view  *topology.View
	tree  uint64 // entry
}

// startExchange starts this front's part in what is exchanged, where it has one.
func (f *Fleet) startExchange() error {
	host, ok := f.host.(ExchangeHost)
	if f.cfg.Exchange == nil || !ok {
		return nil
	}
	reach := f.cfg.Reach
	address := map[string]string{}
	for _, a := range f.cfg.FirstMembers {
		address[a.Name] = a.Address
	}
	var err error
	f.ex, err = exchange.Start(exchange.Config{Name: f.cfg.Name, Folder: filepath.Clean(f.cfg.Folder), Keys: f.keys, Section: f.cfg.Exchange, Now: host.Mono,
		Loop: f.loop, Limiter: host, Invalidator: host, Observer: host, LatencySource: host, Address: func(v *topology.View, name string) string {
			if a := reach[name]; a != "" {
				return a
			}
			if x := v.Find(name); x != nil && x.Address != "" {
				return x.Address
			}
			return address[name]
		}}, f.log)
	if err == nil {
		f.publish()
	}
	return err
}

// publish tells the exchange what the log says now.
func (f *Fleet) publish() {
	if f.ex == nil {
		return
	}
	host := f.host.(ExchangeHost)
	s, r := f.node.Replica().State(), f.node.Replica()
	c := &f.changed
	if at := f.node.Applied(); c.view == nil || at != c.tree {
		c.tree = at
		v := &topology.View{Index: at, FleetID: s.Fleet, Owners: append([]topology.Owner(nil), s.Topology.Owners...),
			Self: topology.Front{Name: f.cfg.Name, Site: f.cfg.Zone, ID: f.node.ID(), Start: f.cfg.Start}}
		v.Fronts = r.TopologyFronts(r.Fleet())
		sum := fnv.New64a()
		for i, x := range v.Fronts {
			v.Fronts[i].Address = s.Members.Fronts[i].Address
			if x.Name == f.cfg.Name && x.ID == v.Self.ID && x.Start == v.Self.Start && x.OwnerLease > 0 {
				v.Registered = true
			}
			_, _ = sum.Write([]byte(x.Name + "\x00" + x.Site + "\x00"))
			_, _ = sum.Write(num(x.ID, x.Start))
		}
		if c.view == nil || c.sum != sum.Sum64() {
			c.sum, c.index = sum.Sum64(), at
		}
		c.view = v
	}
	end, asked := f.node.OwnerLease()
	now, mono := f.now(), host.Mono()
	f.ex.SetFleetState(&exchange.FleetState{View: c.view, FrontsChanged: c.index, OwnerUntil: mono + end - now, MajorityAsked: mono + asked - now})
}

func num(list ...uint64) (b []byte) {
	for _, x := range list {
		for i := range 8 {
			b = append(b, byte(x>>(8*i)))
		}
	}
	return b
}

// Took is part of program.ExchangePart.
func (f *Fleet) Took(b *quotalease.Bucket, ok bool) {
	if f.ex != nil {
		f.ex.RecordTake(b, ok)
	}
}

// NewName is part of program.ExchangePart.
func (f *Fleet) NewName() {
	if f.ex != nil {
		f.ex.NewName()
	}
}

// Acted is part of program.ExchangePart.
func (f *Fleet) Acted(v outlier.HeldVerdict, on bool, boxes, ready int) {
	if f.ex != nil {
		f.ex.RecordVerdict(v, on, boxes, ready)
	}
}

// RenewExchange takes a new section over.
func (f *Fleet) UpdateExchange(x *config.Exchange) {
	if f.ex != nil {
		f.ex.Reconfigure(x)
	}
}

// Errors of calls.
var (
	errOff    = errors.New("nothing is exchanged here: the operator's file has no section exchange")
	errPurge  = errors.New("PURGE takes ASK, LIST, WHY ID")
	errNoName = errors.New("asked: a name of 1 to 128 bytes is wanted, so that what is asked again is the same purge")
)

// AskedPurge is what a person asks for.
type PurgeRequest struct {
	Kind   string `json:"kind"` // object, group, prefix, tag, all
	Name   string `json:"name,omitempty"`
	Asked  string `json:"asked"` // names the asking
	Reason string `json:"why,omitempty"`
}

func (f *Fleet) exchangeCall(word, rest string, give func(any), fail func(error)) {
	if f.ex == nil {
		fail(errOff)
		return
	}
	answer := func(v any, err error) {
		if err != nil {
			fail(err)
			return
		}
		give(v)
	}
	switch word {
	case "TREE":
		give(f.ex.TreeStatus())
	case "VERDICTS":
		if !f.ex.QueryVerdicts(give) {
			fail(errOff)
		}
	case "STEER":
		if rest == "" {
			fail(errName)
		} else if !f.ex.QueryRegion(rest, answer) {
			fail(errOff)
		}
	case "LIMITS":
		f.ex.QueryLimits(func(t exchange.LimitsStatus) { give(t) })
	case "PURGE":
		what, rest, _ := strings.Cut(rest, " ")
		switch rest = strings.TrimSpace(rest); what {
		case "ASK":
			var a PurgeRequest
			d := json.NewDecoder(strings.NewReader(rest))
			d.DisallowUnknownFields()
			if err := d.Decode(&a); err != nil {
				fail(err)
				return
			}
			scope, err := invalidation.ParseScope(a.Kind, a.Name)
			if err == nil && (a.Asked == "" || len(a.Asked) > 128) {
				err = errNoName
			}
			if err != nil {
				fail(err)
				return
			}
			f.ex.RequestPurge(scope, a.Asked, a.Reason, func(p invalidation.Purge, err error) {
				answer(map[string]string{"id": p.ID(), "asked": p.RequestKey}, err)
			})
		case "LIST":
			f.ex.QueryPurges("", answer)
		case "WHY":
			if rest == "" {
				fail(errPurge)
				return
			}
			f.ex.QueryPurges(rest, answer)
		default:
			fail(errPurge)
		}
	default:
		fail(errOff)
	}
}
