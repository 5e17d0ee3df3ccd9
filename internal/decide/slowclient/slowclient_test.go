package slowclient

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

const second = 1_000_000

func prefix(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)
}

func config() Config {
	return Config{MinRate: 4000, Window: second, Credit: 5 * second, MaxPrefixBytes: 10 << 20, MaxPrefixes: 1000}
}

// client is a transfer at a constant rate.
type client struct {
	m                 Meter
	from              netip.Prefix
	rate, remaining   int64
	moved             int64
	tooSlow, finished bool
	endedAt           Micros // when it ended
}

// run observes all clients once a second for a number of seconds.
func run(d *Detector, all []*client, seconds int) {
	for _, c := range all {
		c.m = d.Begin(c.from, 0, c.remaining, 0)
	}
	for now := Micros(second); now <= int64(seconds)*second; now += second {
		for _, c := range all {
			if c.tooSlow || c.finished {
				continue
			}
			n := min(c.rate, c.remaining)
			c.moved, c.remaining = c.moved+n, c.remaining-n
			if c.finished = c.remaining == 0; !c.finished {
				_, c.tooSlow = d.Observe(&c.m, c.from, c.moved, c.remaining, now)
			}
			if c.tooSlow || c.finished {
				c.endedAt = now
				d.End(&c.m, c.from)
			}
		}
	}
}

// A client that is too slow is ended when its credit is spent; one just fast enough
// is not, nor is one that stalls for less than the credit.
func TestSlowClient(t *testing.T) {
	d := New(config())
	slow, stalled, good := &client{rate: 1000, remaining: 240_000}, &client{remaining: 240_000}, &client{rate: 4000, remaining: 240_000}
	for i, c := range []*client{slow, stalled, good} {
		c.from = prefix(i)
	}
	run(d, []*client{slow, stalled, good}, 70)
	if !slow.tooSlow || slow.endedAt != 7*second || !stalled.tooSlow || stalled.endedAt != 6*second || !good.finished {
		t.Errorf("slow ended at %d, stalled at %d; good finished: %v", slow.endedAt, stalled.endedAt, good.finished)
	}
	m := d.Begin(prefix(9), 0, 1, 0)
	moved := int64(0)
	for now := Micros(second); now < 100*second; now += second {
		if now/second%10 >= 4 { // stalls for four seconds of ten
			moved += 8000
		}
		if _, over := d.Observe(&m, prefix(9), moved, 1, now); over {
			t.Fatalf("a client with short stalls was ended at %d", now)
		}
	}
}

// Guards against ending the clients of a slow network: none is ended where all of a
// prefix are slow and their pending bytes stay within the bound. Beyond the bound,
// and for a few slow clients of an otherwise fast prefix, they are.
func TestSlowNetwork(t *testing.T) {
	var few, many, mixed []*client
	for i := range 400 {
		many = append(many, &client{from: prefix(2), rate: 1000, remaining: 240_000})
		if i < 40 {
			few = append(few, &client{from: prefix(1), rate: 1000, remaining: 240_000})
			c := &client{from: prefix(3), rate: 40_000, remaining: 2_400_000}
			if i%8 == 0 {
				c.rate = 1000
			}
			mixed = append(mixed, c)
		}
	}
	count := func(list []*client) (over int) {
		for _, c := range list {
			if c.tooSlow {
				over++
			}
		}
		return over
	}
	d := New(config())
	run(d, append(append(append([]*client{}, few...), many...), mixed...), 60)
	if n := count(few); n != 0 {
		t.Errorf("%d of 40 clients of a slow network were ended", n)
	}
	var left int64
	for _, c := range many {
		if !c.tooSlow {
			left += c.remaining
		}
	}
	if n := count(many); n < 300 || left > config().MaxPrefixBytes {
		t.Errorf("of 400 clients of a slow network %d were ended, %d bytes are pending", n, left)
	}
	if n := count(mixed); n != 5 {
		t.Errorf("%d clients of a prefix with 5 slow ones were ended", n)
	}
	if d.prefixes[prefix(1)].pending < 0 || d.prefixes[prefix(2)].transfers != 400-count(many) {
		t.Error("the statistics of a prefix do not add up")
	}
}

// For any sequence of observations: ranks are valid, the table of prefixes is
// bounded, a clock that is set back ends no transfer, and ended transfers leave
// nothing in the statistics.
func TestDetectorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		cfg.MaxPrefixes = 8
		d := New(cfg)
		var all []*client
		now := Micros(1000 * second)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += int64(rapid.IntRange(-2*second, 4*second).Draw(t, "gap"))
			if i := rapid.IntRange(0, 2*len(all)+1).Draw(t, "who"); i < len(all) {
				c := all[i]
				before := c.m.observedAt
				c.moved += int64(rapid.IntRange(0, 100_000).Draw(t, "moved"))
				r, over := d.Observe(&c.m, c.from, c.moved, 1000, now)
				if r >= NumRanks || over && now <= before {
					t.Fatal("rank", r, over)
				}
				if over || rapid.Bool().Draw(t, "end") {
					d.End(&c.m, c.from)
					all = append(all[:i], all[i+1:]...)
				}
			} else {
				c := &client{from: prefix(rapid.IntRange(0, 20).Draw(t, "from"))}
				c.m = d.Begin(c.from, 0, 500, now)
				all = append(all, c)
			}
			if d.Prefixes() > cfg.MaxPrefixes {
				t.Fatalf("%d prefixes are tracked", d.Prefixes())
			}
		}
		for _, c := range all {
			d.End(&c.m, c.from)
		}
		if d.PendingBytes() != 0 {
			t.Fatalf("%d bytes are left", d.PendingBytes())
		}
		for from, c := range d.prefixes {
			if c.pending != 0 || c.transfers < 0 {
				t.Fatalf("%v: %d bytes, %d metered are left", from, c.pending, c.transfers)
			}
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	d := New(config())
	m := d.Begin(prefix(0), 0, 0, 0)
	b.ReportAllocs()
	for i := range b.N {
		d.Observe(&m, prefix(0), int64(i)*5000, 1000, int64(i)*second)
	}
}
