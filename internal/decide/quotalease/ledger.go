package quotalease

// LimitRequests returns what this site requests from the owner that it is attached to, up.
func (alloc *Allocator) LimitRequests(up Source, now Micros) (list []LimitRequest) {
	if alloc.isRoot() {
		return nil
	}
	for _, key := range alloc.Keys() {
		state := alloc.ledger.Limits[key]
		request := LimitRequest{Key: key, Epoch: state.Epoch}
		outstanding, others := 0.0, 0.0
		for role, child := range state.Children {
			if sender := alloc.ledger.Members[role]; sender != nil && now-sender.LastHeard <= alloc.rules.ChildTimeout {
				request.Demand += child.Demand
			}
			outstanding += child.outstanding(now)
		}
		for _, held := range state.Held {
			switch {
			case held.From == up:
				request.Number, request.Held = held.Number, held.Amount
			case now < held.End:
				others += held.Amount
				if held.From.Site == up.Site {
					request.HeldBefore += held.Amount
				}
			}
		}
		if request.Number > 0 {
			request.Held = max(request.Held, outstanding-others) // the allocation, or more if an earlier, larger one is still allocated below
		}
		list = append(list, request)
	}
	return list
}

// LimitStatus is the state of one limit at an allocator, for operators.
type LimitStatus struct {
	Key         Key     `json:"key"`
	Available   float64 `json:"has"` // amount that the owner may allocate
	Outstanding float64 `json:"out"` // upper bound of what may be spent below it now
	Demand      float64 `json:"demand"`
	Roles       int     `json:"roles"`   // roles with allocations
	Silent      int     `json:"silent"`  // roles not heard within ChildTimeout
	WaitSeconds float64 `json:"waits_s"` // until all allocations of a previous root owner have certainly expired
	Holders     int     `json:"holders"`
}

// Status returns the state of all limits, in the order of Keys.
func (alloc *Allocator) Status(up Source, now Micros) (list []LimitStatus) {
	for _, key := range alloc.Keys() {
		state := alloc.ledger.Limits[key]
		status := LimitStatus{Key: key, WaitSeconds: float64(max(0, alloc.unknownUntil(alloc.limits[key.Limit])-now)) / 1e6}
		status.Available, _ = alloc.available(alloc.limits[key.Limit], state, up, now)
		for role, child := range state.Children {
			status.Roles++
			if sender := alloc.ledger.Members[role]; sender == nil || now-sender.LastHeard > alloc.rules.ChildTimeout {
				status.Silent++
			} else {
				status.Demand += child.Demand
			}
			if outstanding := child.outstanding(now); outstanding > 0 {
				status.Outstanding += outstanding
				status.Holders++
			}
		}
		list = append(list, status)
	}
	return list
}

// Ledger returns the allocator's state for storage. It must be stored before any grant made
// from it is sent. The result is shared with the allocator, which must not be used until
// it has been written.
func (alloc *Allocator) Ledger() *Ledger {
	alloc.ledger.List = alloc.ledger.List[:0]
	for _, k := range alloc.Keys() {
		alloc.ledger.List = append(alloc.ledger.List, ledgerEntry{k, alloc.ledger.Limits[k]})
	}
	return &alloc.ledger
}

// Restore replaces the allocator's state by a stored ledger.
func (alloc *Allocator) Restore(l Ledger) {
	l.Limits = map[Key]*limitState{}
	for _, x := range l.List {
		if x.State.Children == nil {
			x.State.Children = map[string]*childState{}
		}
		l.Limits[x.Key] = x.State
	}
	if l.Members == nil {
		l.Members = map[string]*member{}
	}
	l.List, alloc.ledger = nil, l
}
