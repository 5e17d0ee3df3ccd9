package fleet

import (
	"os"
	"strconv"
	"testing"
)

func TestSeed(t *testing.T) {
	n, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if n == 0 {
		t.Skip()
	}
	d, w := Chaos(Random(n, ""), 60*Second, nil)
	if len(d.Broken) > 0 {
		w.Dump(t.Output(), 2500)
		t.Log(d.Broken)
	}
	for _, f := range w.Fronts {
		if f.node != nil {
			l, term := f.node.Leader()
			t.Log(f.Name, "applied", f.node.Applied(), "lead", f.node.LeaderName(), l, "term", term, "feeder", f.node.Feeder(), "children", f.node.Children(), "seats", f.node.Replica().State().Seats, "id", f.node.ID(), "paused", f.paused, "stale", f.node.Stale())
		}
	}
}
