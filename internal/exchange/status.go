package exchange

import (
	"cherryramp/internal/decide/quotalease"
	"cherryramp/internal/decide/topology"
)

// RecordTake records in the history that a limit let a request through, or refused it,
// and under which allocation. It is called on the loop.
func (ex *Exchange) RecordTake(bucket *quotalease.Bucket, ok bool) {
	if !ex.history.enabled() {
		return
	}
	at := Mono()
	from, number, amount := bucket.Allocation()
	ex.history.writeAt(at, "take", map[string]any{"limit": bucket.Key.Limit, "who": bucket.Key.Who, "ok": ok, "site": from.Site, "keeper": from.Owner, "part": number, "amount": amount})
}

// TreeStatus is a front's status of the tree, for the admin endpoint.
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

// SiteStatus is a site and its owner.
type SiteStatus struct {
	Site   string `json:"site"`
	Owner  string `json:"keeper"`
	Number uint64 `json:"number"`
}

// RoleStatus is one of this process's roles and its attachment.
type RoleStatus struct {
	Role       string   `json:"role"`
	AttachedTo string   `json:"attached_to"`
	OwnerSite  string   `json:"of_site"`
	PassedOver []string `json:"passed_over,omitempty"`
	Children   []string `json:"below,omitempty"`
}

// TreeStatus returns what this front knows of the tree.
func (ex *Exchange) TreeStatus() TreeStatus {
	status := TreeStatus{Front: ex.cfg.Name, CaughtUp: ex.caughtUp.Load(), Sent: ex.counts.Sent.Load(), Received: ex.counts.Received.Load(), Bytes: ex.counts.Bytes.Load(),
		Dropped: ex.counts.Dropped.Load(), Restarts: ex.counts.Restarts.Load()}
	state := ex.fleetState.Load()
	if state == nil {
		return status
	}
	for _, owner := range state.View.Owners {
		status.Sites = append(status.Sites, SiteStatus{"/" + owner.Site, owner.Name, owner.Number})
	}
	links, now := ex.links.Load(), ex.cfg.Now()
	for _, role := range append(roles(state.View), topology.Role{}) {
		roleStatus := RoleStatus{Role: roleName(role)}
		if role == (topology.Role{}) {
			owner := state.View.Owner(topology.Root)
			if owner == nil || !owner.Is(state.View.Self.Name, state.View.Self.ID, state.View.Self.Start) {
				continue
			}
			roleStatus.Role = "root"
			role = topology.SiteRole(*owner)
		} else if owner, ok := links.up[role]; ok {
			roleStatus.AttachedTo, roleStatus.OwnerSite = owner.Name, "/"+owner.Site
			for _, above := range state.View.OwnersAbove(role) {
				if above.Number == owner.Number {
					break
				}
				roleStatus.PassedOver = append(roleStatus.PassedOver, above.Name)
			}
		}
		if role.Front == "" {
			for _, child := range links.childrenOf(topology.Owner{Number: role.Owner}, now, ex.topologyConfig().FailoverAfter) {
				roleStatus.Children = append(roleStatus.Children, roleName(child))
			}
		}
		status.Roles = append(status.Roles, roleStatus)
	}
	return status
}
