package ratelimit

import (
	"fmt"
	"math/bits"
	"time"
)

// Lifetimes of loans.
const (
	// LoanLife is how long the borrower may use a loan, counted from the sending of its Ask. It is
	// also the longest wait W of a request between its draw and its dispatch.
	LoanLife = 500 * time.Millisecond
	// LoanHold is how long the lender counts a loan that is not settled. It is longer than
	// LoanLife, so that a token returned at the end of its life still arrives in time.
	LoanHold = 750 * time.Millisecond
)

// Share is one zone's part of a client account's bucket, as kept by its holder.
//
// The tokens and the loans that are neither settled nor certainly expired never exceed the burst.
// So refilling stops while their sum reaches it, even if some of the loans are already spent.
type Share struct {
	rate        Tokens // per second
	burst       Tokens
	tokens      Tokens
	fraction    uint64 // of a token, in billionths; kept so that refilling loses nothing
	refilled    time.Duration
	outstanding Tokens
	loans       map[uint64]*loan
	expiry      []expiryEntry // in the order of time
	lastLoan    uint64
	// accumulatingLoan is the loan of the only borrower that may hold a fraction of a request while
	// it waits for the rest. If many borrowers accumulated at once, their fractions would fill the
	// burst, refilling would stop, and none would ever reach a whole request.
	accumulatingLoan     uint64
	accumulatingBorrower string
	incarnation          uint64
}

type loan struct {
	amount   Tokens
	spent    Tokens
	returned Tokens
}

type expiryEntry struct {
	number uint64
	at     time.Duration
}

// NewShare returns an empty share. It has no tokens because the former holder may have spent all of
// them a moment ago.
func NewShare(now time.Duration, incarnation uint64, rate, burst Tokens) *Share {
	return &Share{
		rate: rate, burst: burst, refilled: now, incarnation: incarnation,
		loans: map[uint64]*loan{},
	}
}

// SetLimit changes rate and burst. Tokens above the new burst are discarded; a higher burst adds
// none.
func (s *Share) SetLimit(now time.Duration, rate, burst Tokens) {
	s.advance(now)
	s.rate = rate
	s.burst = burst
	s.capToBurst()
	s.checkInvariants()
}

// Tokens returns the amount that can be lent at now.
func (s *Share) Tokens(now time.Duration) Tokens {
	s.advance(now)
	return s.tokens
}

// Lend lends up to want of the share to a VM ("" for the holder itself). The amount may be 0. An
// amount below want is a multiple of whole requests, except for one borrower at a time.
func (s *Share) Lend(now time.Duration, borrower string, want Tokens) (LoanID, Tokens) {
	s.advance(now)
	amount := min(max(want, 0), s.tokens)
	accumulates := amount < want && amount%TokensPerRequest != 0
	if accumulates && s.loans[s.accumulatingLoan] != nil && s.accumulatingBorrower != borrower {
		amount -= amount % TokensPerRequest
		accumulates = false
	}
	if amount == 0 {
		return LoanID{}, 0
	}
	if accumulates {
		s.accumulatingLoan = s.lastLoan + 1
		s.accumulatingBorrower = borrower
	}
	s.tokens -= amount
	s.outstanding += amount
	s.lastLoan++
	s.loans[s.lastLoan] = &loan{amount: amount}
	s.expiry = append(s.expiry, expiryEntry{number: s.lastLoan, at: now + LoanHold})
	s.checkInvariants()
	return LoanID{Incarnation: s.incarnation, Number: s.lastLoan}, amount
}

// Settle records how much of a loan is spent and returned so far. Amounts already reported, expired
// loans and amounts beyond the loan are ignored.
func (s *Share) Settle(now time.Duration, id LoanID, spent, returned Tokens) {
	s.advance(now)
	l := s.loans[id.Number]
	if l == nil || id.Incarnation != s.incarnation {
		return
	}
	spent = max(spent, l.spent)
	returned = max(returned, l.returned)
	if spent+returned > l.amount {
		return
	}
	back := returned - l.returned
	s.outstanding -= back + spent - l.spent
	s.tokens += back
	l.spent = spent
	l.returned = returned
	if spent+returned == l.amount {
		delete(s.loans, id.Number)
	}
	s.capToBurst()
	s.checkInvariants()
}

// waitFor returns how long it takes to gain an amount at a rate, rounded up.
func waitFor(amount, rate Tokens) time.Duration {
	if amount <= 0 {
		return 0
	}
	seconds := float64(amount) / float64(max(rate, 1))
	return min(time.Duration(seconds*float64(time.Second))+1, MaxRetryAfter)
}

// advance refills up to now and expires overdue loans, in the order of time.
func (s *Share) advance(now time.Duration) {
	for len(s.expiry) > 0 && s.expiry[0].at <= now {
		e := s.expiry[0]
		s.expiry = s.expiry[1:]
		s.refill(e.at)
		if l := s.loans[e.number]; l != nil {
			// Whether the loan was spent is unknown: its tokens are not credited again.
			s.outstanding -= l.amount - l.spent - l.returned
			delete(s.loans, e.number)
		}
	}
	s.refill(now)
}

// refill adds rate times the time since the last refill, up to the burst.
func (s *Share) refill(now time.Duration) {
	if now <= s.refilled {
		return
	}
	elapsed := uint64(now - s.refilled)
	s.refilled = now
	hi, lo := bits.Mul64(uint64(s.rate), elapsed)
	lo, carry := bits.Add64(lo, s.fraction, 0)
	hi += carry
	if hi >= uint64(time.Second) {
		s.tokens = max(s.tokens, s.burst-s.outstanding)
		s.fraction = 0
		return
	}
	gained, rest := bits.Div64(hi, lo, uint64(time.Second))
	s.fraction = rest
	s.tokens += Tokens(min(gained, uint64(max(s.burst, 0))))
	s.capToBurst()
}

// capToBurst discards the tokens that exceed the burst together with the loans.
func (s *Share) capToBurst() {
	room := max(s.burst-s.outstanding, 0)
	if s.tokens >= room {
		s.tokens = room
		s.fraction = 0
	}
}

func (s *Share) checkInvariants() {
	var open Tokens
	for _, l := range s.loans {
		open += l.amount - l.spent - l.returned
	}
	if open != s.outstanding {
		panic(fmt.Sprintf("ratelimit: loans of %d, but %d counted", open, s.outstanding))
	}
	if s.tokens < 0 || s.outstanding < 0 {
		panic(fmt.Sprintf("ratelimit: %d tokens and %d lent", s.tokens, s.outstanding))
	}
	if s.tokens > 0 && s.tokens+s.outstanding > s.burst {
		panic(fmt.Sprintf("ratelimit: %d tokens and %d lent exceed the burst %d", s.tokens, s.outstanding, s.burst))
	}
}
