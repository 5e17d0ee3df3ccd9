package quotalease

// LimitRequests returns what this site requests from the owner that it is attached to, up.
func (d *Allocator) LimitRequests(up Source, now Micros) (list []LimitRequest) {
	if d.isRoot() {
		return nil
	}
	for _, key := range d.Keys() {
		s := d.ledger.Limits[key]
		w := LimitRequest{Key: key, Epoch: s.Epoch}
		out, others := 0.0, 0.0
		for role, c := range s.Children {
			if m := d.ledger.Members[role]; m != nil && now-m.LastHeard <= d.rules.ChildTimeout {
				w.Demand += c.Demand
			}
			out += c.outstanding(now)
		}
		for _, o := range s.Held {
			switch {
			case o.From == up:
				w.Number, w.Held = o.Number, o.Amount
			case now < o.End:
				others += o.Amount
				if o.From.Site == up.Site {
					w.HeldBefore += o.Amount
				}
			}
		}
		if w.Number > 0 {
			w.Held = max(w.Held, out-others) // the allocation, or more if an earlier, larger one is still allocated below
		}
		list = append(list, w)
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
func (d *Allocator) Status(up Source, now Micros) (list []LimitStatus) {
	for _, key := range d.Keys() {
		s := d.ledger.Limits[key]
		x := LimitStatus{Key: key, WaitSeconds: float64(max(0, d.unknownUntil(d.limits[key.Limit])-now)) / 1e6}
		x.Available, _ = d.available(d.limits[key.Limit], s, up, now)
		for role, c := range s.Children {
			x.Roles++
			if m := d.ledger.Members[role]; m == nil || now-m.LastHeard > d.rules.ChildTimeout {
				x.Silent++
			} else {
				x.Demand += c.Demand
			}
			if o := c.outstanding(now); o > 0 {
				x.Outstanding += o
				x.Holders++
			}
		}
		list = append(list, x)
	}
	return list
}

// Ledger returns the allocator's state for storage. It must be stored before any grant made
// from it is sent. The result is shared with the allocator, which must not be used until
// it has been written.
func (d *Allocator) Ledger() *Ledger {
	d.ledger.List = d.ledger.List[:0]
	for _, k := range d.Keys() {
		d.ledger.List = append(d.ledger.List, ledgerEntry{k, d.ledger.Limits[k]})
	}
	return &d.ledger
}

// Restore replaces the allocator's state by a stored ledger.
func (d *Allocator) Restore(l Ledger) {
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
	l.List, d.ledger = nil, l
}
