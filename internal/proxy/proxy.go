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
	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/httpwire"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/sharedload"
	"egretramp/internal/suspect"
	"egretramp/internal/turns"
	"egretramp/internal/upconn"
)

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
