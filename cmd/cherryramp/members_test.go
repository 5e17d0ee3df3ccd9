package main_test

import (
	"fmt"
	"testing"

	"cherryramp/internal/ephemeral/zookeepertest"
)

// Members come from ephemeral nodes in place of the board's list: a box serves
// once its node is there, and gets nothing more once the node has vanished.
func TestMembersFromEphemeralNodes(t *testing.T) {
	k := zookeepertest.New(t)
	s := newSite(t, 2, fmt.Sprintf(`{"ephemeral":{"servers":["%s"],"path":"%s"}}`, k.Addr(), zookeepertest.Root))
	add := func(name, place, kind string, n *node) {
		k.Set(name, fmt.Sprintf(`{"host_port":"%s","locality":"%s","flavor":"%s","phase":"SERVING","size":100}`,
			n.ln.Addr(), place, kind))
	}
	add("s-parent", "hub", "parent", s.parent)
	add("s-0", "edge-1", "box", s.boxes[0])
	s.log.await(t, "members=2")
	c := dial(t, s.addr)
	c.send(get("guide-video", "9f3a", 2000))
	x := s.boxes[0].next(t)
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, body := c.answer("GET"); r.StatusCode != 200 || body != object(x) {
		t.Errorf("got %d", r.StatusCode)
	}
	add("s-1", "edge-1", "box", s.boxes[1])
	s.log.await(t, "members=3")
	k.Set("s-0", "")
	s.log.await(t, "state=gone")
	s.boxes[1].serveAll()
	for i := range 10 {
		c.send(get("guide-video", fmt.Sprint("o", i), 2000))
		if r, _ := c.answer("GET"); r.StatusCode != 200 {
			t.Errorf("object %d: got %d", i, r.StatusCode)
		}
	}
	if len(s.boxes[0].came) > 0 {
		t.Error("a vanished box got a request")
	}
}
