package main_test

import (
	"fmt"
	"testing"

	"cherryramp/internal/ephemeral/zookeepertest"
)

// Members come from ephemeral nodes instead of the notice board: a box gets requests once its node
// exists, and none once the node is gone.
func TestMembersFromEphemeralNodes(t *testing.T) {
	zookeeper := zookeepertest.New(t)
	s := newSite(t, 2, fmt.Sprintf(`{"ephemeral":{"servers":["%s"],"path":"%s"}}`, zookeeper.Addr(), zookeepertest.Root))
	add := func(name, place, kind string, n *node) {
		zookeeper.Set(name, fmt.Sprintf(`{"host_port":"%s","locality":"%s","flavor":"%s","phase":"SERVING","size":100}`,
			n.ln.Addr(), place, kind))
	}
	add("s-parent", "hub", "parent", s.parent)
	add("s-0", "edge-1", "box", s.boxes[0])
	s.log.await(t, "members=2")
	c := dial(t, s.addr)
	c.send(getRequest("guide-video", "9f3a", 2000))
	cmd := s.boxes[0].nextCommand(t)
	cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
	if r, body := c.readResponse("GET"); r.StatusCode != 200 || body != objectBody(cmd) {
		t.Errorf("got %d", r.StatusCode)
	}
	add("s-1", "edge-1", "box", s.boxes[1])
	s.log.await(t, "members=3")
	zookeeper.Set("s-0", "")
	s.log.await(t, "state=gone")
	s.boxes[1].serveAll()
	for i := range 10 {
		c.send(getRequest("guide-video", fmt.Sprint("o", i), 2000))
		if r, _ := c.readResponse("GET"); r.StatusCode != 200 {
			t.Errorf("object %d: got %d", i, r.StatusCode)
		}
	}
	if len(s.boxes[0].commands) > 0 {
		t.Error("a removed box got a request")
	}
}
