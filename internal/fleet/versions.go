package fleet

import (
	"errors"
	"fmt"

	"cherryramp/internal/decide/audit"
	"cherryramp/internal/decide/rollout"
)

// acting is the version that this front acts on.
type acting struct {
	taker   *rollout.Applier
	applied uint64
	target  uint64
	next    uint64
	open    []openUnder
	told    bool // by the log, that it may not
}

// openUnder counts the requests that came under a version and are not ended.
type openUnder struct {
	version uint64
	n       int
}

// errGone tells of a version whose bytes are not kept any more.
var errGone = errors.New("its pieces are not in the fleet's state")

// versions has the front check, and act on, what the state wants of it, and tells the
// fleet where it stands.
func (f *Fleet) versions() {
	v := &f.ver
	s := &f.node.Replica().State().Rollout
	if f.node.Stale() != nil {
		return
	}
	if at := f.node.Applied(); at != v.applied {
		v.applied, v.target, v.next = at, s.Stable, 0
		if c := s.Candidate(); c != nil {
			v.next = c.Number
			v.target = s.Target(f.cfg.Name)
		}
	}
	f.measure(s)
	switch do, n := v.taker.Next(v.next, v.target, f.now()); do {
	case rollout.Check:
		content := s.Content(n)
		if content == nil {
			v.taker.Checked(n, errGone)
			break
		}
		f.host.CheckVersion(content, func(err error) {
			v.taker.Checked(n, err)
			if err != nil {
				f.log.Warn("fleet: a version is turned down", "version", n, "error", err)
			}
		})
	case rollout.RecordActivation, rollout.RecordSurvival:
		notes := v.taker.Record(do, n)
		f.note(notes, func(err error) {
			if err != nil {
				f.log.Error("fleet: the disk takes no note, and no version without one is taken up", "error", err)
			}
			v.taker.Recorded(notes, err == nil, f.now())
		})
	case rollout.Activate:
		f.closeRecords()
		var content []byte
		if n > 0 {
			content = s.Content(n)
		}
		err := f.host.ActivateVersion(n, content)
		v.taker.Activated(n, err, s.Watch(n), f.now())
		if err != nil {
			f.log.Error("fleet: a version is not taken up", "version", n, "error", err)
			break
		}
		f.book.chain.SetClasses(f.host.Classes())
		f.write1(audit.Record{Kind: audit.KindActivated, Version: n})
		f.serve()
	}
	f.measure(s)
	f.stand()
}

// measure sees whether the front may act on the version that it acts on.
func (f *Fleet) measure(s *rollout.State) {
	v, now := &f.ver, f.now()
	v.taker.Evaluate(s, f.cfg.Name, now)
	told := !v.taker.MayAct(now)
	if told == v.told {
		return
	}
	v.told = told
	text := "no more"
	if told {
		text = fmt.Sprintf("below version %d", v.taker.MinVersion())
		f.log.Warn("fleet: the front acts on a version that is too old, and refuses requests", "version", v.taker.Active(), "wanted", v.taker.MinVersion())
	} else {
		f.log.Info("fleet: the front may act on its version", "version", v.taker.Active())
	}
	f.write1(audit.Record{Kind: audit.KindOutdated, Text: text})
}

// stand tells the fleet which version this front acts on.
func (f *Fleet) stand() {
	x := f.ver.taker.Report()
	for _, o := range f.ver.open {
		if o.n > 0 && o.version < x.Active && (x.OldestInUse == 0 || o.version+1 < x.OldestInUse) {
			x.OldestInUse = o.version + 1
		}
	}
	x.FailedPercent, x.HasSample = f.host.FailurePercent()
	x.AuditSeq, x.AuditHead = f.book.seq, f.book.head
	f.node.SetReport(x)
}

// Came tells of a request that came, and gives the version that it is under.
func (f *Fleet) RequestStarted() uint64 {
	if f.ver.taker == nil {
		return 0
	}
	n := f.ver.taker.Active()
	for i := range f.ver.open {
		if o := &f.ver.open[i]; o.version == n {
			o.n++
			return n
		}
	}
	f.ver.open = append(f.ver.open, openUnder{n, 1})
	return n
}

// Answered tells how a request was ended that came under a version.
func (f *Fleet) RequestAnswered(version uint64, class int, o audit.Outcome, id string) {
	f.RequestAbandoned(version)
	if f.node != nil && f.book.chain.Count(version, class, o, id, f.node.Applied()) {
		f.closeRecords()
	}
}

// Left tells that a request's client has gone: it gets no answer.
func (f *Fleet) RequestAbandoned(version uint64) {
	for i := range f.ver.open {
		if o := &f.ver.open[i]; o.version == version {
			if o.n--; o.n == 0 && len(f.ver.open) > 1 {
				f.ver.open = append(f.ver.open[:i], f.ver.open[i+1:]...)
			}
			return
		}
	}
}
