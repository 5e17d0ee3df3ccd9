package exchange

import (
	"context"
	"sync/atomic"
)

// box is a task's mailbox. It holds a bounded number of messages in order; where a
// newer one says all that an older one did (the same key), it takes that one's place,
// and at the bound the oldest goes and is counted. Whoever puts one in never waits for
// the task.
type box[T any] struct {
	in      chan T
	out     chan T
	ctx     context.Context
	dropped *atomic.Int64
}

// boxRoom is what may stand before the mailbox's own goroutine.
const boxRoom = 64

// newBox makes a mailbox that lives as long as the context. Key names what a message
// replaces; empty: nothing.
func newBox[T any](ctx context.Context, most int, dropped *atomic.Int64, key func(T) string) *box[T] {
	b := &box[T]{in: make(chan T, boxRoom), out: make(chan T), ctx: ctx, dropped: dropped}
	go b.hold(most, key)
	return b
}

func (b *box[T]) hold(most int, key func(T) string) {
	var list []T
	var keys []string
	for {
		var out chan T
		var first T
		if len(list) > 0 {
			out, first = b.out, list[0]
		}
		select {
		case <-b.ctx.Done():
			return
		case out <- first:
			var zero T
			list[0] = zero
			list, keys = list[1:], keys[1:]
		case m := <-b.in:
			k := key(m)
			replaced := false
			if k != "" {
				for i := range keys {
					if keys[i] == k {
						list[i], replaced = m, true
						break
					}
				}
			}
			if replaced {
				continue
			}
			if len(list) >= most {
				list, keys = list[1:], keys[1:]
				b.dropped.Add(1)
			}
			list, keys = append(list, m), append(keys, k)
		}
	}
}

// put puts a message in; after the mailbox's end it goes nowhere.
func (b *box[T]) put(m T) {
	select {
	case b.in <- m:
	case <-b.ctx.Done():
	}
}

// offer puts a message in unless that would take any time; for the loop.
func (b *box[T]) offer(m T) bool {
	select {
	case b.in <- m:
		return true
	default:
		b.dropped.Add(1)
		return false
	}
}
