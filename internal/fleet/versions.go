package fleet

import (
	"errors"
	"fmt"
	"math"

	"cherryramp/internal/decide/audit"
	"cherryramp/internal/decide/replica"
	"cherryramp/internal/decide/versions"
)

// acting is the version that this front acts on.
type acting struct {
	taker   *versions.Taker
	may     int64 // moment of the node's clock up to which it may act on it
	shut    uint64
	below   uint64 // the bar that it is measured by, since when
	since   int64
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

// forever is past all moments.
const forever = math.MaxInt64

// errGone tells of a version whose bytes are not kept any more.
var errGone = errors.New("its pieces are not in the fleet's state")

// versions has the front check, and act on, what the state wants of it, and tells the
// fleet where it stands.
func (f *Fleet) versions() {
	v := &f.ver
	r := f.node.Replica()
	s := &r.State().Versions
	if f.node.Stale() != nil {
		return
	}
	if at := f.node.Applied(); at != v.applied {
		v.applied, v.target, v.next = at, s.Good, 0
		if c := s.Candidate(); c != nil {
			v.next = c.N
			v.target = s.Target(f.cfg.Name, replica.Machines(r.Fleet()))
		}
	}
	f.measure(s)
	switch do, n := v.taker.Next(v.next, v.target, f.now()); do {
	case versions.Check:
		content := s.Content(n)
		if content == nil {
			v.taker.Checked(n, errGone)
			break
		}
		f.host.Check(content, func(err error) {
			v.taker.Checked(n, err)
			if err != nil {
				f.log.Warn("fleet: a version is turned down", "version", n, "error", err)
			}
		})
	case versions.Note, versions.Survive:
		notes := versions.Notes{Trying: n, Survived: do == versions.Survive || n == 0}
		f.note(notes, func(err error) {
			if err != nil {
				f.log.Error("fleet: the disk takes no note, and no version without one is taken up", "error", err)
			}
			v.taker.Noted(notes, err == nil, f.now())
		})
	case versions.Take:
		f.closeRecords()
		var content []byte
		if n > 0 {
			content = s.Content(n)
		}
		err := f.host.TakeUp(n, content)
		v.taker.Took(n, err, f.now())
		if err != nil {
			f.log.Error("fleet: a version is not taken up", "version", n, "error", err)
			break
		}
		f.book.chain.Classes(f.host.Classes())
		f.write1(audit.Record{Kind: audit.Took, Version: n})
		f.serve()
	}
	f.measure(s)
	f.stand()
}

// measure sees up to when the front may act on the version that it acts on.
func (f *Fleet) measure(s *versions.State) {
	v, now := &f.ver, f.now()
	acts := v.taker.Acts()
	least, bar := s.Least(f.cfg.Name)
	if least != v.below {
		v.below, v.since = least, now
	}
	switch {
	case acts >= least && (s.Good == 0 || v.taker.Settled()):
		v.may = forever
	case acts >= least: // it has only just started, and has not taken up what stands
		v.may = 0
	case bar > 0:
		v.may = v.since + bar
	default:
		v.may = 0
	}
	if acts < least && now >= v.may {
		v.shut = max(v.shut, least)
	}
	if acts < v.shut && acts < least { // it has said that it acts on nothing older
		v.may = 0
	}
	if told := now >= v.may; told != v.told {
		v.told = told
		text := fmt.Sprintf("below version %d", least)
		if told {
			f.log.Warn("fleet: the front acts on a version that is too old, and refuses requests", "version", acts, "wanted", least)
		} else {
			text = "no more"
			f.log.Info("fleet: the front may act on its version", "version", acts)
		}
		f.write1(audit.Record{Kind: audit.Shut, Text: text})
	}
}

// stand tells the fleet which version this front acts on.
func (f *Fleet) stand() {
	x := f.ver.taker.Report()
	for _, o := range f.ver.open {
		if o.n > 0 && o.version < x.Acts && (x.Oldest == 0 || o.version+1 < x.Oldest) {
			x.Oldest = o.version + 1
		}
	}
	x.Bad, x.Seen = f.host.Fares()
	if x.Shut = f.ver.shut; x.Shut <= x.Acts {
		x.Shut = 0
	}
	x.Seq, x.Head = f.book.seq, f.book.head
	f.node.SetStand(x)
}

// Came tells of a request that came, and gives the version that it is under.
func (f *Fleet) Came() uint64 {
	if f.ver.taker == nil {
		return 0
	}
	n := f.ver.taker.Acts()
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
func (f *Fleet) Answered(version uint64, class int, o audit.Outcome, id string) {
	f.Left(version)
	if f.node != nil && f.book.chain.Count(version, class, o, id, f.node.Applied()) {
		f.closeRecords()
	}
}

// Left tells that a request's client has gone: it gets no answer.
func (f *Fleet) Left(version uint64) {
	for i := range f.ver.open {
		if o := &f.ver.open[i]; o.version == version {
			if o.n--; o.n == 0 && len(f.ver.open) > 1 {
				f.ver.open = append(f.ver.open[:i], f.ver.open[i+1:]...)
			}
			return
		}
	}
}
