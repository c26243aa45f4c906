package program

// programRunning returns the program if the attempt is its current one, or nil.
func (m *Machine) programRunning(accountID, name, attemptID string) *program {
	p := m.running[attemptID]
	if p == nil || p.account != accountID || p.name != name {
		return nil
	}
	return p
}

func (m *Machine) refuseSuperseded(attemptID string) *Result {
	res := refuse(CodeSuperseded, "the attempt is not under way")
	if reason := m.tombstones.reason(attemptID); reason != "" {
		res.Detail = "the attempt was " + string(reason)
	}
	res.MayHaveRun = m.tombstones.reason(attemptID) != endRevoked
	return res
}

// revoke reopens a turn whose attempt wrote no byte. An attempt that has not begun yet gets a
// tombstone, so that its Begin, if it still arrives, does not start it.
func (m *Machine) revoke(c *Revoke) *Result {
	p := m.programRunning(c.Account, c.Program, c.Attempt)
	if p == nil {
		return m.revokeNotCurrent(c)
	}
	run := p.next.running
	m.unindexAttempt(p, endRevoked)
	p.release(run.ReserveTokens)
	p.next.running = nil
	p.next.nonRepeatableStarted = false
	res := okResult()
	res.MayHaveRun = p.next.mayHaveRunHash != "" || p.replacedMayHaveRun && run.Unnumbered
	if p.oneCall && !res.MayHaveRun {
		m.remove(p)
	}
	return res
}

func (m *Machine) revokeNotCurrent(c *Revoke) *Result {
	p := m.program(c.Account, c.Program)
	reason := m.tombstones.reason(c.Attempt)
	answered := p != nil && p.closedTurnOf(c.Attempt, 0) != nil
	if answered || reason == endFailed || reason == endFenced {
		return m.refuseSuperseded(c.Attempt)
	}
	if reason == "" {
		m.addTombstone(c.Attempt, endRevoked)
	}
	res := okResult()
	// Another attempt of the same request may have started before or since. The command does not
	// contain the request hash, so any attempt that ran counts, also one of a purged program.
	if p == nil {
		res.MayHaveRun = m.refuseNoProgram(c.Account, c.Program).MayHaveRun
		return res
	}
	res.MayHaveRun = len(p.turns) > 0 || p.next.running != nil || p.next.mayHaveRunHash != "" || p.replacedMayHaveRun
	return res
}

// unindexAttempt removes the attempt under way from the index and adds a tombstone; the caller
// settles it.
func (m *Machine) unindexAttempt(p *program, reason endReason) {
	delete(m.running, p.next.running.ID)
	m.addTombstone(p.next.running.ID, reason)
	p.touch(m.nowMS)
}

// complete records the answer of the current attempt. Repeated by the attempt that answered the
// turn, it returns the same result.
func (m *Machine) complete(c *Complete) *Result {
	p := m.programRunning(c.Account, c.Program, c.Attempt)
	if p == nil {
		return m.completeNotCurrent(c)
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
	m.recordResidency(p, run, c.Residency)
	if p.oneCall {
		m.finish(p, StateEnded)
	}
	res := okResult()
	res.Settled = &settled
	return res
}

func (m *Machine) completeNotCurrent(c *Complete) *Result {
	p := m.program(c.Account, c.Program)
	if p != nil {
		t := p.closedTurnOf(c.Attempt, 0)
		if t != nil && t.State == TurnAnswered {
			res := okResult()
			res.Settled = &t.Settled
			return res
		}
	}
	m.releaseUnheld(c.Account, c.Program, c.Residency)
	return m.refuseSuperseded(c.Attempt)
}

// fail settles an attempt that may have run and has no answer.
func (m *Machine) fail(c *Fail) *Result {
	p := m.programRunning(c.Account, c.Program, c.Attempt)
	if p == nil {
		if m.tombstones.reason(c.Attempt) == endFailed {
			return okResult()
		}
		return m.refuseSuperseded(c.Attempt)
	}
	used := c.UsedTokens
	if c.Outcome == OutcomeUnknown {
		used = p.next.running.ReserveTokens
	}
	m.settleUnanswered(p, endFailed, used)
	m.releaseUnheld(c.Account, c.Program, c.Residency)
	return okResult()
}

// fence ends the attempt under way without its owner: its whole reservation is charged, because it
// may have run.
func (m *Machine) fence(p *program) {
	m.settleUnanswered(p, endFenced, p.next.running.ReserveTokens)
}

// settleUnanswered ends an attempt that may have run. A turn that is not repeatable is closed with
// an unknown outcome, which prevents a second run.
func (m *Machine) settleUnanswered(p *program, reason endReason, usedTokens int64) {
	run := p.next.running
	m.unindexAttempt(p, reason)
	settled := p.settle(run.ReserveTokens, usedTokens)
	if run.Repeatable {
		p.noteReplaced(run)
		p.next.running = nil
		p.next.mayHaveRunHash = run.RequestHash
		return
	}
	m.closeTurn(p, turn{State: TurnUnknown, Settled: settled})
	if p.oneCall {
		m.finish(p, StateEnded)
	}
}

// closeTurn closes the turn under way permanently, records it and opens the next one.
func (m *Machine) closeTurn(p *program, t turn) {
	run := p.next.running
	t.Kind = run.Kind
	t.RequestHash = run.RequestHash
	t.IdempotencyKey = run.IdempotencyKey
	t.Attempt = run.ID
	t.EndedMS = m.nowMS
	t.EarlierRan = p.next.mayHaveRunHash != ""
	p.noteReplaced(run)
	p.turns = append(p.turns, t)
	p.bytes += int64(len(t.Answer)) + turnOverheadBytes
	if t.IdempotencyKey != "" {
		p.turnByKey[t.IdempotencyKey] = uint64(len(p.turns))
	}
	p.next = openTurn{}
	p.touch(m.nowMS)
}

// noteReplaced sets replacedMayHaveRun if an attempt replaces one of another request that may have
// run.
func (p *program) noteReplaced(run *attempt) {
	if p.next.mayHaveRunHash != "" && p.next.mayHaveRunHash != run.RequestHash {
		p.replacedMayHaveRun = true
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

// renew extends leases and lists the attempts that are no longer current.
func (m *Machine) renew(c *Renew) *Result {
	res := okResult()
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

// fenceIfLeaseExpired fences the attempt under way if its lease has expired, and reports whether it
// did.
func (m *Machine) fenceIfLeaseExpired(p *program) bool {
	run := p.next.running
	if run == nil || run.LeaseUntilMS > m.nowMS {
		return false
	}
	m.fence(p)
	return true
}

// ownerLost fences the attempts of a VM's incarnation and of earlier ones.
func (m *Machine) ownerLost(c *OwnerLost) *Result {
	m.lostOwners[c.Owner.VM] = max(m.lostOwners[c.Owner.VM], c.Owner.Incarnation)
	var lost []*program
	for _, p := range m.running {
		if m.isOwnerLost(p.next.running.Owner) {
			lost = append(lost, p)
		}
	}
	// Programs are fenced in a deterministic order, because those that end are queued for retention
	// in that order.
	sortPrograms(lost)
	for _, p := range lost {
		m.fence(p)
	}
	return okResult()
}

func (m *Machine) isOwnerLost(o Owner) bool {
	until, known := m.lostOwners[o.VM]
	return known && o.Incarnation <= until
}

// cancel ends the turn under way at the caller's request.
func (m *Machine) cancel(c *Cancel) *Result {
	p := m.program(c.Account, c.Program)
	if p == nil {
		return m.refuseNoProgram(c.Account, c.Program)
	}
	if p.next.running != nil && c.Turn == p.nextTurn() {
		m.fence(p)
		p.next.cancelled = p.next.mayHaveRunHash != ""
	}
	return okResult()
}
