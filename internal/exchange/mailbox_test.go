package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against messages lost below the mailbox's bound when several goroutines send.
func TestMailboxLosesNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var dropped atomic.Int64
	b := newMailbox(ctx, 1<<20, &dropped, func(int) string { return "" })
	const writers, each = 8, 5000
	var wg sync.WaitGroup
	for w := range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				b.put(w*each + i)
			}
		}()
	}
	seen := make([]bool, writers*each)
	for range seen {
		seen[<-b.out] = true
	}
	wg.Wait()
	require.NotContains(t, seen, false)
	require.Zero(t, dropped.Load())
}

// Guards against a mailbox that, at its bound, drops anything but the oldest message, or
// that keeps an older message beside a newer one with the same key.
func TestMailboxAtItsBound(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var dropped atomic.Int64
	b := newMailbox(ctx, 3, &dropped, func(s string) string { return s[:1] })
	for _, s := range []string{"a1", "b1", "a2", "c1", "d1", "a3"} {
		b.put(s)
	}
	require.Eventually(t, func() bool { return len(b.in) == 0 && dropped.Load() == 2 }, maxWait, tick)
	require.Equal(t, []string{"c1", "d1", "a3"}, []string{<-b.out, <-b.out, <-b.out})
}

const (
	maxWait = 10 * 1000 * 1000 * 1000
	tick    = 1000 * 1000
)
