package schedule

import "time"

// maxHeadStart bounds the head start of a request. Requests of an account are ordered by arrival
// time minus head start. A program's first call has the maximum, so that a short program does not
// wait behind long ones; a later call's head start is the total run time of the program's calls,
// so that a long program, which has much to lose, is not delayed near its end by others. Waiting
// requests age at the same rate, so their order never changes while they wait, and none is
// overtaken by one that arrived more than maxHeadStart after it.
const maxHeadStart = 20 * time.Second

// rank returns the sort key of a request among those of its account.
func (p *Pool) rank(now time.Duration, r *Request) time.Duration {
	if p.opts.Without.Order {
		return now
	}
	return now - min(p.headStart(r), maxHeadStart)
}

// headStart returns how much earlier than its actual arrival a request is ranked.
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
	// The program ran elsewhere or was evicted here: its run time is estimated from its length.
	return p.estimate.prefillTime(max(r.Attained, r.PromptTokens))
}
