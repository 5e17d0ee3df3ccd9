package loop

import (
	"slices"
	"testing"
)

// Guards against deadlines that fire out of order, twice, or after they were stopped, and
// against callbacks that run out of order.
func TestCallbackAndDeadlineOrder(t *testing.T) {
	var got []string
	add := func(s string) func() { return func() { got = append(got, s) } }
	batches := 0
	l := New(func() { batches++ })
	l.Post(add("first"))
	l.Post(add("second"))
	l.Post(func() {
		now := l.Now()
		l.At(now+3000, func() { got = append(got, "late"); l.Quit() })
		stopped := l.At(now+1000, add("stopped"))
		l.At(now+2000, add("early"))
		l.At(now-1, func() { got = append(got, "overdue"); l.Stop(stopped) })
		l.Stop(nil)
	})
	l.Run()
	if want := []string{"first", "second", "overdue", "early", "late"}; !slices.Equal(got, want) || batches < 3 {
		t.Errorf("got %v after %d batches, want %v", got, batches, want)
	}
}
