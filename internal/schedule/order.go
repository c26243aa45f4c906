package schedule

import "time"

// Order within an account: by arrival, with a head start. A program's first call has maxHeadStart,
// so that a short program does not wait behind long ones; a later call has the time that the
// program's calls have run, so that a long program, which has much to lose, is not kept from its
// end by others. Waiting requests age alike, so their order never changes while they wait, and
// none is overtaken by one that arrived more than maxHeadStart after it.
const maxHeadStart = 20 * time.Second

// rank returns the place of a request among those of its account.
func (p *Pool) rank(now time.Duration, r *Request) time.Duration {
	if p.opts.Without.Order {
		return now
	}
	return now - min(p.headStart(r), maxHeadStart)
}

// headStart returns how much earlier than it did a request counts as having arrived.
func (p *Pool) headStart(r *Request) time.Duration {
	if r.Program == "" {
		return maxHeadStart
	}
	if g, ok := p.programs.byName[r.Program]; ok {
		return g.attained
	}
	if r.Attained == 0 && r.Resident == "" {
		return maxHeadStart
	}
	// It ran elsewhere, or was forgotten here: what it had is worked out from its length.
	return p.estimate.prefillTime(max(r.Attained, r.PromptTokens))
}
