package schedule

import "github.com/cockroachdb/errors"

// counts holds the request counters and the state of the invariant checks.
type counts struct {
	enqueued, granted, refused, cancelled uint64
	// violation is the first violation that checkGrant found.
	violation error
	// virtualTime is Pool.virtualTime at the last check.
	virtualTime float64
}

// checkGrant records the first grant that violates a limit. It is called before the grant is
// counted.
func (p *Pool) checkGrant(w *queueEntry, s *replica) {
	switch {
	case p.counts.violation != nil:
	case p.running[w.ID] != nil:
		p.counts.violation = errors.Newf("request %s granted twice", w.ID)
	case s.removed || s.outstanding >= s.Slots:
		p.counts.violation = errors.Newf("upstream %s granted call %d, has %d slots", s.Name, s.outstanding+1, s.Slots)
	case s.KVTokens > 0 && !p.opts.Without.KVAdmission && s.reserved+p.kvNeed(s, &w.Request) > s.KVTokens:
		p.counts.violation = errors.Newf("upstream %s granted calls of %d KV tokens, has %d", s.Name, s.reserved+p.kvNeed(s, &w.Request), s.KVTokens)
	case w.avoids(s.Name):
		p.counts.violation = errors.Newf("request %s granted on upstream %s, which it avoids", w.ID, s.Name)
	case w.Alone && s.busy() > 0:
		p.counts.violation = errors.Newf("request %s does not run alone on upstream %s", w.ID, s.Name)
	case !w.Alone && p.skipsLagging(w.account):
		p.counts.violation = errors.Newf("account %q granted a call while %q lags by %.0f of service",
			w.account.name, p.backlog.first().name, p.virtualTime-p.backlog.first().counter)
	case s.aloneRequest != "" && s.aloneRequest != w.ID:
		p.counts.violation = errors.Newf("request %s granted on upstream %s, which is reserved for %s", w.ID, s.Name, s.aloneRequest)
	}
}

// CheckInvariants returns an error for the first invariant that does not hold, nil if all do. It
// scans the whole state, so only tests and the bench call it.
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

// checkCounts verifies that every enqueued request is waiting or has ended in a grant, refusal or
// cancellation, and that the queue is within its bound.
func (p *Pool) checkCounts() error {
	ended := p.counts.granted + p.counts.refused + p.counts.cancelled
	if p.counts.enqueued != ended+uint64(len(p.queue)) {
		return errors.Newf("%d requests were enqueued, %d ended and %d wait", p.counts.enqueued, ended, len(p.queue))
	}
	if len(p.queue) > p.opts.MaxWaiting+maxAloneWaiting {
		return errors.Newf("%d requests wait, more than the queue may hold", len(p.queue))
	}
	return nil
}

// checkReplicas verifies that each upstream's counters equal the sums over its calls and prefixes.
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
			return errors.Newf("upstream %s: counters show %d calls and %d reserved tokens, its calls add up to %d and %d",
				s.Name, s.outstanding, s.reserved, calls[s], kv[s])
		}
		prefixes := int64(0)
		for e := s.programs.Front(); e != nil; e = e.Next() {
			prefixes += e.Value.(*program).tokens
		}
		if prefixes != s.residentTokens {
			return errors.Newf("upstream %s: counter shows %d prefix tokens, its programs add up to %d", s.Name, s.residentTokens, prefixes)
		}
	}
	return nil
}

// checkLanes verifies that every waiting request has a deadline and is either in one lane or in
// the queue of requests that must run alone.
func (p *Pool) checkLanes() error {
	inLanes := p.shared.waiting
	for _, s := range p.sortedReplicas {
		inLanes += s.lane.waiting
		if s.removed && s.lane.waiting > 0 {
			return errors.Newf("%d requests wait for upstream %s, which was removed", s.lane.waiting, s.Name)
		}
	}
	if inLanes+len(p.aloneQueue) != len(p.queue) {
		return errors.Newf("%d requests in lanes and %d that must run alone, but %d in the queue", inLanes, len(p.aloneQueue), len(p.queue))
	}
	for _, w := range p.queue {
		if (w.flow == nil) != w.Alone || w.inDeadlines == notQueued {
			return errors.Newf("request %s is in the wrong lane or has no deadline", w.ID)
		}
	}
	return nil
}

// skipsLagging reports whether a grant to an account skips another one that lags by more than
// maxLag and has a request that any upstream may run. The lagging account has to come first.
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

// checkFairness verifies that the accounts' counters and the virtual time never decrease, and that
// the backlog holds exactly the accounts with requests in lanes.
func (p *Pool) checkFairness() error {
	if p.virtualTime < p.counts.virtualTime {
		return errors.Newf("virtual time decreased from %g to %g", p.counts.virtualTime, p.virtualTime)
	}
	p.counts.virtualTime = p.virtualTime
	backlogged := 0
	for _, a := range p.accounts {
		if a.counter < a.checkedCounter {
			return errors.Newf("counter of account %q decreased from %g to %g", a.name, a.checkedCounter, a.counter)
		}
		a.checkedCounter = a.counter
		inLanes := 0
		for _, f := range a.flows {
			inLanes += f.requests.Len()
		}
		if inLanes != a.waiting || (a.waiting > 0) != (a.inBacklog != notQueued) {
			return errors.Newf("account %q: counter shows %d waiting requests, %d are in lanes", a.name, a.waiting, inLanes)
		}
		if a.waiting > 0 {
			backlogged++
		}
	}
	if backlogged != p.backlog.Len() {
		return errors.Newf("%d accounts have waiting requests, %d are in the backlog", backlogged, p.backlog.Len())
	}
	return nil
}
