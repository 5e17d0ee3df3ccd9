package transport

import "sync/atomic"

// Budget bounds the bytes of memory that several users hold together. It is safe for
// concurrent use. A nil Budget has no bound.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// TryAdd adds n bytes if they fit, and reports whether they do.
func (b *Budget) TryAdd(n int64) bool {
	if b == nil {
		return true
	}
	if b.held.Add(n) <= b.limit {
		return true
	}
	b.held.Add(-n)
	return false
}

// Add adds n bytes whether they fit or not; a negative n releases bytes.
func (b *Budget) Add(n int64) {
	if b != nil {
		b.held.Add(n)
	}
}

// Held returns the bytes held now.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Used returns the share of the limit that is held; it may be above 1, see Add.
func (b *Budget) Used() float64 {
	if b == nil {
		return 0
	}
	return float64(b.held.Load()) / float64(max(1, b.limit))
}
