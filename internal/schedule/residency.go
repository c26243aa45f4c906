package schedule

import (
	"container/list"
	"time"
)

// program is the pool's record of a program that had calls here.
type program struct {
	name string
	// resident is the upstream that holds the program's prefix, nil if none is known to; tokens is
	// the length of the prefix.
	resident *replica
	tokens   int64
	// computedTokens is how much of the conversation engines have computed.
	computedTokens int64
	// attained is the total run time of the program's calls.
	attained     time.Duration
	recentElem   *list.Element // in programs.recent
	residentElem *list.Element // in resident.programs
}

// programs holds the most recently used programs, up to limit.
type programs struct {
	limit  int
	byName map[string]*program
	recent *list.List // of *program, least recently used first
}

func newPrograms(limit int) *programs {
	return &programs{limit: limit, byName: map[string]*program{}, recent: list.New()}
}

// touch returns a program, adding it if it is missing, and marks it as the most recently used.
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

// clearResident records that no upstream holds the prefix.
func (g *program) clearResident() {
	if g.resident == nil {
		return
	}
	g.resident.programs.Remove(g.residentElem)
	g.resident.residentTokens -= g.tokens
	g.resident, g.residentElem, g.tokens = nil, nil, 0
}

// setResident records that an upstream holds the prefix, which becomes the most recently used there.
func (g *program) setResident(s *replica, tokens int64) {
	g.clearResident()
	g.resident, g.tokens = s, tokens
	g.residentElem = s.programs.PushBack(g)
	s.residentTokens += tokens
	s.evictPrefixes()
}

// evictPrefixes drops the least recently used prefixes that exceed the upstream's KV memory.
// Engines evict in this order; their own reports of evictions are late and incomplete.
func (s *replica) evictPrefixes() {
	if s.KVTokens == 0 {
		return
	}
	for s.residentTokens+s.reserved > s.KVTokens && s.programs.Len() > 0 {
		s.programs.Front().Value.(*program).clearResident()
	}
}

// prefix returns the upstream that holds a request's prefix and how many of the prompt's tokens it
// holds; nil if there is none. The pool's own record takes precedence over the request's fields.
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

// prefixOn returns how many tokens of a request's prompt an upstream holds.
func (p *Pool) prefixOn(s *replica, r *Request) int64 {
	if holder, tokens := p.prefix(r); holder == s {
		return tokens
	}
	return 0
}

// priorTokens returns how many tokens of a request's prompt engines have computed before, on any
// upstream.
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

// rootReplica returns the upstream that holds the prefix of a sub-agent's topmost ancestor; nil if
// there is none.
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
