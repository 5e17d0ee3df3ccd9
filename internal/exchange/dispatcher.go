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
	received struct { // came over a connection
		from     string
		envelope Envelope
	}
	connUp   struct{ conn *conn }
	connDown struct{ conn *conn }
	outgoing struct{ envelope Envelope } // to be sent
)

// greet is a role's question to a keeper, and its answer.
type greeting struct {
	Attached bool `cbor:"1,keyasint,omitempty"` // to that keeper; else it is only asked whether it is there
}

// dialer keeps a connection to one front up, for as long as it is wanted.
type dialer struct {
	ex     *Exchange
	name   string
	logged bool
}

func (d *dialer) String() string { return "exchange to " + d.name }

// Serve is part of suture.Service.
func (d *dialer) Serve(ctx context.Context) error {
	wait := minRedial
	for ctx.Err() == nil {
		began := time.Now()
		state := d.ex.fleetState.Load()
		address := ""
		if state != nil {
			address = d.ex.cfg.Address(state.View, d.name)
		}
		var err error
		if address != "" {
			err = d.ex.dial(ctx, d.name, address)
		}
		if time.Since(began) > maxRedial {
			wait, d.logged = minRedial, false
		}
		if err != nil && !d.logged && ctx.Err() == nil {
			d.logged = true
			d.ex.log.Info("exchange: a front is not reached", "front", d.name, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, maxRedial)
	}
	return ctx.Err()
}

// hub is the task of the tree: it knows the connections, attaches this process's roles,
// and passes on what subjects say. It keeps nothing that it could not find out anew.
type dispatcher struct {
	ex           *Exchange
	attachments  map[topology.Role]*topology.Attachment
	conns        map[string][]*conn
	dialers      map[string]suture.ServiceToken
	unusedRounds map[string]int // rounds for which nobody wanted a connection
	children     map[attachment]Micros
}

func newDispatcher(ex *Exchange) *dispatcher {
	return &dispatcher{ex: ex, attachments: map[topology.Role]*topology.Attachment{}, conns: map[string][]*conn{}, dialers: map[string]suture.ServiceToken{}, unusedRounds: map[string]int{},
		children: map[attachment]Micros{}}
}

// roles are those of this process: itself, and the sites that it keeps.
func roles(view *topology.View) []topology.Role {
	list := []topology.Role{view.SelfRole()}
	for _, owner := range view.OwnedBySelf() {
		if owner.Site != topology.Root {
			list = append(list, topology.SiteRole(owner))
		}
	}
	return list
}

const (
	maxUnusedRounds    = 100 // rounds after which a connection that nobody wants is given up
	maxChildren        = 2048
	childTimeoutRounds = 40 // rounds without a word after which a role is forgotten
)

func (d *dispatcher) tick() {
	state := d.ex.fleetState.Load()
	if state == nil || state.View.FleetID == 0 {
		return
	}
	now, view := d.ex.cfg.Now(), state.View
	wanted := map[string]bool{}
	own := roles(view)
	up := map[topology.Role]topology.Owner{}
	for _, role := range own {
		attached := d.attachments[role]
		if attached == nil {
			attached = &topology.Attachment{}
			d.attachments[role] = attached
		}
		previous, _ := attached.Owner()
		probes := attached.Step(view.OwnersAbove(role), now, d.ex.topologyConfig())
		current, _ := attached.Owner()
		for _, owner := range probes {
			wanted[owner.Name] = true
			d.send(Envelope{Subject: Tree, Up: true, Role: role, Site: owner.Site, Owner: owner.Number, Seq: d.ex.sequence.Add(1), Body: encode(greeting{owner.Number == current.Number})})
		}
		if owner, ok := attached.Owner(); ok {
			up[role] = owner
			if owner.Number != previous.Number {
				d.ex.history.write("attach", map[string]any{"role": roleName(role), "to": owner.Site, "keeper": owner.Number, "front": owner.Name})
			}
		}
	}
	maps.DeleteFunc(d.attachments, func(role topology.Role, _ *topology.Attachment) bool { return !slices.Contains(own, role) })
	maps.DeleteFunc(d.children, func(_ attachment, heardAt Micros) bool {
		return now-heardAt > childTimeoutRounds*d.ex.roundInterval().Microseconds()+d.ex.topologyConfig().FailoverAfter
	})
	d.connect(wanted, view.Self.Name)
	d.ex.links.Store(&links{up: up, children: maps.Clone(d.children)})
}

// connect dials those that are wanted, and gives up those that have not been for a while.
func (d *dispatcher) connect(wanted map[string]bool, self string) {
	for name := range wanted {
		delete(d.unusedRounds, name)
		if _, ok := d.dialers[name]; !ok && name != self {
			d.dialers[name] = d.ex.supervisor.Add(&dialer{ex: d.ex, name: name})
		}
	}
	for name, token := range d.dialers {
		if wanted[name] {
			continue
		}
		if d.unusedRounds[name]++; d.unusedRounds[name] > maxUnusedRounds {
			delete(d.dialers, name)
			delete(d.unusedRounds, name)
			go func() { _ = d.ex.supervisor.Remove(token) }()
		}
	}
}

func (d *dispatcher) handle(m any) {
	switch m := m.(type) {
	case connUp:
		d.conns[m.conn.name] = append(d.conns[m.conn.name], m.conn)
	case connDown:
		list := slices.DeleteFunc(d.conns[m.conn.name], func(c *conn) bool { return c == m.conn })
		if d.conns[m.conn.name] = list; len(list) == 0 {
			delete(d.conns, m.conn.name)
		}
	case outgoing:
		m.envelope.Seq = d.ex.sequence.Add(1)
		d.send(m.envelope)
	case received:
		d.receive(m.from, m.envelope)
	}
}

// send sends a message to the front that it is for, or takes it in where that is this one.
func (d *dispatcher) send(e Envelope) {
	state := d.ex.fleetState.Load()
	if state == nil {
		return
	}
	name := e.Role.Front
	if e.Up {
		owner := state.View.Owner(e.Site)
		if owner == nil || owner.Number != e.Owner {
			return
		}
		name = owner.Name
	} else if name == "" {
		owner := state.View.Owner(e.Role.Site)
		if owner == nil || owner.Number != e.Role.Owner {
			return
		}
		name = owner.Name
	}
	if name == state.View.Self.Name {
		d.receive(name, e)
		return
	}
	list := d.conns[name]
	if len(list) == 0 {
		d.ex.counts.Dropped.Add(1)
		return
	}
	list[len(list)-1].outbox.put(e)
}

// came looks whether who sent a message may say it, and hands it to its subject.
func (d *dispatcher) receive(from string, e Envelope) {
	state := d.ex.fleetState.Load()
	if state == nil {
		return
	}
	view, now := state.View, d.ex.cfg.Now()
	owner := view.Owner(e.Site)
	if owner == nil || owner.Number != e.Owner {
		return // of a keeper before, or one that this front does not know yet
	}
	speaker := e.Role.Front // who may say what comes up for a role
	if e.Role.Front == "" {
		child := view.Owner(e.Role.Site)
		if child == nil || child.Number != e.Role.Owner {
			return
		}
		speaker = child.Name
	} else if front := view.Find(e.Role.Front); front == nil || front.Start != e.Role.Start || front.Site != e.Role.Site {
		return
	}
	switch {
	case e.Up && (from != speaker || !owner.Is(view.Self.Name, view.Self.ID, view.Self.Start) || !topology.Within(e.Role.Site, e.Site)):
		return
	case !e.Up && (from != owner.Name || speaker != view.Self.Name):
		return
	}
	switch e.Subject {
	case Tree:
		var greeting greeting
		if decoder.Unmarshal(e.Body, &greeting) != nil {
			return
		}
		if e.Up {
			link := attachment{e.Role, e.Owner}
			if _, known := d.children[link]; greeting.Attached && (known || len(d.children) < maxChildren) {
				d.children[link] = now
			} else if !greeting.Attached {
				delete(d.children, link)
			}
			d.send(Envelope{Subject: Tree, Role: e.Role, Site: e.Site, Owner: e.Owner, Seq: d.ex.sequence.Add(1), Body: e.Body})
		} else if attached := d.attachments[e.Role]; attached != nil {
			attached.Answered(e.Owner, now, d.ex.topologyConfig())
		}
	case Limits:
		d.ex.limits.put(e)
	case Purges:
		d.ex.purges.put(e)
	case Verdicts:
		d.ex.verdicts.put(e)
	case Paths:
		d.ex.paths.put(e)
	}
}

// below are the roles that ask a keeper, in order.
func (l *links) childrenOf(owner topology.Owner, now, maxAge Micros) (list []topology.Role) {
	for t, heardAt := range l.children {
		if t.owner == owner.Number && now-heardAt <= maxAge {
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
func roleName(role topology.Role) string {
	if role.Front != "" {
		return fmt.Sprintf("%s %016x", role.Front, role.Start)
	}
	return fmt.Sprintf("site %s#%d", role.Site, role.Owner)
}
