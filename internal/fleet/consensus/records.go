package consensus

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Kinds of journal records, in the first byte.
const (
	recIdentity      byte = iota + 1 // Identity of the folder; always the first record
	recHard                          // raft's hard state
	recEntry                         // one entry; it replaces all from its index on
	recSnapshotChunk                 // a chunk of a snapshot; the last one is marked
	recSnapshotEnd
)

// maxSnapshotChunk is the largest chunk of a snapshot in one record, in bytes.
const maxSnapshotChunk = 512 << 10

// Identity is the front whose folder it is.
type Identity struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"` // the incarnation
}

// Recovered is what the journal of a folder held.
type Recovered struct {
	Identity       Identity // its ID is 0: the folder is empty
	hard           *raftpb.HardState
	snapshot       *raftpb.Snapshot
	entries        []*raftpb.Entry
	snapshotChunks []byte
}

// Errors of a folder that can't be used.
var (
	ErrUnreadableRecord = errors.New("fleet: a record that this build can't read")
	ErrForeignFolder    = errors.New("fleet: the folder is another front's")
	ErrMissingEntries   = errors.New("fleet: entries are missing in the journal")
)

// Add adds the journal's next record. It returns ErrUnreadableRecord for one that this build
// can't read.
func (recovered *Recovered) Add(record []byte) error {
	if len(record) == 0 {
		return ErrUnreadableRecord
	}
	kind, body := record[0], record[1:]
	if recovered.Identity.ID == 0 && kind != recIdentity {
		return fmt.Errorf("%w: the first is not the identity", ErrUnreadableRecord)
	}
	var err error
	switch kind {
	case recIdentity:
		err = cbor.Unmarshal(body, &recovered.Identity)
		if err == nil && recovered.Identity.ID == 0 {
			err = errors.New("an identity without incarnation")
		}
	case recHard:
		recovered.hard = &raftpb.HardState{}
		err = proto.Unmarshal(body, recovered.hard)
	case recEntry:
		entry := &raftpb.Entry{}
		if err = proto.Unmarshal(body, entry); err == nil {
			recovered.addEntry(entry)
		}
	case recSnapshotChunk:
		recovered.snapshotChunks = append(recovered.snapshotChunks, body...)
	case recSnapshotEnd:
		snapshot := &raftpb.Snapshot{}
		err = proto.Unmarshal(append(recovered.snapshotChunks, body...), snapshot)
		recovered.snapshotChunks, recovered.snapshot, recovered.entries = nil, snapshot, nil
	default:
		err = fmt.Errorf("kind %d", kind)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreadableRecord, err)
	}
	return nil
}

// addEntry appends an entry, and drops the entries from its index on. An entry whose
// predecessor is missing belongs to a batch whose write failed in part: nobody was told that it
// is durable, and it was written again later if the write ever succeeded. New checks that no
// committed entry is missing.
func (recovered *Recovered) addEntry(entry *raftpb.Entry) {
	first, index := recovered.snapshot.GetMetadata().GetIndex()+1, entry.GetIndex()
	if index >= first && index <= first+uint64(len(recovered.entries)) {
		recovered.entries = append(recovered.entries[:index-first], entry)
	}
}

func record(kind byte, m proto.Message) []byte {
	b, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, m)
	if err != nil { // raft messages always encode
		panic(fmt.Sprintf("fleet: %v", err))
	}
	return b
}

// IdentityRecord returns the first record of a folder's journal.
func IdentityRecord(id Identity) []byte {
	b, err := cbor.Marshal(id)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // plain values always encode
	}
	return append([]byte{recIdentity}, b...)
}

// snapshotRecords splits a snapshot into records.
func snapshotRecords(snapshot *raftpb.Snapshot) (list [][]byte) {
	data, err := proto.Marshal(snapshot)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err))
	}
	for len(data) > maxSnapshotChunk {
		list = append(list, append([]byte{recSnapshotChunk}, data[:maxSnapshotChunk]...))
		data = data[maxSnapshotChunk:]
	}
	return append(list, append([]byte{recSnapshotEnd}, data...))
}
