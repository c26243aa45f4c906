// Package proxy forwards callers' requests to upstreams on an entry VM: it matches the route, checks
// the key and the rate limit, reserves the budget of a program's turn, sends the request to an
// upstream and returns one final response.
//
// A request is retried only if its route allows it, or if the upstream states that the request has
// not run. A refusal that promises "not run" (429, 503) is sent only while no byte of the request
// can have reached an upstream, or after such a statement.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"egretramp/internal/admission"
	"egretramp/internal/callermem"
	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/httpwire"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/sharedload"
	"egretramp/internal/suspect"
	"egretramp/internal/turns"
	"egretramp/internal/upconn"
	"egretramp/internal/zonebytes"
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

// Ledger reserves and settles the tokens of turns, and stores conversations.
type Ledger interface {
	// Begin reserves the tokens of a turn. It returns an error if the outcome is unknown, and is
	// idempotent.
	Begin(ctx context.Context, b turns.Begin) (turns.Result, error)
	// End settles a turn and returns once it is recorded durably.
	End(ctx context.Context, e turns.End) (turns.Result, error)
	// EndLater settles a turn in the background, for turns whose response doesn't wait for it. done
	// is called with the result unless it is nil.
	EndLater(e turns.End, done func(turns.Result))
	// RecordStream records the origin of a stream and reports whether it is recorded durably. With an error, it may
	// be recorded later. It is idempotent.
	RecordStream(ctx context.Context, s turns.Stream) (recorded bool, err error)
}

// Limiter enforces the rate limits of client accounts across all VMs.
type Limiter interface {
	// Take takes a permit for one request. If none is available, retryAfter is the time until there
	// may be one. begins is set for a request that begins a program: while permits are scarce,
	// requests of active programs come first.
	Take(ctx context.Context, account *routing.Account, begins bool) (ok bool, retryAfter time.Duration)
}

// UpstreamLimiter enforces the rate limits that upstreams state in their responses, across all VMs.
type UpstreamLimiter interface {
	// ObserveLimit records what a response to a request that was sent at sentAt says of the limit.
	ObserveLimit(u registry.Upstream, stated RateLimit, sentAt time.Time)
	// UpstreamRoom returns without waiting what is left of an upstream's rate.
	UpstreamRoom(u registry.Upstream) quota.Room
	// TakeUpstream takes a permit to send one request, which may take a round trip to another VM.
	TakeUpstream(ctx context.Context, u registry.Upstream) bool
	// ReturnUpstream returns the permit of a request that was not sent.
	ReturnUpstream(u registry.Upstream)
}

// Options configures a Server.
type Options struct {
	Zone      string // this VM's
	Protocol  Protocol
	Table     func() *routing.Snapshot // returns nil before a configuration is received
	Directory *registry.Directory
	// Dial opens connections to upstreams; nil for upconn.Dial.
	Dial upconn.DialFunc
	// CutOff reports whether a partition separates this VM from all upstreams, so that it reaches them only through
	// other VMs; nil means never.
	CutOff func() bool
	// Detoured reports whether connections to an upstream's address should lead through another VM; nil means never.
	Detoured func(address string) bool
	Ledger   Ledger
	Limiter  Limiter
	// Upstreams enforces the rate limits of upstreams; nil for none.
	Upstreams UpstreamLimiter
	// Suspects counts the upstreams that requests crash; nil for a tracker of this server's own.
	Suspects *suspect.Tracker
	// Evacuated reports whether an availability zone is out of service, so that no request is sent to its upstreams; nil
	// means never.
	Evacuated func(zone string) bool
	// Isolated reports whether a partition separates this VM from the store; nil means never.
	Isolated func() bool
	// Load returns the load that the other VMs cause at an upstream, false if it isn't known; nil for never.
	Load func(u registry.Upstream) (sharedload.Upstream, bool)
	// LoadOrigins returns the attempts by zone, as of the same view; nil for none.
	LoadOrigins func() []sharedload.Origin
	// OverShare reports whether a client account has more than its share of the programs of all VMs while others are
	// refused; nil for never.
	OverShare func(account string) bool
	// ZoneMegabyteCost is the time of callers that a megabyte (10^6 bytes) between zones is worth; 0 for the
	// default, negative if it is worth nothing.
	ZoneMegabyteCost time.Duration
	// Drain is how long an upstream serves after it announced its shutdown.
	Drain time.Duration
	// Memory bounds what is held for callers; nil for no limit. Buffers of responses are a part of it.
	Memory  *callermem.Budget
	Events  *events.Logger
	Metrics *Metrics
	// Bytes counts the bytes of attempts; nil for none.
	Bytes *zonebytes.Meter
}

// Server forwards requests to upstreams. It implements httpwire.Handler.
type Server struct {
	opts          Options
	started       time.Time
	pool          *upconn.Pool
	health        *health
	zones         *zones
	crashes       *crashDetector
	buffers       sharedBuffers
	active        atomic.Int64 // requests in progress
	lastUpstreams *lastUpstreams
	lineCache     *lineCache

	admissionMu sync.Mutex
	admission   map[string]*admission.Controller // by service
	accounts    *admission.Accounts
}

// New returns a server.
func New(opts Options) *Server {
	if opts.Suspects == nil {
		opts.Suspects = suspect.NewTracker(clock.Now)
	}
	if opts.Upstreams == nil {
		opts.Upstreams = noUpstreamLimits{}
	}
	if opts.CutOff == nil {
		opts.CutOff = func() bool { return false }
	}
	if opts.Detoured == nil {
		opts.Detoured = func(string) bool { return false }
	}
	if opts.Evacuated == nil {
		opts.Evacuated = func(string) bool { return false }
	}
	if opts.Load == nil {
		opts.Load = func(registry.Upstream) (sharedload.Upstream, bool) { return sharedload.Upstream{}, false }
	}
	if opts.LoadOrigins == nil {
		opts.LoadOrigins = func() []sharedload.Origin { return nil }
	}
	if opts.ZoneMegabyteCost == 0 {
		opts.ZoneMegabyteCost = defaultZoneMegabyteCost
	}
	if opts.OverShare == nil {
		opts.OverShare = func(string) bool { return false }
	}
	if opts.Dial == nil {
		opts.Dial = upconn.Dial
	}
	s := &Server{opts: opts, started: time.Now(), pool: upconn.NewPool(opts.Dial, opts.Detoured), health: newHealth(), zones: newZones(), lastUpstreams: newLastUpstreams(), lineCache: newLineCache(opts.Memory), admission: map[string]*admission.Controller{}, accounts: admission.NewAccounts()}
	s.buffers.memory = opts.Memory
	s.crashes = &crashDetector{
		tracker: opts.Suspects, directory: opts.Directory, pool: s.pool, health: s.health, zones: s.zones, cutOff: opts.CutOff, events: opts.Events, metrics: opts.Metrics,
	}
	return s
}

// DropUpstream closes the idle connections to an upstream that left the directory.
func (s *Server) DropUpstream(u registry.Upstream) { s.pool.Drop(u.Address) }

// Sweep removes expired connections, cached lines and records of upstreams. It is called
// periodically.
func (s *Server) Sweep() {
	s.pool.CloseExpired()
	s.opts.Suspects.Sweep()
	s.lastUpstreams.sweep()
	for _, e := range s.lineCache.sweep() {
		s.opts.Ledger.EndLater(e, nil)
	}
	s.health.prune(s.opts.Directory.View())
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// exchange is the state of one request until it has its response.
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

	// body is the body that is sent to the upstream, including the stored conversation.
	body     []byte
	deadline time.Time
	reserved bool // the program's budget holds tokens for this turn
	// reservation names the reservation that the previous turn made for this one; empty for the
	// turn's own.
	reservation   string
	programActive bool // the program has begun before, or needs no admission
	admitted      bool // the program is active, or may begin

	excluded        map[string]bool // upstreams that declined or failed and are not tried again
	mayHaveRun      map[string]bool // upstreams that may have run the request
	zoneUnreachable map[string]bool // those of mayHaveRun whose zone became unreachable
	size            float64         // see relativeSize, 0 until it is called
	permitWait      time.Duration   // time spent waiting for a permit of an upstream
	refusals        int             // upstreams that stated that they did not run the request
	retryAfterHint  time.Duration   // the longest retry hint of these upstreams
	lastEventID     string          // of the last event that was forwarded, or skipped
	skipUntil       string          // events up to that with this ID are recorded, but not forwarded; empty for none
	eventsSent      int64           // events that were forwarded
	unnumbered      bool            // an event had no ID, so no upstream can continue the stream after it
	mediaType       string          // of the stream that was begun, empty if it wasn't stated
	origin          origin          // what wrote the stream so far; zero for a stream without events
	originRecord    *originRecord   // the last record of the origin, nil for none
	output          []byte          // data of the events, as stored in the conversation
	outputBuffers   bufferLease
	chainReserved   int64               // bytes of Options.Memory that are reserved for the stored conversation in body
	timeToFirstByte time.Duration       // from the request's arrival to the first byte of the response
	upstream        string              // ID of the last upstream tried
	upstreamBuild   string              // its build
	storedHome      string              // the home that the store knows, empty if it wasn't asked or knows none
	newHome         string              // the upstream that will hold the line's prompt, empty if that doesn't change
	turnBeginTime   time.Duration       // time that the store took to begin the turn
	useAge          time.Duration       // of the use that fleetUse returned
	loadAge         time.Duration       // of the load of all VMs that the upstream was chosen by; 0 before, -1 for own load
	fingerprint     suspect.Fingerprint // empty until requestFingerprint is called
}

// Serve handles one request.
func (s *Server) Serve(ctx context.Context, w *httpwire.Response, r *httpwire.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	x := &exchange{
		server: s, ctx: ctx, w: w, request: r,
		outputBuffers: bufferLease{shared: &s.buffers},
		excluded:      map[string]bool{}, mayHaveRun: map[string]bool{}, zoneUnreachable: map[string]bool{},
	}
	defer x.outputBuffers.release()
	defer func() { s.opts.Memory.Return(x.chainReserved) }()
	defer x.recoverPanic()
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

// recoverPanic logs a panic while the request was served, and ends the request. The server's goroutines would
// report it only when the VM stops.
func (x *exchange) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	x.server.opts.Events.Emit(events.ProxyPanic, append(x.logFields(), zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))...)
	if x.w.Ended() {
		return
	}
	x.refuse(Refusal{Reason: Failed, Detail: "a panic; see the line before"})
}

// Malformed answers a request that could not be parsed, or for which there is no memory. It implements httpwire.Handler.
func (s *Server) Malformed(w *httpwire.Response, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		s.refuseWithoutMemory(w)
		return
	}
	s.opts.Events.Emit(events.ProxyMalformed, zap.Int("status", status), zap.String("reason", reason))
	s.opts.Metrics.refused(Malformed)
	code, header, body := s.opts.Protocol.WriteRefusal(Refusal{Reason: Malformed, Status: status, Detail: reason})
	_ = w.Send(code, header, body) // the connection is closed afterwards in any case
}

// authorize matches the route and checks the caller's key and rate limit.
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
	if retryAfter, rejected := x.isQuarantined(); rejected {
		r := x.quarantineRefusal(retryAfter)
		return &r
	}
	x.service, _ = x.table.Service(x.route.Pick(rand.Float64()))
	timeout := x.route.Timeout
	if x.call.Deadline > 0 {
		timeout = min(timeout, x.call.Deadline)
	}
	x.deadline = x.request.Arrived.Add(timeout)
	if !x.resumes() && x.zonesEvacuated() { // the service that wrote a stream to resume isn't known yet
		return &Refusal{Reason: ZonesEvacuated, RetryAfter: evacuatedRetryAfter}
	}
	x.programActive = s.isProgramActive(x) || x.resumes()
	if x.begins() {
		if wait, ok := x.fitsSomewhere(); !ok {
			r := x.limitedRefusal(wait)
			return &r
		}
	}
	if x.account != nil && x.account.Rate > 0 {
		limited, cancel := context.WithDeadline(x.ctx, x.deadline)
		defer cancel()
		if ok, after := s.opts.Limiter.Take(limited, x.account, !x.programActive); !ok {
			return &Refusal{Reason: OverRate, RetryAfter: after}
		}
	}
	return nil
}

// beginTurn decides on admission, reserves the tokens of a turn and fetches the conversation that it
// continues.
func (x *exchange) beginTurn() *Refusal {
	x.body = x.request.Body
	x.admitted = x.programActive || x.server.admitsNewProgram(x)
	if x.recordsResumed() {
		x.skipUntil = x.call.LastEventID
	}
	isTurn := x.route.Kind == routing.Streaming && x.call.Program != "" && (x.route.Stateful || x.call.HasBudget)
	if !isTurn && !x.resumes() {
		return nil
	}
	if !x.resumes() && x.beginFromCache() {
		x.server.markProgramActive(x)
		return nil
	}
	started := time.Now()
	b := turns.Begin{
		Account: x.accountName(), Program: x.call.Program, Request: x.call.RequestID,
		Budget: x.call.Budget, HasBudget: x.call.HasBudget, MaxTokens: x.call.MaxTokens, Line: x.call.Line,
		Timeout: x.route.Timeout, ProgramRetention: x.route.Retention,
	}
	if x.route.Stateful {
		b.Previous = x.call.Previous
	}
	if x.resumes() {
		b.Resumes, b.Retention = x.call.Resumes, x.originRetention()
		b.ResumesUnnamed = x.call.Resumes == ""
	}
	result, err := x.server.opts.Ledger.Begin(x.ctx, b)
	x.turnBeginTime = time.Since(started)
	x.server.opts.Metrics.turnBegun(x.turnBeginTime)
	if err != nil {
		// A reservation may have been made: release it, since it won't be used.
		if isTurn {
			x.server.opts.Ledger.EndLater(x.endCommand(0, false), nil)
		}
		return &Refusal{Reason: StoreUnavailable, Detail: err.Error(), RetryAfter: x.server.storeRetryAfter()}
	}
	switch result.Outcome {
	case turns.BudgetSpent:
		return &Refusal{Reason: BudgetSpent}
	case turns.UnknownTurn:
		return &Refusal{Reason: UnknownTurn}
	case turns.LostChain:
		return &Refusal{Reason: LostConversation}
	case turns.TooManyReserved:
		return &Refusal{Reason: StoreUnavailable, Detail: "the store holds too many reservations", RetryAfter: storeRetryAfter}
	case turns.UnknownStream:
		return &Refusal{Reason: UnknownStream}
	}
	x.reserved = isTurn
	if x.resumes() {
		if refusal := x.resumeAt(x.resumedOrigin(result)); refusal != nil {
			return refusal
		}
	}
	x.storedHome = result.Home
	x.programActive = x.programActive || result.Known
	if !x.programActive && !x.admitted && !x.server.admitsNewProgram(x) {
		return &Refusal{Reason: Overloaded, Detail: x.describeLoad(), RetryAfter: x.overloadRetryDelay()}
	}
	x.server.markProgramActive(x)
	return x.prepend(result.Chain)
}

// accountName returns the account's name, empty for anonymous callers.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// endCommand returns the command that settles the turn, and records it if record is set.
func (x *exchange) endCommand(tokens int64, record bool) turns.End {
	e := turns.End{
		Account: x.accountName(), Program: x.call.Program, Request: x.call.RequestID,
		Tokens: tokens, Retention: x.route.Retention, Reservation: x.reservation,
		Line: x.call.Line, Home: x.newHome, Timeout: maxLineAge + x.route.Timeout,
	}
	if record {
		e.Record, e.Previous, e.Input, e.Output = true, x.call.Previous, x.request.Body, x.output
	}
	return e
}

// settle releases the unused tokens of a turn that is not recorded.
func (x *exchange) settle() {
	if x.reserved {
		x.reserved = false
		x.server.opts.Ledger.EndLater(x.endCommand(x.tokensSent(), false), nil)
	}
}

// tokensSent returns the number of tokens that were sent to the caller.
func (x *exchange) tokensSent() int64 {
	tokensPerEvent := int64(1)
	if x.service != nil && x.service.Engine != nil {
		tokensPerEvent = int64(max(x.service.Engine.TokensPerEvent, 1))
	}
	return x.eventsSent * tokensPerEvent
}

const (
	// storeRetryAfter is about the time in which a store group elects a leader.
	storeRetryAfter = 600 * time.Millisecond
	// configurationRetryAfter is about the time in which a starting VM receives the configuration.
	configurationRetryAfter = 250 * time.Millisecond
	// isolatedRetryAfter is when callers of a VM that is partitioned from the store may reach another
	// one: the load balancer removes a VM after two failed health checks one second apart.
	isolatedRetryAfter = time.Second
	// upstreamRetryAfter is about the time in which a busy upstream completes a few requests.
	upstreamRetryAfter = 150 * time.Millisecond
)

// storeRetryAfter returns the retry hint while the store can't be reached.
func (s *Server) storeRetryAfter() time.Duration {
	if s.opts.Isolated != nil && s.opts.Isolated() {
		return isolatedRetryAfter
	}
	return storeRetryAfter
}

// refuse responds with a refusal, or aborts a response that has begun.
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
	if err := x.w.Send(status, header, body); err != nil {
		s.opts.Events.Emit(events.ProxyCallerGone, append(x.logFields(), zap.Error(err))...)
	}
}

// logFields returns the fields that describe the request in log lines.
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
		fields = append(fields, zap.String("upstream", x.upstream), zap.String("build", x.upstreamBuild), zap.Int("refused_by", x.refusals), zap.Int("used", len(x.mayHaveRun)))
	}
	if x.call.LastEventID != "" || x.call.Resumes != "" {
		fields = append(fields, zap.String("resumes", x.call.Resumes), zap.String("after", x.call.LastEventID))
	}
	if x.loadAge > 0 {
		fields = append(fields, zap.Duration("load_age", x.loadAge))
	}
	if x.turnBeginTime > 0 {
		fields = append(fields, zap.Duration("begin", x.turnBeginTime))
	}
	return fields
}
