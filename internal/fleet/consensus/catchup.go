package consensus

import (
	"bytes"
	"encoding/binary"
)

// requestCommit has a voter that has not caught up ask the leader up to where the log is
// committed. The leader sends entries only where some are missing, so an idle fleet would not
// tell otherwise.
func (node *Node) requestCommit() {
	if lead, _ := node.Leader(); node.CaughtUp() || lead == 0 || lead == node.id || !node.hasSeat() {
		return
	}
	node.raw.ReadIndex(node.commitRequest())
}

// commitRequest returns the context of this process's requests for the committed index. It
// differs between processes and from the contexts of lease rounds.
func (node *Node) commitRequest() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, node.id), node.cfg.Start)
}

// noteCommit takes the leader's answer to a request for the committed index.
func (node *Node) noteCommit(context []byte, index uint64) {
	if !bytes.Equal(context, node.commitRequest()) {
		return
	}
	if node.commitKnown == 0 {
		node.commitKnown = index
	}
	node.caughtUp = node.caughtUp || node.applied >= node.commitKnown
}
