// Package proxy carries callers' requests to upstreams on an entry VM: it finds the route, checks
// key and rate, reserves the budget of a program's turn, sends the request to an upstream and
// gives it one final answer.
//
// A request may be sent again only if its route allows it, or if the upstream states that it has
// not run. A refusal that promises "not run" (429, 503) is given only while no byte of the
// request can have reached an upstream, or after such a statement.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"egretramp/internal/admission"
	"egretramp/internal/events"
	"egretramp/internal/httpwire"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/turns"
	"egretramp/internal/upconn"
)

// Call is what a request says beside its method, target and body.
type Call struct {
	Key       string // the caller's key
	RequestID string // of this client attempt
	// Deadline is how long the caller waits from the request's arrival, 0 if it doesn't say.
	Deadline time.Duration
	Program  string
	Line     string // the line of turns within the program
	// FinishWithin is the time until the program should be finished, 0 if unknown.
	FinishWithin time.Duration
	HasBudget    bool
	Budget       int64 // tokens that all turns of the program may generate
	PromptTokens int64
	Prompt       []PromptPart // in order; shared parts first, the request's own last
	MaxTokens    int64        // tokens that this turn may generate
	Previous     string       // the turn that this one continues
	LastEventID  string
	Object       string // what the request concerns, for affinity
	// Header holds what is passed on: neither the system's own headers nor the key.
	Header http.Header
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// SendInfo is one try at an upstream.
type SendInfo struct {
	Upstream    registry.Upstream
	Account     string        // empty for anonymous callers
	TimeLeft    time.Duration // until the final answer is due
	LastEventID string        // the stream goes on after this event
}

// Reply is what an upstream's head says.
type Reply struct {
	RequestID  string // echoed, empty if missing
	Signed     bool   // made by an upstream and not by something between
	NotRun     bool   // the request has not run and will not
	RetryAfter time.Duration
}

// Reason is why a request is answered by this VM.
type Reason int

// Reasons. Those before Failed promise that the request has not run and never will.
const (
	NoConfiguration Reason = iota // this VM knows no configuration yet
	NoRoute
	BadKey
	OverRate
	BudgetSpent
	UnknownTurn
	Overloaded       // a new program would be too late, or make others late
	StoreUnavailable // a majority of the store group can't be reached
	NoUpstream       // none is known, or all refused
	TooLate          // the time was up before the request was sent
	Malformed
	Failed   // the upstream failed; the request may have run
	TimedOut // the time is up; the request may have run
)

// Refusal is an answer of this VM's own.
type Refusal struct {
	Reason Reason
	Detail string
	// RetryAfter is when to come back, 0 for no hint.
	RetryAfter time.Duration
	// Status overrides the reason's status for Malformed.
	Status int
}

// Protocol names headers and statuses on the wire.
type Protocol interface {
	// ReadCall reads a request's headers and returns what is to be passed on.
	ReadCall(r *httpwire.Request) (Call, error)
	// UpstreamHeaders returns the headers to send to an upstream.
	UpstreamHeaders(c *Call, s SendInfo) http.Header
	ReadReply(status int, h http.Header) Reply
	// WriteRefusal returns status, headers and body.
	WriteRefusal(r Refusal) (int, http.Header, []byte)
}

// Ledger reserves and settles the tokens of turns, and keeps conversations.
type Ledger interface {
	// Begin returns an error if the outcome isn't known; repeating it is harmless.
	Begin(ctx context.Context, b turns.Begin) (turns.Result, error)
	// End returns once the turn is settled and recorded durably.
	End(ctx context.Context, e turns.End) (turns.Result, error)
	// EndLater settles in the background, for turns whose answer doesn't wait for it. done is
	// called with the result, nil for nobody.
	EndLater(e turns.End, done func(turns.Result))
}

// Limiter holds client accounts to their rate over all VMs.
type Limiter interface {
	// Take takes a permit for one request, and otherwise says when there may be one. begins tells
	// a request that begins a program: while permits are scarce, those under way come first.
	Take(ctx context.Context, account *routing.Account, begins bool) (ok bool, retryAfter time.Duration)
}

// Options configure a Server.
type Options struct {
	Zone      string
	Protocol  Protocol
	Table     func() *routing.Snapshot // nil before there is one
	Directory *registry.Directory
	Ledger    Ledger
	Limiter   Limiter
	// Isolated reports whether a partition separates this VM from the store; nil for never.
	Isolated func() bool
	Events   *events.Logger
	Metrics  *Metrics
}

// Server handles requests.
type Server struct {
	opts          Options
	pool          *upconn.Pool
	health        *health
	zones         *zones
	active        atomic.Int64
	lastUpstreams *lastUpstreams
	lineCache     *lineCache

	admissionMu sync.Mutex
	admission   map[string]*admission.Controller // by service
}

// New returns a server.
func New(opts Options) *Server {
	return &Server{opts: opts, pool: upconn.NewPool(), health: newHealth(), zones: newZones(), lastUpstreams: newLastUpstreams(), lineCache: newLineCache(), admission: map[string]*admission.Controller{}}
}

// DropUpstream closes the connections to an upstream that left.
func (s *Server) DropUpstream(u registry.Upstream) { s.pool.Drop(u.Address) }

// Sweep does the periodic work of the connections and of the upstreams' records.
func (s *Server) Sweep() {
	s.pool.CloseExpired()
	s.lastUpstreams.sweep()
	for _, e := range s.lineCache.sweep() {
		s.opts.Ledger.EndLater(e, nil)
	}
	s.health.prune(s.opts.Directory.View())
}

// Active returns the number of requests under way.
func (s *Server) Active() int64 { return s.active.Load() }

// exchange is one request on its way.
type exchange struct {
	server  *Server
	ctx     context.Context
	w       *httpwire.Response
	request *httpwire.Request
	call    Call
	table   *routing.Snapshot
	route   *routing.Route
	service *routing.Service
	account *routing.Account // nil for anonymous callers

	// body is the request's body as the upstream gets it.
	body     []byte
	deadline time.Time
	reserved bool // the program's budget holds tokens for this turn
	// reservation is the name of one that the turn before made; empty: the turn's own.
	reservation   string
	programActive bool // the program is under way
	admitted      bool // it is, or may begin

	excluded        map[string]bool // upstreams that refused or failed
	mayHaveRun      map[string]bool // upstreams that may have run the request
	zoneUnreachable map[string]bool // those of usedOn whose zone can't be reached any more
	refusals        int             // upstreams that stated that they didn't run it
	retryAfterHint  time.Duration   // when the last refusal said to come back
	lastEventID     string          // ID of the last event passed on
	eventsSent      int64           // events passed on
	output          []byte          // the data of the events, as a conversation keeps it
	timeToFirstByte time.Duration   // time to the first byte of the answer
	upstream        string          // the last upstream
	turnBeginTime   time.Duration   // time the store took to begin the turn
}

// Serve answers one request.
func (s *Server) Serve(ctx context.Context, w *httpwire.Response, r *httpwire.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	x := &exchange{
		server: s, ctx: ctx, w: w, request: r,
		excluded: map[string]bool{}, mayHaveRun: map[string]bool{}, zoneUnreachable: map[string]bool{},
	}
	if refusal := x.authorize(); refusal != nil {
		x.refuse(*refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.ctx = ctx
	if refusal := x.beginTurn(); refusal != nil {
		x.refuse(*refusal)
		return
	}
	x.forward()
}

// Malformed implements httpwire.Handler.
func (s *Server) Malformed(w *httpwire.Response, status int, reason string) {
	s.opts.Events.Emit(events.ProxyMalformed, zap.Int("status", status), zap.String("reason", reason))
	s.opts.Metrics.refused(Malformed)
	code, header, body := s.opts.Protocol.WriteRefusal(Refusal{Reason: Malformed, Status: status, Detail: reason})
	_ = w.Whole(code, header, body) // the connection is closed after it anyway
}

// admit finds the route and checks the caller.
func (x *exchange) authorize() *Refusal {
	s := x.server
	x.table = s.opts.Table()
	if x.table == nil {
		return &Refusal{Reason: NoConfiguration, RetryAfter: configurationRetryAfter}
	}
	var err error
	if x.call, err = s.opts.Protocol.ReadCall(x.request); err != nil {
		return &Refusal{Reason: Malformed, Status: http.StatusBadRequest, Detail: err.Error()}
	}
	var ok bool
	if x.route, ok = x.table.Route(x.request.Host, x.request.Path); !ok {
		return &Refusal{Reason: NoRoute}
	}
	if !x.route.Anonymous && len(x.table.Accounts) > 0 {
		if x.account, ok = x.table.Account(x.call.Key); !ok {
			return &Refusal{Reason: BadKey}
		}
	}
	x.service, _ = x.table.Service(x.route.Pick(rand.Float64()))
	timeout := x.route.Timeout
	if x.call.Deadline > 0 {
		timeout = min(timeout, x.call.Deadline)
	}
	x.deadline = x.request.Arrived.Add(timeout)
	x.programActive = s.isProgramActive(x)
	if x.account != nil && x.account.Rate > 0 {
		limited, cancel := context.WithDeadline(x.ctx, x.deadline)
		defer cancel()
		if ok, after := s.opts.Limiter.Take(limited, x.account, !x.programActive); !ok {
			return &Refusal{Reason: OverRate, RetryAfter: after}
		}
	}
	return nil
}

// begin reserves the budget of a turn and fetches the conversation that it continues.
func (x *exchange) beginTurn() *Refusal {
	x.body = x.request.Body
	x.admitted = x.programActive || x.server.admitsNewProgram(x)
	if x.route.Kind != routing.Streaming || x.call.Program == "" || (!x.route.Stateful && !x.call.HasBudget) {
		return nil
	}
	if x.beginFromCache() {
		x.server.markProgramActive(x)
		return nil
	}
	started := time.Now()
	b := turns.Begin{
		Account: x.accountName(), Program: x.call.Program, Request: x.call.RequestID,
		Budget: x.call.Budget, HasBudget: x.call.HasBudget, MaxTokens: x.call.MaxTokens,
	}
	if x.route.Stateful {
		b.Previous = x.call.Previous
	}
	result, err := x.server.opts.Ledger.Begin(x.ctx, b)
	x.turnBeginTime = time.Since(started)
	x.server.opts.Metrics.turnBegun(x.turnBeginTime)
	if err != nil {
		// A reservation may have come about; nobody will use it.
		x.server.opts.Ledger.EndLater(x.endCommand(0, false), nil)
		return &Refusal{Reason: StoreUnavailable, Detail: err.Error(), RetryAfter: x.server.storeRetryAfter()}
	}
	switch result.Outcome {
	case turns.BudgetSpent:
		return &Refusal{Reason: BudgetSpent}
	case turns.UnknownTurn:
		return &Refusal{Reason: UnknownTurn}
	}
	x.reserved = true
	x.programActive = x.programActive || result.Known
	if !x.programActive && !x.admitted && !x.server.admitsNewProgram(x) {
		return &Refusal{Reason: Overloaded, Detail: x.server.describeLoad(x.service.Name), RetryAfter: x.overloadRetryDelay()}
	}
	x.server.markProgramActive(x)
	if len(result.Chain) > 0 {
		size := len(x.request.Body)
		for _, part := range result.Chain {
			size += len(part)
		}
		x.body = make([]byte, 0, size)
		for _, part := range result.Chain {
			x.body = append(x.body, part...)
		}
		x.body = append(x.body, x.request.Body...)
	}
	return nil
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// end describes how the turn ended.
func (x *exchange) endCommand(tokens int64, record bool) turns.End {
	e := turns.End{
		Account: x.accountName(), Program: x.call.Program, Request: x.call.RequestID,
		Tokens: tokens, Retention: x.route.Retention, Reservation: x.reservation,
	}
	if record {
		e.Record, e.Previous, e.Input, e.Output = true, x.call.Previous, x.request.Body, x.output
	}
	return e
}

// settle gives back what a turn that isn't recorded didn't use.
func (x *exchange) settle() {
	if x.reserved {
		x.reserved = false
		x.server.opts.Ledger.EndLater(x.endCommand(x.tokensSent(), false), nil)
	}
}

// tokens returns the tokens that were handed to the caller.
func (x *exchange) tokensSent() int64 {
	tokensPerEvent := int64(1)
	if x.service != nil && x.service.Engine != nil {
		tokensPerEvent = int64(max(x.service.Engine.TokensPerEvent, 1))
	}
	return x.eventsSent * tokensPerEvent
}

const (
	// storeRetryAfter is about the time that a store group takes to elect a leader.
	storeRetryAfter = 600 * time.Millisecond
	// configurationRetryAfter is about the time in which a VM that starts is told the configuration.
	configurationRetryAfter = 250 * time.Millisecond
	// isolatedRetryAfter is when callers of a VM that is cut off may find another one: the balancer
	// takes a VM out after two checks a second apart.
	isolatedRetryAfter = time.Second
	// upstreamRetryAfter is about the time that a busy upstream takes for a few requests.
	upstreamRetryAfter = 150 * time.Millisecond
)

func (s *Server) storeRetryAfter() time.Duration {
	if s.opts.Isolated != nil && s.opts.Isolated() {
		return isolatedRetryAfter
	}
	return storeRetryAfter
}

// refuse answers with a refusal, or breaks off what has begun.
func (x *exchange) refuse(r Refusal) {
	s := x.server
	x.settle()
	s.opts.Metrics.refused(r.Reason)
	fields := append(x.logFields(), zap.Stringer("reason", r.Reason), zap.Duration("retry_after", r.RetryAfter))
	if r.Detail != "" {
		fields = append(fields, zap.String("detail", r.Detail))
	}
	s.opts.Events.Emit(events.ProxyRefused, fields...)
	if x.w.Begun() {
		x.w.Abort()
		return
	}
	status, header, body := s.opts.Protocol.WriteRefusal(r)
	if err := x.w.Whole(status, header, body); err != nil {
		s.opts.Events.Emit(events.ProxyCallerGone, append(x.logFields(), zap.Error(err))...)
	}
}

// fields describe the request in log lines.
func (x *exchange) logFields() []zap.Field {
	fields := []zap.Field{
		zap.String("request", x.call.RequestID), zap.Duration("age", time.Since(x.request.Arrived)),
	}
	if x.table != nil {
		fields = append(fields, zap.Uint64("configuration", x.table.Version))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name))
	}
	if x.call.Program != "" {
		fields = append(fields, zap.String("program", x.call.Program))
	}
	if x.account != nil {
		fields = append(fields, zap.String("account", x.account.Name))
	}
	if x.call.Previous != "" {
		fields = append(fields, zap.String("previous", x.call.Previous))
	}
	if x.upstream != "" {
		fields = append(fields, zap.String("upstream", x.upstream), zap.Int("refused_by", x.refusals), zap.Int("used", len(x.mayHaveRun)))
	}
	if x.turnBeginTime > 0 {
		fields = append(fields, zap.Duration("begin", x.turnBeginTime))
	}
	return fields
}
