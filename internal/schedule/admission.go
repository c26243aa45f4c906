package schedule

import "time"

// Bounds of the time after which a refused caller may come back.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// maxAloneWaiting bounds the requests that wait for an idle upstream.
const maxAloneWaiting = 64

// admit decides whether a new request may wait; it returns the refusal if not.
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
	// Each account may take as many places as are left free: one account alone fills half of the
	// queue, and however many fill it, a place remains for one that has none.
	if a.waiting >= p.opts.MaxWaiting-len(p.queue) {
		return Refused{*r, ReasonQueueFull, clampRetryAfter(p.drainTime(a, a.waiting) / 2)}, false
	}
	if wait := p.minWait(a); wait > p.opts.MaxWait {
		// By then the wait is well below the longest one, so that the caller is not refused again.
		return Refused{*r, ReasonWaitTooLong, clampRetryAfter(wait - p.opts.MaxWait*3/4)}, false
	}
	return Refused{}, true
}

// servable reports whether some upstream could run the request.
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

// retryDelay returns when trying again can help; 0 if it can't.
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

// drainTime returns how long so many of an account's requests take to leave the queue at its share
// of the pool's slots, from how long calls took; 0 if not known.
func (p *Pool) drainTime(a *account, requests int) time.Duration {
	return p.estimate.queueWait(requests, p.share(a)*p.totalSlots())
}

// minWait returns the least time that the account's next request would wait. It takes the
// account to get twice its present share, as when half of the others stop.
func (p *Pool) minWait(a *account) time.Duration {
	return p.estimate.queueWait(a.waiting, min(1, 2*p.share(a))*p.totalSlots())
}

// share is the account's part of the pool among those with waiting requests.
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
