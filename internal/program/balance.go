package program

import (
	"cmp"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/resources"
	"cherryramp/internal/decide/slowclient"
	"cherryramp/internal/front/session"
	"cherryramp/internal/loop"
	"cherryramp/internal/upstream"
)

const (
	balanceEvery = 50_000    // us between looks at what is held, while anything happens
	clientsPart  = 0.45      // part of the memory limit for what the account counts
	outCap       = 0.5       // of that, for answers that wait
	inCap        = 0.25      // for requests that have come in part
	floorPart    = 0.05      // that each is left under pressure
	recordBytes  = 1500      // of an idle connection, with the collector's share
	spareFiles   = 24        // descriptors that stay free: the board, the log, what is just closing
	paceWindow   = 1_000_000 // us between two looks at a transfer
	paceCredit   = 5000      // ms for which nothing may move
	pacePart     = 0.25      // of the waiting answers, for one slow network
	paceRoom     = 4096      // prefixes whose pace is known
)

// balance keeps the account of bytes and has those give back who must.
type balance struct {
	budget *resources.Budget
	pace   *slowclient.Detector
	nodes  *upstream.Pools
	tcp    *upstream.TCP
	next   loop.Micros
	mark   resources.Level
}

// newBalance makes the account, where the operator's file has a section of it.
func newBalance(cfg *config.Config, c *config.Clients) *balance {
	if c == nil {
		return nil
	}
	all := int64(c.MemoryMB) << 20
	if all == 0 {
		all = int64(clientsPart * float64(cfg.MemoryMB) * (1 << 20))
	}
	part := func(share float64) int64 { return int64(share * float64(all)) }
	b := resources.ByteLimits{Total: all}
	b.Cap[resources.PendingOutput], b.Cap[resources.PartialRequests] = part(outCap), part(inCap)
	for p := range b.Floor {
		b.Floor[p] = part(floorPart)
	}
	return &balance{budget: resources.NewBudget(b), pace: slowclient.New(slowclient.Config{MinRate: float64(c.MinBytesPerS), Window: paceWindow,
		Credit: int64(cmp.Or(c.CreditMS, paceCredit)) * 1000, MaxPrefixBytes: part(outCap * pacePart), MaxPrefixes: paceRoom})}
}

// apply has a front's connections keep to the account.
func (b *balance) apply(s *session.Config, sockets int) {
	if b != nil {
		s.Pace, s.Memory, s.MaxDescriptors, s.SpareDescriptors = b.pace, b.budget, sockets, spareFiles
	}
}

// balance looks at what is held, now and then and only while anything happens.
func (p *program) balance() {
	b, now := p.held, p.loop.Now()
	if b == nil || now < b.next && now > b.next-2*balanceEvery {
		return
	}
	b.next = now + balanceEvery
	var held [resources.NumConsumers]int64
	files, records := b.nodes.Connections(), 0
	for _, f := range p.fronts {
		in, out, n := f.Usage()
		held[resources.PartialRequests] += in
		held[resources.PendingOutput] += out
		records += n
	}
	// The pacer counts the kernel's part too, which is most of it.
	held[resources.PendingOutput] = max(held[resources.PendingOutput], b.pace.PendingBytes())
	held[resources.ConnRecords] = int64(records) * recordBytes
	held[resources.NodeResponses] = b.tcp.BufferedBytes()
	held[resources.CachedCopies] = int64(p.gate.CachedBytes())
	give := b.budget.Observe(held)
	if mark := b.budget.Level(); mark != b.mark {
		b.mark = mark
		p.log.Warn("memory of clients and copies", "mark", mark.String(), "share", b.budget.Pressure(),
			"copies", held[resources.CachedCopies], "out", held[resources.PendingOutput], "in", held[resources.PartialRequests], "connections", records)
	}
	limit := copies(p.cfg)
	if b.mark != resources.Easy {
		limit.Bytes = min(limit.Bytes, int(held[resources.CachedCopies]-give[resources.CachedCopies]))
	}
	p.gate.SetCacheLimits(limit)
	for _, f := range p.fronts {
		others := files + records // of the other fronts too
		_, _, own := f.Usage()
		f.SetOtherDescriptors(others - own)
		if give[resources.PendingOutput]+give[resources.PartialRequests]+give[resources.ConnRecords] > 0 {
			f.Shed(give[resources.PendingOutput], give[resources.PartialRequests], int(give[resources.ConnRecords]/recordBytes))
		}
	}
}
