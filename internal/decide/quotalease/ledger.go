package quotalease

// Wants is what this site asks the keeper above for, which is attached as up.
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
			w.Held = max(w.Held, out-others) // what it has of it, or has dealt out of an earlier and larger one
		}
		list = append(list, w)
	}
	return list
}

// Line is what a dealer tells of one limit, for a person.
type LimitStatus struct {
	Key         Key     `json:"key"`
	Available   float64 `json:"has"`     // what the keeper may deal out
	Outstanding float64 `json:"out"`     // the most that may be spent below it now
	Demand      float64 `json:"demand"`  //
	Roles       int     `json:"roles"`   // that it deals to
	Silent      int     `json:"silent"`  // of them, that are not heard
	WaitSeconds float64 `json:"waits_s"` // until all that an earlier root dealt is surely over
	Holders     int     `json:"holders"`
}

// Lines tells all.
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

// Ledger is all that a dealer knows, to be written out; it must be kept before what it
// deals leaves. It is the dealer's own until it has been written.
func (d *Allocator) Ledger() *Ledger {
	d.ledger.List = d.ledger.List[:0]
	for _, k := range d.Keys() {
		d.ledger.List = append(d.ledger.List, ledgerEntry{k, d.ledger.Limits[k]})
	}
	return &d.ledger
}

// Restore takes a ledger in that was written out.
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
