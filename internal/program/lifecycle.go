package program

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// tooManyRetry is when an account that fills its bound on programs may try again.
const tooManyRetry = time.Minute

func (m *Machine) create(asked *Create, timeMS int64) *Result {
	c, refused := m.place(asked)
	if refused != nil {
		return refused
	}
	p := m.program(c.Account, c.Name)
	if p != nil && p.made != *c {
		return refuse(CodeProgramConflict, "program %q was made with other arguments", c.Name)
	}
	if p == nil {
		if m.stale(timeMS) {
			return m.refuseStale()
		}
		var res *Result
		if p, res = m.make(c, false); res != nil {
			return res
		}
	}
	res := ok()
	res.Program = m.view(p)
	return res
}

// place returns the command as the group keeps it: a zone's group gives its programs qualified
// names, and takes the first token that it is sent as its own.
func (m *Machine) place(c *Create) (*Create, *Result) {
	if (m.home == MajorityHome) != (c.Token == "") {
		return nil, refuse(CodeBadCommand, "a token belongs to the programs of a zone's group, and to no others")
	}
	if m.home == MajorityHome {
		return c, nil
	}
	if m.token == "" {
		m.token = c.Token
	}
	placed := *c
	placed.Token = ""
	placed.Name = qualified{zone: m.home, token: m.token, name: c.Name}.String()
	if err := checkNames(placed.Name); err != nil {
		return nil, refuse(CodeBadCommand, "the name with its zone: %v", err)
	}
	return &placed, nil
}

// make adds a program to the state, or says why not.
func (m *Machine) make(c *Create, oneCall bool) (*program, *Result) {
	if c.DeadlineMS > 0 && c.DeadlineMS <= m.nowMS {
		return nil, refuse(CodeExpired, "the deadline has passed")
	}
	parent, res := m.parentOf(c)
	if res != nil {
		return nil, res
	}
	if !m.room(c.Account) {
		res := refuse(CodeTooMany, "the account has %d programs, ended ones included", m.limits.MaxPrograms)
		res.RetryAfterMS = tooManyRetry.Milliseconds()
		return nil, res
	}
	p := &program{
		account:    c.Account,
		name:       c.Name,
		parentName: c.Parent,
		parent:     parent,
		children:   map[string]*program{},
		made:       *c,
		oneCall:    oneCall,
		state:      StateLive,
		born:       m.index,
		limit:      c.Budget.within(c.Ceiling),
		deadlineMS: c.DeadlineMS,
		createdMS:  m.nowMS,
		bytes:      programOverheadBytes,
		keys:       map[string]uint64{},
	}
	if parent != nil {
		parent.children[p.name] = p
		p.depth = parent.depth + 1
		p.deadlineMS = sooner(p.deadlineMS, parent.deadlineMS)
	}
	p.base = p.sessionBase()
	p.touch(m.nowMS)
	m.account(c.Account).programs[c.Name] = p
	m.live[p.base] = p
	return p, nil
}

func (m *Machine) parentOf(c *Create) (*program, *Result) {
	if c.Parent == "" {
		return nil, nil
	}
	parent := m.program(c.Account, c.Parent)
	if parent == nil {
		return nil, m.noProgram(c.Account, c.Parent)
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

// sooner returns the earlier of two deadlines; 0 is none.
func sooner(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (m *Machine) end(c *End, timeMS int64) *Result {
	p := m.program(c.Account, c.Program)
	if p == nil {
		return m.noProgram(c.Account, c.Program)
	}
	if p.state == StateLive {
		if m.stale(timeMS) {
			return m.refuseStale()
		}
		m.finish(p, StateEnded)
	}
	res := ok()
	res.Program = m.view(p)
	return res
}

// finish ends a live program after its sub-agents: turns under way are fenced, sessions become
// pending releases, and the record is kept for the retention.
func (m *Machine) finish(p *program, state State) {
	for _, child := range sortedChildren(p) {
		if child.state == StateLive {
			m.finish(child, state)
		}
	}
	p.state = state
	if p.next.running != nil {
		m.fence(p)
		p.next.cancelled = p.next.ranHash != ""
	}
	if m.live[p.base] != p {
		return // a one-call program was finished by its fencing
	}
	p.endedMS = m.nowMS
	m.releaseAll(p)
	delete(m.live, p.base)
	a := m.account(p.account)
	if p.once {
		a.endedOnce = append(a.endedOnce, p)
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

// expireIfDue expires a program whose deadline passed.
func (m *Machine) expireIfDue(p *program) bool {
	if p.state != StateLive || p.deadlineMS == 0 || m.nowMS < p.deadlineMS {
		return false
	}
	m.finish(p, StateExpired)
	return true
}

// tick does what is due by the machine's time.
func (m *Machine) tick() *Result {
	res := ok()
	res.Tick = &TickAnswer{}
	for _, p := range m.due() {
		if p.state == StateLive {
			m.serve(p, res.Tick)
		}
	}
	for _, a := range m.accounts {
		res.Tick.Forgotten += m.forgetDue(a)
	}
	m.dead.forget(m.nowMS)
	return res
}

// due returns the live programs that a tick has to look at, in a fixed order.
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
	return m.passed(p.activeMS, m.limits.IdleRelease) && (p.oneCall || len(p.residencies) > 0) ||
		m.passed(p.activeMS, m.limits.IdleExpire)
}

func (m *Machine) serve(p *program, answer *TickAnswer) {
	if m.expireIfDue(p) {
		answer.Expired++
		return
	}
	if p.next.running != nil {
		if m.fenceLapsed(p) {
			answer.Fenced++
		}
		return
	}
	if m.passed(p.activeMS, m.idleLife(p)) {
		m.finish(p, StateExpired)
		answer.Expired++
		return
	}
	if m.passed(p.activeMS, m.limits.IdleRelease) {
		m.releaseAll(p)
	}
}

// idleLife is how long a program lives without activity.
func (m *Machine) idleLife(p *program) time.Duration {
	if p.oneCall {
		return m.limits.IdleRelease
	}
	return m.limits.IdleExpire
}

// forgetDue forgets an account's ended programs past their retention.
func (m *Machine) forgetDue(a *account) int {
	n := 0
	for _, queue := range []*[]*program{&a.ended, &a.endedOnce} {
		for len(*queue) > 0 && m.passed((*queue)[0].endedMS, m.limits.Retention) {
			m.forget(a, queue)
			n++
		}
	}
	return n
}

// room reports whether an account may have one more program. It forgets the oldest ended one
// if that makes room, but none with turns that may not be repeated, whose records guard them.
func (m *Machine) room(accountID string) bool {
	a := m.accounts[accountID]
	if a == nil || len(a.programs) < m.limits.MaxPrograms {
		return true
	}
	if len(a.ended) == 0 || !m.passed(a.ended[0].endedMS, 2*m.limits.MaxCommandAge) {
		return false
	}
	m.forget(a, &a.ended)
	return true
}

// forget drops the oldest program of a queue of ended ones.
func (m *Machine) forget(a *account, queue *[]*program) {
	p := (*queue)[0]
	(*queue)[0] = nil
	*queue = (*queue)[1:]
	a.forgot = true
	m.remove(p)
}

// remove takes a program out of the state.
func (m *Machine) remove(p *program) {
	delete(m.account(p.account).programs, p.name)
	delete(m.live, p.base)
	if p.parent != nil {
		delete(p.parent.children, p.name)
	}
	for _, child := range p.children {
		child.parent = nil
	}
}
