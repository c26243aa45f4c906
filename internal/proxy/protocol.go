package proxy

import (
	"net/http"
	"time"

	"egretramp/internal/httpwire"
	"egretramp/internal/registry"
)

// Call holds the parsed headers of a request: everything except its method, target and body.
type Call struct {
	Key       string // the caller's key
	RequestID string // identifies this client attempt
	// Deadline is how long the caller waits from the request's arrival, 0 if unspecified.
	Deadline time.Duration
	Program  string
	Line     string // the line of turns within the program
	// FinishWithin is the time within which the program should finish, 0 if unknown.
	FinishWithin time.Duration
	HasBudget    bool
	Budget       int64 // tokens that all turns of the program may generate
	PromptTokens int64
	Prompt       []PromptPart // in order; shared parts first, those of this request alone last
	MaxTokens    int64        // tokens that this turn may generate
	// ExpectedTokens is the caller's estimate of the tokens that this turn generates, 0 if unknown.
	ExpectedTokens int64
	Previous       string // ID of the turn that this one continues
	LastEventID    string // a resumed stream continues after this event
	// Resumes is the request ID of the client attempt that brought the first event of a resumed stream.
	Resumes string
	Object  string // the object that the request concerns, for affinity
	// Header holds the headers to forward, without the system's own headers and the key.
	Header http.Header
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// SendInfo holds the values that an attempt at an upstream adds to the forwarded headers.
type SendInfo struct {
	Upstream    registry.Upstream
	Account     string        // empty for anonymous callers
	TimeLeft    time.Duration // until the final response is due
	LastEventID string        // the stream continues after this event
	// FromStart is set if the upstream must send the stream from its first event, whichever the caller resumes after.
	FromStart bool
}

// Reply holds the system's headers in an upstream's response.
type Reply struct {
	RequestID  string        // as echoed by the upstream, empty if missing
	Signed     bool          // produced by the upstream itself, not by an intermediary
	NotRun     bool          // the request has not run and will not
	RetryAfter time.Duration // 0 for no hint
	RateLimit  RateLimit
	// Leaving is set if the upstream states that it leaves: it soon stops serving.
	Leaving bool
}

// LimitState is what a response says of its upstream's rate limit.
type LimitState int

// The values of a LimitState.
const (
	LimitUnknown   LimitState = iota // nothing: the response isn't the named upstream's own
	Unlimited                        // the upstream has no limit
	Limited                          // the upstream takes RateLimit.PerSecond
	MalformedLimit                   // a value that can't be parsed, which changes nothing
)

// RateLimit is the rate at which an upstream takes requests from all VMs together.
type RateLimit struct {
	State     LimitState
	PerSecond float64 // requests a second
	Text      string  // the value that can't be parsed, shortened
}

// Reason is why this VM refuses a request.
type Reason int

// Reasons of refusals. Those before Failed promise that the request has not run and never will.
const (
	NoConfiguration  Reason = iota // this VM has not received a configuration yet
	NoRoute                        // no route matches host and path
	BadKey                         // no account has the caller's key
	OverRate                       // the account exceeds its rate limit
	BudgetSpent                    // the program's budget has too few tokens left for the turn
	UnknownTurn                    // the turn to continue is not stored
	LostConversation               // the turn to continue is stored, but not the whole conversation before it
	Overloaded                     // a new program would miss its deadline, or make others miss theirs
	StoreUnavailable               // a majority of the store group can't be reached
	UnknownStream                  // the origin of the stream to resume is not stored
	BuildGone                      // no upstream is left of the build that wrote the stream to resume
	NoUpstream                     // no upstream is known, or all declined
	ZonesEvacuated                 // every upstream is in a zone that is out of service
	UpstreamsLimited               // every upstream is at the rate limit that it states
	TooLate                        // the deadline passed before the request was sent
	MemoryFull                     // the memory for callers is used up
	Malformed                      // the request could not be parsed
	Quarantined                    // the request crashed too many upstreams
	Failed                         // the upstream failed; the request may have run
	TimedOut                       // the deadline passed; the request may have run
)

// Refusal is a response that this VM generates itself.
type Refusal struct {
	Reason Reason
	Detail string // for log lines, may be empty
	// RetryAfter is the delay after which the caller may retry, 0 for no hint.
	RetryAfter time.Duration
	// Status is the HTTP status for Malformed, instead of the reason's own.
	Status int
}

// Protocol maps calls, replies and refusals to headers and statuses on the wire.
type Protocol interface {
	// ReadCall parses a request's headers and selects those to forward.
	ReadCall(r *httpwire.Request) (Call, error)
	// UpstreamHeaders returns the headers of a request to an upstream.
	UpstreamHeaders(c *Call, s SendInfo) http.Header
	// ReadReply parses the headers of an upstream's response.
	ReadReply(status int, h http.Header) Reply
	// WriteRefusal returns the status, headers and body of a refusal.
	WriteRefusal(r Refusal) (int, http.Header, []byte)
}
