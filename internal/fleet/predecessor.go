package fleet

import (
	"path/filepath"

	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/fleet/consensus"
	"cherryramp/internal/journal"
)

// predecessor is what this process knows from the folder while another process of the same front
// holds it: during an upgrade the old process ends only once the new one serves. The new one
// reads the folder, and acts on the version that stands there.
type predecessor struct {
	holds     bool // another process holds the folder
	since     int64
	reading   bool   // the folder is being read, or a version is being checked
	settled   bool   // this process acts on the version that stands, or can't
	active    uint64 // version that it acts on
	refused   uint64 // version that does not fit its files
	lastError string // why the folder could not be read, as logged
}

// observePredecessor reads the folder that another process holds, outside the loop, and takes up
// the version that stands there.
func (fleet *Fleet) observePredecessor() {
	p := &fleet.predecessor
	if !p.holds {
		p.holds, p.since = true, fleet.now()
	}
	if p.reading {
		return
	}
	p.reading = true
	path, cfg := filepath.Join(fleet.cfg.Folder, "journal"), fleet.cfg.Config
	go func() {
		read, err := readStanding(path, cfg)
		fleet.loop.Post(func() { fleet.predecessorRead(read, err) })
	}()
}

// standingVersion is what a folder says of the version that stands.
type standingVersion struct {
	number  uint64 // 0: none stands
	content []byte
	boxes   []string // that every front has to leave
}

// readStanding reads a journal.
func readStanding(path string, cfg consensus.Config) (s standingVersion, err error) {
	recovered := &consensus.Recovered{}
	if err := journal.Scan(path, recovered.Add); err != nil || recovered.Identity.ID == 0 {
		return s, err
	}
	state, err := consensus.ReadState(cfg, recovered)
	if err != nil {
		return s, err
	}
	s.boxes = consensus.BoxesToLeave(state)
	if s.number = state.Rollout.Stable; s.number == 0 {
		return s, nil
	}
	if s.content = state.Rollout.Content(s.number); s.content == nil {
		return s, errPiecesGone
	}
	return s, nil
}

// predecessorRead takes what the folder says.
func (fleet *Fleet) predecessorRead(read standingVersion, err error) {
	p := &fleet.predecessor
	switch {
	case fleet.closed || fleet.node != nil:
		p.reading = false
	case err != nil: // it is being written; read again with the next try to lock it
		p.reading = false
		if text := err.Error(); text != p.lastError {
			p.lastError = text
			fleet.log.Warn("fleet: the folder of the process before can't be read yet", "error", err)
		}
	case read.number == p.active || read.number == p.refused:
		p.reading, p.settled = false, true
		fleet.host.LeaveBoxes(read.boxes)
	default:
		fleet.host.CheckVersion(read.content, func(err error) { fleet.takeUpStanding(read, err) })
	}
}

// takeUpStanding has the host act on a version that it has checked, unless the folder has become this
// process's own meanwhile.
func (fleet *Fleet) takeUpStanding(read standingVersion, err error) {
	p := &fleet.predecessor
	p.reading = false
	if fleet.closed || fleet.node != nil {
		return
	}
	if err == nil {
		err = fleet.host.ActivateVersion(read.number, read.content)
	}
	p.settled = true
	fleet.host.LeaveBoxes(read.boxes)
	if err != nil {
		p.refused = read.number
		fleet.log.Warn("fleet: a version is turned down", "version", read.number, "error", err)
		return
	}
	p.active = read.number
}

// mayActBeside reports whether this process may act while another one holds the folder.
func (fleet *Fleet) mayActBeside() bool {
	p := &fleet.predecessor
	return p.settled || fleet.now()-p.since >= startTimeout
}

// succeed has the applier go on with the version that this process has taken up from its
// predecessor's folder, which is its own now.
func (fleet *Fleet) succeed(applier *rollout.Applier) {
	if p := &fleet.predecessor; p.settled && p.refused == 0 {
		applier.Resume(p.active)
	}
}
