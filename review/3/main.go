// A notice board that answers each poll 300 ms later than it is due, and a purge and a drain
// that it holds meanwhile.
package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"cherryramp/review/harness"
)

const (
	late        = 300 * time.Millisecond  // of the board's answers
	purgeGrace  = 350 * time.Millisecond  // extra.obey-after-us and the 50 ms of the sockets
	drainGrace  = 550 * time.Millisecond  // rules.drain-grace-us and the 50 ms
	settle      = 5800 * time.Millisecond // until caches drop purged copies; extra.purge-settles-us is 6 s
	toldAtLast  = 7 * time.Second
	afterEvents = 10 * time.Second
)

// world is what the servers hold: version 1 of each object, made long ago, and once an object
// is purged a new version at the origin.
type world struct {
	mu       sync.Mutex
	purgedAt map[string]time.Time
	copies   map[string]time.Time // by cache and object: when the origin gave the copy out
	began    time.Time
}

func tag(made time.Time) string { return fmt.Sprintf("v%d", made.UnixMilli()) }

func fields(made time.Time, why string) string {
	return fmt.Sprintf("sum=%s,t0=%d,why=%s,rep=util:0.2;x0:0.5;x1:0.1", tag(made), made.UnixMilli(), why)
}

func test(r *harness.Run) (broken bool, err error) {
	w := &world{purgedAt: map[string]time.Time{}, copies: map[string]time.Time{}, began: time.Now().Add(-time.Minute)}
	body := []byte(strings.Repeat("form;", 2000))
	var mu sync.Mutex
	var toSecond []time.Time // when requests came to the cache that drains
	cache := func(c *harness.Command) {
		now, object, key := time.Now(), c.Fields["name"], c.Node.Name+" "+c.Fields["name"]
		if c.Node.Name == "s-cache-2" {
			mu.Lock()
			toSecond = append(toSecond, c.At)
			mu.Unlock()
		}
		w.mu.Lock()
		made, held := w.copies[key]
		if !held && w.purgedAt[object].IsZero() {
			made, held = w.began, true
		}
		if at := w.purgedAt[object]; !at.IsZero() && now.Sub(at) > settle && (!held || made.Before(at)) {
			held = false
		}
		if at := w.purgedAt[object]; !at.IsZero() && !held && now.Sub(at) <= settle {
			made, held = w.began, true
		}
		if limit, err := strconv.Atoi(c.Fields["agelim"]); held && err == nil && limit > 0 && now.Sub(made) > time.Duration(limit)*time.Millisecond {
			held = false
		}
		why := "warm"
		if !held && c.Fields["next"] != "" { // filled with a new copy of the origin
			made, held, why = now, true, "deep_fill"
			w.copies[key] = made
		}
		w.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		r.LogAt(c.At, "%s: serve %s for %s, agelim %q: held or filled %v, copy %s", c.Node.Name, c.ID, object, c.Fields["agelim"], held, tag(made))
		if !held {
			c.Answer("nothing", "rep=util:0.2;x0:0.5;x1:0.1", nil)
			return
		}
		c.Answer("ok", fields(made, why), body)
	}
	source := func(c *harness.Command) {
		now := time.Now()
		time.Sleep(20 * time.Millisecond)
		c.Answer("ok", fields(now, "fill"), body)
	}
	var members []harness.Member
	for _, x := range []struct {
		name, zone, kind string
		handle           func(*harness.Command)
	}{{"s-cache-1", "edge-1", "small-box", cache}, {"s-cache-2", "edge-1", "small-box", cache}, {"s-cache-3", "edge-1", "small-box", cache},
		{"s-parent-1", "north-hub", "parent", source}, {"s-parent-2", "delta-hub", "parent", source}, {"s-origin", "north-hub", "origin", source}} {
		n, err := r.NewNode(x.name, x.handle)
		if err != nil {
			return false, err
		}
		members = append(members, n.Member(x.zone, x.kind, "SERVING", 4))
	}
	board, err := r.NewBoard(harness.Pool(1, true, members...))
	if err != nil {
		return false, err
	}
	front, err := r.NewFront("n1")
	if err != nil {
		return false, err
	}
	if err := front.WriteConfig(harness.BaseConfig(front, board.Addr, board.Known(), harness.Settings())); err != nil {
		return false, err
	}
	if err := front.Start(); err != nil {
		return false, err
	}

	objects := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4", "00000000000000a5", "00000000000000a6"}
	type reply struct {
		harness.Reply
		object string
	}
	var replies []reply
	stop, clients := make(chan struct{}), sync.WaitGroup{}
	for i := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := harness.NewClient(front.Listen)
			defer c.Close()
			for k := i; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				object := objects[k%len(objects)]
				p := c.Do("GET", "/call/guide-video/"+object+"?seg=0", 7, 3*time.Second, nil)
				mu.Lock()
				replies = append(replies, reply{p, object})
				mu.Unlock()
				r.LogAt(p.SentAt, "client %d: GET %s id %s: %d, tag %s after %d ms, %v", i, object, p.ID, p.Status, p.Tag, p.At.Sub(p.SentAt).Milliseconds(), p.Err)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if r.Trouble {
		board.SetDelay(late)
	}
	time.Sleep(2 * time.Second)
	purged := time.Now()
	w.mu.Lock()
	w.purgedAt[objects[0]] = purged
	w.mu.Unlock()
	purgeHeld := board.Add(harness.Flush(2, objects[0], purged))
	time.Sleep(time.Second)
	draining := members[1]
	draining.Phase = "DRAINING"
	drainHeld := board.Add(harness.Pool(3, false, draining))
	time.Sleep(afterEvents)
	close(stop)
	clients.Wait()
	if front.HasEnded() {
		return false, fmt.Errorf("the front has ended")
	}

	// The purge counts as told as soon as the front asks (again) for what the board holds; here
	// its second poll after that. A request that a client sent later than the grace after it
	// was sent on later still.
	var asked []time.Time
	for _, p := range board.Polls() {
		if p.Watch < 2 && p.At.After(purgeHeld) {
			asked = append(asked, p.At)
		}
	}
	told := purgeHeld
	if len(asked) > 1 {
		told = asked[1]
	}
	r.Log("check: the board held the purge at %s; %d polls for it came; it counts as told at %s", purgeHeld.Format("15:04:05.000"), len(asked), told.Format("15:04:05.000"))
	old, served := 0, 0
	for _, p := range replies {
		if p.Status == 200 {
			served++
		}
		if p.object == objects[0] && p.Status == 200 && p.Tag == `"`+tag(w.began)+`"` && p.SentAt.After(told.Add(purgeGrace)) {
			old++
			r.Log("check: BROKEN: request %s, sent %d ms after the purge was told, got the copy from before the purge", p.ID, p.SentAt.Sub(told).Milliseconds())
		}
	}
	late := 0
	for _, at := range toSecond {
		if at.After(drainHeld.Add(toldAtLast + drainGrace)) {
			late++
		}
	}
	r.Log("check: %d requests, %d served; %d from the purged copy; beside that, %d requests to the draining cache later than 7 s and the grace after the board held its drain", len(replies), served, old, late)
	if served < 100 {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	return old > 0 || late > 0, nil
}

func main() { harness.Main(100*time.Second, test) }
