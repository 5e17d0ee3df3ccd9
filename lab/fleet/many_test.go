package fleet

import (
	"os"
	"strconv"
	"testing"

	"cherryramp/internal/decide/replica"
)

func TestMany(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("DAYS"))
	from, _ := strconv.ParseUint(os.Getenv("FROM"), 10, 64)
	if n == 0 {
		t.Skip()
	}
	for n > 0 {
		res := Days(from, n, replica.Rule(os.Getenv("WITHOUT")), nil)
		t.Logf("from %d: %+v", from, res)
		if res.First == nil {
			return
		}
		t.Logf("seed %d, %d fronts: %v", res.First.Seed, res.First.Fronts, res.First.Broken)
		n -= res.Days
		from += uint64(res.Days)
	}
}
