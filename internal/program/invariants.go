package program

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"
)

// machineState is the part of the state after the previous command that the checks compare with.
type machineState struct {
	nowMS    int64
	programs map[*program]programState
}

type programState struct {
	turns                int
	messages             int
	historyHash          []byte
	nonRepeatableAttempt string // current attempt of a turn that is not repeatable
	held                 []residency
}

// assertInvariants panics if an invariant is violated.
func (m *Machine) assertInvariants() {
	if err := m.checkInvariants(); err != nil {
		panic("program: invariant: " + err.Error())
	}
	m.recordState()
}

func (m *Machine) recordState() {
	m.previous = machineState{nowMS: m.nowMS, programs: map[*program]programState{}}
	for _, a := range m.accounts {
		for _, p := range a.programs {
			pm := programState{turns: len(p.turns), messages: len(p.history), historyHash: p.historyHash}
			pm.held = p.residencies
			if run := p.next.running; run != nil && !run.Repeatable {
				pm.nonRepeatableAttempt = run.ID
			}
			m.previous.programs[p] = pm
		}
	}
}

// checkInvariants returns an error for the first invariant that the state violates.
func (m *Machine) checkInvariants() error {
	if m.nowMS < m.previous.nowMS {
		return errors.New("the machine's time went backwards")
	}
	live, running := 0, 0
	for id, a := range m.accounts {
		for name, p := range a.programs {
			if p.account != id || p.name != name {
				return errors.Newf("%s is stored as %s/%s", p.path(), id, name)
			}
			if m.home != MajorityHome && (HomeOf(name) != m.home || m.isFromLostGroup(name)) {
				return errors.Newf("%s does not belong to this group", p.path())
			}
			if err := m.checkProgram(p); err != nil {
				return errors.Wrap(err, p.path())
			}
			if p.state == StateLive {
				live++
			}
			if p.next.running != nil {
				running++
			}
		}
		if err := checkQueues(a); err != nil {
			return err
		}
	}
	if live != len(m.live) || running != len(m.running) {
		return errors.New("the indexes of live programs or running attempts have entries without a program")
	}
	return m.checkReleases()
}

func (m *Machine) checkProgram(p *program) error {
	if err := p.checkBudget(); err != nil {
		return err
	}
	if err := m.checkTransition(p); err != nil {
		return err
	}
	run := p.next.running
	if run != nil && m.running[run.ID] != p {
		return errors.New("the attempt under way is not indexed")
	}
	if run != nil && m.tombstones.reason(run.ID) != "" {
		return errors.Newf("attempt %s is under way although it was %s", run.ID, m.tombstones.reason(run.ID))
	}
	if p.state == StateLive {
		if m.live[p.sessionBase] != p {
			return errors.New("a live program is not indexed")
		}
		if p.parent != nil && p.parent.state != StateLive {
			return errors.New("a live program has an ended parent")
		}
		return nil
	}
	if run != nil || len(p.residencies) > 0 {
		return errors.New("an ended program has a turn under way or sessions")
	}
	return nil
}

// checkBudget checks that use and reservations are within the limit, and that the reservations
// are those of the attempts under way in the program and its sub-agents.
func (p *program) checkBudget() error {
	left := p.limit.sub(p.used).sub(p.reserved)
	if left.Tokens < 0 || left.Calls < 0 {
		return errors.Newf("used %v and reserved %v are above the limit %v", p.used, p.reserved, p.limit)
	}
	var own Budget
	if run := p.next.running; run != nil {
		own = Budget{Tokens: run.ReserveTokens, Calls: 1}
	}
	for _, child := range p.children {
		own.Tokens += child.reserved.Tokens
		own.Calls += child.reserved.Calls
	}
	if own != p.reserved {
		return errors.Newf("reserved %v, but attempts under way reserve %v", p.reserved, own)
	}
	return nil
}

// checkTransition compares a program with its state before the command.
func (m *Machine) checkTransition(p *program) error {
	was, known := m.previous.programs[p]
	if !known {
		if !bytes.Equal(HashMessages(p.history), p.historyHash) {
			return errors.New("the history does not match its hash")
		}
		return nil
	}
	if len(p.turns) < was.turns || len(p.turns) > was.turns+1 {
		return errors.Newf("closed turns went from %d to %d", was.turns, len(p.turns))
	}
	if len(p.history) < was.messages {
		return errors.New("the history shrank")
	}
	head := was.historyHash
	for _, message := range p.history[was.messages:] {
		head = extendHash(head, message)
	}
	if !bytes.Equal(head, p.historyHash) {
		return errors.New("the history does not extend the previous one")
	}
	if err := m.checkSessionsKept(was.held); err != nil {
		return err
	}
	return m.checkNonRepeatable(p, was)
}

// checkSessionsKept checks that each session that a program held is still held, pending release, or
// gone with its engine's process.
func (m *Machine) checkSessionsKept(held []residency) error {
	for _, r := range held {
		if !m.isValid(r.Residency) || m.inUse(r.Engine, r.Session) {
			continue
		}
		if _, pending := m.engines[r.Engine].pending[r.Session]; !pending {
			return errors.Newf("session %s on %s is neither held nor pending release", r.Session, r.Engine)
		}
	}
	return nil
}

// checkNonRepeatable checks that a turn that is not repeatable reopens only if its attempt was
// revoked.
func (m *Machine) checkNonRepeatable(p *program, was programState) error {
	if was.nonRepeatableAttempt == "" || len(p.turns) > was.turns {
		return nil
	}
	run := p.next.running
	if run != nil && run.ID == was.nonRepeatableAttempt {
		return nil
	}
	if m.tombstones.reason(was.nonRepeatableAttempt) != endRevoked {
		return errors.New("a turn that is not repeatable reopened without a revoke")
	}
	return nil
}

func checkQueues(a *account) error {
	for _, queue := range [][]*program{a.ended, a.endedNonRepeatable} {
		ordered := slices.IsSortedFunc(queue, func(p, q *program) int { return int(p.endedMS - q.endedMS) })
		if !ordered {
			return errors.New("the queue of ended programs is not in the order of their ends")
		}
		for _, p := range queue {
			if p.state == StateLive || a.programs[p.name] != p {
				return errors.Newf("%s is queued for retention but has not ended", p.path())
			}
		}
	}
	return nil
}

func (m *Machine) checkReleases() error {
	for name, e := range m.engines {
		for session := range e.pending {
			if m.inUse(name, session) {
				return errors.Newf("session %s on %s is pending release but in use", session, name)
			}
		}
	}
	return nil
}
