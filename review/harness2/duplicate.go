package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["purge-duplicate"] = purgeDuplicate }

// purgeDuplicate: requests of a class that must never run twice are under way at the cache nodes while
// their objects are purged in the fleet.
func purgeDuplicate(rec *record, dir string, trouble bool) (broken []string) {
	s := newServers(rec, 3)
	cleanUps = append(cleanUps, s.close)
	list := newFleet(rec, dir, s, map[string]any{"grades.1.effect": "non_idempotent", "grades.1.goal-time-us": 1000000}, nil, map[string]any{"purges": map[string]any{}})
	s.mu.Lock()
	s.answer = func(n *node, r *run) (string, time.Duration) { return "", 300 * time.Millisecond }
	s.mu.Unlock()
	const count = 10
	answers := make([]answer, count)
	var wg sync.WaitGroup
	for i := range count {
		object := fmt.Sprintf("form%d", i)
		s.hold(object, 3*time.Second)
		f := list[i%len(list)]
		wg.Add(1)
		go func() { defer wg.Done(); answers[i] = ask(rec, f.listen, "page-asset", object, 2*time.Second) }()
		time.Sleep(150 * time.Millisecond)
		if trouble {
			_ = f.tell(fmt.Sprintf(`FLEET PURGE ASK {"kind":"object","name":%q,"asked":"p%d"}`, object, i), nil)
		}
		time.Sleep(850 * time.Millisecond) // one purge a second
	}
	wg.Wait()
	for i, a := range answers {
		if _, ran := s.runsOf(a.ID); len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("request %s for form%d ran %d times: at %s, then at %s %d ms later; its client has %s", a.ID, i, len(ran), ran[0].Node, ran[1].Node, ran[1].At.Sub(ran[0].At).Milliseconds(), a))
		}
	}
	return broken
}
