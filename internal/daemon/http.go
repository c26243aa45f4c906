package daemon

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"egretramp/internal/admin"
	"egretramp/internal/admin/api"
	"egretramp/internal/events"
	"egretramp/internal/gateway"
	"egretramp/internal/identity"
	"egretramp/internal/upstream"
	"egretramp/internal/upstream/wire"
)

// Limits of the HTTP servers, and times of their shutdown.
const (
	readHeaderTimeout = 10 * time.Second
	callerReadTimeout = 60 * time.Second
	idleTimeout       = 120 * time.Second
	maxHeaderBytes    = 64 << 10
	// drainGrace is how long a VM that shuts down still accepts new connections, so that the load
	// balancer has time to notice the drain.
	drainGrace        = 1500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// minIdleBeforeClose is how long a connection must have been idle before it is closed. A caller that
	// sends a request while its connection is being closed gets only a connection error.
	minIdleBeforeClose = 5 * time.Second
)

// httpServers holds the running HTTP servers and the first error of one of them.
type httpServers struct {
	callers, upstreams *http.Server
	conns              *connTracker
	stopAdmin          context.CancelFunc
	wait               func()        // waits until all servers have ended
	failed             chan struct{} // closed when the first server fails

	mu       sync.Mutex
	firstErr error // the first error of a server
	closing  bool  // set by expectErrors
}

// fail records the first error of a server, unless it was closed or is being closed.
func (s *httpServers) fail(err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstErr == nil && !s.closing {
		s.firstErr = err
		close(s.failed)
	}
}

// expectErrors marks the servers as being closed, so that fail ignores their errors.
func (s *httpServers) expectErrors() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

func (s *httpServers) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstErr
}

// serveHTTP starts the servers for callers, upstreams and operators.
func (d *Daemon) serveHTTP() *httpServers {
	adminCtx, stopAdmin := context.WithCancel(context.Background())
	s := &httpServers{
		callers:   newServer(d.gateway, callerReadTimeout),
		upstreams: newServer(d.upstreamRoutes(), readHeaderTimeout),
		conns:     newConnTracker(),
		stopAdmin: stopAdmin,
		failed:    make(chan struct{}),
	}
	s.callers.ConnState = s.conns.trackState
	operators := admin.New(admin.Options{Backend: &backend{daemon: d}, Logger: d.events, CutLinks: d.cutLinks()})
	servers := pool.New()
	servers.Go(func() { s.fail(s.callers.Serve(gateway.Listener(d.listeners.callers))) })
	servers.Go(func() { s.fail(s.upstreams.Serve(d.listeners.upstreams)) })
	servers.Go(func() { s.fail(operators.Serve(adminCtx, d.protection.Listener(d.listeners.admin, identity.Operator))) })
	s.wait = servers.Wait
	return s
}

// newServer returns an HTTP server in which readTimeout limits how long a request may take to arrive.
func newServer(handler http.Handler, readTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// cutLinks returns a function that cuts links to other VMs, or nil if the settings don't allow fault
// injection.
func (d *Daemon) cutLinks() func(api.Links) {
	if !d.settings.FaultInjection {
		return nil
	}
	return func(l api.Links) { d.node.CutLinks(l.Cut, l.CutTo) }
}

func (d *Daemon) upstreamRoutes() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodPost, wire.PathAnnounce, &upstream.AnnounceHandler{
		Classes: func() upstream.Classes {
			if snapshot := d.fleet.Snapshot(); snapshot != nil {
				return snapshot
			}
			return nil
		},
		Accept: d.host.Announce,
		VMs:    d.upstreamListeners,
		Events: d.events,
	})
	return router
}

// upstreamListeners returns the addresses of the live VMs to which upstreams can announce themselves.
func (d *Daemon) upstreamListeners() []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	members, err := d.fleet.Members(ctx)
	if err != nil {
		return nil
	}
	var addresses []string
	for _, vm := range members {
		if vm.Addresses.Upstreams != "" && d.fleet.Alive(vm.VM) {
			addresses = append(addresses, vm.Addresses.Upstreams)
		}
	}
	return addresses
}

// shutdown drains the VM. It asks callers to reconnect elsewhere, accepts new connections for drainGrace
// so that the load balancer notices, and then waits for the requests in flight, up to the shutdown limit
// or a second signal.
func (d *Daemon) shutdown(s *httpServers, forceStop <-chan os.Signal) {
	d.events.Emit(events.DaemonDraining, zap.Int("requests", d.gateway.InFlight()))
	limit := time.Duration(d.settings.ShutdownLimitSeconds * float64(time.Second))
	d.gateway.Drain(limit)
	ctx, cancel := shutdownContext(limit, forceStop)
	defer cancel()
	pause(ctx, drainGrace)
	s.expectErrors()
	// Close only the listener: responses that began before the drain did not ask their callers to close
	// the connection, so each of these connections may carry one more request.
	_ = d.listeners.callers.Close()
	for !s.conns.allIdle(time.Now(), minIdleBeforeClose) && ctx.Err() == nil {
		pause(ctx, drainPollInterval)
	}
	if err := s.callers.Shutdown(ctx); err != nil {
		d.events.Emit(events.DaemonCutShort, zap.Int("requests", d.gateway.InFlight()))
		_ = s.callers.Close()
	}
	for d.gateway.InFlight() > 0 && ctx.Err() == nil {
		pause(ctx, drainPollInterval)
	}
	d.gateway.Wait()
	_ = s.upstreams.Close()
	s.stopAdmin()
	s.wait()
}

// shutdownContext returns a context that ends after the shutdown limit or on a second signal.
func shutdownContext(limit time.Duration, forceStop <-chan os.Signal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	go func() {
		select {
		case <-forceStop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
