package program

import (
	"bytes"
	"fmt"
	"slices"

	"egretramp/internal/refusal"
)

func (w *simulation) addCaller(name, parent string) {
	c := &caller{requestedName: name, name: w.programName(name), root: w.programName(name), parent: parent, turn: 1, answers: map[uint64][]byte{}}
	for _, p := range w.callers {
		if p.name == parent {
			c.root, c.depth = p.root, p.depth+1
		}
	}
	c.nextTurn(w)
	w.callers = append(w.callers, c)
	w.create(c)
}

func (w *simulation) create(c *caller) {
	budget := Budget{Tokens: simTokens, Calls: 60}
	if c.parent != "" {
		budget.Tokens = simTokens * 3 / 4
	}
	create := &Create{Account: "acc", Name: c.requestedName, Parent: c.parent, Budget: budget, Ceiling: budget}
	if w.home != MajorityHome {
		create.Token = simToken
	}
	if w.chance(20) {
		create.DeadlineMS = w.nowMS + 200_000
	}
	if w.chance(10) {
		return // the caller doesn't create the program
	}
	w.propose(pick(w, w.vms), Envelope{Create: create}, func(*Result) {})
}

func (c *caller) nextTurn(w *simulation) {
	c.nonRepeatable = w.chance(50)
	c.chat = !c.nonRepeatable || w.chance(20)
	c.keyed = w.chance(25)
	c.variant = 0
	c.sentMS = 0
}

// request returns an ID of the caller's current request, by which the simulation counts runs.
func (c *caller) request() string {
	return fmt.Sprintf("%s/%d/%d/%v", c.name, c.turn, c.variant, c.nonRepeatable)
}

func (c *caller) message() []byte {
	return fmt.Appendf(nil, `{"content":"%s","role":"user"}`, c.request())
}

// callerStep sends or repeats a caller's current turn, or stops waiting for its answer.
func (w *simulation) callerStep() {
	c := pick(w, w.callers)
	if c.ended {
		return
	}
	if c.waiting != nil {
		if w.chance(10) {
			c.waiting = nil
		}
		return
	}
	if c.sentMS > 0 && w.nowMS-c.sentMS > simRetryWindowMS {
		c.ended = !c.oneCall // the retry window is over
		c.turn++
		c.nextTurn(w)
		return
	}
	if c.sentMS == 0 {
		c.sentMS = w.nowMS
	}
	w.attempts++
	id := fmt.Sprint("attempt", w.attempts)
	vm := pick(w, w.vms)
	call := &simCall{vm: vm, from: c, request: c.request(), begin: Begin{
		Account: "acc", Program: c.name, Turn: c.turn, Kind: KindService, RequestHash: c.request(),
		Repeatable: !c.nonRepeatable, ReserveTokens: simReserve, Attempt: id, Owner: vm.owner,
	}}
	b := &call.begin
	if c.keyed {
		b.Turn, b.IdempotencyKey = 0, c.request()
	}
	if c.oneCall {
		b.Turn, b.Program = 0, OneCallName(c.request())
		b.Implicit = &Implicit{Ceiling: Budget{Tokens: simTokens, Calls: 5}, OneCall: true}
	}
	if c.chat {
		b.Kind, b.Messages = KindChat, [][]byte{c.message()}
		if w.chance(50) && !c.oneCall {
			b.Prefix = &Prefix{Messages: len(c.history), Hash: HashMessages(c.history)}
		}
	}
	if w.chance(3) && b.Turn > 0 {
		b.Turn += 1 + uint64(w.random.IntN(2)) // out of order
		c.unreliable = true
		call.request = fmt.Sprintf("%s at %d", call.request, b.Turn)
		b.RequestHash = call.request
	}
	if w.chance(2) && b.Prefix != nil {
		b.Prefix.Hash = []byte("wrong")
	}
	c.waiting = call
	vm.calls = append(vm.calls, call)
	w.propose(vm, Envelope{Begin: b}, func(res *Result) { w.beginAnswered(call, res) })
	w.pending[len(w.pending)-1].call = call
}

func (w *simulation) beginAnswered(call *simCall, res *Result) {
	if res.Started != nil {
		call.started = res.Started
		return
	}
	w.drop(call)
	if res.Answered != nil {
		w.answer(call, res.Answered.Answer)
		return
	}
	w.refuse(call, &RefusedError{Result: *res})
}

func (w *simulation) drop(call *simCall) {
	call.vm.calls = slices.DeleteFunc(call.vm.calls, func(c *simCall) bool { return c == call })
}

// refuse delivers a refusal to the caller. It fails the test if the refusal says that the request
// did not run although it did.
func (w *simulation) refuse(call *simCall, err error) {
	r := Refusal(err)
	if r.NotRun == refusal.True {
		w.counts["not run"]++
		if w.runs[call.request] > 0 {
			w.failf("refusal %s says that %s did not run, but it ran", r.Code, call.request)
		}
		w.notRunClaims[call.request] = w.step + 1
	}
	c := call.from
	if c.waiting != call {
		return
	}
	c.waiting = nil
	switch Code(r.Code) {
	case CodeUnknownOutcome:
		if call.request == c.request() {
			c.turn++
			c.nextTurn(w)
		}
	case CodeEnded, CodeExpired, CodeBudgetExceeded, CodeTurnConflict:
		c.ended = w.chance(50)
	case CodeHistoryMismatch:
		c.ended = w.chance(10)
	case CodeNoProgram:
		if c.answeredMS > 0 && w.nowMS-c.answeredMS < simRetentionMS-10_000 {
			w.failf("program %s has no record within the retention", c.name)
		}
		c.unreliable = c.unreliable || c.answeredMS > 0 || w.nowMS > simStartMS+simRetentionMS
		w.create(c)
	}
}

// answer delivers a recorded answer to the caller. It fails the test if the answer belongs to
// another request or differs from an earlier answer to the same request.
func (w *simulation) answer(call *simCall, answer []byte) {
	w.counts["answered"]++
	if w.generated[string(answer)] != call.request {
		w.failf("request %s got the answer %q of another request", call.request, answer)
	}
	if first, seen := w.firstAnswers[call.request]; seen && !bytes.Equal(first, answer) {
		w.failf("request %s got the answer %q, but %q before", call.request, answer, first)
	}
	w.firstAnswers[call.request] = answer
	c := call.from
	if c.waiting != call {
		return
	}
	c.waiting = nil
	if call.request != c.request() {
		return
	}
	c.answers[c.turn] = answer
	c.answeredMS = w.nowMS
	if c.chat {
		c.history = append(c.history, c.message(), answer)
	}
	c.turn++
	c.nextTurn(w)
}

// ownerStep advances one call: it revokes, abandons, sends, fails or completes it.
func (w *simulation) ownerStep() {
	vm := pick(w, w.vms)
	if len(vm.calls) == 0 {
		return
	}
	call := pick(w, vm.calls)
	switch {
	case call.settling:
	case call.started == nil:
		if w.chance(10) {
			w.abandon(call)
		}
	case !call.written && w.chance(15):
		w.revoke(call)
	case !call.written:
		w.send(call)
	case w.chance(20):
		w.failCall(call)
	default:
		w.completeCall(call)
	}
}

// abandon revokes a call whose Begin got no answer yet. The Begin may still be applied later.
func (w *simulation) abandon(call *simCall) {
	w.counts["abandoned"]++
	w.pending = slices.DeleteFunc(w.pending, func(p *proposal) bool {
		if p.call != call {
			return false
		}
		w.delayed = append(w.delayed, p.data)
		return true
	})
	w.revoke(call)
}

func (w *simulation) revoke(call *simCall) {
	call.settling = true
	b := &call.begin
	w.propose(call.vm, Envelope{Revoke: &Revoke{Account: b.Account, Program: b.Program, Attempt: b.Attempt}}, func(res *Result) {
		w.drop(call)
		w.revoked[b.Attempt] = res.Code == CodeOK
		res.Code = CodeBusy // as if the VM refused the call because it is overloaded
		w.refuse(call, &RefusedError{Result: *res})
	})
}

// send runs the call on an upstream, even if its attempt has been fenced meanwhile.
func (w *simulation) send(call *simCall) {
	call.written = true
	b := &call.begin
	w.counts["ran"]++
	if w.replicaA.running[b.Attempt] == nil {
		w.counts["late run"]++
	}
	w.runs[call.request]++
	if w.runs[call.request] > 1 {
		w.counts["ran again"]++
		if !b.Repeatable {
			w.failf("request %s is not repeatable but ran %d times", call.request, w.runs[call.request])
		}
	}
	if claim, claimed := w.notRunClaims[call.request]; claimed && w.startedAt[b.Attempt] < claim {
		w.failf("request %s ran by attempt %s, which started before a refusal said that it did not run", call.request, b.Attempt)
	}
	root := call.from.root
	if call.from.oneCall {
		root = b.Program
	}
	w.tokens[root] += simReserve
	if w.tokens[root] > simTokens {
		w.failf("root program %s used %d tokens, more than its budget of %d", root, w.tokens[root], simTokens)
	}
	if b.Kind != KindChat {
		return
	}
	call.engine = pick(w, w.engines)
	e := call.engine
	call.used = &Residency{Model: "m", Engine: e.name, EngineIncarnation: e.incarnation, Session: call.started.NewSession}
	for _, held := range call.started.Residencies {
		if held.Engine == e.name && held.EngineIncarnation == e.incarnation {
			call.used.Session = held.Session
		}
	}
	e.sessions[call.used.Session] = true
}

func (w *simulation) failCall(call *simCall) {
	call.settling = true
	b := &call.begin
	fail := &Fail{
		Account: b.Account, Program: b.Program, Attempt: b.Attempt, Outcome: OutcomeFailed,
		UsedTokens: simReserve, Residency: call.used,
	}
	if w.chance(50) {
		fail.Outcome = OutcomeUnknown
	}
	w.propose(call.vm, Envelope{Fail: fail}, func(*Result) {
		w.drop(call)
		if call.from.waiting == call {
			call.from.waiting = nil // the stream broke off, so the caller repeats the turn
		}
	})
}

func (w *simulation) completeCall(call *simCall) {
	call.settling = true
	b := &call.begin
	answer := fmt.Appendf(nil, `{"content":"answer of %s to %s","role":"assistant"}`, b.Attempt, call.request)
	w.generated[string(answer)] = call.request
	complete := &Complete{
		Account: b.Account, Program: b.Program, Attempt: b.Attempt, Answer: answer, Status: 200,
		UsedTokens: simReserve + 50*int64(w.random.IntN(2)), Residency: call.used,
	}
	if b.Kind == KindChat {
		complete.Messages = [][]byte{answer}
	}
	data := w.encode(call.vm, Envelope{Complete: complete})
	w.pending = append(w.pending, &proposal{vm: call.vm, data: data, reply: func(res *Result) {
		w.drop(call)
		if res.Code != CodeOK {
			w.refuse(call, &RefusedError{Result: *res})
			return
		}
		w.answer(call, answer)
	}})
}

// controlStep performs one of the caller's actions besides turns: create a sub-agent, cancel a
// turn, end the program, or replace the current request.
func (w *simulation) controlStep() {
	c := pick(w, w.callers)
	vm := pick(w, w.vms)
	switch w.random.IntN(5) {
	case 0, 1:
		if !c.oneCall && c.depth+1 < simLimits.MaxDepth {
			w.addCaller(fmt.Sprint("p", len(w.callers)), c.name)
		}
	case 2:
		w.propose(vm, Envelope{Cancel: &Cancel{Account: "acc", Program: c.name, Turn: c.turn}}, func(*Result) {})
	case 3:
		if w.chance(20) {
			w.propose(vm, Envelope{End: &End{Account: "acc", Program: c.name}}, func(*Result) {})
		}
	case 4:
		if c.waiting == nil && !c.nonRepeatable {
			c.variant++ // the caller replaces a repeatable request
			c.unreliable = c.unreliable || c.keyed
		}
	}
}
