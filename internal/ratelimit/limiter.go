package ratelimit

import (
	"fmt"
	"time"
)

// Intervals, timeouts and bounds of a Limiter.
const (
	// TickInterval is how often the host calls Tick.
	TickInterval = 20 * time.Millisecond
	// DrawTimeout is the longest time that a draw waits for its tokens.
	DrawTimeout = 2 * time.Second
	// MaxExpectedWait is the wait above which a draw is refused at once: if all shares together need
	// longer to gain its token.
	MaxExpectedWait = 750 * time.Millisecond
	// MaxRoundInterval is the longest time between two rounds of Asks while a draw is queued; it
	// is shorter than the life of the loans gathered so far.
	MaxRoundInterval = 250 * time.Millisecond
	// RedrawTimeout is how long a request that was admitted before waits for another token at most.
	RedrawTimeout = 30 * time.Second
	// WriteGrace is how long after its token was spent the sending of a request may begin. If this
	// has passed, for example because the VM was frozen in between, the request draws again.
	WriteGrace = 200 * time.Millisecond
	// AskTimeout is how long the borrower waits for the Reply to an Ask.
	AskTimeout = 150 * time.Millisecond
	// LenderBackoff is how long a lender that did not reply is sent no Ask.
	LenderBackoff = 1 * time.Second
	// lateReplyWindow is how long after its Ask a late Reply's loan is still returned.
	lateReplyWindow = 2 * time.Second
	// MinRoundInterval is the shortest time between two rounds of Asks for one account.
	MinRoundInterval = 5 * time.Millisecond
	// MaxQueuedDraws bounds the queued draws of one account; more are refused at once.
	MaxQueuedDraws = 16_384
	// NoLeaseRetryAfter is the RetryAfter of refusals while this VM has no lease.
	NoLeaseRetryAfter = 1 * time.Second
	// MaxRetryAfter bounds the RetryAfter of refusals.
	MaxRetryAfter = 1 * time.Hour
)

// Limiter decides on one VM which requests are within their account's rate and burst.
type Limiter struct {
	opts         Options
	view         View
	zones        []string // of the view
	settled      Settled
	accounts     map[string]*account
	pending      map[string]*account // with a scheduled start of a share or growth of a part
	busy         []*account          // with a borrowState, and some whose borrowState just ended
	permits      map[string]*permit  // in state permitDrawn, by request
	grantOrder   []*permit           // the permits in the order of their grants, and some that ended
	lastAsk      uint64
	asks         map[uint64]*account    // with an Ask in flight, by its ID
	timedOutAsks map[uint64]timedOutAsk // by the Ask's ID
	out          Effects
}

// New returns a limiter that refuses everything until it has a view and a lease.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:         opts,
		accounts:     map[string]*account{},
		pending:      map[string]*account{},
		permits:      map[string]*permit{},
		asks:         map[uint64]*account{},
		timedOutAsks: map[uint64]timedOutAsk{},
	}
}

// Draw requests the tokens for one request. The decision is among the effects of this step or of a
// later one. request must be unique among the draws and permits in use; cutoffLimit is the account's.
func (l *Limiter) Draw(now time.Duration, id, request string, cutoffLimit time.Duration) Effects {
	l.draw(now, id, queuedDraw{request: request, deadline: now + DrawTimeout, cutoffLimit: cutoffLimit})
	return l.takeEffects()
}

// Redraw requests tokens for a request that was admitted and whose permit is no longer valid. It
// precedes new draws.
func (l *Limiter) Redraw(now time.Duration, id, request string, cutoffLimit time.Duration) Effects {
	l.draw(now, id, queuedDraw{
		request: request, deadline: now + RedrawTimeout, cutoffLimit: cutoffLimit, redraw: true,
	})
	return l.takeEffects()
}

func (l *Limiter) draw(now time.Duration, id string, w queuedDraw) {
	a := l.accounts[id]
	switch {
	case !l.opts.Lease.ValidWithin(now, w.cutoffLimit):
		l.refuse(w.request, ReasonNoLease, NoLeaseRetryAfter)
		return
	case a == nil || a.deleted:
		l.refuse(w.request, ReasonUnknownAccount, 0)
		return
	}
	b := l.borrowStateOf(a)
	if !w.redraw && l.exceedsMaxWait(now, a) {
		l.refuse(w.request, ReasonRate, l.retryAfter(now, a))
		l.returnUnused(now, a)
		return
	}
	b.enqueue(w)
	l.processQueue(now, a)
}

// Dispatch spends the token of a request that is about to be sent to its upstream. If it returns
// false the request must not be sent and has to draw again (Redraw).
func (l *Limiter) Dispatch(now time.Duration, request string, cutoffLimit time.Duration) (bool, Effects) {
	p := l.permits[request]
	if p == nil {
		return false, l.takeEffects()
	}
	// The lease is checked as the token is spent: on a VM that was frozen it has expired by now.
	if !l.opts.Lease.ValidWithin(now, cutoffLimit) || !p.dispatch(now) {
		l.endPermit(now, request, p)
		return false, l.takeEffects()
	}
	delete(l.permits, request)
	l.settlePermit(now, p)
	return true, l.takeEffects()
}

// GiveBack returns the token of a request that will not run, or cancels its queued draw. It has no
// effect on a request that was dispatched or whose token was returned before.
func (l *Limiter) GiveBack(now time.Duration, request string) Effects {
	if p := l.permits[request]; p != nil {
		l.endPermit(now, request, p)
	}
	for _, a := range l.busy {
		if a.borrow != nil {
			a.borrow.cancel(request)
		}
	}
	return l.takeEffects()
}

func (l *Limiter) endPermit(now time.Duration, request string, p *permit) {
	delete(l.permits, request)
	if p.giveBack() {
		l.settlePermit(now, p)
	}
}

// settlePermit settles the loans that a permit's tokens came from.
func (l *Limiter) settlePermit(now time.Duration, p *permit) {
	for _, part := range p.parts {
		l.settleCredit(now, p.account, part.credit)
	}
}

func (l *Limiter) settleCredit(now time.Duration, a *account, c *credit) {
	if c.share != nil {
		c.share.Settle(now, c.loan, c.spent, c.returned)
		return
	}
	l.send(c.lender, Message{Settle: &Settle{
		Account: a.id, Loan: c.loan, Spent: c.spent, Returned: c.returned,
	}})
}

// Handle processes a message of another VM.
func (l *Limiter) Handle(now time.Duration, from string, m Message) Effects {
	switch {
	case m.Ask != nil:
		l.handleAsk(now, from, *m.Ask)
	case m.Reply != nil:
		l.handleReply(now, from, *m.Reply)
	case m.Settle != nil:
		if a := l.accounts[m.Settle.Account]; a != nil && a.share != nil {
			a.share.Settle(now, m.Settle.Loan, m.Settle.Spent, m.Settle.Returned)
		}
	}
	return l.takeEffects()
}

// handleAsk lends to another VM. A duplicated Ask lends twice; the borrower uses the loan of the
// first Reply only, and the other expires.
func (l *Limiter) handleAsk(now time.Duration, from string, ask Ask) {
	r := Reply{ID: ask.ID, Incarnation: ask.Incarnation}
	a := l.accounts[ask.Account]
	if a == nil || a.share == nil || !l.opts.Lease.ValidWithin(now, ask.CutoffLimit) {
		r.NotHolder = true
		l.send(from, Message{Reply: &r})
		return
	}
	for _, s := range ask.Returned {
		a.share.Settle(now, s.Loan, s.Spent, s.Returned)
	}
	r.Loan, r.Amount = a.share.Lend(now, from, ask.Want)
	r.Left = a.share.Tokens(now)
	l.send(from, Message{Reply: &r})
}

// Tick processes timeouts, expired permits, scheduled starts and queued draws.
func (l *Limiter) Tick(now time.Duration) Effects {
	for id, ask := range l.timedOutAsks {
		if now-ask.sentAt > lateReplyWindow {
			delete(l.timedOutAsks, id)
		}
	}
	l.startPending(now)
	l.expirePermits(now)
	l.advanceBusy(now)
	l.checkBusy()
	return l.takeEffects()
}

// Busy reports whether Tick has work: queued draws, loans, permits or a scheduled start of a share.
func (l *Limiter) Busy() bool { return len(l.pending)+len(l.grantOrder)+len(l.busy) > 0 }

// expirePermits returns the tokens of permits that were not dispatched in time.
func (l *Limiter) expirePermits(now time.Duration) {
	kept := l.grantOrder[:0]
	for _, p := range l.grantOrder {
		if p.state == permitDrawn && now >= p.until {
			l.endPermit(now, p.request, p)
		}
		if p.state == permitDrawn {
			kept = append(kept, p)
		}
	}
	clear(l.grantOrder[len(kept):])
	l.grantOrder = kept
}

func (l *Limiter) advanceBusy(now time.Duration) {
	kept := l.busy[:0]
	for _, a := range l.busy {
		if a.borrow != nil {
			l.expireAsk(now, a)
			l.refuseOverdue(now, a)
			l.processQueue(now, a)
		}
		a.inBusy = a.borrow != nil
		if a.inBusy {
			kept = append(kept, a)
		}
	}
	clear(l.busy[len(kept):])
	l.busy = kept
}

func (l *Limiter) refuse(request string, reason Reason, after time.Duration) {
	l.out.Decisions = append(l.out.Decisions, Decision{Request: request, Reason: reason, RetryAfter: after})
}

func (l *Limiter) send(to string, m Message) {
	l.out.Sends = append(l.out.Sends, Send{To: to, Message: m})
}

func (l *Limiter) takeEffects() Effects {
	out := l.out
	l.out = Effects{}
	return out
}

// Status has counts of a limiter's state, for the state dump.
type Status struct {
	Accounts int `json:"accounts"`
	Shares   int `json:"shares"`  // held by this VM
	Pending  int `json:"pending"` // accounts with a scheduled start or growth, which waits for former holders or other zones
	Permits  int `json:"permits"`
	Waiting  int `json:"waiting"`
}

// Status returns counts of the limiter's state.
func (l *Limiter) Status() Status {
	s := Status{Accounts: len(l.accounts), Pending: len(l.pending), Permits: len(l.permits)}
	for _, a := range l.accounts {
		if a.share != nil {
			s.Shares++
		}
		if a.borrow != nil {
			s.Waiting += len(a.borrow.queue)
		}
	}
	return s
}

// checkInvariants panics if the limiter's tables are inconsistent. Shares and loans check their own
// invariants at each change.
func (l *Limiter) checkInvariants() {
	for id, a := range l.accounts {
		if a.share != nil && !a.holder {
			panic("ratelimit: a share of " + id + " without holding it")
		}
		if a.part != a.target && a.part.largerThan(a.target) {
			panic("ratelimit: the part of " + id + " is larger than its view allows")
		}
	}
	l.checkBusy()
}

// checkBusy is the part of checkInvariants that is cheap enough for every tick.
func (l *Limiter) checkBusy() {
	if len(l.asks) > len(l.busy) {
		panic(fmt.Sprintf("ratelimit: %d asks for %d accounts", len(l.asks), len(l.busy)))
	}
	if len(l.grantOrder) < len(l.permits) {
		panic("ratelimit: a permit without an expiry")
	}
	for _, a := range l.busy {
		if a.borrow != nil {
			a.borrow.checkInvariants(a)
		}
	}
}
