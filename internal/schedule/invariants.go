package schedule

import "github.com/cockroachdb/errors"

// counts say what became of the requests.
type counts struct {
	enqueued, granted, refused, cancelled uint64
	// violation is the first invariant that a grant broke.
	violation error
	// virtual is the virtual time at the last check.
	virtual float64
}

// checkGrant notes a grant that breaks a bound. It is called before the grant counts.
func (p *Pool) checkGrant(w *waiting, s *replica) {
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
	case !w.Alone && p.passesOver(w.account):
		p.counts.violation = errors.Newf("account %q is granted a call while %q lags by %.0f of service",
			w.account.name, p.backlog.first().name, p.virtual-p.backlog.first().counter)
	case s.alone != "" && s.alone != w.ID:
		p.counts.violation = errors.Newf("request %s is granted upstream %s, which is kept for %s", w.ID, s.Name, s.alone)
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
		if c.on != nil {
			calls[c.on]++
			kv[c.on] += c.kv
		}
	}
	for _, s := range p.order {
		if calls[s] != s.outstanding || kv[s] != s.reserved {
			return errors.Newf("upstream %s counts %d calls and %d tokens, has %d and %d",
				s.Name, s.outstanding, s.reserved, calls[s], kv[s])
		}
		prefixes := int64(0)
		for e := s.programs.Front(); e != nil; e = e.Next() {
			prefixes += e.Value.(*program).tokens
		}
		if prefixes != s.prefixTokens {
			return errors.Newf("upstream %s counts %d tokens of prefixes, has %d", s.Name, s.prefixTokens, prefixes)
		}
	}
	return nil
}

// checkLanes: every waiting request is in one lane or among those that must run alone.
func (p *Pool) checkLanes() error {
	inLanes := p.shared.waiting
	for _, s := range p.order {
		inLanes += s.lane.waiting
		if s.removed && s.lane.waiting > 0 {
			return errors.Newf("%d requests wait for upstream %s, which left", s.lane.waiting, s.Name)
		}
	}
	if inLanes+len(p.alone) != len(p.queue) {
		return errors.Newf("%d requests in lanes and %d alone, %d in the queue", inLanes, len(p.alone), len(p.queue))
	}
	for _, w := range p.queue {
		if (w.flow == nil) != w.Alone || w.inDeadlines == notQueued {
			return errors.Newf("request %s is in no lane or has no deadline", w.ID)
		}
	}
	return nil
}

// passesOver reports whether a grant to an account passes over one that lags by more than maxLag
// and has a request that any upstream may run. That one has to come first.
func (p *Pool) passesOver(granted *account) bool {
	first := p.backlog.first()
	if first == nil || first == granted || p.virtual-first.counter <= maxLag {
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
	if p.virtual < p.counts.virtual {
		return errors.Newf("the virtual time fell from %g to %g", p.counts.virtual, p.virtual)
	}
	p.counts.virtual = p.virtual
	backlogged := 0
	for _, a := range p.accounts {
		if a.counter < a.checked {
			return errors.Newf("the counter of account %q fell from %g to %g", a.name, a.checked, a.counter)
		}
		a.checked = a.counter
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
