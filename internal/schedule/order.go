package schedule

import "time"

// Order within an account: by the time that a request arrived, put off by the time that its
// program's calls have run so far. Waiting requests age alike, so the order never changes while
// they wait, and none is overtaken by one that arrived more than maxPutOff after it.
const (
	// putOffFactor is the delay for each second that the program ran.
	putOffFactor = 1.0
	maxPutOff    = 5 * time.Second
)

// rank returns the place of a request among those of its account.
func (p *Pool) rank(now time.Duration, r *Request) time.Duration {
	if p.opts.Without.Order {
		return now
	}
	return now + min(time.Duration(putOffFactor*float64(p.attained(r))), maxPutOff)
}

// attained returns how long a program's calls ran; for one that is not remembered it is worked
// out from the tokens.
func (p *Pool) attained(r *Request) time.Duration {
	if g, ok := p.programs.byName[r.Program]; ok && r.Program != "" {
		return g.attained
	}
	return p.estimate.compute(r.Attained)
}
