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
	// suspectFrom is from how many forged signatures of late a prefix is suspect.
	suspectFrom = 3
	// queueAway is how long those stay away who found the queue full.
	queueAway gateway.Micros = 1_000_000
)

// proof is a signature that waits for the pool, with all who wait for it.
type proof struct {
	*grants.PendingSignature
	set    *grants.ProfileSet
	visits []*visit
	job    *fairqueue.Job
	out    bool // at a worker
}

// task is other work that takes its turn: the next token of a chain.
type task struct {
	work func()
	done func(dropped bool)
}

// wait has a visit wait until its signature is checked. Several who came with
// the same one wait for one check.
func (f *Front) wait(v *visit, g *grants.PendingSignature) *httpwire.Response {
	p := f.proofs[g]
	if p == nil {
		p = &proof{PendingSignature: g, set: f.policy.Set}
		prefix := abuse.Prefix(v.asked.Peer)
		p.job = &fairqueue.Job{Tenant: g.Tenant(), Prefix: prefix,
			Suspect: f.suspects.Count(prefix, f.now()) >= suspectFrom || f.shared != nil && f.shared.Suspect(prefix), Value: p}
		f.proofs[g] = p
		if out := f.turns.Push(p.job); out == p.job {
			f.forget(p)
			return f.refuse(v, 503, "too many signatures to check", queueAway)
		} else if out != nil {
			f.drop(out)
		}
	}
	v.proof = p
	p.visits = append(p.visits, v)
	f.next()
	return nil
}

// drop ends a job that had to make room.
func (f *Front) drop(j *fairqueue.Job) {
	switch x := j.Value.(type) {
	case *proof:
		f.forget(x)
		for _, v := range x.visits {
			v.proof = nil
			v.x.Reply(f.refuse(v, 503, "too many signatures to check", queueAway))
		}
	case *task:
		x.done(true)
	}
}

func (f *Front) forget(p *proof) {
	delete(f.proofs, p.PendingSignature)
	p.set.Discard(p.PendingSignature)
}

// next gives free workers their work, in turn.
func (f *Front) next() {
	for f.pool.Free() > 0 {
		j := f.turns.Pop()
		if j == nil {
			return
		}
		switch x := j.Value.(type) {
		case *proof:
			x.out = true
			good := false
			f.pool.Do(func() { good = x.Verify() }, func() {
				f.checked(x, good)
				f.next()
			})
		case *task:
			f.pool.Do(x.work, func() {
				x.done(false)
				f.next()
			})
		}
	}
}

// checked goes on with those who waited. Where the policy was changed meanwhile
// they are judged anew, by the keys of now.
func (f *Front) checked(p *proof, good bool) {
	delete(f.proofs, p.PendingSignature)
	now := f.now()
	p.set.Resolve(p.PendingSignature, good, f.wall())
	if !good {
		f.suspects.Add(p.job.Prefix, now)
		if f.shared != nil {
			f.shared.Forged(p.job.Prefix)
		}
	}
	for _, v := range p.visits {
		v.proof = nil
		if now >= v.call.Deadline {
			v.x.Reply(f.worded(v, &httpwire.Response{Status: 504}))
			continue
		}
		if call, answer := f.settled(p, v, good); answer != nil {
			v.x.Reply(answer)
		} else if call != nil {
			v.x.Submit(call)
		}
	}
}

// settled gives the verdict on one who waited. The set may have forgotten what
// was found, with its memory full; a forged signature is forged all the same.
func (f *Front) settled(p *proof, v *visit, good bool) (*gateway.Call, *httpwire.Response) {
	if p.set != f.policy.Set {
		return f.judge(v)
	}
	if !good {
		return nil, f.refuse(v, 403, string(grants.SignatureMismatch), 0)
	}
	return f.admit(v)
}

// leave takes a visit from those who wait; a signature that nobody waits for is
// not checked.
func (f *Front) leave(v *visit) {
	p := v.proof
	if p == nil {
		return
	}
	v.proof = nil
	if i := slices.Index(p.visits, v); i >= 0 {
		p.visits = slices.Delete(p.visits, i, i+1)
	}
	if len(p.visits) == 0 && !p.out {
		f.turns.Remove(p.job)
		f.forget(p)
	}
}
