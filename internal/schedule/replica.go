package schedule

import (
	"container/list"
	"sort"
	"time"
)

// reportLag bounds the age of the figures in an upstream's report: the lag of the report itself
// plus its transmission time.
const reportLag = 1500 * time.Millisecond

// replica is an upstream together with the calls that the pool has granted on it.
type replica struct {
	Replica
	// removed means that the upstream left the pool; the entry is kept until its calls have ended.
	removed     bool
	outstanding int
	reserved    int64 // KV memory that the outstanding calls may take. Tokens.
	// foreign estimates the calls on the upstream that this pool did not grant.
	foreign           int
	recentOutstanding outstandingHistory
	lane              *lane
	// aloneRequest is the ID of the request that the upstream is reserved for or runs alone;
	// empty if none.
	aloneRequest string
	// programs are the programs whose prefix the upstream holds, least recently used first;
	// residentTokens is the sum of the prefix lengths.
	programs       *list.List
	residentTokens int64
}

// busy returns how many calls are under way on the upstream, as far as is known.
func (s *replica) busy() int { return s.outstanding + s.foreign }

// free reports whether the upstream has a slot for a new call.
func (s *replica) free() bool {
	return !s.removed && s.aloneRequest == "" && s.busy() < s.Slots
}

// kvFree returns the KV memory available for new calls; callers check KVTokens for 0 first. Tokens.
func (s *replica) kvFree() int64 {
	free := s.KVTokens - s.reserved
	if s.foreign > 0 && s.outstanding > 0 {
		// Foreign calls are assumed to be as large as the pool's own.
		free -= s.reserved / int64(s.outstanding) * int64(s.foreign)
	}
	return free
}

// Bounds of the KV memory reserved for an answer. Callers often allow far longer answers than they
// get, and reserving the full length would leave an engine nearly empty.
const (
	minAnswerReserve    = 2048 // tokens
	answerReserveFactor = 4    // times the mean answer length
)

// kvNeed returns the KV memory to reserve for a call on an upstream. Tokens.
func (p *Pool) kvNeed(s *replica, r *Request) int64 {
	answer := min(r.MaxTokens, max(minAnswerReserve, answerReserveFactor*int64(p.estimate.meanAnswer)))
	need := r.PromptTokens + answer
	if s.KVTokens > 0 {
		need = min(need, s.KVTokens)
	}
	return need
}

// fits reports whether the upstream has enough free KV memory for a request now.
func (p *Pool) fits(s *replica, r *Request) bool {
	return s.KVTokens == 0 || p.opts.Without.KVAdmission || p.kvNeed(s, r) <= s.kvFree()
}

// canHold reports whether the upstream's KV memory could ever hold a request.
func (s *replica) canHold(r *Request) bool {
	return s.KVTokens == 0 || r.PromptTokens < s.KVTokens
}

// outstandingHistory keeps the peak number of the pool's own calls on an upstream in each interval
// of the last reportLag.
type outstandingHistory struct {
	peaks  [historyLength]int
	newest int64 // number of the newest interval
}

const (
	historyInterval = 100 * time.Millisecond
	historyLength   = int(reportLag/historyInterval) + 1
)

// record adds the present number of calls to the newest interval.
func (h *outstandingHistory) record(now time.Duration, outstanding int) {
	h.advance(now, outstanding)
	i := h.newest % int64(historyLength)
	h.peaks[i] = max(h.peaks[i], outstanding)
}

// advance starts new intervals up to now, during all of which the given number of calls were
// outstanding.
func (h *outstandingHistory) advance(now time.Duration, outstanding int) {
	interval := int64(now / historyInterval)
	if interval-h.newest > int64(historyLength) {
		h.newest = interval - int64(historyLength)
	}
	for h.newest < interval {
		h.newest++
		h.peaks[h.newest%int64(historyLength)] = outstanding
	}
}

// peak returns the largest number of calls within the history.
func (h *outstandingHistory) peak() int {
	most := 0
	for _, n := range h.peaks {
		most = max(most, n)
	}
	return most
}

// applyReport stores a report and estimates the foreign calls from it. A report may be as old as
// reportLag, so only calls beyond the largest number that this pool had outstanding since then are
// certainly not its own.
func (s *replica) applyReport(now time.Duration, r Replica) {
	s.recentOutstanding.advance(now, s.outstanding)
	s.Replica = r
	s.foreign = max(0, r.Running+r.Waiting-max(s.recentOutstanding.peak(), s.outstanding))
}

// SetReplica adds an upstream or applies its new report.
func (p *Pool) SetReplica(now time.Duration, r Replica) {
	s, ok := p.replicas[r.Name]
	if !ok {
		s = &replica{Replica: r, lane: newLane(), programs: list.New()}
		p.replicas[r.Name] = s
		p.sortedReplicas = append(p.sortedReplicas, s)
		sort.Slice(p.sortedReplicas, func(i, j int) bool { return p.sortedReplicas[i].Name < p.sortedReplicas[j].Name })
	}
	if ok && s.Incarnation != r.Incarnation {
		s.dropPrefixes()
	}
	s.removed = false
	s.applyReport(now, r)
}

// RemoveReplica removes an upstream. Calls granted on it continue until they finish; requests that
// wait for it are placed again.
func (p *Pool) RemoveReplica(now time.Duration, name string) {
	s, ok := p.replicas[name]
	if !ok || s.removed {
		return
	}
	s.removed = true
	s.dropPrefixes()
	if p.queue[s.aloneRequest] != nil {
		p.releaseAloneReplica(s.aloneRequest)
	}
	for w := s.lane.first(); w != nil; w = s.lane.first() {
		p.removeFromLane(w)
		p.place(now, w)
	}
	p.removeIfDrained(s)
}

// removeIfDrained deletes a removed upstream once no calls run on it.
func (p *Pool) removeIfDrained(s *replica) {
	if !s.removed || s.outstanding > 0 {
		return
	}
	delete(p.replicas, s.Name)
	for i := range p.sortedReplicas {
		if p.sortedReplicas[i] == s {
			p.sortedReplicas = append(p.sortedReplicas[:i], p.sortedReplicas[i+1:]...)
			return
		}
	}
}

func (s *replica) dropPrefixes() {
	for s.programs.Len() > 0 {
		s.programs.Front().Value.(*program).clearResident()
	}
}

// capacity returns the number of upstreams in the pool and the sum of their slots.
func (p *Pool) capacity() (replicas, slots int) {
	for _, s := range p.sortedReplicas {
		if !s.removed {
			replicas++
			slots += s.Slots
		}
	}
	return replicas, slots
}
