package consensus

import "cherryramp/internal/decide/statemachine"

// ReadState returns the state that is committed in a folder which another process may be writing.
// It takes no part in the fleet. The error is one of New's, or tells why an entry can't be read.
func ReadState(cfg Config, recovered *Recovered) (*statemachine.State, error) {
	node, err := New(cfg, recovered, 0)
	if err != nil {
		return nil, err
	}
	for _, entry := range recovered.entries {
		if entry.GetIndex() <= recovered.hard.GetCommit() {
			node.applyEntry(entry)
		}
	}
	return node.replica.State(), node.staleErr
}
