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

// ExchangeHost is a host that takes part in the exchange between fronts.
type ExchangeHost interface {
	Mono() int64
	exchange.Limiter
	exchange.Invalidator
	exchange.Observer
	exchange.LatencySource
}

// publishedView is the view of the fleet that the exchange was last given.
type publishedView struct {
	frontsHash   uint64
	changedIndex uint64
	view         *topology.View
	appliedIndex uint64 // entry at which it was made
}

// startExchange starts this front's part in the exchange, if it has one.
func (fleet *Fleet) startExchange() error {
	host, ok := fleet.host.(ExchangeHost)
	if fleet.cfg.Exchange == nil || !ok {
		return nil
	}
	reach := fleet.cfg.Reach
	address := map[string]string{}
	for _, a := range fleet.cfg.FirstMembers {
		address[a.Name] = a.Address
	}
	var err error
	fleet.exchange, err = exchange.Start(exchange.Config{Name: fleet.cfg.Name, Folder: filepath.Clean(fleet.cfg.Folder), Keys: fleet.keys, Section: fleet.cfg.Exchange, Now: host.Mono,
		Loop: fleet.loop, Limiter: host, Invalidator: host, Observer: host, LatencySource: host, Address: func(v *topology.View, name string) string {
			if a := reach[name]; a != "" {
				return a
			}
			if x := v.Find(name); x != nil && x.Address != "" {
				return x.Address
			}
			return address[name]
		}}, fleet.log)
	if err == nil {
		fleet.publishView()
	}
	return err
}

// publishView passes the current view of the log to the exchange.
func (fleet *Fleet) publishView() {
	if fleet.exchange == nil {
		return
	}
	host := fleet.host.(ExchangeHost)
	state, replica := fleet.node.Replica().State(), fleet.node.Replica()
	published := &fleet.published
	if at := fleet.node.Applied(); published.view == nil || at != published.appliedIndex {
		published.appliedIndex = at
		view := &topology.View{Index: at, FleetID: state.Fleet, Owners: append([]topology.Owner(nil), state.Topology.Owners...),
			Self: topology.Front{Name: fleet.cfg.Name, Site: fleet.cfg.Zone, ID: fleet.node.ID(), Start: fleet.cfg.Start}}
		view.Fronts = replica.TopologyFronts(replica.Fleet())
		hash := fnv.New64a()
		for i, x := range view.Fronts {
			view.Fronts[i].Address = state.Members.Fronts[i].Address
			if x.Name == fleet.cfg.Name && x.ID == view.Self.ID && x.Start == view.Self.Start && x.OwnerLease > 0 {
				view.Registered = true
			}
			_, _ = hash.Write([]byte(x.Name + "\x00" + x.Site + "\x00"))
			_, _ = hash.Write(encodeUint64s(x.ID, x.Start))
		}
		if published.view == nil || published.frontsHash != hash.Sum64() {
			published.frontsHash, published.changedIndex = hash.Sum64(), at
		}
		published.view = view
	}
	end, confirmedAt := fleet.node.OwnerLease()
	now, mono := fleet.now(), host.Mono()
	fleet.exchange.SetFleetState(&exchange.FleetState{View: published.view, FrontsChanged: published.changedIndex, OwnerUntil: mono + end - now, MajorityAsked: mono + confirmedAt - now})
}

func encodeUint64s(list ...uint64) (b []byte) {
	for _, x := range list {
		for i := range 8 {
			b = append(b, byte(x>>(8*i)))
		}
	}
	return b
}

// RecordTake implements program.ExchangeRecorder.
func (fleet *Fleet) RecordTake(b *quotalease.Bucket, ok bool) {
	if fleet.exchange != nil {
		fleet.exchange.RecordTake(b, ok)
	}
}

// RecordNewName implements program.ExchangeRecorder.
func (fleet *Fleet) RecordNewName() {
	if fleet.exchange != nil {
		fleet.exchange.NewName()
	}
}

// RecordVerdict implements program.ExchangeRecorder.
func (fleet *Fleet) RecordVerdict(v outlier.HeldVerdict, on bool, boxes, ready int) {
	if fleet.exchange != nil {
		fleet.exchange.RecordVerdict(v, on, boxes, ready)
	}
}

// UpdateExchange applies a new section of the configuration.
func (fleet *Fleet) UpdateExchange(x *config.Exchange) {
	if fleet.exchange != nil {
		fleet.exchange.Reconfigure(x)
	}
}

// Errors of calls.
var (
	errExchangeOff = errors.New("nothing is exchanged here: the operator's file has no section exchange")
	errPurgeCall   = errors.New("PURGE takes ASK, LIST, WHY ID")
	errPurgeName   = errors.New("asked: a name of 1 to 128 bytes is wanted, so that what is asked again is the same purge")
)

// PurgeRequest is an operator's request for a purge.
type PurgeRequest struct {
	Kind   string `json:"kind"` // object, group, prefix, tag, all
	Name   string `json:"name,omitempty"`
	Asked  string `json:"asked"` // idempotency key of the request
	Reason string `json:"why,omitempty"`
}

func (fleet *Fleet) exchangeCall(verb, rest string, reply func(any), fail func(error)) {
	if fleet.exchange == nil {
		fail(errExchangeOff)
		return
	}
	answer := func(v any, err error) {
		if err != nil {
			fail(err)
			return
		}
		reply(v)
	}
	switch verb {
	case "TREE":
		reply(fleet.exchange.TreeStatus())
	case "VERDICTS":
		if !fleet.exchange.QueryVerdicts(reply) {
			fail(errExchangeOff)
		}
	case "STEER":
		if rest == "" {
			fail(errNameMissing)
		} else if !fleet.exchange.QueryRegion(rest, answer) {
			fail(errExchangeOff)
		}
	case "LIMITS":
		fleet.exchange.QueryLimits(func(t exchange.LimitsStatus) { reply(t) })
	case "PURGE":
		verb, rest, _ := strings.Cut(rest, " ")
		switch rest = strings.TrimSpace(rest); verb {
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
				err = errPurgeName
			}
			if err != nil {
				fail(err)
				return
			}
			fleet.exchange.RequestPurge(scope, a.Asked, a.Reason, func(p invalidation.Purge, err error) {
				answer(map[string]string{"id": p.ID(), "asked": p.RequestKey}, err)
			})
		case "LIST":
			fleet.exchange.QueryPurges("", answer)
		case "WHY":
			if rest == "" {
				fail(errPurgeCall)
				return
			}
			fleet.exchange.QueryPurges(rest, answer)
		default:
			fail(errPurgeCall)
		}
	default:
		fail(errExchangeOff)
	}
}
