package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["restart-version"] = restartVersion }

// effects are the classes of the version that stands: page-asset must never run twice.
const effects = `{"settings":{"grades":[{"name":"guide-video","effect":"read_like","give-up-us":5000000,"goal-time-us":200000,"importance":2.0},` +
	`{"name":"page-asset","effect":"non_idempotent","give-up-us":2000000,"goal-time-us":1000000,"importance":1.0},` +
	`{"name":"payout-confirm","effect":"non_idempotent","give-up-us":3000000,"goal-time-us":600000,"importance":3.0}]}}`

// restartVersion: the version that stands in the fleet says that a class must never run twice; the fronts'
// own files are from before it. One of eight cache nodes answers with errors. A front that has acted on the
// version for seconds is killed outright, starts again with its folder, and gets clients once its /ping says 200.
func restartVersion(rec *record, dir string, trouble bool) (broken []string) {
	s := newServers(rec, 8)
	cleanUps = append(cleanUps, s.close)
	list := newFleet(rec, dir, s, map[string]any{"grades.1.goal-time-us": 1000000}, nil, nil)
	propose(list, effects, true)
	const rounds, each = 4, 60
	for i := range rounds * each {
		s.hold(fmt.Sprintf("form%d", i), time.Second)
	}
	s.mu.Lock()
	s.answer = func(n *node, r *run) (string, time.Duration) {
		if n.name == "s-b0" {
			return "error", 10 * time.Millisecond
		}
		return "", 10 * time.Millisecond
	}
	s.mu.Unlock()
	f := list[0]
	for round := range rounds {
		time.Sleep(7 * time.Second) // whoever restarts it sees it serve for a while
		if trouble {
			rec.line("front   %s is killed", f.name)
			f.kill()
			time.Sleep(500 * time.Millisecond)
			f.start()
		}
		for end := time.Now().Add(10 * time.Second); !f.ping(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				cannotRun("%s does not say 200", f.name)
			}
		}
		rec.line("front   %s says 200 to /ping", f.name)
		answers := make([]answer, each)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				answers[i] = ask(rec, f.listen, "page-asset", fmt.Sprintf("form%d", round*each+i), 2*time.Second)
			}()
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		for _, a := range answers {
			if _, ran := s.runsOf(a.ID); len(ran) > 1 {
				broken = append(broken, fmt.Sprintf("restart %d: request %s ran %d times: at %s (%s), then at %s (%s) %d ms later", round+1, a.ID, len(ran), ran[0].Node, ran[0].Word, ran[1].Node, ran[1].Word, ran[1].At.Sub(ran[0].At).Milliseconds()))
			}
		}
	}
	return broken
}
