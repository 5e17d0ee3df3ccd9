package exchange

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/thejerf/suture/v4"

	"cherryramp/internal/decide/topology"
)

// Messages to the hub.
type (
	fromFront struct { // came over a connection
		name string
		e    Envelope
	}
	connUp   struct{ c *conn }
	connDown struct{ c *conn }
	goes     struct{ e Envelope } // to be sent
)

// greet is a role's question to a keeper, and its answer.
type greet struct {
	Attached bool `cbor:"1,keyasint,omitempty"` // to that keeper; else it is only asked whether it is there
}

// dialer keeps a connection to one front up, for as long as it is wanted.
type dialer struct {
	x    *Exchange
	name string
	told bool
}

func (d *dialer) String() string { return "exchange to " + d.name }

// Serve is part of suture.Service.
func (d *dialer) Serve(ctx context.Context) error {
	wait := redialLeast
	for ctx.Err() == nil {
		began := time.Now()
		s := d.x.standing.Load()
		address := ""
		if s != nil {
			address = d.x.cfg.Address(s.View, d.name)
		}
		var err error
		if address != "" {
			err = d.x.dial(ctx, d.name, address)
		}
		if time.Since(began) > redialMost {
			wait, d.told = redialLeast, false
		}
		if err != nil && !d.told && ctx.Err() == nil {
			d.told = true
			d.x.log.Info("exchange: a front is not reached", "front", d.name, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, redialMost)
	}
	return ctx.Err()
}

// hub is the task of the tree: it knows the connections, attaches this process's roles,
// and passes on what subjects say. It keeps nothing that it could not find out anew.
type hub struct {
	x        *Exchange
	attached map[topology.Role]*topology.Attachment
	conns    map[string][]*conn
	wanted   map[string]suture.ServiceToken
	unused   map[string]int // rounds for which nobody wanted a connection
	children map[tie]Micros
}

func newHub(x *Exchange) *hub {
	return &hub{x: x, attached: map[topology.Role]*topology.Attachment{}, conns: map[string][]*conn{}, wanted: map[string]suture.ServiceToken{}, unused: map[string]int{},
		children: map[tie]Micros{}}
}

// roles are those of this process: itself, and the sites that it keeps.
func roles(v *topology.View) []topology.Role {
	list := []topology.Role{v.SelfRole()}
	for _, k := range v.OwnedBySelf() {
		if k.Site != topology.Root {
			list = append(list, topology.SiteRole(k))
		}
	}
	return list
}

const (
	unusedMost  = 100 // rounds after which a connection that nobody wants is given up
	mostChilds  = 2048
	childRounds = 40 // rounds without a word after which a role is forgotten
)

func (h *hub) round() {
	s := h.x.standing.Load()
	if s == nil || s.View.FleetID == 0 {
		return
	}
	now, v := h.x.cfg.Now(), s.View
	wanted := map[string]bool{}
	own := roles(v)
	up := map[topology.Role]topology.Owner{}
	for _, r := range own {
		a := h.attached[r]
		if a == nil {
			a = &topology.Attachment{}
			h.attached[r] = a
		}
		was, _ := a.Owner()
		ask := a.Step(v.OwnersAbove(r), now, h.x.spans())
		to, _ := a.Owner()
		for _, k := range ask {
			wanted[k.Name] = true
			h.send(Envelope{Subject: Tree, Up: true, Role: r, Site: k.Site, Owner: k.Number, Seq: h.x.sequence.Add(1), Body: encode(greet{k.Number == to.Number})})
		}
		if k, ok := a.Owner(); ok {
			up[r] = k
			if k.Number != was.Number {
				h.x.history.write("attach", map[string]any{"role": roleName(r), "to": k.Site, "keeper": k.Number, "front": k.Name})
			}
		}
	}
	maps.DeleteFunc(h.attached, func(r topology.Role, _ *topology.Attachment) bool { return !slices.Contains(own, r) })
	maps.DeleteFunc(h.children, func(_ tie, at Micros) bool {
		return now-at > childRounds*h.x.round().Microseconds()+h.x.spans().FailoverAfter
	})
	h.connect(wanted, v.Self.Name)
	h.x.links.Store(&links{up: up, children: maps.Clone(h.children)})
}

// connect dials those that are wanted, and gives up those that have not been for a while.
func (h *hub) connect(wanted map[string]bool, self string) {
	for name := range wanted {
		delete(h.unused, name)
		if _, ok := h.wanted[name]; !ok && name != self {
			h.wanted[name] = h.x.sup.Add(&dialer{x: h.x, name: name})
		}
	}
	for name, token := range h.wanted {
		if wanted[name] {
			continue
		}
		if h.unused[name]++; h.unused[name] > unusedMost {
			delete(h.wanted, name)
			delete(h.unused, name)
			go func() { _ = h.x.sup.Remove(token) }()
		}
	}
}

func (h *hub) take(m any) {
	switch m := m.(type) {
	case connUp:
		h.conns[m.c.name] = append(h.conns[m.c.name], m.c)
	case connDown:
		list := slices.DeleteFunc(h.conns[m.c.name], func(c *conn) bool { return c == m.c })
		if h.conns[m.c.name] = list; len(list) == 0 {
			delete(h.conns, m.c.name)
		}
	case goes:
		m.e.Seq = h.x.sequence.Add(1)
		h.send(m.e)
	case fromFront:
		h.came(m.name, m.e)
	}
}

// send sends a message to the front that it is for, or takes it in where that is this one.
func (h *hub) send(e Envelope) {
	s := h.x.standing.Load()
	if s == nil {
		return
	}
	name := e.Role.Front
	if e.Up {
		k := s.View.Owner(e.Site)
		if k == nil || k.Number != e.Owner {
			return
		}
		name = k.Name
	} else if name == "" {
		k := s.View.Owner(e.Role.Site)
		if k == nil || k.Number != e.Role.Owner {
			return
		}
		name = k.Name
	}
	if name == s.View.Self.Name {
		h.came(name, e)
		return
	}
	list := h.conns[name]
	if len(list) == 0 {
		h.x.counts.Dropped.Add(1)
		return
	}
	list[len(list)-1].outbox.put(e)
}

// came looks whether who sent a message may say it, and hands it to its subject.
func (h *hub) came(from string, e Envelope) {
	s := h.x.standing.Load()
	if s == nil {
		return
	}
	v, now := s.View, h.x.cfg.Now()
	k := v.Owner(e.Site)
	if k == nil || k.Number != e.Owner {
		return // of a keeper before, or one that this front does not know yet
	}
	speaker := e.Role.Front // who may say what comes up for a role
	if e.Role.Front == "" {
		c := v.Owner(e.Role.Site)
		if c == nil || c.Number != e.Role.Owner {
			return
		}
		speaker = c.Name
	} else if f := v.Find(e.Role.Front); f == nil || f.Start != e.Role.Start || f.Site != e.Role.Site {
		return
	}
	switch {
	case e.Up && (from != speaker || !k.Is(v.Self.Name, v.Self.ID, v.Self.Start) || !topology.Within(e.Role.Site, e.Site)):
		return
	case !e.Up && (from != k.Name || speaker != v.Self.Name):
		return
	}
	switch e.Subject {
	case Tree:
		var g greet
		if decoder.Unmarshal(e.Body, &g) != nil {
			return
		}
		if e.Up {
			t := tie{e.Role, e.Owner}
			if _, known := h.children[t]; g.Attached && (known || len(h.children) < mostChilds) {
				h.children[t] = now
			} else if !g.Attached {
				delete(h.children, t)
			}
			h.send(Envelope{Subject: Tree, Role: e.Role, Site: e.Site, Owner: e.Owner, Seq: h.x.sequence.Add(1), Body: e.Body})
		} else if a := h.attached[e.Role]; a != nil {
			a.Answered(e.Owner, now, h.x.spans())
		}
	case Limits:
		h.x.limits.put(e)
	case Purges:
		h.x.purges.put(e)
	case Verdicts:
		h.x.verdicts.put(e)
	case Paths:
		h.x.paths.put(e)
	}
}

// below are the roles that ask a keeper, in order.
func (l *links) below(k topology.Owner, now, within Micros) (list []topology.Role) {
	for t, at := range l.children {
		if t.keeper == k.Number && now-at <= within {
			list = append(list, t.role)
		}
	}
	slices.SortFunc(list, func(a, b topology.Role) int {
		if x, y := roleName(a), roleName(b); x < y {
			return -1
		} else if x > y {
			return 1
		}
		return 0
	})
	return list
}

// roleName names a role whole: another process or keeper is another role.
func roleName(r topology.Role) string {
	if r.Front != "" {
		return fmt.Sprintf("%s %016x", r.Front, r.Start)
	}
	return fmt.Sprintf("site %s#%d", r.Site, r.Owner)
}
