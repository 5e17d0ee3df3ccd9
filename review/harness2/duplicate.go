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
	list := newFleet(rec, dir, s, map[string]any{"grades.0.effect": "non_idempotent", "grades.0.goal-time-us": 600000, "grades.0.aim-stretch": 2.0}, nil, map[string]any{"purges": map[string]any{}})
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
		go func() { defer wg.Done(); answers[i] = ask(rec, f.listen, "guide-video", object, 3*time.Second) }()
		time.Sleep(150 * time.Millisecond)
		if trouble {
			_ = f.tell(fmt.Sprintf(`FLEET PURGE ASK {"kind":"object","name":%q,"asked":"p%d"}`, object, i), nil)
		}
		time.Sleep(850 * time.Millisecond) // one purge a second
	}
	wg.Wait()
	for i, a := range answers {
		all, ran := s.runsOf(a.ID)
		switch {
		case len(ran) > 1:
			broken = append(broken, fmt.Sprintf("request %s for form%d ran %d times: at %s, then at %s %d ms later; its client has %s", a.ID, i, len(ran), ran[0].Node, ran[1].Node, ran[1].At.Sub(ran[0].At).Milliseconds(), a))
		case len(ran) == 1 && all[len(all)-1].At.After(ran[0].At):
			broken = append(broken, fmt.Sprintf("request %s for form%d ran at %s and was sent again, %d times in all; its client has %s", a.ID, i, ran[0].Node, len(all), a))
		case len(ran) == 1 && (a.Status == 503 || a.Status == 429):
			broken = append(broken, fmt.Sprintf("request %s for form%d ran at %s, and its client is told that trying again is harmless: %s", a.ID, i, ran[0].Node, a))
		}
	}
	return broken
}
