package schedule

import (
	"container/list"
	"sort"
	"time"
)

// reportLag bounds the age of what an upstream's report says: its own lag and the way here.
const reportLag = 1500 * time.Millisecond

// replica is an upstream with what the pool has granted to it.
type replica struct {
	Replica
	// removed says that it left; it is kept until its calls ended.
	removed     bool
	outstanding int
	reserved    int64 // KV memory that the outstanding calls may take. Tokens.
	// foreign estimates calls on it that this pool did not grant.
	foreign int
	history history
	lane    *lane
	// alone is the request that the upstream is kept for or runs alone; empty if none.
	alone string
	// programs are those whose prefix it holds, least recently used first; prefixTokens is the
	// sum of their lengths.
	programs     *list.List
	prefixTokens int64
}

// busy is how many calls are under way on the upstream, as far as is known.
func (s *replica) busy() int { return s.outstanding + s.foreign }

// free reports whether the upstream has a slot for a new call.
func (s *replica) free() bool {
	return !s.removed && s.alone == "" && s.busy() < s.Slots
}

// kvFree is the KV memory for new calls; callers check KVTokens for 0 first. Tokens.
func (s *replica) kvFree() int64 {
	free := s.KVTokens - s.reserved
	if s.foreign > 0 && s.outstanding > 0 {
		// Calls of others are taken to be as large as the pool's own.
		free -= s.reserved / int64(s.outstanding) * int64(s.foreign)
	}
	return free
}

// Reservation for an answer: callers often allow far longer answers than they get, and reserving
// all of that would leave an engine nearly empty.
const (
	minAnswerReserve    = 2048 // tokens
	answerReserveFactor = 4    // times the usual answer
)

// kvNeed is the KV memory that is reserved for a call on an upstream. Tokens.
func (p *Pool) kvNeed(s *replica, r *Request) int64 {
	answer := min(r.MaxTokens, max(minAnswerReserve, answerReserveFactor*int64(p.estimate.answer)))
	need := r.PromptTokens + answer
	if s.KVTokens > 0 {
		need = min(need, s.KVTokens)
	}
	return need
}

// fits reports whether the upstream has KV memory for a request now.
func (p *Pool) fits(s *replica, r *Request) bool {
	return s.KVTokens == 0 || p.opts.Without.KVAdmission || p.kvNeed(s, r) <= s.kvFree()
}

// large reports whether the upstream could ever hold a request.
func (s *replica) large(r *Request) bool {
	return s.KVTokens == 0 || r.PromptTokens < s.KVTokens
}

// history keeps the largest number of the pool's own calls on an upstream in each interval of
// the last reportLag.
type history struct {
	largest [historyLength]int
	last    int64 // number of the newest interval
}

const (
	historyInterval = 100 * time.Millisecond
	historyLength   = int(reportLag/historyInterval) + 1
)

// note records the present number of calls.
func (h *history) note(now time.Duration, outstanding int) {
	h.advance(now, outstanding)
	i := h.last % int64(historyLength)
	h.largest[i] = max(h.largest[i], outstanding)
}

// advance starts new intervals up to now, in all of which outstanding calls were under way.
func (h *history) advance(now time.Duration, outstanding int) {
	interval := int64(now / historyInterval)
	if interval-h.last > int64(historyLength) {
		h.last = interval - int64(historyLength)
	}
	for h.last < interval {
		h.last++
		h.largest[h.last%int64(historyLength)] = outstanding
	}
}

// most returns the largest number of calls within the history.
func (h *history) most() int {
	most := 0
	for _, n := range h.largest {
		most = max(most, n)
	}
	return most
}

// takeReport estimates the calls of others. A report is as old as reportLag, so only calls above
// the most that this pool had under way since then are certainly not its own.
func (s *replica) takeReport(now time.Duration, r Replica) {
	s.history.advance(now, s.outstanding)
	s.Replica = r
	s.foreign = max(0, r.Running+r.Waiting-max(s.history.most(), s.outstanding))
}

// SetReplica adds an upstream or takes its new report.
func (p *Pool) SetReplica(now time.Duration, r Replica) {
	s, ok := p.replicas[r.Name]
	if !ok {
		s = &replica{Replica: r, lane: newLane(), programs: list.New()}
		p.replicas[r.Name] = s
		p.order = append(p.order, s)
		sort.Slice(p.order, func(i, j int) bool { return p.order[i].Name < p.order[j].Name })
	}
	if ok && s.Incarnation != r.Incarnation {
		s.dropPrefixes()
	}
	s.removed = false
	s.takeReport(now, r)
}

// RemoveReplica takes an upstream out; calls granted to it go on until they finish. Requests that
// wait for it are placed anew.
func (p *Pool) RemoveReplica(now time.Duration, name string) {
	s, ok := p.replicas[name]
	if !ok || s.removed {
		return
	}
	s.removed = true
	s.dropPrefixes()
	if p.queue[s.alone] != nil {
		p.endKept(s.alone)
	}
	for w := s.lane.first(); w != nil; w = s.lane.first() {
		p.takeOut(w)
		p.place(now, w)
	}
	p.discard(s)
}

// discard forgets a removed upstream once nothing runs on it.
func (p *Pool) discard(s *replica) {
	if !s.removed || s.outstanding > 0 {
		return
	}
	delete(p.replicas, s.Name)
	for i := range p.order {
		if p.order[i] == s {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return
		}
	}
}

func (s *replica) dropPrefixes() {
	for s.programs.Len() > 0 {
		s.programs.Front().Value.(*program).leave()
	}
}

// present returns how many upstreams the pool has, and their slots.
func (p *Pool) present() (replicas, slots int) {
	for _, s := range p.order {
		if !s.removed {
			replicas++
			slots += s.Slots
		}
	}
	return replicas, slots
}
