package exchange

import (
	"context"
	"sync/atomic"
)

// box is a task's mailbox. It holds a bounded number of messages in order; where a
// newer one says all that an older one did (the same key), it takes that one's place,
// and at the bound the oldest goes and is counted. Whoever puts one in never waits for
// the task.
type mailbox[T any] struct {
	in      chan T
	out     chan T
	ctx     context.Context
	dropped *atomic.Int64
}

// boxRoom is what may stand before the mailbox's own goroutine.
const mailboxBuffer = 64

// newBox makes a mailbox that lives as long as the context. Key names what a message
// replaces; empty: nothing.
func newMailbox[T any](ctx context.Context, bound int, dropped *atomic.Int64, key func(T) string) *mailbox[T] {
	m := &mailbox[T]{in: make(chan T, mailboxBuffer), out: make(chan T), ctx: ctx, dropped: dropped}
	go m.run(bound, key)
	return m
}

func (m *mailbox[T]) run(bound int, key func(T) string) {
	var queue []T
	var keys []string
	for {
		var out chan T
		var first T
		if len(queue) > 0 {
			out, first = m.out, queue[0]
		}
		select {
		case <-m.ctx.Done():
			return
		case out <- first:
			var zero T
			queue[0] = zero
			queue, keys = queue[1:], keys[1:]
		case message := <-m.in:
			newKey := key(message)
			replaced := false
			if newKey != "" {
				for i := range keys {
					if keys[i] == newKey {
						queue[i], replaced = message, true
						break
					}
				}
			}
			if replaced {
				continue
			}
			if len(queue) >= bound {
				queue, keys = queue[1:], keys[1:]
				m.dropped.Add(1)
			}
			queue, keys = append(queue, message), append(keys, newKey)
		}
	}
}

// put puts a message in; after the mailbox's end it goes nowhere.
func (m *mailbox[T]) put(message T) {
	select {
	case m.in <- message:
	case <-m.ctx.Done():
	}
}

// offer puts a message in unless that would take any time; for the loop.
func (m *mailbox[T]) tryPut(message T) bool {
	select {
	case m.in <- message:
		return true
	default:
		m.dropped.Add(1)
		return false
	}
}
