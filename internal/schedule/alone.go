package schedule

import "time"

// grantAlone serves the first request that must run alone: it reserves an upstream, which gets no
// new calls from then on, and grants the request once the upstream is idle. One such request runs
// at a time.
func (p *Pool) grantAlone(now time.Duration) {
	if len(p.aloneQueue) == 0 {
		return
	}
	w := p.aloneQueue[0]
	if p.aloneReplica == nil {
		p.aloneReplica = p.pickReplica(&w.Request, func(a, b *replica) bool { return a.busy() < b.busy() })
		if p.aloneReplica == nil {
			return
		}
		p.aloneReplica.aloneRequest = w.ID
	}
	if p.aloneReplica.aloneRequest == w.ID && p.aloneReplica.busy() == 0 {
		p.dropAlone(w)
		p.grant(now, w, p.aloneReplica)
	}
}

// dropAlone removes a request from the queue of those that must run alone.
func (p *Pool) dropAlone(w *queueEntry) {
	for i := range p.aloneQueue {
		if p.aloneQueue[i] == w {
			p.aloneQueue = append(p.aloneQueue[:i], p.aloneQueue[i+1:]...)
			return
		}
	}
}

// releaseAloneReplica ends the reservation of an upstream for a request that must run alone.
func (p *Pool) releaseAloneReplica(id string) {
	if p.aloneReplica != nil && p.aloneReplica.aloneRequest == id {
		p.aloneReplica.aloneRequest = ""
		p.aloneReplica = nil
	}
}
