// Package schedule decides which waiting call runs when and on which upstream. It performs no I/O
// and reads no clock: the host passes in events with their times, requests a Plan, and carries it
// out.
//
// A Pool is the queue of one model or service in one zone. It counts all calls to its upstreams,
// so decisions rest on what was granted and not only on the upstreams' lagging reports. A Pool is
// not safe for concurrent use; one goroutine drives it.
//
// Requests wait in lanes: one for each upstream, for requests that are held for it, and a shared
// one. In every lane, the account with the least service comes first (fairness.go), and of its
// requests the one with the lowest rank (order.go). The time of a decision grows with the number
// of upstreams and the logarithm of the number of waiting requests, but not with the number of
// programs.
package schedule

import "time"

// call is a granted request.
type call struct {
	request   Request
	account   *account
	replica   *replica // nil if the upstream was not known
	startedAt time.Duration
	// charged is the service charged to the account; kvTokens is the reserved KV memory.
	charged  float64
	kvTokens int64
	// cachedTokens is the part of the prompt that the upstream was assumed to hold.
	cachedTokens int64
	// priorTokens is the part of the prompt that some engine has computed before.
	priorTokens int64
	// adopted means that another dispatcher granted the call.
	adopted bool
}

// Pool queues the requests of one model or service in one zone.
type Pool struct {
	opts           Options
	replicas       map[string]*replica
	sortedReplicas []*replica // by name
	accounts       map[string]*account
	programs       *programs
	estimate       estimator

	queue        map[string]*queueEntry // all waiting requests, by ID
	shared       *lane
	held         indexedHeap[*queueEntry] // by heldUntil
	deadlines    indexedHeap[*queueEntry] // by deadline
	aloneQueue   []*queueEntry            // requests that must run alone, in order of arrival
	aloneReplica *replica                 // upstream reserved for one of aloneQueue
	running      map[string]*call

	// virtualTime is the largest counter at which an account was granted a call. It never
	// decreases.
	virtualTime   float64
	backlog       indexedHeap[*account] // accounts with requests in lanes
	backlogWeight float64

	plan         Plan
	openReplicas []*replica // buffer that bestHeld reuses
	lastSweep    time.Duration
	counts       counts
}

// New returns an empty pool.
func New(opts Options) *Pool {
	opts.setDefaults()
	return &Pool{
		opts:     opts,
		replicas: map[string]*replica{},
		accounts: map[string]*account{},
		programs: newPrograms(opts.MaxPrograms),
		queue:    map[string]*queueEntry{},
		running:  map[string]*call{},
		shared:   newLane(),
		held: indexedHeap[*queueEntry]{
			less:     func(a, b *queueEntry) bool { return earlier(a.heldUntil, b.heldUntil, a, b) },
			position: func(w *queueEntry) *int { return &w.inHeld },
		},
		deadlines: indexedHeap[*queueEntry]{
			less:     func(a, b *queueEntry) bool { return earlier(a.deadline, b.deadline, a, b) },
			position: func(w *queueEntry) *int { return &w.inDeadlines },
		},
		backlog: indexedHeap[*account]{
			less:     func(a, b *account) bool { return a.before(b) },
			position: func(a *account) *int { return &a.inBacklog },
		},
	}
}

func earlier(s, t time.Duration, a, b *queueEntry) bool {
	if s != t {
		return s < t
	}
	return a.ID < b.ID
}

// Enqueue adds a request, unless it already waits or runs. An immediate refusal is part of the next
// Plan.
func (p *Pool) Enqueue(now time.Duration, r Request) {
	if p.running[r.ID] != nil || p.queue[r.ID] != nil {
		return
	}
	p.counts.enqueued++
	a := p.account(&r)
	if refused, ok := p.admit(&r, a); !ok {
		p.refuse(refused.Request, refused.Reason, refused.RetryAfter)
		return
	}
	w := &queueEntry{
		Request:  r,
		account:  a,
		queuedAt: now,
		rank:     p.rank(now, &r),
		deadline: now + p.opts.MaxWait,
		inFlow:   notQueued, inHeld: notQueued, inDeadlines: notQueued,
	}
	p.queue[r.ID] = w
	p.deadlines.add(w)
	if r.Alone {
		p.aloneQueue = append(p.aloneQueue, w)
		return
	}
	p.addWaiting(a)
	p.place(now, w)
}

// Cancel removes a waiting request.
func (p *Pool) Cancel(now time.Duration, id string) {
	w, ok := p.queue[id]
	if !ok {
		return
	}
	p.counts.cancelled++
	p.drop(w)
}

// drop removes a request from the queue.
func (p *Pool) drop(w *queueEntry) {
	delete(p.queue, w.ID)
	p.deadlines.remove(w)
	if w.Alone {
		p.dropAlone(w)
		p.releaseAloneReplica(w.ID)
		return
	}
	p.removeFromLane(w)
	p.dropWaiting(w.account)
}

// refuse adds a refusal to the plan.
func (p *Pool) refuse(r Request, reason Reason, retryAfter time.Duration) {
	p.counts.refused++
	p.plan.Refused = append(p.plan.Refused, Refused{Request: r, Reason: reason, RetryAfter: retryAfter})
}

// Adopt registers a running call that another dispatcher granted.
func (p *Pool) Adopt(now time.Duration, r Request, name string) {
	if p.running[r.ID] != nil {
		return
	}
	p.Cancel(now, r.ID)
	c := &call{request: r, account: p.account(&r), replica: p.replicas[name], startedAt: now, adopted: true}
	p.start(now, c)
}

// start registers a call that runs from now on and reserves its slot and KV memory.
func (p *Pool) start(now time.Duration, c *call) {
	p.running[c.request.ID] = c
	c.account.running++
	if c.replica == nil {
		return
	}
	c.kvTokens = p.kvNeed(c.replica, &c.request)
	c.replica.outstanding++
	c.replica.reserved += c.kvTokens
	c.replica.recentOutstanding.record(now, c.replica.outstanding)
	if c.request.Program != "" && !c.replica.removed {
		p.programs.touch(c.request.Program).setResident(c.replica, 0)
	}
	c.replica.evictPrefixes()
}

// Finish ends a granted call and frees its slot and KV memory.
func (p *Pool) Finish(now time.Duration, id string, o Outcome) {
	c, ok := p.running[id]
	if !ok {
		return
	}
	delete(p.running, id)
	c.account.running--
	p.releaseAloneReplica(id)
	p.settle(now, c, o)
	p.recordOutcome(now, c, o)
	if c.replica == nil {
		return
	}
	c.replica.recentOutstanding.advance(now, c.replica.outstanding)
	c.replica.outstanding--
	c.replica.reserved -= c.kvTokens
	p.removeIfDrained(c.replica)
}

// recordOutcome updates the estimates and the program's state after a call has ended.
func (p *Pool) recordOutcome(now time.Duration, c *call, o Outcome) {
	took := now - c.startedAt
	ran := o.ServedTokens > 0 || !c.request.usesKV()
	if ran && !o.Failed && !c.adopted {
		p.estimate.observe(took, c.request.uncachedTokens(o), c.request.answerTokens(o))
	}
	if c.request.Program == "" {
		return
	}
	g := p.programs.touch(c.request.Program)
	g.attained += took
	g.computedTokens = max(g.computedTokens, o.ServedTokens)
	if g.resident != c.replica || c.replica == nil {
		return
	}
	tokens := o.ServedTokens
	if tokens == 0 {
		tokens = c.cachedTokens
	}
	g.setResident(c.replica, tokens)
}

// Plan returns the grants and refusals to carry out now.
func (p *Pool) Plan(now time.Duration) Plan {
	p.expireWaiting(now)
	p.expireHolds(now)
	p.grantAlone(now)
	for {
		p.releaseLagging(now)
		c, ok := p.next(now)
		if !ok {
			break
		}
		p.grant(now, c.w, c.replica)
	}
	if now-p.lastSweep >= time.Second {
		p.lastSweep = now
		p.sweep()
	}
	plan := p.plan
	p.plan = Plan{}
	return plan
}

// expireWaiting refuses requests that have waited too long, or all if there is no upstream.
func (p *Pool) expireWaiting(now time.Duration) {
	replicas, _ := p.capacity()
	for w := p.deadlines.first(); w != nil; w = p.deadlines.first() {
		reason := ReasonWaitTooLong
		switch {
		case replicas == 0:
			reason = ReasonNoReplica
		case w.deadline > now:
			return
		case w.Alone:
			reason = ReasonNoneIdle
		}
		p.drop(w)
		p.refuse(w.Request, reason, clampRetryAfter(p.drainTime(w.account, w.account.waiting)))
	}
}

// grant grants a request on an upstream and charges its account.
func (p *Pool) grant(now time.Duration, w *queueEntry, s *replica) {
	p.checkGrant(w, s)
	cachedTokens, priorTokens := p.prefixOn(s, &w.Request), p.priorTokens(&w.Request)
	charged := serviceCost(w.PromptTokens-priorTokens, p.estimate.expectedAnswer(&w.Request))
	if !w.Alone {
		p.virtualTime = max(p.virtualTime, w.account.counter)
	}
	p.charge(w.account, charged)
	if w.Alone {
		// The upstream stays reserved until the call ends.
		delete(p.queue, w.ID)
		p.deadlines.remove(w)
	} else {
		p.drop(w)
	}
	c := &call{request: w.Request, account: w.account, replica: s, startedAt: now, charged: charged, cachedTokens: cachedTokens, priorTokens: priorTokens}
	p.start(now, c)
	p.counts.granted++
	p.plan.Grants = append(p.plan.Grants, Grant{Request: w.Request, Replica: s.Name})
}

// Load returns a summary of the pool's state.
func (p *Pool) Load() Load {
	replicas, slots := p.capacity()
	l := Load{Replicas: replicas, Slots: slots, Running: len(p.running), Waiting: len(p.queue)}
	if replicas == 0 {
		return l
	}
	l.PrefillNS = p.estimate.prefillPerToken().Nanoseconds()
	if l.Running >= l.Slots {
		l.WaitMS = p.estimate.queueWait(l.Waiting+1, float64(l.Slots)).Milliseconds()
	}
	return l
}
