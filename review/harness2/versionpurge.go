package main

import (
	"fmt"
	"time"
)

func init() { cases["version-purge"] = versionPurge }

// versionPurge: a version purges two objects; one is asked for soon, the other one later.
func versionPurge(rec *record, dir string, trouble bool) (broken []string) {
	s := newServers(rec, 3)
	cleanUps = append(cleanUps, s.close)
	list := newFleet(rec, dir, s, nil, nil, nil)
	for _, o := range []string{"soon", "later"} {
		s.hold(o, 60*time.Second)
		a := ask(rec, list[0].listen, "guide-video", o, 3*time.Second)
		if a.Status != 200 {
			cannotRun("before the purge: %s", a)
		}
	}
	purgedAt := time.Now()
	if trouble {
		propose(list, `{"purge":{"objects":["soon","later"]}}`, true)
		purgedAt = time.Now()
	}
	time.Sleep(time.Second)
	for _, x := range []struct {
		object string
		wait   time.Duration
	}{{"soon", 0}, {"later", 11 * time.Second}} {
		time.Sleep(time.Until(purgedAt.Add(time.Second + x.wait)))
		for _, f := range list {
			a := ask(rec, f.listen, "guide-video", x.object, 3*time.Second)
			if trouble && a.Status == 200 && a.T0 < purgedAt.UnixMilli()-1000 {
				broken = append(broken, fmt.Sprintf("%s: %s, answered %d ms after all fronts obeyed the purge, from a copy %d ms older than that", f.name, x.object, time.Since(purgedAt).Milliseconds(), purgedAt.UnixMilli()-a.T0))
			}
		}
	}
	return broken
}
