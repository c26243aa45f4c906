package ratelimit

import "time"

// Tokens is an amount of a bucket in billionths of a request.
type Tokens int64

// TokensPerRequest is the amount that one request takes.
const TokensPerRequest Tokens = 1_000_000_000

// Limit is a client account's rate and burst over the whole fleet, from the configuration.
type Limit struct {
	RatePerSecond float64 `json:"rate_per_second"` // requests a second
	Burst         float64 `json:"burst"`           // requests
}

// Ask asks the holder of a share to lend up to Want.
type Ask struct {
	ID          uint64 `json:"id"`          // unique for (borrower, Incarnation)
	Incarnation uint64 `json:"incarnation"` // of the borrower
	Account     string `json:"account"`     // canonical ID
	Want        Tokens `json:"want"`
	// Returned are loans that the lender takes back first, so that a borrower that still
	// lacks a part of a token keeps its place.
	Returned []Settle `json:"returned,omitempty"`
	// CutoffLimit is that of the account.
	CutoffLimit time.Duration `json:"cutoff_limit"` // nanoseconds
}

// Reply answers an Ask. A loan holds until LoanLife after its Ask was sent.
type Reply struct {
	ID          uint64 `json:"id"`
	Incarnation uint64 `json:"incarnation"` // of the borrower
	Loan        LoanID `json:"loan"`
	Amount      Tokens `json:"amount"` // 0: nothing lent
	Left        Tokens `json:"left"`   // at the lender, after the loan
	NotHolder   bool   `json:"not_holder,omitempty"`
}

// LoanID names a loan.
type LoanID struct {
	Incarnation uint64 `json:"incarnation"` // of the lender
	Number      uint64 `json:"number"`
}

// Settle reports what became of a loan so far; both amounts only grow, so that a message
// that arrives twice or late changes nothing.
type Settle struct {
	Account  string `json:"account"`
	Loan     LoanID `json:"loan"`
	Spent    Tokens `json:"spent"`
	Returned Tokens `json:"returned"`
}

// Message is one of the messages between limiters, sent one way as JSON. One field is set.
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
	// RetryAfter is when trying again can succeed; set if refused.
	RetryAfter time.Duration
	Reason     Reason // set if refused
}

// Reason says why a draw was refused.
type Reason string

// The reasons.
const (
	ReasonRate           Reason = "rate_limited"
	ReasonNoLease        Reason = "no_lease"
	ReasonUnknownAccount Reason = "unknown_account"
)

// Effects are what a step of the Limiter asks of its host.
type Effects struct {
	Sends     []Send
	Decisions []Decision
}

// Fleet is the membership epoch as far as the limiter needs it; membership.Epoch is one.
type Fleet interface {
	EpochNumber() uint64                // consecutive: each change of the membership adds one
	Zones() []string                    // sorted
	Holder(account, zone string) string // "" if the zone has no VM
}

// Lease says whether this VM may act; membership.Holder is one.
type Lease interface {
	// ValidWithin reports whether the lease holds at now and its zone heard control within limit.
	ValidWithin(now, limit time.Duration) bool
}

// Options are the fixed properties of a Limiter.
type Options struct {
	VM          string
	Zone        string
	Incarnation uint64 // differs between any two starts of the VM
	Lease       Lease
}
