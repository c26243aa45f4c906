package program

// current returns the program whose current attempt a command names, or nil.
func (m *Machine) current(accountID, name, attemptID string) *program {
	p := m.running[attemptID]
	if p == nil || p.account != accountID || p.name != name {
		return nil
	}
	return p
}

func (m *Machine) superseded(attemptID string) *Result {
	res := refuse(CodeSuperseded, "the attempt is not under way")
	if reason := m.dead.reason(attemptID); reason != "" {
		res.Detail = "the attempt was " + string(reason)
	}
	res.MayHaveRun = m.dead.reason(attemptID) != deadRevoked
	return res
}

// revoke reopens a turn whose attempt wrote no byte. An attempt that was not begun yet is
// buried, so that its Begin, if it still arrives, starts nothing.
func (m *Machine) revoke(c *Revoke) *Result {
	p := m.current(c.Account, c.Program, c.Attempt)
	if p == nil {
		return m.revokeAbsent(c)
	}
	run := p.next.running
	m.stop(p, deadRevoked)
	p.release(run.ReserveTokens)
	p.next.running = nil
	p.next.onceStarted = false
	res := ok()
	res.MayHaveRun = p.next.ranHash != "" || p.strayRan && run.Unnumbered
	if p.oneCall && !res.MayHaveRun {
		m.remove(p)
	}
	return res
}

func (m *Machine) revokeAbsent(c *Revoke) *Result {
	p := m.program(c.Account, c.Program)
	reason := m.dead.reason(c.Attempt)
	answered := p != nil && p.closedBy(c.Attempt, 0) != nil
	if answered || reason == deadFailed || reason == deadFenced {
		return m.superseded(c.Attempt)
	}
	if reason == "" {
		m.bury(c.Attempt, deadRevoked)
	}
	res := ok()
	// Another attempt of the same request may have started before or since; the command does not
	// tell which request it was, so anything that ran counts, in a forgotten program too.
	if p == nil {
		res.MayHaveRun = m.noProgram(c.Account, c.Program).MayHaveRun
		return res
	}
	res.MayHaveRun = len(p.turns) > 0 || p.next.running != nil || p.next.ranHash != "" || p.strayRan
	return res
}

// stop takes the attempt under way out of the index and buries it; the caller settles it.
func (m *Machine) stop(p *program, reason deadReason) {
	delete(m.running, p.next.running.ID)
	m.bury(p.next.running.ID, reason)
	p.touch(m.nowMS)
}

// complete records an answer. Only the current attempt can; the same answer sent again by the
// attempt that gave it has the same result.
func (m *Machine) complete(c *Complete) *Result {
	p := m.current(c.Account, c.Program, c.Attempt)
	if p == nil {
		return m.completeAbsent(c)
	}
	run := p.next.running
	delete(m.running, run.ID)
	settled := p.settle(run.ReserveTokens, c.UsedTokens)
	p.appendHistory(run.Messages)
	p.appendHistory(c.Messages)
	m.closeTurn(p, turn{
		State:       TurnAnswered,
		Status:      c.Status,
		ContentType: c.ContentType,
		Answer:      c.Answer,
		Settled:     settled,
	})
	m.hold(p, run, c.Residency)
	if p.oneCall {
		m.finish(p, StateEnded)
	}
	res := ok()
	res.Settled = &settled
	return res
}

func (m *Machine) completeAbsent(c *Complete) *Result {
	p := m.program(c.Account, c.Program)
	if p != nil {
		t := p.closedBy(c.Attempt, 0)
		if t != nil && t.State == TurnAnswered {
			res := ok()
			res.Settled = &t.Settled
			return res
		}
	}
	m.releaseUnheld(c.Account, c.Program, c.Residency)
	return m.superseded(c.Attempt)
}

// fail settles an attempt that may have run and has no answer.
func (m *Machine) fail(c *Fail) *Result {
	p := m.current(c.Account, c.Program, c.Attempt)
	if p == nil {
		if m.dead.reason(c.Attempt) == deadFailed {
			return ok()
		}
		return m.superseded(c.Attempt)
	}
	used := c.UsedTokens
	if c.Outcome == OutcomeUnknown {
		used = p.next.running.ReserveTokens
	}
	m.giveUp(p, deadFailed, used)
	m.releaseUnheld(c.Account, c.Program, c.Residency)
	return ok()
}

// fence ends the attempt under way without its owner: what it reserved counts as used, because
// it may have run.
func (m *Machine) fence(p *program) {
	m.giveUp(p, deadFenced, p.next.running.ReserveTokens)
}

// giveUp ends an attempt that may have run. A turn that is not repeatable is closed with an
// unknown outcome, which is what keeps it from running a second time.
func (m *Machine) giveUp(p *program, reason deadReason, usedTokens int64) {
	run := p.next.running
	m.stop(p, reason)
	settled := p.settle(run.ReserveTokens, usedTokens)
	if run.Repeatable {
		p.noteStray(run)
		p.next.running = nil
		p.next.ranHash = run.RequestHash
		return
	}
	m.closeTurn(p, turn{State: TurnUnknown, Settled: settled})
	if p.oneCall {
		m.finish(p, StateEnded)
	}
}

// closeTurn records the turn under way for good and opens the next one.
func (m *Machine) closeTurn(p *program, t turn) {
	run := p.next.running
	t.Kind = run.Kind
	t.RequestHash = run.RequestHash
	t.IdempotencyKey = run.IdempotencyKey
	t.Attempt = run.ID
	t.EndedMS = m.nowMS
	t.EarlierRan = p.next.ranHash != ""
	p.noteStray(run)
	p.turns = append(p.turns, t)
	p.bytes += int64(len(t.Answer)) + turnOverheadBytes
	if t.IdempotencyKey != "" {
		p.keys[t.IdempotencyKey] = uint64(len(p.turns))
	}
	p.next = openTurn{}
	p.touch(m.nowMS)
}

// noteStray notes that an attempt replaces one of another request that may have run.
func (p *program) noteStray(run *attempt) {
	if p.next.ranHash != "" && p.next.ranHash != run.RequestHash {
		p.strayRan = true
	}
}

// numberOf returns the number of a closed turn.
func (p *program) numberOf(t *turn) uint64 {
	for i := len(p.turns) - 1; i >= 0; i-- {
		if &p.turns[i] == t {
			return uint64(i + 1)
		}
	}
	return 0
}

// renew extends leases and names the attempts that are no longer current.
func (m *Machine) renew(c *Renew) *Result {
	res := ok()
	res.Renewed = &Renewed{}
	for _, id := range c.Attempts {
		p := m.running[id]
		if p == nil || p.next.running.Owner != c.Owner {
			res.Renewed.Lost = append(res.Renewed.Lost, id)
			continue
		}
		p.next.running.LeaseUntilMS = m.after(m.limits.Lease)
		p.touch(m.nowMS)
	}
	return res
}

// fenceLapsed fences the attempt under way if its lease ran out.
func (m *Machine) fenceLapsed(p *program) bool {
	run := p.next.running
	if run == nil || run.LeaseUntilMS > m.nowMS {
		return false
	}
	m.fence(p)
	return true
}

// ownerLost fences the attempts of a VM's incarnation and of those before it.
func (m *Machine) ownerLost(c *OwnerLost) *Result {
	m.lost[c.Owner.VM] = max(m.lost[c.Owner.VM], c.Owner.Incarnation)
	var lost []*program
	for _, p := range m.running {
		if m.isLost(p.next.running.Owner) {
			lost = append(lost, p)
		}
	}
	// Programs are fenced in a fixed order: what ends queues for retention in that order.
	sortPrograms(lost)
	for _, p := range lost {
		m.fence(p)
	}
	return ok()
}

func (m *Machine) isLost(o Owner) bool {
	until, known := m.lost[o.VM]
	return known && o.Incarnation <= until
}

// cancel ends the turn under way on the caller's word.
func (m *Machine) cancel(c *Cancel) *Result {
	p := m.program(c.Account, c.Program)
	if p == nil {
		return m.noProgram(c.Account, c.Program)
	}
	if p.next.running != nil && c.Turn == p.nextTurn() {
		m.fence(p)
		p.next.cancelled = p.next.ranHash != ""
	}
	return ok()
}
