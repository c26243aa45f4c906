package schedule

import (
	"container/list"
	"time"
)

// program is what the pool remembers of a program that had calls here.
type program struct {
	name string
	// resident is the upstream that holds its prefix, nil if none is known to; tokens is its length.
	resident *replica
	tokens   int64
	// computedTokens is how much of its conversation engines have computed. Tokens.
	computedTokens int64
	// attained is how long its calls ran.
	attained     time.Duration
	recentElem   *list.Element // in programs.recent
	residentElem *list.Element // in on.programs
}

// programs remembers programs, the most recently used ones.
type programs struct {
	limit  int
	byName map[string]*program
	recent *list.List // of *program, least recently used first
}

func newPrograms(limit int) *programs {
	return &programs{limit: limit, byName: map[string]*program{}, recent: list.New()}
}

// touch returns a program and makes it the most recently used.
func (m *programs) touch(name string) *program {
	g, ok := m.byName[name]
	if ok {
		m.recent.MoveToBack(g.recentElem)
		return g
	}
	if len(m.byName) >= m.limit {
		m.evict(m.recent.Front().Value.(*program))
	}
	g = &program{name: name}
	g.recentElem = m.recent.PushBack(g)
	m.byName[name] = g
	return g
}

func (m *programs) evict(g *program) {
	g.clearResident()
	m.recent.Remove(g.recentElem)
	delete(m.byName, g.name)
}

// clearResident notes that the prefix is on no upstream.
func (g *program) clearResident() {
	if g.resident == nil {
		return
	}
	g.resident.programs.Remove(g.residentElem)
	g.resident.residentTokens -= g.tokens
	g.resident, g.residentElem, g.tokens = nil, nil, 0
}

// setResident notes that an upstream holds the prefix, which makes it the most recently used there.
func (g *program) setResident(s *replica, tokens int64) {
	g.clearResident()
	g.resident, g.tokens = s, tokens
	g.residentElem = s.programs.PushBack(g)
	s.residentTokens += tokens
	s.evictPrefixes()
}

// evictPrefixes forgets the least recently used prefixes that the upstream has no room for. Engines evict
// in this order; their own reports of it are late and have gaps.
func (s *replica) evictPrefixes() {
	if s.KVTokens == 0 {
		return
	}
	for s.residentTokens+s.reserved > s.KVTokens && s.programs.Len() > 0 {
		s.programs.Front().Value.(*program).clearResident()
	}
}

// prefix returns the upstream that holds a request's prefix and how much of the prompt that is;
// nil if there is none. What the pool saw itself outranks the request's own word.
func (p *Pool) prefix(r *Request) (*replica, int64) {
	if r.Program == "" || p.opts.Without.Affinity {
		return nil, 0
	}
	if g, ok := p.programs.byName[r.Program]; ok {
		return g.resident, min(g.tokens, r.PromptTokens)
	}
	s, ok := p.replicas[r.Resident]
	if !ok || s.removed || r.ResidentIncarnation != 0 && r.ResidentIncarnation != s.Incarnation {
		return nil, 0
	}
	if r.PrefixTokens > 0 {
		return s, min(r.PrefixTokens, r.PromptTokens)
	}
	return s, r.PromptTokens
}

// prefixOn returns the part of a request's prompt that an upstream holds. Tokens.
func (p *Pool) prefixOn(s *replica, r *Request) int64 {
	if holder, tokens := p.prefix(r); holder == s {
		return tokens
	}
	return 0
}

// priorTokens returns how much of a request's prompt engines have computed before, wherever that was.
// Tokens.
func (p *Pool) priorTokens(r *Request) int64 {
	if g, ok := p.programs.byName[r.Program]; ok {
		return min(g.computedTokens, r.PromptTokens)
	}
	if r.Program == "" || r.Resident == "" {
		return 0
	}
	if r.PrefixTokens > 0 {
		return min(r.PrefixTokens, r.PromptTokens)
	}
	return r.PromptTokens
}

// rootReplica returns the upstream that the topmost ancestor of a sub-agent last ran on.
func (p *Pool) rootReplica(r *Request) *replica {
	if r.Root == "" || r.Root == r.Program || p.opts.Without.Affinity {
		return nil
	}
	g, ok := p.programs.byName[r.Root]
	if !ok {
		return nil
	}
	return g.resident
}
