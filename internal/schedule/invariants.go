package schedule

import "github.com/cockroachdb/errors"

// counts say what became of the requests.
type counts struct {
	enqueued, granted, refused, cancelled uint64
	// violation is the first invariant that a grant broke.
	violation error
	// virtualTime is the virtualTime time at the last check.
	virtualTime float64
}

// checkGrant notes a grant that breaks a bound. It is called before the grant counts.
func (p *Pool) checkGrant(w *queueEntry, s *replica) {
	switch {
	case p.counts.violation != nil:
	case p.running[w.ID] != nil:
		p.counts.violation = errors.Newf("request %s is granted twice", w.ID)
	case s.removed || s.outstanding >= s.Slots:
		p.counts.violation = errors.Newf("upstream %s gets call %d of %d", s.Name, s.outstanding+1, s.Slots)
	case s.KVTokens > 0 && !p.opts.Without.KVAdmission && s.reserved+p.kvNeed(s, &w.Request) > s.KVTokens:
		p.counts.violation = errors.Newf("upstream %s gets %d tokens of KV memory, of %d", s.Name, s.reserved+p.kvNeed(s, &w.Request), s.KVTokens)
	case w.avoids(s.Name):
		p.counts.violation = errors.Newf("request %s is granted upstream %s, which it avoids", w.ID, s.Name)
	case w.Alone && s.busy() > 0:
		p.counts.violation = errors.Newf("request %s does not run alone on upstream %s", w.ID, s.Name)
	case !w.Alone && p.skipsLagging(w.account):
		p.counts.violation = errors.Newf("account %q is granted a call while %q lags by %.0f of service",
			w.account.name, p.backlog.first().name, p.virtualTime-p.backlog.first().counter)
	case s.aloneRequest != "" && s.aloneRequest != w.ID:
		p.counts.violation = errors.Newf("request %s is granted upstream %s, which is kept for %s", w.ID, s.Name, s.aloneRequest)
	}
}

// CheckInvariants returns the first invariant that does not hold, nil if all do. It looks at the
// whole state; tests and the bench call it.
func (p *Pool) CheckInvariants() error {
	checks := []func() error{p.checkCounts, p.checkReplicas, p.checkLanes, p.checkFairness}
	if p.counts.violation != nil {
		return p.counts.violation
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkCounts: every request that was enqueued waits, or ended in a grant, refusal or cancel.
func (p *Pool) checkCounts() error {
	ended := p.counts.granted + p.counts.refused + p.counts.cancelled
	if p.counts.enqueued != ended+uint64(len(p.queue)) {
		return errors.Newf("%d requests were enqueued, %d ended and %d wait", p.counts.enqueued, ended, len(p.queue))
	}
	if len(p.queue) > p.opts.MaxWaiting+maxAloneWaiting {
		return errors.Newf("%d requests wait", len(p.queue))
	}
	return nil
}

// checkReplicas: what an upstream holds is the sum of its calls.
func (p *Pool) checkReplicas() error {
	calls, kv := map[*replica]int{}, map[*replica]int64{}
	for _, c := range p.running {
		if c.replica != nil {
			calls[c.replica]++
			kv[c.replica] += c.kvTokens
		}
	}
	for _, s := range p.sortedReplicas {
		if calls[s] != s.outstanding || kv[s] != s.reserved {
			return errors.Newf("upstream %s counts %d calls and %d tokens, has %d and %d",
				s.Name, s.outstanding, s.reserved, calls[s], kv[s])
		}
		prefixes := int64(0)
		for e := s.programs.Front(); e != nil; e = e.Next() {
			prefixes += e.Value.(*program).tokens
		}
		if prefixes != s.residentTokens {
			return errors.Newf("upstream %s counts %d tokens of prefixes, has %d", s.Name, s.residentTokens, prefixes)
		}
	}
	return nil
}

// checkLanes: every waiting request is in one lane or among those that must run alone.
func (p *Pool) checkLanes() error {
	inLanes := p.shared.waiting
	for _, s := range p.sortedReplicas {
		inLanes += s.lane.waiting
		if s.removed && s.lane.waiting > 0 {
			return errors.Newf("%d requests wait for upstream %s, which left", s.lane.waiting, s.Name)
		}
	}
	if inLanes+len(p.aloneQueue) != len(p.queue) {
		return errors.Newf("%d requests in lanes and %d alone, %d in the queue", inLanes, len(p.aloneQueue), len(p.queue))
	}
	for _, w := range p.queue {
		if (w.flow == nil) != w.Alone || w.inDeadlines == notQueued {
			return errors.Newf("request %s is in no lane or has no deadline", w.ID)
		}
	}
	return nil
}

// skipsLagging reports whether a grant to an account passes over one that lags by more than maxLag
// and has a request that any upstream may run. That one has to come first.
func (p *Pool) skipsLagging(granted *account) bool {
	first := p.backlog.first()
	if first == nil || first == granted || p.virtualTime-first.counter <= maxLag {
		return false
	}
	for _, f := range first.flows {
		if f.lane == p.shared {
			return true
		}
		for _, w := range f.requests.items {
			if !w.pinned && !p.restricted(&w.Request) {
				return true
			}
		}
	}
	return false
}

// checkFairness: the counters of accounts and the virtual time never fall, and those that have
// requests in lanes are the backlog.
func (p *Pool) checkFairness() error {
	if p.virtualTime < p.counts.virtualTime {
		return errors.Newf("the virtual time fell from %g to %g", p.counts.virtualTime, p.virtualTime)
	}
	p.counts.virtualTime = p.virtualTime
	backlogged := 0
	for _, a := range p.accounts {
		if a.counter < a.checkedCounter {
			return errors.Newf("the counter of account %q fell from %g to %g", a.name, a.checkedCounter, a.counter)
		}
		a.checkedCounter = a.counter
		inLanes := 0
		for _, f := range a.flows {
			inLanes += f.requests.Len()
		}
		if inLanes != a.waiting || (a.waiting > 0) != (a.inBacklog != notQueued) {
			return errors.Newf("account %q counts %d requests, has %d in lanes", a.name, a.waiting, inLanes)
		}
		if a.waiting > 0 {
			backlogged++
		}
	}
	if backlogged != p.backlog.Len() {
		return errors.Newf("%d accounts have requests, %d are in the backlog", backlogged, p.backlog.Len())
	}
	return nil
}
