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
	memoryCheckInterval = 50_000    // us between checks of memory in use, while there is activity
	clientMemoryShare   = 0.45      // share of the memory limit for everything that the budget covers
	outputCapShare      = 0.5       // share of the budget for pending output
	inputCapShare       = 0.25      // share of the budget for partly received requests
	floorShare          = 0.05      // share of the budget that each consumer keeps under pressure
	connRecordBytes     = 1500      // memory of an idle connection, with the garbage collector's overhead
	spareDescriptors    = 24        // descriptors kept free for the notice board, the log and sockets that are closing
	rateWindow          = 1_000_000 // us between two checks of a transfer
	rateCreditMS        = 5000      // ms that a transfer may stand still
	prefixShare         = 0.25      // share of pending output that one slow client prefix may hold
	maxRatePrefixes     = 4096      // prefixes whose transfer rate is tracked
)

// memoryBalancer tracks the bytes held for clients and nodes and makes consumers release
// memory when the budget is exceeded.
type memoryBalancer struct {
	budget    *resources.Budget
	detector  *slowclient.Detector
	pools     *upstream.Pools
	tcp       *upstream.TCP
	nextCheck loop.Micros
	level     resources.Level
}

// newMemoryBalancer returns a balancer, or nil if the operator's file has no section clients.
func newMemoryBalancer(cfg *config.Config, c *config.Clients) *memoryBalancer {
	if c == nil {
		return nil
	}
	total := int64(c.MemoryMB) << 20
	if total == 0 {
		total = int64(clientMemoryShare * float64(cfg.MemoryMB) * (1 << 20))
	}
	shareOf := func(share float64) int64 { return int64(share * float64(total)) }
	limits := resources.ByteLimits{Total: total}
	limits.Cap[resources.PendingOutput], limits.Cap[resources.PartialRequests] = shareOf(outputCapShare), shareOf(inputCapShare)
	for consumer := range limits.Floor {
		limits.Floor[consumer] = shareOf(floorShare)
	}
	return &memoryBalancer{budget: resources.NewBudget(limits), detector: slowclient.New(slowclient.Config{MinRate: float64(c.MinBytesPerS), Window: rateWindow,
		Credit: int64(cmp.Or(c.CreditMS, rateCreditMS)) * 1000, MaxPrefixBytes: shareOf(outputCapShare * prefixShare), MaxPrefixes: maxRatePrefixes})}
}

// apply adds the budget and the slow client detector to a front's session configuration.
func (b *memoryBalancer) apply(sessionConfig *session.Config, descriptors int) {
	if b != nil {
		sessionConfig.Pace, sessionConfig.Memory, sessionConfig.MaxDescriptors, sessionConfig.SpareDescriptors = b.detector, b.budget, descriptors, spareDescriptors
	}
}

// balanceMemory checks the memory in use every memoryCheckInterval, while there is activity,
// and makes consumers release what exceeds the budget.
func (p *program) balanceMemory() {
	b, now := p.memory, p.loop.Now()
	if b == nil || now < b.nextCheck && now > b.nextCheck-2*memoryCheckInterval {
		return
	}
	b.nextCheck = now + memoryCheckInterval
	var held [resources.NumConsumers]int64
	nodeConns, clientConns := b.pools.Connections(), 0
	for _, f := range p.fronts {
		partial, pending, conns := f.Usage()
		held[resources.PartialRequests] += partial
		held[resources.PendingOutput] += pending
		clientConns += conns
	}
	// The detector also counts bytes in the kernel's buffers, which are most of them.
	held[resources.PendingOutput] = max(held[resources.PendingOutput], b.detector.PendingBytes())
	held[resources.ConnRecords] = int64(clientConns) * connRecordBytes
	held[resources.NodeResponses] = b.tcp.BufferedBytes()
	held[resources.CachedCopies] = int64(p.gate.CachedBytes())
	release := b.budget.Observe(held)
	if level := b.budget.Level(); level != b.level {
		b.level = level
		p.log.Warn("memory of clients and copies", "mark", level.String(), "share", b.budget.Pressure(),
			"copies", held[resources.CachedCopies], "out", held[resources.PendingOutput], "in", held[resources.PartialRequests], "connections", clientConns)
	}
	limit := localCacheLimits(p.cfg)
	if b.level != resources.Easy {
		limit.Bytes = min(limit.Bytes, int(held[resources.CachedCopies]-release[resources.CachedCopies]))
	}
	p.gate.SetCacheLimits(limit)
	for _, f := range p.fronts {
		descriptors := nodeConns + clientConns // of all fronts
		_, _, own := f.Usage()
		f.SetOtherDescriptors(descriptors - own)
		if release[resources.PendingOutput]+release[resources.PartialRequests]+release[resources.ConnRecords] > 0 {
			f.Shed(release[resources.PendingOutput], release[resources.PartialRequests], int(release[resources.ConnRecords]/connRecordBytes))
		}
	}
}

// yieldStep is the change of the memory that requests and answers hold from which the local cache
// follows it.
const yieldStep = 64 << 10

// yieldCache gives the local cache's memory to requests and answers while they need it. With a section
// clients balanceMemory does so.
func (p *program) yieldCache() {
	held := int(p.requestMemory.Held() + p.answerMemory.Held())
	if change := held - p.yieldedCache; p.memory != nil || max(change, -change) < yieldStep {
		return
	}
	p.yieldedCache = held
	limit := localCacheLimits(p.cfg)
	limit.Bytes = max(0, limit.Bytes-held)
	p.gate.SetCacheLimits(limit)
}
