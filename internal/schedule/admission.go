package schedule

import "time"

// Bounds of the retry delay in a refusal.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// maxAloneWaiting bounds the queue of requests that must run alone on an upstream.
const maxAloneWaiting = 64

// admit reports whether a new request may be queued; if not, it also returns the refusal.
func (p *Pool) admit(r *Request, a *account) (Refused, bool) {
	if reason, ok := p.servable(r); !ok {
		return Refused{*r, reason, retryDelay(reason)}, false
	}
	if r.Alone {
		if len(p.aloneQueue) >= maxAloneWaiting {
			return Refused{*r, ReasonQueueFull, maxRetryAfter}, false
		}
		return Refused{}, true
	}
	// An account may hold as many queue places as are free: a single account fills at most half of
	// the queue, and however many accounts fill it, a place remains for one that has none.
	if a.waiting >= p.opts.MaxWaiting-len(p.queue) {
		return Refused{*r, ReasonQueueFull, clampRetryAfter(p.drainTime(a, a.waiting) / 2)}, false
	}
	if wait := p.minWait(a); wait > p.opts.MaxWait {
		// After this delay the wait is down to 3/4 of MaxWait, so that the retry is not refused again.
		return Refused{*r, ReasonWaitTooLong, clampRetryAfter(wait - p.opts.MaxWait*3/4)}, false
	}
	return Refused{}, true
}

// servable reports whether any upstream of the pool could run the request; if none can, it
// returns the reason.
func (p *Pool) servable(r *Request) (Reason, bool) {
	present, allowed := false, false
	for _, s := range p.sortedReplicas {
		if s.removed || s.Slots == 0 {
			continue
		}
		present = true
		if r.avoids(s.Name) {
			continue
		}
		allowed = true
		if s.canHold(r) {
			return "", true
		}
	}
	switch {
	case !present:
		return ReasonNoReplica, false
	case !allowed:
		return ReasonAllAvoided, false
	default:
		return ReasonTooLarge, false
	}
}

// retryDelay returns the delay after which a retry may succeed; 0 if no retry can.
func retryDelay(reason Reason) time.Duration {
	if reason == ReasonTooLarge {
		return 0
	}
	return time.Second
}

func (r *Request) avoids(name string) bool {
	for _, avoided := range r.Avoid {
		if avoided == name {
			return true
		}
	}
	return false
}

// drainTime estimates, from the durations of past calls, how long the given number of an
// account's requests take to leave the queue at the account's share of the pool's slots; 0 if
// not known.
func (p *Pool) drainTime(a *account, requests int) time.Duration {
	return p.estimate.queueWait(requests, p.share(a)*p.totalSlots())
}

// minWait returns a lower bound on the wait of the account's next request. It assumes that the
// account gets twice its present share, as when half of the others stop.
func (p *Pool) minWait(a *account) time.Duration {
	return p.estimate.queueWait(a.waiting, min(1, 2*p.share(a))*p.totalSlots())
}

// share returns the account's fraction of the pool among the accounts with waiting requests.
func (p *Pool) share(a *account) float64 {
	total := p.backlogWeight
	if a.waiting == 0 {
		total += a.weight
	}
	return a.weight / total
}

func (p *Pool) totalSlots() float64 {
	_, slots := p.capacity()
	return float64(slots)
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
