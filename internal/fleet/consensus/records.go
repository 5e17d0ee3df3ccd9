package consensus

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// What a journal's record is, by its first byte.
const (
	recIdentity byte = iota + 1 // whose folder it is; always the first
	recHard                     // the agreement's hard state
	recEntry                    // one entry; it takes the place of all from its index on
	recSnapshot                 // a part of a snapshot; the last part is marked
	recSnapshotEnd
)

// snapshotPart bounds the bytes of one record of a snapshot.
const snapshotPart = 512 << 10

// Identity is whose folder it is.
type Identity struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"` // the incarnation
}

// Recovered is what a folder's journal held.
type Recovered struct {
	Identity Identity // its ID is 0: the folder is empty
	hard     *raftpb.HardState
	snapshot *raftpb.Snapshot
	entries  []*raftpb.Entry
	parts    []byte
}

// Errors of a folder that can't be used.
var (
	ErrUnreadableRecord = errors.New("fleet: a record that this build can't read")
	ErrForeignFolder    = errors.New("fleet: the folder is another front's")
	ErrMissingEntries   = errors.New("fleet: entries are missing in the journal")
)

// Take takes in the journal's next record.
func (r *Recovered) Add(record []byte) error {
	if len(record) == 0 {
		return ErrUnreadableRecord
	}
	kind, body := record[0], record[1:]
	if r.Identity.ID == 0 && kind != recIdentity {
		return fmt.Errorf("%w: the first is not the identity", ErrUnreadableRecord)
	}
	var err error
	switch kind {
	case recIdentity:
		err = cbor.Unmarshal(body, &r.Identity)
		if err == nil && r.Identity.ID == 0 {
			err = errors.New("an identity without incarnation")
		}
	case recHard:
		r.hard = &raftpb.HardState{}
		err = proto.Unmarshal(body, r.hard)
	case recEntry:
		e := &raftpb.Entry{}
		if err = proto.Unmarshal(body, e); err == nil {
			r.entry(e)
		}
	case recSnapshot:
		r.parts = append(r.parts, body...)
	case recSnapshotEnd:
		s := &raftpb.Snapshot{}
		err = proto.Unmarshal(append(r.parts, body...), s)
		r.parts, r.snapshot, r.entries = nil, s, nil
	default:
		err = fmt.Errorf("kind %d", kind)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreadableRecord, err)
	}
	return nil
}

// entry puts an entry behind those before it, and drops what stood there. One whose
// predecessor is missing is of a batch whose write failed in part: nobody was told
// that it is kept, and it stands once more behind, if the write ever succeeded. That
// nothing committed is missing, New checks.
func (r *Recovered) entry(e *raftpb.Entry) {
	first, at := r.snapshot.GetMetadata().GetIndex()+1, e.GetIndex()
	if at >= first && at <= first+uint64(len(r.entries)) {
		r.entries = append(r.entries[:at-first], e)
	}
}

func record(kind byte, m proto.Message) []byte {
	b, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, m)
	if err != nil { // its messages always encode
		panic(fmt.Sprintf("fleet: %v", err))
	}
	return b
}

// IdentityRecord is the first record of a folder's journal.
func IdentityRecord(id Identity) []byte {
	b, err := cbor.Marshal(id)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // plain values always encode
	}
	return append([]byte{recIdentity}, b...)
}

// snapshotRecords cuts a snapshot into records.
func snapshotRecords(s *raftpb.Snapshot) (list [][]byte) {
	b, err := proto.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err))
	}
	for len(b) > snapshotPart {
		list = append(list, append([]byte{recSnapshot}, b[:snapshotPart]...))
		b = b[snapshotPart:]
	}
	return append(list, append([]byte{recSnapshotEnd}, b...))
}
