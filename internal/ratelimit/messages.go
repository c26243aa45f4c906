package ratelimit

import "time"

// Tokens is an amount of a bucket, in billionths of a request.
type Tokens int64

// TokensPerRequest is the amount that one request spends.
const TokensPerRequest Tokens = 1_000_000_000

// Limit is a client account's configured rate and burst over the whole fleet.
type Limit struct {
	RatePerSecond float64 `json:"rate_per_second"` // requests a second
	Burst         float64 `json:"burst"`           // requests
}

// Ask requests a loan of up to Want from the holder of a share.
type Ask struct {
	ID          uint64 `json:"id"`          // unique for (borrower, Incarnation)
	Incarnation uint64 `json:"incarnation"` // of the borrower
	Account     string `json:"account"`     // canonical ID
	Want        Tokens `json:"want"`
	// Returned has loans that the lender takes back before it lends, so that a borrower that has
	// only a part of a token keeps its turn.
	Returned []Settle `json:"returned,omitempty"`
	// CutoffLimit is the account's.
	CutoffLimit time.Duration `json:"cutoff_limit"` // nanoseconds
}

// Reply answers an Ask. A loan is valid until LoanLife after its Ask was sent.
type Reply struct {
	ID          uint64 `json:"id"`
	Incarnation uint64 `json:"incarnation"` // of the borrower
	Loan        LoanID `json:"loan"`
	Amount      Tokens `json:"amount"` // 0: nothing lent
	Left        Tokens `json:"left"`   // at the lender, after the loan
	NotHolder   bool   `json:"not_holder,omitempty"`
}

// LoanID identifies a loan.
type LoanID struct {
	Incarnation uint64 `json:"incarnation"` // of the lender
	Number      uint64 `json:"number"`
}

// Settle reports how much of a loan is spent and returned so far; both amounts only grow, so that
// a duplicate or late message has no effect.
type Settle struct {
	Account  string `json:"account"`
	Loan     LoanID `json:"loan"`
	Spent    Tokens `json:"spent"`
	Returned Tokens `json:"returned"`
}

// Message is a one-way message between limiters, sent as JSON. Exactly one field is set.
type Message struct {
	Ask    *Ask    `json:"ask,omitempty"`
	Reply  *Reply  `json:"reply,omitempty"`
	Settle *Settle `json:"settle,omitempty"`
}

// Send is a message that the host delivers to a VM.
type Send struct {
	To string
	Message
}

// Decision is the outcome of a draw.
type Decision struct {
	Request string // as passed to Draw
	Granted bool
	// Until is the time at which the permit expires unless it was dispatched; 0 if refused.
	Until time.Duration
	// RetryAfter is the time after which a retry can succeed; set if refused.
	RetryAfter time.Duration
	Reason     Reason // set if refused
}

// Reason is why a draw was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonRate           Reason = "rate_limited"
	ReasonNoLease        Reason = "no_lease"
	ReasonUnknownAccount Reason = "unknown_account"
)

// Effects are the messages and decisions that a step of the Limiter gives its host to deliver.
type Effects struct {
	Sends     []Send
	Decisions []Decision
}

// Fleet is the part of a membership epoch that the limiter reads; membership.Epoch implements it.
type Fleet interface {
	EpochNumber() uint64                // consecutive: each change of the membership adds one
	Zones() []string                    // sorted
	Holder(account, zone string) string // "" if the zone has no VM
}

// Lease reports whether this VM may lend and spend tokens; membership.Holder implements it.
type Lease interface {
	// ValidWithin reports whether the lease is valid at now and the VM's zone had contact with control
	// within limit.
	ValidWithin(now, limit time.Duration) bool
}

// Options are the fixed properties of a Limiter.
type Options struct {
	VM          string
	Zone        string
	Incarnation uint64 // differs between any two starts of the VM
	Lease       Lease
}
