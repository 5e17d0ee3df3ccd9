package signed

import (
	"slices"

	"cherryramp/internal/decide/abuse"
	"cherryramp/internal/decide/fairqueue"
	"cherryramp/internal/decide/grants"
	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
)

const (
	// suspectThreshold is the number of recent forged signatures from which a prefix is
	// suspect, and its signatures are checked last.
	suspectThreshold = 3
	// queueRetryAfter is the Retry-After of requests refused because the queue is full.
	queueRetryAfter gateway.Micros = 1_000_000
)

// pendingCheck is a signature whose check is queued or running, with the requests that wait
// for it.
type pendingCheck struct {
	*grants.PendingSignature
	profileSet *grants.ProfileSet
	requests   []*request
	job        *fairqueue.Job
	running    bool // a worker is checking it
}

// task is other queued work: making the next token of a chain.
type task struct {
	run  func()
	done func(dropped bool)
}

// awaitCheck queues the check of a request's signature. Requests with the same signature
// share one check. It gives a refusal where the queue has no room.
func (f *Front) awaitCheck(req *request, signature *grants.PendingSignature) *httpwire.Response {
	p := f.checks[signature]
	if p == nil {
		p = &pendingCheck{PendingSignature: signature, profileSet: f.policy.ProfileSet}
		prefix := abuse.Prefix(req.grantRequest.Peer)
		p.job = &fairqueue.Job{Tenant: signature.Tenant(), Prefix: prefix,
			Suspect: f.suspects.Count(prefix, f.now()) >= suspectThreshold || f.shared != nil && f.shared.Suspect(prefix), Value: p}
		f.checks[signature] = p
		if evicted := f.queue.Push(p.job); evicted == p.job {
			f.forget(p)
			return f.refuse(req, 503, "too many signatures to check", queueRetryAfter)
		} else if evicted != nil {
			f.drop(evicted)
		}
	}
	req.check = p
	p.requests = append(p.requests, req)
	f.dispatch()
	return nil
}

// drop ends a job that the queue evicted for another.
func (f *Front) drop(j *fairqueue.Job) {
	switch x := j.Value.(type) {
	case *pendingCheck:
		f.forget(x)
		for _, req := range x.requests {
			req.check = nil
			req.exchange.Reply(f.refuse(req, 503, "too many signatures to check", queueRetryAfter))
		}
	case *task:
		x.done(true)
	}
}

// forget discards a check that will not run.
func (f *Front) forget(p *pendingCheck) {
	delete(f.checks, p.PendingSignature)
	p.profileSet.Discard(p.PendingSignature)
}

// dispatch starts queued jobs on free workers, in the queue's order.
func (f *Front) dispatch() {
	for f.pool.Free() > 0 {
		j := f.queue.Pop()
		if j == nil {
			return
		}
		switch x := j.Value.(type) {
		case *pendingCheck:
			x.running = true
			good := false
			f.pool.Do(func() { good = x.Verify() }, func() {
				f.finishCheck(x, good)
				f.dispatch()
			})
		case *task:
			f.pool.Do(x.run, func() {
				x.done(false)
				f.dispatch()
			})
		}
	}
}

// finishCheck records the result of a check and continues the requests that waited for
// it.
func (f *Front) finishCheck(p *pendingCheck, valid bool) {
	delete(f.checks, p.PendingSignature)
	now := f.now()
	p.profileSet.Resolve(p.PendingSignature, valid, f.wall())
	if !valid {
		f.suspects.Add(p.job.Prefix, now)
		if f.shared != nil {
			f.shared.Forged(p.job.Prefix)
		}
	}
	for _, req := range p.requests {
		req.check = nil
		if now >= req.call.Deadline {
			req.exchange.Reply(f.withCommonHeaders(req, &httpwire.Response{Status: 504}))
			continue
		}
		if call, answer := f.resolve(p, req, valid); answer != nil {
			req.exchange.Reply(answer)
		} else if call != nil {
			req.exchange.Submit(call)
		}
	}
}

// resolve admits or refuses a request whose check has ended. If the policy was reloaded
// meanwhile, the request is authorized again with the current keys. The result is passed
// in, since a profile set whose memory is full may have dropped it already.
func (f *Front) resolve(p *pendingCheck, req *request, valid bool) (*gateway.Call, *httpwire.Response) {
	if p.profileSet != f.policy.ProfileSet {
		return f.authorize(req)
	}
	if !valid {
		return nil, f.refuse(req, 403, string(grants.SignatureMismatch), 0)
	}
	return f.admit(req)
}

// abandonCheck removes a request from those that wait for its check; a queued check
// without requests is cancelled.
func (f *Front) abandonCheck(req *request) {
	p := req.check
	if p == nil {
		return
	}
	req.check = nil
	if i := slices.Index(p.requests, req); i >= 0 {
		p.requests = slices.Delete(p.requests, i, i+1)
	}
	if len(p.requests) == 0 && !p.running {
		f.queue.Remove(p.job)
		f.forget(p)
	}
}
