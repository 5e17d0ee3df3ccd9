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

// Messages to the dispatcher.
type (
	received struct { // received over a connection
		from     string
		envelope Envelope
	}
	connUp   struct{ conn *conn }
	connDown struct{ conn *conn }
	outgoing struct{ envelope Envelope } // to send
)

// greeting is a role's probe of an owner, and the owner's reply.
type greeting struct {
	Attached bool `cbor:"1,keyasint,omitempty"` // the role is attached to that owner; otherwise it only probes it
}

// dialer keeps a connection to one front up for as long as it is needed.
type dialer struct {
	ex     *Exchange
	name   string
	logged bool
}

func (d *dialer) String() string { return "exchange to " + d.name }

// Serve implements suture.Service.
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

// dispatcher is the task of the tree: it tracks the connections, attaches this process's
// roles to owners and routes the messages of subjects. All of its state can be rebuilt
// after a restart.
type dispatcher struct {
	ex           *Exchange
	attachments  map[topology.Role]*topology.Attachment
	conns        map[string][]*conn
	dialers      map[string]suture.ServiceToken
	unusedRounds map[string]int // rounds for which a connection was not needed
	children     map[attachment]Micros
}

func newDispatcher(ex *Exchange) *dispatcher {
	return &dispatcher{ex: ex, attachments: map[topology.Role]*topology.Attachment{}, conns: map[string][]*conn{}, dialers: map[string]suture.ServiceToken{}, unusedRounds: map[string]int{},
		children: map[attachment]Micros{}}
}

// roles returns the roles of this process: the front itself and the sites that it owns,
// but for the root, which has nothing above it.
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
	maxUnusedRounds    = 100 // rounds after which a connection that is not needed is closed
	maxChildren        = 2048
	childTimeoutRounds = 40 // rounds without a message after which a child is forgotten
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

// connect starts dialers for the fronts that are needed and stops those that have not
// been needed for maxUnusedRounds.
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

// send sends a message to the front that it is for, or receives it here if that is this
// one. Without a connection the message is dropped and counted.
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

// receive checks that the sender is entitled to a message and passes it to its subject.
func (d *dispatcher) receive(from string, e Envelope) {
	state := d.ex.fleetState.Load()
	if state == nil {
		return
	}
	view, now := state.View, d.ex.cfg.Now()
	owner := view.Owner(e.Site)
	if owner == nil || owner.Number != e.Owner {
		return // of an earlier owner, or of one that this front does not know yet
	}
	speaker := e.Role.Front // the front that acts for the role
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

// childrenOf returns the roles attached to an owner that were heard within maxAge, in
// order of their names.
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

// roleName returns a role's full name: another process of a front, or another owner of a
// site, is another role.
func roleName(role topology.Role) string {
	if role.Front != "" {
		return fmt.Sprintf("%s %016x", role.Front, role.Start)
	}
	return fmt.Sprintf("site %s#%d", role.Site, role.Owner)
}
