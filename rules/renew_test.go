package rules

import "testing"

// New settings apply to later requests: an open request keeps its class and number of attempts, a class
// of the same name keeps its estimates, and the index of a class never changes.
func TestUpdateSettings(t *testing.T) {
	read := Class{Name: "a", GiveUp: second, Aim: 100 * milli, Worth: 1}
	r, err := New(Settings{Classes: []Class{read}, Gateways: 1, MaxAttempts: 3,
		ParentKind: -1, OriginKind: -1, Tick: milli}, 1)
	if err != nil {
		t.Fatal(err)
	}
	list := Members{Full: true, List: []Member{{ID: 1, State: Ready, Weight: 1},
		{ID: 2, State: Ready, Weight: 1}}}
	gets := func(at Micros, events ...Event) (n int) {
		for _, a := range r.Step(at, events) {
			if _, ok := a.(Get); ok {
				n++
			}
		}
		return n
	}
	if gets(1, list, Request{ID: 1, Object: 7, Expires: second}) != 1 {
		t.Fatal("the first request was not sent")
	}
	r.meanWork[0] = 12345
	unsafe := read
	unsafe.Effect = Unsafe
	next := r.cfg
	next.Classes, next.MaxAttempts = []Class{read, unsafe}, 1
	if err := r.UpdateSettings(next); err != nil || r.meanWork[1] != 12345 {
		t.Fatalf("%v, mean work %v", err, r.meanWork)
	}
	wrong := next
	wrong.Classes = []Class{unsafe}
	if r.UpdateSettings(wrong) == nil || r.UpdateSettings(Settings{}) == nil {
		t.Error("settings that move a class were accepted")
	}
	fail := func(id RequestID, by ServerID) Outcome {
		return Outcome{ID: id, Server: by, Code: ServerError, Elapsed: milli}
	}
	first := r.requests[1].attempts[0].server.ID
	if gets(2, fail(1, first)) != 1 {
		t.Error("the open read was not retried")
	}
	if gets(3, Request{ID: 2, Class: 1, Object: 7, Expires: second}) != 1 ||
		gets(4, fail(2, r.requests[2].attempts[0].server.ID)) != 0 {
		t.Error("an unsafe request was retried")
	}
	if gets(5, Request{ID: 3, Object: 7, Expires: second}) != 1 ||
		gets(6, fail(3, r.requests[3].attempts[0].server.ID)) != 0 {
		t.Error("a read limited to one attempt was retried")
	}
}
