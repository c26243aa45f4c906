package program

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// tooManyRetry is the retry delay for an account that has reached its limit of programs.
const tooManyRetry = time.Minute

func (m *Machine) create(cmd *Create, timeMS int64) *Result {
	c, refused := m.qualifyName(cmd)
	if refused != nil {
		return refused
	}
	p := m.program(c.Account, c.Name)
	if p != nil && p.createCommand != *c {
		return refuse(CodeProgramConflict, "program %q was made with other arguments", c.Name)
	}
	if p == nil {
		if m.isStale(timeMS) {
			return m.refuseStale()
		}
		var res *Result
		if p, res = m.addProgram(c, false); res != nil {
			return res
		}
	}
	res := okResult()
	res.Program = m.view(p)
	return res
}

// qualifyName returns the command as the group stores it: a zone's group gives its programs
// qualified names, and adopts the first token that it receives as its own.
func (m *Machine) qualifyName(c *Create) (*Create, *Result) {
	if (m.home == MajorityHome) != (c.Token == "") {
		return nil, refuse(CodeBadCommand, "a token belongs to the programs of a zone's group, and to no others")
	}
	if m.home == MajorityHome {
		return c, nil
	}
	if m.token == "" {
		m.token = c.Token
	}
	qualified := *c
	qualified.Token = ""
	qualified.Name = qualifiedName{zone: m.home, token: m.token, name: c.Name}.String()
	if err := checkNames(qualified.Name); err != nil {
		return nil, refuse(CodeBadCommand, "the name with its zone: %v", err)
	}
	return &qualified, nil
}

// addProgram adds a program to the state, or returns the refusal.
func (m *Machine) addProgram(c *Create, oneCall bool) (*program, *Result) {
	if c.DeadlineMS > 0 && c.DeadlineMS <= m.nowMS {
		return nil, refuse(CodeExpired, "the deadline has passed")
	}
	parent, res := m.parentOf(c)
	if res != nil {
		return nil, res
	}
	if !m.ensureCapacity(c.Account) {
		res := refuse(CodeTooMany, "the account has %d programs, ended ones included", m.limits.MaxPrograms)
		res.RetryAfterMS = tooManyRetry.Milliseconds()
		return nil, res
	}
	p := &program{
		account:       c.Account,
		name:          c.Name,
		parentName:    c.Parent,
		parent:        parent,
		children:      map[string]*program{},
		createCommand: *c,
		oneCall:       oneCall,
		state:         StateLive,
		createdIndex:  m.index,
		limit:         c.Budget.boundedBy(c.Ceiling),
		deadlineMS:    c.DeadlineMS,
		createdMS:     m.nowMS,
		bytes:         programOverheadBytes,
		turnByKey:     map[string]uint64{},
	}
	if parent != nil {
		parent.children[p.name] = p
		p.depth = parent.depth + 1
		p.deadlineMS = earlierDeadline(p.deadlineMS, parent.deadlineMS)
	}
	p.sessionBase = p.deriveSessionBase()
	p.touch(m.nowMS)
	m.account(c.Account).programs[c.Name] = p
	m.live[p.sessionBase] = p
	return p, nil
}

func (m *Machine) parentOf(c *Create) (*program, *Result) {
	if c.Parent == "" {
		return nil, nil
	}
	parent := m.program(c.Account, c.Parent)
	if parent == nil {
		return nil, m.refuseNoProgram(c.Account, c.Parent)
	}
	m.expireIfDue(parent)
	switch {
	case parent.state == StateEnded:
		return nil, refuse(CodeEnded, "the parent has ended")
	case parent.state == StateExpired:
		return nil, refuse(CodeExpired, "the parent has expired")
	case parent.oneCall:
		return nil, refuse(CodeBadCommand, "a one-call program has no sub-agents")
	case parent.depth+1 >= m.limits.MaxDepth:
		return nil, refuse(CodeBadCommand, "sub-agents are nested at most %d deep", m.limits.MaxDepth)
	}
	return parent, nil
}

// earlierDeadline returns the earlier of two deadlines; 0 means no deadline.
func earlierDeadline(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (m *Machine) end(c *End, timeMS int64) *Result {
	p := m.program(c.Account, c.Program)
	if p == nil {
		return m.refuseNoProgram(c.Account, c.Program)
	}
	if p.state == StateLive {
		if m.isStale(timeMS) {
			return m.refuseStale()
		}
		m.finish(p, StateEnded)
	}
	res := okResult()
	res.Program = m.view(p)
	return res
}

// finish ends a live program after its sub-agents: turns under way are fenced, sessions are queued
// for release, and the record is kept for the retention time.
func (m *Machine) finish(p *program, state State) {
	for _, child := range sortedChildren(p) {
		if child.state == StateLive {
			m.finish(child, state)
		}
	}
	p.state = state
	if p.next.running != nil {
		m.fence(p)
		p.next.cancelled = p.next.mayHaveRunHash != ""
	}
	if m.live[p.sessionBase] != p {
		return // fencing the turn has already finished a one-call program
	}
	p.endedMS = m.nowMS
	m.releaseAll(p)
	delete(m.live, p.sessionBase)
	a := m.account(p.account)
	if p.hasNonRepeatable {
		a.endedNonRepeatable = append(a.endedNonRepeatable, p)
	} else {
		a.ended = append(a.ended, p)
	}
}

func sortedChildren(p *program) []*program {
	children := slices.Collect(maps.Values(p.children))
	sortPrograms(children)
	return children
}

func sortPrograms(programs []*program) {
	slices.SortFunc(programs, func(a, b *program) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.name, b.name))
	})
}

// expireIfDue expires a program whose deadline has passed, and reports whether it did.
func (m *Machine) expireIfDue(p *program) bool {
	if p.state != StateLive || p.deadlineMS == 0 || m.nowMS < p.deadlineMS {
		return false
	}
	m.finish(p, StateExpired)
	return true
}

// tick processes what is due at the machine's time.
func (m *Machine) tick() *Result {
	res := okResult()
	res.Tick = &TickAnswer{}
	for _, p := range m.due() {
		if p.state == StateLive {
			m.processDue(p, res.Tick)
		}
	}
	for _, a := range m.accounts {
		res.Tick.Forgotten += m.purgeDue(a)
	}
	m.tombstones.dropExpired(m.nowMS)
	return res
}

// due returns the live programs that a tick has to process, in a deterministic order.
func (m *Machine) due() []*program {
	var due []*program
	for _, p := range m.live {
		if m.isDue(p) {
			due = append(due, p)
		}
	}
	sortPrograms(due)
	return due
}

func (m *Machine) isDue(p *program) bool {
	if p.deadlineMS > 0 && p.deadlineMS <= m.nowMS {
		return true
	}
	if p.next.running != nil {
		return p.next.running.LeaseUntilMS <= m.nowMS
	}
	return m.elapsed(p.activeMS, m.limits.IdleRelease) && (p.oneCall || len(p.residencies) > 0) ||
		m.elapsed(p.activeMS, m.limits.IdleExpire)
}

func (m *Machine) processDue(p *program, answer *TickAnswer) {
	if m.expireIfDue(p) {
		answer.Expired++
		return
	}
	if p.next.running != nil {
		if m.fenceIfLeaseExpired(p) {
			answer.Fenced++
		}
		return
	}
	if m.elapsed(p.activeMS, m.idleTimeout(p)) {
		m.finish(p, StateExpired)
		answer.Expired++
		return
	}
	if m.elapsed(p.activeMS, m.limits.IdleRelease) {
		m.releaseAll(p)
	}
}

// idleTimeout returns how long a program may be inactive before it expires.
func (m *Machine) idleTimeout(p *program) time.Duration {
	if p.oneCall {
		return m.limits.IdleRelease
	}
	return m.limits.IdleExpire
}

// purgeDue removes an account's ended programs whose retention has passed, and returns their
// number.
func (m *Machine) purgeDue(a *account) int {
	n := 0
	for _, queue := range []*[]*program{&a.ended, &a.endedNonRepeatable} {
		for len(*queue) > 0 && m.elapsed((*queue)[0].endedMS, m.limits.Retention) {
			m.purgeOldest(a, queue)
			n++
		}
	}
	return n
}

// ensureCapacity reports whether an account may have one more program. At the limit it purges the
// oldest ended program, but none with turns that may not be repeated, because their records prevent
// a second run.
func (m *Machine) ensureCapacity(accountID string) bool {
	a := m.accounts[accountID]
	if a == nil || len(a.programs) < m.limits.MaxPrograms {
		return true
	}
	if len(a.ended) == 0 || !m.elapsed(a.ended[0].endedMS, 2*m.limits.MaxCommandAge) {
		return false
	}
	m.purgeOldest(a, &a.ended)
	return true
}

// purgeOldest removes the oldest program of a queue of ended ones.
func (m *Machine) purgeOldest(a *account, queue *[]*program) {
	p := (*queue)[0]
	(*queue)[0] = nil
	*queue = (*queue)[1:]
	a.purged = true
	m.remove(p)
}

// remove deletes a program from the state.
func (m *Machine) remove(p *program) {
	delete(m.account(p.account).programs, p.name)
	delete(m.live, p.sessionBase)
	if p.parent != nil {
		delete(p.parent.children, p.name)
	}
	for _, child := range p.children {
		child.parent = nil
	}
}
