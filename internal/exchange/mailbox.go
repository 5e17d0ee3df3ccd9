package exchange

import (
	"context"
	"sync/atomic"
)

// mailbox is a bounded queue of messages to a task. A message replaces a waiting one with
// the same key; at the bound the oldest message is dropped and counted. Senders never
// wait for the task.
type mailbox[T any] struct {
	in      chan T
	out     chan T
	ctx     context.Context
	dropped *atomic.Int64
}

// mailboxBuffer is the capacity of the channel to the mailbox's goroutine.
const mailboxBuffer = 64

// newMailbox makes a mailbox that lives as long as the context. A message replaces a
// waiting one with the same key; with an empty key it replaces none.
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

// put adds a message; once the mailbox has ended the message is discarded.
func (m *mailbox[T]) put(message T) {
	select {
	case m.in <- message:
	case <-m.ctx.Done():
	}
}

// tryPut adds a message unless that would block, and reports whether it did. It is for
// the loop.
func (m *mailbox[T]) tryPut(message T) bool {
	select {
	case m.in <- message:
		return true
	default:
		m.dropped.Add(1)
		return false
	}
}
