package exchange

import (
	"cherryramp/internal/decide/quotalease"
	"cherryramp/internal/decide/topology"
)

// Took notes for the laboratory that a limit let a request through, or did not, and by
// which part. It is called on the loop.
func (x *Exchange) RecordTake(b *quotalease.Bucket, ok bool) {
	if !x.history.on() {
		return
	}
	at := Mono()
	from, number, amount := b.Allocation()
	x.history.writeAt(at, "take", map[string]any{"limit": b.Key.Limit, "who": b.Key.Who, "ok": ok, "site": from.Site, "keeper": from.Owner, "part": number, "amount": amount})
}

// TreeTold is what a front tells of the tree.
type TreeStatus struct {
	Front    string       `json:"front"`
	CaughtUp bool         `json:"open"`
	Sites    []SiteStatus `json:"sites"`
	Roles    []RoleStatus `json:"roles"`
	Sent     int64        `json:"sent"`
	Received int64        `json:"received"`
	Bytes    int64        `json:"bytes"`
	Dropped  int64        `json:"dropped"`
	Restarts int64        `json:"restarts"`
}

// SiteTold is a site and who keeps it.
type SiteStatus struct {
	Site   string `json:"site"`
	Owner  string `json:"keeper"`
	Number uint64 `json:"number"`
}

// RoleTold is one of this process's roles, and where it is attached.
type RoleStatus struct {
	Role       string   `json:"role"`
	AttachedTo string   `json:"attached_to"`
	OwnerSite  string   `json:"of_site"`
	PassedOver []string `json:"passed_over,omitempty"`
	Children   []string `json:"below,omitempty"`
}

// Tree tells what this front knows of the tree.
func (x *Exchange) TreeStatus() TreeStatus {
	t := TreeStatus{Front: x.cfg.Name, CaughtUp: x.open.Load(), Sent: x.counts.Sent.Load(), Received: x.counts.Received.Load(), Bytes: x.counts.Bytes.Load(),
		Dropped: x.counts.Dropped.Load(), Restarts: x.counts.Restarts.Load()}
	s := x.standing.Load()
	if s == nil {
		return t
	}
	for _, k := range s.View.Owners {
		t.Sites = append(t.Sites, SiteStatus{"/" + k.Site, k.Name, k.Number})
	}
	links, now := x.links.Load(), x.cfg.Now()
	for _, r := range append(roles(s.View), topology.Role{}) {
		told := RoleStatus{Role: roleName(r)}
		if r == (topology.Role{}) {
			k := s.View.Owner(topology.Root)
			if k == nil || !k.Is(s.View.Self.Name, s.View.Self.ID, s.View.Self.Start) {
				continue
			}
			told.Role = "root"
			r = topology.SiteRole(*k)
		} else if k, ok := links.up[r]; ok {
			told.AttachedTo, told.OwnerSite = k.Name, "/"+k.Site
			for _, a := range s.View.OwnersAbove(r) {
				if a.Number == k.Number {
					break
				}
				told.PassedOver = append(told.PassedOver, a.Name)
			}
		}
		if r.Front == "" {
			for _, c := range links.below(topology.Owner{Number: r.Owner}, now, x.spans().FailoverAfter) {
				told.Children = append(told.Children, roleName(c))
			}
		}
		t.Roles = append(t.Roles, told)
	}
	return t
}
