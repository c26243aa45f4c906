package schedule

import "time"

// prefixWaitFactor is how many times the cost of recomputing its prefix a request waits for the
// upstream that holds it, while another upstream has a free slot that no other request needs.
const prefixWaitFactor = 4

// restrictedHold is how long a request that avoids upstreams, or for which no upstream has enough
// free KV memory, is held for one upstream before it is placed again.
const restrictedHold = time.Second

// place adds a request to the lane in which it waits, or refuses it.
func (p *Pool) place(now time.Duration, w *queueEntry) {
	if reason, ok := p.servable(&w.Request); !ok {
		p.drop(w)
		p.refuse(w.Request, reason, retryDelay(reason))
		return
	}
	if p.restricted(&w.Request) {
		p.hold(w, p.leastLoaded(&w.Request), now+restrictedHold)
		return
	}
	if holder, _ := p.prefix(&w.Request); holder != nil && holder.canHold(&w.Request) {
		holder.lane.add(w)
		return
	}
	p.shared.add(w)
}

// restricted reports whether a request avoids an upstream of the pool.
func (p *Pool) restricted(r *Request) bool {
	for _, name := range r.Avoid {
		if s, ok := p.replicas[name]; ok && !s.removed {
			return true
		}
	}
	return false
}

// hold adds a request to the lane of one upstream until the given time.
func (p *Pool) hold(w *queueEntry, s *replica, until time.Duration) {
	w.heldUntil = until
	p.held.add(w)
	s.lane.add(w)
}

// removeFromLane removes a request from its lane.
func (p *Pool) removeFromLane(w *queueEntry) {
	p.held.remove(w)
	if w.flow != nil {
		w.flow.lane.remove(w)
	}
}

// expireHolds places requests again whose hold has ended.
func (p *Pool) expireHolds(now time.Duration) {
	for w := p.held.first(); w != nil && w.heldUntil <= now; w = p.held.first() {
		p.endHold(now, w)
	}
}

func (p *Pool) endHold(now time.Duration, w *queueEntry) {
	p.removeFromLane(w)
	w.pinned = false
	if p.restricted(&w.Request) {
		p.place(now, w)
		return
	}
	p.shared.add(w)
}

// releaseLagging ends the holds of accounts that fell too far behind the virtual time, so that the
// affinity of its requests costs no account more than maxLag of service.
func (p *Pool) releaseLagging(now time.Duration) {
	a := p.backlog.first()
	if a == nil || p.virtualTime-a.counter <= maxLag {
		return
	}
	for _, f := range append([]*flow(nil), a.flows...) {
		if f.lane != p.shared {
			p.releaseFlow(now, f)
		}
	}
}

// releaseFlow moves those requests of a flow to the shared lane that need no particular upstream.
func (p *Pool) releaseFlow(now time.Duration, f *flow) {
	for _, w := range append([]*queueEntry(nil), f.requests.items...) {
		if !p.restricted(&w.Request) && !w.pinned {
			p.endHold(now, w)
		}
	}
}

// candidate is a request and the upstream that it can run on now.
type candidate struct {
	w       *queueEntry
	replica *replica
}

// next returns the request to grant next and its upstream; false if no request can run now.
func (p *Pool) next(now time.Duration) (candidate, bool) {
	for {
		best, open := p.bestHeld()
		w := p.shared.first()
		if w == nil && best.w == nil {
			return p.abandonPrefix(open)
		}
		if w == nil || best.w != nil && best.w.precedes(w) {
			return best, true
		}
		if on := p.selectReplica(w, open); on != nil {
			return candidate{w, on}, true
		}
		if len(open) == 0 {
			return best, best.w != nil
		}
		p.pin(now, w)
	}
}

// pin holds a request that fits on no upstream with a free slot for the upstream with the most free
// KV memory. That upstream takes no later requests until this one fits; the others continue.
func (p *Pool) pin(now time.Duration, w *queueEntry) {
	p.removeFromLane(w)
	s := p.pickReplica(&w.Request, func(a, b *replica) bool { return a.kvFree() > b.kvFree() })
	if s == nil {
		p.drop(w)
		p.refuse(w.Request, ReasonTooLarge, 0)
		return
	}
	w.pinned = true
	p.hold(w, s, now+restrictedHold)
}

// bestHeld returns the first request that can run now on the upstream that it is held for, and the
// upstreams that may take requests from the shared lane.
func (p *Pool) bestHeld() (best candidate, open []*replica) {
	open = p.openReplicas[:0]
	shared := p.shared.first()
	for _, s := range p.sortedReplicas {
		if !s.free() {
			continue
		}
		w := s.lane.first()
		if w == nil {
			open = append(open, s)
			continue
		}
		fits := p.fits(s, &w.Request)
		if fits && (best.w == nil || w.precedes(best.w)) {
			best = candidate{w, s}
		}
		// An upstream whose own first request precedes the first shared one is reserved for it.
		if fits || shared != nil && shared.precedes(w) {
			open = append(open, s)
		}
	}
	p.openReplicas = open
	return best, open
}

// abandonPrefix returns a request that runs sooner on an upstream with a free slot that no other
// request needs than on the one that holds its prefix, although the prefix has to be recomputed.
func (p *Pool) abandonPrefix(open []*replica) (candidate, bool) {
	if len(open) == 0 || p.opts.Without.GiveUp {
		return candidate{}, false
	}
	for _, s := range p.sortedReplicas {
		w := s.lane.first()
		if w == nil || w.pinned || p.restricted(&w.Request) || s.free() {
			continue
		}
		wait := p.estimate.queueWait(s.lane.waiting, float64(s.Slots))
		if wait <= prefixWaitFactor*p.estimate.prefillTime(p.prefixOn(s, &w.Request)) {
			continue
		}
		if on := p.selectReplica(w, open); on != nil {
			return candidate{w, on}, true
		}
	}
	return candidate{}, false
}

// Weights for choosing among upstreams with a free slot, as fractions of an upstream's slots.
const (
	prefixBonus = 4.0
	rootBonus   = 0.25
	memoryCost  = 0.25
)

// selectReplica returns the open upstream with the lowest cost that a request fits on, nil if none.
func (p *Pool) selectReplica(w *queueEntry, open []*replica) *replica {
	var best *replica
	holder, _ := p.prefix(&w.Request)
	near := p.rootReplica(&w.Request)
	bestCost := 0.0
	for _, s := range open {
		if !p.fits(s, &w.Request) || w.avoids(s.Name) {
			continue
		}
		cost := s.cost()
		if s == holder {
			cost -= prefixBonus
		}
		if s == near {
			cost -= rootBonus
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// cost combines the load of an upstream and the use of its KV memory.
func (s *replica) cost() float64 {
	cost := float64(s.busy()+s.lane.waiting) / float64(max(s.Slots, 1))
	if s.KVTokens > 0 {
		cost += memoryCost * float64(s.residentTokens+s.reserved) / float64(s.KVTokens)
	}
	return cost
}

// leastLoaded returns the upstream with the lowest cost that a request may run on; nil if there
// is none.
func (p *Pool) leastLoaded(r *Request) *replica {
	return p.pickReplica(r, func(a, b *replica) bool { return a.cost() < b.cost() })
}

// pickReplica returns the best upstream that a request may run on; nil if there is none.
func (p *Pool) pickReplica(r *Request, better func(a, b *replica) bool) *replica {
	var best *replica
	for _, s := range p.sortedReplicas {
		if s.removed || s.Slots == 0 || r.avoids(s.Name) || !s.canHold(r) {
			continue
		}
		if best == nil || better(s, best) {
			best = s
		}
	}
	return best
}
