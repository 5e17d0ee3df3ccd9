// Package discovery follows the notice board by long polls, whose numbered events become
// members and purges. It starts from the events in the configuration and resumes after
// the last number that it has.
package discovery

import (
	"encoding/json"
	"fmt"

	"cherryramp/internal/gateway"
	"cherryramp/rules"
)

// Update is a sequence of events, up to number Last.
type Update struct {
	Last   int64
	Events []Event
}

// Event is one notice: a change of the list, a purge, or neither.
type Event struct {
	Number int64
	List   *List
	Purge  *gateway.Purge
}

// List is the whole list of servers, or the entries of it that changed.
type List struct {
	Full    bool
	Members []gateway.Member
}

type wireUpdate struct {
	Rev     *int64       `json:"rev"`
	Notices []wireNotice `json:"notices"`
}

type wireNotice struct {
	Rev  int64 `json:"rev"`
	Pool *struct {
		Complete bool         `json:"complete"`
		Members  []wireMember `json:"members"`
	} `json:"pool"`
	Flush *struct {
		Asset      string `json:"asset"`
		Collection int    `json:"collection"`
		MS         int64  `json:"ms"`
	} `json:"flush"`
}

type wireMember struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

var phases = map[string]rules.MemberState{"SERVING": rules.Ready, "DRAINING": rules.Draining,
	"DELETED": rules.Gone}

func (w *wireMember) member() (gateway.Member, error) {
	state, known := phases[w.Phase]
	if !known || !gateway.IsName(w.ID) {
		return gateway.Member{}, fmt.Errorf("member %q: phase %q: not known", w.ID, w.Phase)
	}
	return gateway.Member{Name: w.ID, Addr: w.HostPort, Zone: w.Locality, Kind: w.Flavor, Cell: w.Cell,
		State: state, Weight: w.Size, StartedAt: w.UpSinceMS * 1000}, nil
}

// ParseMember parses one member in the board's format, under a name given separately.
func ParseMember(data []byte, name string) (gateway.Member, error) {
	var w wireMember
	if err := json.Unmarshal(data, &w); err != nil {
		return gateway.Member{}, fmt.Errorf("member %q: %w", name, err)
	}
	w.ID = name
	return w.member()
}

// ParseUpdate parses {"rev":LAST,"notices":[...]}.
func ParseUpdate(data []byte) (*Update, error) {
	var wire wireUpdate
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("board: %w", err)
	}
	if wire.Rev == nil {
		return nil, fmt.Errorf("board: rev: missing")
	}
	update := &Update{Last: *wire.Rev}
	for _, notice := range wire.Notices {
		event := Event{Number: notice.Rev}
		if notice.Pool != nil {
			event.List = &List{Full: notice.Pool.Complete}
			for _, wire := range notice.Pool.Members {
				m, err := wire.member()
				if err != nil {
					return nil, fmt.Errorf("board: notice %d: %w", notice.Rev, err)
				}
				event.List.Members = append(event.List.Members, m)
			}
		}
		if notice.Flush != nil {
			event.Purge = &gateway.Purge{Object: notice.Flush.Asset, Group: notice.Flush.Collection,
				At: notice.Flush.MS * 1000}
		}
		update.Events = append(update.Events, event)
	}
	return update, nil
}
