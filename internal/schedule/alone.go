package schedule

import "time"

// runAlone serves the first request that must run alone: it keeps an upstream free of new calls
// until nothing is under way there, and grants it then. One such request runs at a time.
func (p *Pool) runAlone(now time.Duration) {
	if len(p.alone) == 0 {
		return
	}
	w := p.alone[0]
	if p.kept == nil {
		p.kept = p.pick(&w.Request, func(a, b *replica) bool { return a.busy() < b.busy() })
		if p.kept == nil {
			return
		}
		p.kept.alone = w.ID
	}
	if p.kept.alone == w.ID && p.kept.busy() == 0 {
		p.dropAlone(w)
		p.grant(now, w, p.kept)
	}
}

// dropAlone takes a request out of those that must run alone.
func (p *Pool) dropAlone(w *waiting) {
	for i := range p.alone {
		if p.alone[i] == w {
			p.alone = append(p.alone[:i], p.alone[i+1:]...)
			return
		}
	}
}

// endKept opens the upstream again that was kept for a request.
func (p *Pool) endKept(id string) {
	if p.kept != nil && p.kept.alone == id {
		p.kept.alone = ""
		p.kept = nil
	}
}
