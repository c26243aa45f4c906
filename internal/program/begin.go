package program

import "slices"

// begin starts a turn or returns the refusal. The order of the checks matters: recorded turns are
// answered first, so that a repeated request never gets a worse answer than the first one.
func (m *Machine) begin(c *Begin, timeMS int64) *Result {
	if reason := m.tombstones.reason(c.Attempt); reason != "" {
		return m.refuseUnresolved(c, refuse(CodeSuperseded, "the attempt was %s", reason))
	}
	if m.isOwnerLost(c.Owner) {
		return m.refuseUnresolved(c, refuse(CodeOwnerFenced, "VM %s was declared lost", c.Owner.VM))
	}
	if p := m.running[c.Attempt]; p != nil && p != m.program(c.Account, c.Program) {
		return refuse(CodeBadCommand, "the attempt runs a turn of another program")
	}
	p := m.program(c.Account, c.Program)
	created := p == nil
	if created {
		var res *Result
		if p, res = m.createImplicit(c, timeMS); res != nil {
			return res
		}
	}
	res := m.beginTurn(p, c, timeMS)
	if created && res.Started == nil {
		m.remove(p)
	}
	return res
}

// refuseUnresolved completes the refusal of a Begin whose turn was not resolved: it sets MayHaveRun
// if anything in the program's record indicates that the request may have run.
func (m *Machine) refuseUnresolved(c *Begin, res *Result) *Result {
	p := m.program(c.Account, c.Program)
	if p == nil {
		res.MayHaveRun = m.refuseNoProgram(c.Account, c.Program).MayHaveRun
		return res
	}
	run := p.next.running
	res.MayHaveRun = run != nil && run.RequestHash == c.RequestHash || p.next.mayHaveRunHash != "" || p.replacedMayHaveRun ||
		p.ranBefore(c.RequestHash)
	return res
}

// createImplicit creates the program of a first call with Implicit.
func (m *Machine) createImplicit(c *Begin, timeMS int64) (*program, *Result) {
	if c.Implicit == nil || m.home != MajorityHome || HomeOf(c.Program) != MajorityHome {
		return nil, m.refuseNoProgram(c.Account, c.Program)
	}
	if m.isStale(timeMS) {
		return nil, m.refuseStale()
	}
	return m.addProgram(&Create{
		Account:    c.Account,
		Name:       c.Program,
		Ceiling:    c.Implicit.Ceiling,
		DeadlineMS: c.Implicit.DeadlineMS,
	}, c.Implicit.OneCall)
}

// refuseStale refuses a command that is so old that it may be a copy of one that was applied long
// ago.
func (m *Machine) refuseStale() *Result {
	res := refuse(CodeStale, "the command is more than %s old; check the VM's clock", m.limits.MaxCommandAge)
	res.MayHaveRun = true
	return res
}

func (m *Machine) beginTurn(p *program, c *Begin, timeMS int64) *Result {
	if run := p.next.running; run != nil && run.ID == c.Attempt {
		return m.startedResult(p)
	}
	if t := p.closedTurnOf(c.Attempt, m.nowMS-m.limits.MaxCommandAge.Milliseconds()); t != nil {
		return t.recordedResult(p.numberOf(t), t.RequestHash)
	}
	m.fenceIfLeaseExpired(p)
	m.expireIfDue(p)
	number := p.resolve(c)
	if number < p.nextTurn() {
		return p.turns[number-1].recordedResult(number, c.RequestHash)
	}
	if res := m.checkStart(p, c, number, timeMS); res != nil {
		res.ExpectedTurn = p.nextTurn()
		res.MayHaveRun = res.MayHaveRun || p.mayHaveRun(c, number)
		return res
	}
	return m.start(p, c)
}

// mayHaveRun reports whether an earlier, unanswered attempt of a refused request may have run.
func (p *program) mayHaveRun(c *Begin, number uint64) bool {
	return p.next.mayHaveRunHash != "" && number == p.nextTurn() || p.replacedMayHaveRun && c.Turn == 0
}

// resolve returns the number of the turn that a call refers to. An idempotency key refers to the
// turn it was recorded with. A call with neither a number nor a key repeats the last turn if the
// request is the same and it either came with the whole conversation or the last turn has an
// unknown outcome.
func (p *program) resolve(c *Begin) uint64 {
	if n := p.turnByKey[c.IdempotencyKey]; n > 0 {
		return n
	}
	if c.Turn > 0 {
		return c.Turn
	}
	if p.oneCall {
		return 1
	}
	if len(p.turns) == 0 {
		return 1
	}
	last := p.turns[len(p.turns)-1]
	again := c.Prefix != nil || last.State == TurnUnknown
	if again && c.IdempotencyKey == "" && last.RequestHash == c.RequestHash {
		return uint64(len(p.turns))
	}
	return p.nextTurn()
}

// recordedResult returns the result of a closed turn from the record.
func (t *turn) recordedResult(number uint64, requestHash string) *Result {
	if t.RequestHash != requestHash {
		res := refuse(CodeTurnConflict, "turn %d was another request", number)
		res.MayHaveRun = t.EarlierRan
		return res
	}
	if t.State == TurnUnknown {
		res := refuse(CodeUnknownOutcome, "turn %d may have run and is not run again", number)
		res.MayHaveRun = true
		return res
	}
	res := okResult()
	res.Answered = &Answered{
		Turn:        number,
		Attempt:     t.Attempt,
		Status:      t.Status,
		ContentType: t.ContentType,
		Answer:      t.Answer,
	}
	return res
}

// checkStart returns the refusal if a turn that is not closed can't be started, or nil if it can.
func (m *Machine) checkStart(p *program, c *Begin, number uint64, timeMS int64) *Result {
	switch {
	case p.state == StateEnded:
		return refuse(CodeEnded, "the program has ended")
	case p.state == StateExpired:
		return refuse(CodeExpired, "the program has expired")
	case p.next.running != nil:
		return m.refuseBusy(p, c, number)
	case number > p.nextTurn():
		return refuse(CodeOutOfOrder, "turn %d was called, turn %d is next", number, p.nextTurn())
	case m.isStale(timeMS):
		return m.refuseStale()
	case c.Prefix != nil && !p.matches(c.Prefix):
		res := refuse(CodeHistoryMismatch, "the conversation does not extend the recorded one")
		res.RecordedMessages = len(p.history)
		res.MayHaveRun = c.Turn == 0 && p.ranBefore(c.RequestHash)
		return res
	case p.bytes >= m.limits.MaxBytes:
		return refuse(CodeTooLarge, "the record has %d bytes, the bound is %d", p.bytes, m.limits.MaxBytes)
	}
	left := p.remaining()
	if left.Calls < 1 || left.Tokens < c.ReserveTokens {
		res := refuse(CodeBudgetExceeded, "%d tokens and 1 call wanted, %d tokens and %d calls left",
			c.ReserveTokens, left.Tokens, left.Calls)
		res.Remaining = &left
		return res
	}
	return nil
}

func (m *Machine) refuseBusy(p *program, c *Begin, number uint64) *Result {
	run := p.next.running
	same := run.RequestHash == c.RequestHash && run.identifiedBy(c, number == p.nextTurn())
	res := refuse(CodeBusy, "turn %d is under way on VM %s", p.nextTurn(), run.Owner.VM)
	res.Busy = &BusyTurn{Turn: p.nextTurn(), Attempt: run.ID, Owner: run.Owner, Same: same}
	res.MayHaveRun = same
	res.RetryAfterMS = max(run.LeaseUntilMS-m.nowMS, 1)
	return res
}

// identifiedBy reports whether a call refers to the turn of this attempt: by its number, by its
// idempotency key, or, with neither, by being the next one.
func (a *attempt) identifiedBy(c *Begin, next bool) bool {
	if c.IdempotencyKey != "" && c.IdempotencyKey == a.IdempotencyKey {
		return true
	}
	return next && (c.Turn > 0 || c.IdempotencyKey == a.IdempotencyKey)
}

// ranBefore reports whether a closed turn has this request hash.
func (p *program) ranBefore(requestHash string) bool {
	return slices.ContainsFunc(p.turns, func(t turn) bool { return t.RequestHash == requestHash })
}

// start makes the attempt the current one. The dispatch intent is durable as soon as the command
// is.
func (m *Machine) start(p *program, c *Begin) *Result {
	if m.checksEnabled && p.next.nonRepeatableStarted {
		panic("program: invariant: a turn that is not repeatable is started twice: " + p.path())
	}
	if !p.reserve(c.ReserveTokens) {
		panic("program: reservation failed after its check: " + p.path())
	}
	p.begins++
	p.next.cancelled = false
	p.next.nonRepeatableStarted = !c.Repeatable
	p.hasNonRepeatable = p.hasNonRepeatable || !c.Repeatable
	p.next.running = &attempt{
		ID:             c.Attempt,
		Owner:          c.Owner,
		Kind:           c.Kind,
		RequestHash:    c.RequestHash,
		IdempotencyKey: c.IdempotencyKey,
		Unnumbered:     c.Turn == 0,
		Repeatable:     c.Repeatable,
		ReserveTokens:  c.ReserveTokens,
		Messages:       c.Messages,
		LeaseUntilMS:   m.after(m.limits.Lease),
		NewSession:     p.newSession(),
	}
	m.running[c.Attempt] = p
	p.touch(m.nowMS)
	return m.startedResult(p)
}

func (m *Machine) startedResult(p *program) *Result {
	run := p.next.running
	res := okResult()
	res.Started = &Started{
		Turn:             p.nextTurn(),
		Attempt:          run.ID,
		LeaseUntilMS:     run.LeaseUntilMS,
		DeadlineMS:       p.deadlineMS,
		Remaining:        p.remaining(),
		RecordedMessages: len(p.history),
		Residencies:      m.validResidencies(p),
		NewSession:       run.NewSession,
		IdempotencyKey:   p.upstreamKey(run.RequestHash),
	}
	return res
}
