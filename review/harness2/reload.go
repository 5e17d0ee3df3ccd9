package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["reload-lacks-key"] = reloadLacksKey }

// reloadLacksKey: the configuration file is replaced by one whose settings lack the key `extra`, and the front gets
// SIGHUP. It has to turn the file down and go on with the settings before, by which a copy of page-asset may be
// 18 s old: 8 s fresh and 10 s of grace.
func reloadLacksKey(rec *record, dir string, trouble bool) (broken []string) {
	s := newServers(rec, 3)
	s.fresh["page-asset"] = 8000
	cleanUps = append(cleanUps, s.close)
	f := newFront(rec, dir, "n1", "127.0.0.2", s, nil, nil)
	f.start()
	cleanUps = append(cleanUps, f.kill)
	await("the front to be ready", 10*time.Second, func() bool { return f.call("PING", nil) == nil && f.ping() })
	time.Sleep(1500 * time.Millisecond) // never in its first second
	text, err := os.ReadFile(filepath.Join(f.dir, "config.json"))
	if err != nil {
		cannotRun("%v", err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		cannotRun("%v", err)
	}
	if trouble {
		delete(config["settings"].(map[string]any), "extra")
	}
	next, _ := json.Marshal(config)
	f.write("next.json", string(next))
	if err := os.Rename(filepath.Join(f.dir, "next.json"), filepath.Join(f.dir, "config.json")); err != nil {
		cannotRun("%v", err)
	}
	rec.line("file    replaced; settings.extra is there: %v", !trouble)
	_ = f.cmd.Process.Signal(syscall.SIGHUP)
	rec.line("front   %s gets SIGHUP", f.name)
	time.Sleep(2 * time.Second)
	info, err := f.callText("INFO")
	rec.line("ops     INFO %s %v", info, err)
	const limit = 18_000 + 50 // ms
	began := time.Now()
	for time.Since(began) < 60*time.Second {
		for i := range 3 {
			a := ask(rec, f.listen, "page-asset", fmt.Sprintf("form%d", i), 2*time.Second)
			if age := time.Now().UnixMilli() - a.T0; a.Status == 200 && age > limit && len(broken) < 10 {
				broken = append(broken, fmt.Sprintf("%.0f s after SIGHUP request %s for form%d is served with a copy %d ms old, 18000 are allowed", 2+time.Since(began).Seconds(), a.ID, i, age))
			}
		}
		time.Sleep(4 * time.Second)
	}
	return broken
}
