// Package gateway serves callers over HTTP: it authenticates them, holds them to their rate,
// runs their calls on upstreams, and gives every request one final answer.
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

// Authority is the configuration in force at this VM and this VM's right to act on it.
type Authority interface {
	// Snapshot returns the configuration in force, nil before there is one.
	Snapshot() *config.Snapshot
	// Withdrawn reports whether a key has been withdrawn.
	Withdrawn(keyID, hash string) bool
	// Current reports whether this VM heard control, or another VM of its zone that did,
	// recently enough to serve keyed work; limit is the account's cutoff limit.
	Current(limit time.Duration) bool
}

// Limiter holds client accounts to their rate and burst. Requests have IDs of their own.
type Limiter interface {
	// Draw takes one request's permit. Errors: *refusal.Refusal.
	Draw(ctx context.Context, account, request string) error
	// Dispatch is called as the request leaves for its upstream: a permit that waited too long
	// is drawn again, which may take time. The request's first byte must be written before
	// writeBy, a time since boot; later it is dispatched anew. Errors: *refusal.Refusal.
	Dispatch(ctx context.Context, account, request string) (writeBy time.Duration, err error)
	// GiveBack returns the permit of a request that did not run.
	GiveBack(request string)
}

// Dispatcher finds upstreams for calls.
type Dispatcher interface {
	Acquire(ctx context.Context, kind config.UpstreamKind, name, preferred string, r schedule.Request) (*dispatch.Grant, error)
	Release(g *dispatch.Grant, o schedule.Outcome)
	Pools() []dispatch.PoolSummary
}

// Options configure a Server.
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

// Bounds on callers' requests.
const (
	maxBodyBytes    = 8 << 20
	maxAnswerBytes  = 8 << 20
	maxQueueWait    = 60 * time.Second
	maxChatDuration = 30 * time.Minute
)

// Server serves callers' requests.
type Server struct {
	opts     Options
	router   *httprouter.Router
	inflight *inflight
	retries  *retryBudget
	attempts *attempts
	// background does what no caller waits for: settling turns and cancelling calls.
	background conc.WaitGroup
	draining   atomic.Bool
	// waits ends when calls may not wait for upstreams any more.
	waits    context.Context
	endWaits context.CancelFunc
	stats    Stats
}

// Stats count what callers asked for and got.
type Stats struct {
	Requests atomic.Int64
	Refused  atomic.Int64
	Retries  atomic.Int64
}

// New returns a server.
func New(opts Options) *Server {
	if opts.Clock == nil {
		opts.Clock = clock.Now
	}
	s := &Server{opts: opts, inflight: newInflight(), retries: newRetryBudget(), attempts: newAttempts()}
	s.waits, s.endWaits = context.WithCancel(context.Background())
	s.router = s.routes()
	return s
}

// Stats returns the counters.
func (s *Server) Stats() *Stats { return &s.stats }

// InFlight returns how many requests are under way.
func (s *Server) InFlight() int { return s.inflight.count() }

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// KeysWithdrawn ends the requests under way whose key has been withdrawn.
func (s *Server) KeysWithdrawn() { s.inflight.endWithdrawn(s.opts.Authority.Withdrawn) }

func (s *Server) routes() *httprouter.Router {
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = true
	r.NotFound = http.HandlerFunc(notFound)
	r.MethodNotAllowed = http.HandlerFunc(methodNotAllowed)
	r.POST("/v1/chat/completions", unescaped(s.chat))
	r.GET("/v1/models", unescaped(s.models))
	r.POST("/v1/programs", unescaped(s.createProgram))
	r.GET("/v1/programs", unescaped(s.listPrograms))
	r.GET("/v1/programs/:program", unescaped(s.readProgram))
	r.POST("/v1/programs/:program/turns", unescaped(s.appendTurn))
	r.POST("/v1/programs/:program/end", unescaped(s.endProgram))
	r.GET("/healthz", unescaped(s.health))
	for _, method := range serviceMethods {
		r.Handle(method, "/v1/services/:service/*path", unescaped(s.service))
	}
	return r
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.stats.Requests.Add(1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	s.router.ServeHTTP(w, escaped(r))
}

// health answers the balancer: 503 while the VM drains, so that new callers go elsewhere.
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
