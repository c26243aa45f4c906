package ratelimit

import (
	"fmt"
	"slices"
	"time"
)

// borrowState is the state of an account while draws are queued or loans are in use.
//
// At most one Ask is in flight; it covers all queued draws. So the message rate of an account is
// bounded by the time a reply takes, not by the account's traffic.
type borrowState struct {
	queue       []queuedDraw
	credits     []*credit
	ask         *pendingAsk
	askedZones  []string      // zones that were sent an Ask in this round
	nextRoundAt time.Duration // start of the next round
	lenders     map[string]*lenderState
}

// queuedDraw is a draw that waits for its decision.
type queuedDraw struct {
	request     string
	deadline    time.Duration
	cutoffLimit time.Duration
	redraw      bool
}

// lenderState is the last known state of a zone's holder.
type lenderState struct {
	tokens      Tokens
	reportedAt  time.Duration // of tokens
	pausedUntil time.Duration // no Ask is sent before
}

// timedOutAsk is an Ask that timed out; the loan of a late Reply to it is returned in full, once.
type timedOutAsk struct {
	account string
	sentAt  time.Duration
}

type pendingAsk struct {
	id     uint64
	zone   string
	to     string
	sentAt time.Duration
}

func (l *Limiter) borrowStateOf(a *account) *borrowState {
	if a.borrow == nil {
		a.borrow = &borrowState{lenders: map[string]*lenderState{}}
	}
	if !a.inBusy {
		a.inBusy = true
		l.busy = append(l.busy, a)
	}
	return a.borrow
}

// enqueue adds a draw; redraws precede new draws, in order of arrival.
func (b *borrowState) enqueue(w queuedDraw) {
	at := len(b.queue)
	if w.redraw {
		at = 0
		for at < len(b.queue) && b.queue[at].redraw {
			at++
		}
	}
	b.queue = slices.Insert(b.queue, at, w)
}

func (b *borrowState) cancel(request string) {
	b.queue = slices.DeleteFunc(b.queue, func(w queuedDraw) bool { return w.request == request })
}

// exceedsMaxWait reports whether a new draw would wait longer than MaxExpectedWait at the account's
// full rate, or the queue is full.
func (l *Limiter) exceedsMaxWait(now time.Duration, a *account) bool {
	b := a.borrow
	if len(b.queue) >= MaxQueuedDraws {
		return true
	}
	need := toTokens(float64(len(b.queue)+1)) - l.estimateTotal(now, a)
	return waitFor(need, toTokens(a.limit.RatePerSecond)) > MaxExpectedWait
}

// estimateTotal estimates the tokens of all shares of an account.
func (l *Limiter) estimateTotal(now time.Duration, a *account) Tokens {
	var sum Tokens
	for _, zone := range a.zones {
		if zone == l.opts.Zone && a.share != nil {
			sum += a.share.Tokens(now)
			continue
		}
		sum += a.borrow.estimate(now, a, zone)
	}
	return sum
}

// estimate extrapolates the tokens of a zone's holder from its last Reply.
func (b *borrowState) estimate(now time.Duration, a *account, zone string) Tokens {
	rate, burst := part{Count: len(a.zones)}.rateAndBurst(a.limit)
	n := b.lenders[zone]
	if n == nil {
		return burst
	}
	if now < n.pausedUntil {
		return 0
	}
	gained := Tokens(float64(rate) * (now - n.reportedAt).Seconds())
	return min(burst, n.tokens+gained)
}

// processQueue grants the queued draws that loans cover and sends an Ask for the rest.
func (l *Limiter) processQueue(now time.Duration, a *account) {
	b := a.borrow
	for len(b.queue) > 0 && l.grantFirst(now, a) {
	}
	for len(b.queue) > 0 && !l.opts.Lease.ValidWithin(now, b.queue[0].cutoffLimit) {
		l.refuse(b.queue[0].request, ReasonNoLease, NoLeaseRetryAfter)
		b.queue = b.queue[1:]
	}
	if len(b.queue) == 0 {
		b.askedZones = nil
	}
	if len(b.queue) > 0 && b.ask == nil && now >= b.nextRoundAt {
		l.askNext(now, a)
	}
	l.returnUnused(now, a)
}

// grantFirst grants the first queued draw if the available loans add up to one request.
func (l *Limiter) grantFirst(now time.Duration, a *account) bool {
	b := a.borrow
	w := b.queue[0]
	if !l.opts.Lease.ValidWithin(now, w.cutoffLimit) {
		return false
	}
	l.borrowFromOwnShare(now, a)
	p := &permit{request: w.request, account: a, until: now + LoanLife}
	need := TokensPerRequest
	for _, c := range b.credits {
		if take := min(need, c.available(now)); take > 0 {
			p.parts = append(p.parts, permitPart{credit: c, amount: take})
			p.until = min(p.until, c.expires)
			need -= take
		}
	}
	if need > 0 {
		return false
	}
	for _, part := range p.parts {
		part.credit.drawn += part.amount
	}
	b.queue = b.queue[1:]
	l.permits[w.request] = p
	l.grantOrder = append(l.grantOrder, p)
	l.out.Decisions = append(l.out.Decisions, Decision{Request: w.request, Granted: true, Until: p.until})
	return true
}

// borrowFromOwnShare borrows the missing tokens from this VM's own share, after returning earlier
// loans of that share that no permit uses.
func (l *Limiter) borrowFromOwnShare(now time.Duration, a *account) {
	if a.share == nil {
		return
	}
	lack := TokensPerRequest
	for _, c := range a.borrow.credits {
		if c.share == a.share && c.drawn == 0 && c.unused() > 0 {
			c.returned += c.unused()
			l.settleCredit(now, a, c)
		}
		lack -= c.available(now)
	}
	id, amount := a.share.Lend(now, "", lack)
	if amount == 0 {
		return
	}
	a.borrow.credits = append(a.borrow.credits, &credit{
		share: a.share, loan: id, amount: amount, expires: now + LoanLife,
	})
}

func (l *Limiter) refuseOverdue(now time.Duration, a *account) {
	b := a.borrow
	kept := b.queue[:0]
	for _, w := range b.queue {
		if now < w.deadline {
			kept = append(kept, w)
			continue
		}
		l.refuse(w.request, ReasonRate, l.retryAfter(now, a))
	}
	b.queue = kept
}

// refuseWaiting refuses every queued draw.
func (l *Limiter) refuseWaiting(_ time.Duration, a *account, reason Reason) {
	if a.borrow == nil {
		return
	}
	for _, w := range a.borrow.queue {
		l.refuse(w.request, reason, 0)
	}
	a.borrow.queue = nil
}

// retryAfter estimates when the shares together have the tokens for one more request.
func (l *Limiter) retryAfter(now time.Duration, a *account) time.Duration {
	need := toTokens(float64(len(a.borrow.queue)+1)) - l.estimateTotal(now, a)
	return max(time.Millisecond, waitFor(need, toTokens(a.limit.RatePerSecond)))
}

// askNext sends an Ask to the next holder of this round: the own zone's first, then the one with
// the most tokens by estimate.
func (l *Limiter) askNext(now time.Duration, a *account) {
	b := a.borrow
	zone, holder := l.nextLender(now, a)
	if zone == "" {
		// The round is over: no holder has enough tokens now.
		b.askedZones = nil
		lack := TokensPerRequest - min(TokensPerRequest, l.estimateTotal(now, a))
		b.nextRoundAt = now + max(MinRoundInterval, min(waitFor(lack, toTokens(a.limit.RatePerSecond)), MaxRoundInterval))
		return
	}
	b.askedZones = append(b.askedZones, zone)
	returned := b.reclaimUnused(a.id, holder)
	want := toTokens(float64(len(b.queue)))
	for _, c := range b.credits {
		want -= c.available(now)
	}
	l.lastAsk++
	b.ask = &pendingAsk{id: l.lastAsk, zone: zone, to: holder, sentAt: now}
	l.asks[l.lastAsk] = a
	l.send(b.ask.to, Message{Ask: &Ask{
		ID: l.lastAsk, Incarnation: l.opts.Incarnation, Account: a.id,
		Want: want, Returned: returned, CutoffLimit: b.queue[0].cutoffLimit,
	}})
}

// reclaimUnused returns the unused loans of a lender, to be settled with an Ask.
func (b *borrowState) reclaimUnused(account, holder string) []Settle {
	var returned []Settle
	for _, c := range b.credits {
		if c.lender == holder && c.drawn == 0 && c.unused() > 0 {
			c.returned += c.unused()
			returned = append(returned, Settle{
				Account: account, Loan: c.loan, Spent: c.spent, Returned: c.returned,
			})
		}
	}
	return returned
}

func (l *Limiter) nextLender(now time.Duration, a *account) (zone, holder string) {
	b := a.borrow
	var most Tokens
	for _, z := range a.zones {
		vm := l.view.Fleet.Holder(a.id, z)
		if vm == "" || vm == l.opts.VM || slices.Contains(b.askedZones, z) {
			continue
		}
		if n := b.lenders[z]; n != nil && now < n.pausedUntil {
			continue
		}
		if z == l.opts.Zone {
			return z, vm
		}
		if have := b.estimate(now, a, z); zone == "" || have > most {
			zone, holder, most = z, vm, have
		}
	}
	return zone, holder
}

// handleReply adds the loan of a Reply. A late one is returned, and a duplicate is ignored.
func (l *Limiter) handleReply(now time.Duration, from string, r Reply) {
	if r.Incarnation != l.opts.Incarnation {
		return
	}
	if ask, late := l.timedOutAsks[r.ID]; late {
		// Only once: a duplicate must not return the loan again.
		delete(l.timedOutAsks, r.ID)
		if r.Amount > 0 {
			l.send(from, Message{Settle: &Settle{Account: ask.account, Loan: r.Loan, Returned: r.Amount}})
		}
		return
	}
	a := l.asks[r.ID]
	if a == nil || a.borrow.ask.to != from {
		return
	}
	b := a.borrow
	ask := b.ask
	l.endAsk(a)
	b.lenders[ask.zone] = &lenderState{tokens: r.Left, reportedAt: now}
	if r.NotHolder {
		b.lenders[ask.zone].pausedUntil = now + AskTimeout
	}
	if r.Amount > 0 {
		// The loan's life starts when the Ask was sent; the lender counts from its later receipt.
		b.credits = append(b.credits, &credit{
			lender: from, loan: r.Loan, amount: r.Amount, expires: ask.sentAt + LoanLife,
		})
	}
	l.processQueue(now, a)
}

func (l *Limiter) expireAsk(now time.Duration, a *account) {
	ask := a.borrow.ask
	if ask == nil || now-ask.sentAt < AskTimeout {
		return
	}
	l.endAsk(a)
	l.timedOutAsks[ask.id] = timedOutAsk{account: a.id, sentAt: ask.sentAt}
	a.borrow.lenders[ask.zone] = &lenderState{reportedAt: now, pausedUntil: now + LenderBackoff}
}

func (l *Limiter) endAsk(a *account) {
	delete(l.asks, a.borrow.ask.id)
	a.borrow.ask = nil
}

// returnUnused returns loans that no queued draw can use and removes the state that is no longer
// needed.
func (l *Limiter) returnUnused(now time.Duration, a *account) {
	b := a.borrow
	kept := b.credits[:0]
	for _, c := range b.credits {
		if unused := c.unused(); unused > 0 && (len(b.queue) == 0 || c.available(now) == 0) {
			c.returned += unused
			l.settleCredit(now, a, c)
		}
		if c.drawn > 0 || c.unused() > 0 {
			kept = append(kept, c)
		}
	}
	b.credits = kept
	idle := len(b.queue) == 0 && len(b.credits) == 0 && b.ask == nil && now >= b.nextRoundAt
	if idle && b.lenderStatesExpired(now) {
		a.borrow = nil
	}
}

// lenderStatesExpired reports whether all lender states are older than LenderBackoff.
func (b *borrowState) lenderStatesExpired(now time.Duration) bool {
	for _, n := range b.lenders {
		if now-n.reportedAt < LenderBackoff {
			return false
		}
	}
	return true
}

func (b *borrowState) checkInvariants(a *account) {
	if len(b.queue) > 2*MaxQueuedDraws {
		panic("ratelimit: too many draws wait on " + a.id)
	}
	for _, c := range b.credits {
		if c.drawn < 0 || c.spent < 0 || c.returned < 0 || c.drawn+c.spent+c.returned > c.amount {
			panic(fmt.Sprintf("ratelimit: loan of %d: %d drawn, %d spent, %d returned", c.amount, c.drawn, c.spent, c.returned))
		}
	}
}
