package upstream

import (
	"errors"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

// maxConnectTime bounds a connect to a server that is slow to accept. It suffices for a lost
// SYN, which is sent again after a second.
const maxConnectTime = 2_000_000 // us

var errConnectTimeout = errors.New("upstream: connect timed out")

// dial is a connect to a server. After Config.ConnectTimeout it counts as failed, and the
// attempts that waited for it are ended. One dial of a pool goes on nevertheless, so that
// later attempts find its connection: to a server whose connects always take longer, no
// connection would come up otherwise.
type dial struct {
	pool      *serverPool
	conn      *conn
	addr      string
	startedAt gateway.Micros
	timer     *loop.Deadline // of ConnectTimeout, if it may take longer
	late      bool           // ConnectTimeout has passed
}

// dial opens another connection.
func (pool *serverPool) dial() {
	p := pool.pools
	pool.dialing++
	p.numConns++
	c := &conn{pool: pool, open: map[string]*gateway.Attempt{}, ended: map[string]endedID{}}
	d := &dial{pool: pool, conn: c, addr: pool.addr, startedAt: pool.startedAt}
	timeoutAt := p.loop.Now() + p.cfg.ConnectTimeout
	deadline := timeoutAt
	if pool.longDial == nil {
		pool.longDial = d
		deadline = max(deadline, p.loop.Now()+maxConnectTime)
		d.timer = p.loop.At(timeoutAt, d.timedOut)
	}
	p.network.Dial(d.addr, max(p.cfg.InputBuffer, minInputAnswers*MaxAnswerBytes), c, deadline, d.ended)
}

// timedOut handles a dial that takes longer than ConnectTimeout.
func (d *dial) timedOut() {
	d.late = true
	d.pool.dialing--
	d.pool.connectFailed(errConnectTimeout)
	d.pool.dispatch()
}

// ended handles the end of a dial.
func (d *dial) ended(tc Conn, err error) {
	pool := d.pool
	pool.pools.loop.Stop(d.timer)
	if pool.longDial == d {
		pool.longDial = nil
	}
	if !d.late {
		pool.dialing--
	}
	if err != nil {
		pool.pools.numConns--
	}
	switch {
	case err == nil:
		pool.connected(d, tc)
	case d.late: // it has counted as failed
		return
	case transport.IsResourceShortage(err):
		pool.redialLater(err)
		return
	default:
		pool.shortages = 0
		pool.connectFailed(err)
	}
	pool.dispatch()
}

// connected adds a connection. It is drained if the server has been replaced meanwhile, or
// if it comes late and others fill the pool.
func (pool *serverPool) connected(d *dial, tc Conn) {
	pool.shortages, pool.dialFailed = 0, false
	c := d.conn
	c.tc = tc
	c.draining = pool.removed || d.addr != pool.addr || d.startedAt != pool.startedAt || d.late && !pool.canOpen()
	pool.conns = append(pool.conns, c)
	c.closeOrIdle()
}

// connectFailed ends the waiting attempts if no connection is left or under way for them.
func (pool *serverPool) connectFailed(err error) {
	pool.dialFailed = true
	if pool.dialing == 0 {
		pool.pools.log.Warn("connect failed", "server", pool.name, "error", err)
		pool.failWaiting()
	}
}
