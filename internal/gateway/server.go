// Package gateway serves callers over HTTP: it authenticates them, enforces their rate limits, runs
// their calls on upstreams, and gives every request exactly one final answer.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"egretramp/internal/clock"
	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/events"
	"egretramp/internal/refusal"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

// Authority provides the configuration in force on this VM and reports whether this VM may still act on it.
type Authority interface {
	// Snapshot returns the configuration in force, or nil if there is none yet.
	Snapshot() *config.Snapshot
	// Withdrawn reports whether a key has been withdrawn.
	Withdrawn(keyID, hash string) bool
	// Current reports whether this VM has been in contact with the control plane, directly or
	// through another VM of its zone, recently enough to serve requests with keys. limit is the
	// account's cutoff limit.
	Current(limit time.Duration) bool
}

// Limiter enforces the rate and burst limits of client accounts. Each request has a unique ID.
type Limiter interface {
	// Draw takes a permit for one request. Errors: *refusal.Refusal.
	Draw(ctx context.Context, account, request string) error
	// Dispatch is called just before the request is sent to its upstream. It draws the permit
	// again if it was drawn too long ago, which may take time. The request's first byte must be
	// written before writeBy, a time since boot; after that, Dispatch must be called again.
	// Errors: *refusal.Refusal.
	Dispatch(ctx context.Context, account, request string) (writeBy time.Duration, err error)
	// GiveBack returns the permit of a request that did not run.
	GiveBack(request string)
}

// Dispatcher grants upstreams to calls.
type Dispatcher interface {
	// Acquire waits for a grant until ctx ends. preferred is the zone that holds the program's prefix,
	// or empty. Errors: *dispatch.Error.
	Acquire(ctx context.Context, kind config.UpstreamKind, name, preferred string, r schedule.Request) (*dispatch.Grant, error)
	// Release reports the end of a granted call. It must be called once for each grant.
	Release(g *dispatch.Grant, o schedule.Outcome)
	// Pools returns the known pools and their loads.
	Pools() []dispatch.PoolSummary
}

// Options configures a Server.
type Options struct {
	VM         string
	Zone       string
	Authority  Authority
	Limiter    Limiter
	Dispatcher Dispatcher
	Caller     *upstream.Client
	Ledger     Ledger
	Suspects   Suspects
	Events     *events.Logger
	Clock      func() time.Duration // default clock.Now
}

// Bounds of callers' requests and of their answers.
const (
	maxBodyBytes    = 8 << 20
	maxAnswerBytes  = 8 << 20
	maxQueueWait    = 60 * time.Second
	maxChatDuration = 30 * time.Minute
)

// Server is the HTTP handler of callers' requests.
type Server struct {
	opts     Options
	router   *httprouter.Router
	inflight *inflight
	retries  *retryBudget
	attempts *attempts
	// background runs work that no caller waits for: settling turns and cancelling calls.
	background conc.WaitGroup
	draining   atomic.Bool
	// queueContext is cancelled shortly before the process ends, when calls may no longer wait for
	// upstreams.
	queueContext context.Context
	endQueueing  context.CancelFunc
	stats        Stats
}

// Stats counts requests, refusals and retries.
type Stats struct {
	Requests atomic.Int64
	Refused  atomic.Int64
	Retries  atomic.Int64
}

// New returns a server. It applies the default of opts.Clock.
func New(opts Options) *Server {
	if opts.Clock == nil {
		opts.Clock = clock.Now
	}
	s := &Server{opts: opts, inflight: newInflight(), retries: newRetryBudget(), attempts: newAttempts()}
	s.queueContext, s.endQueueing = context.WithCancel(context.Background())
	s.router = s.routes()
	return s
}

// Stats returns the counters.
func (s *Server) Stats() *Stats { return &s.stats }

// InFlight returns the number of requests under way.
func (s *Server) InFlight() int { return s.inflight.count() }

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// KeysWithdrawn cancels the requests under way whose key has been withdrawn.
func (s *Server) KeysWithdrawn() { s.inflight.cancelWithdrawn(s.opts.Authority.Withdrawn) }

func (s *Server) routes() *httprouter.Router {
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = true
	r.NotFound = http.HandlerFunc(notFound)
	r.MethodNotAllowed = http.HandlerFunc(methodNotAllowed)
	r.POST("/v1/chat/completions", withUnescapedPath(s.chat))
	r.GET("/v1/models", withUnescapedPath(s.models))
	r.POST("/v1/programs", withUnescapedPath(s.createProgram))
	r.GET("/v1/programs", withUnescapedPath(s.listPrograms))
	r.GET("/v1/programs/:program", withUnescapedPath(s.readProgram))
	r.POST("/v1/programs/:program/turns", withUnescapedPath(s.appendTurn))
	r.POST("/v1/programs/:program/end", withUnescapedPath(s.endProgram))
	r.GET("/healthz", withUnescapedPath(s.health))
	for _, method := range serviceMethods {
		r.Handle(method, "/v1/services/:service/*path", withUnescapedPath(s.service))
	}
	return r
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.stats.Requests.Add(1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	s.router.ServeHTTP(w, withEscapedPath(r))
}

// health responds to load balancers: 503 while the VM drains, so that they send new callers elsewhere.
func (s *Server) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) refuse(w http.ResponseWriter, r *refusal.Refusal) {
	s.stats.Refused.Add(1)
	r.Write(w)
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	(&refusal.Refusal{Status: http.StatusNotFound, Code: "unknown_path", Message: "no such resource", NotRun: refusal.True}).Write(w)
}

func methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	(&refusal.Refusal{Status: http.StatusMethodNotAllowed, Code: "method_not_allowed", Message: "the resource does not take this method", NotRun: refusal.True}).Write(w)
}
