// Package fakes implements lightweight stand-ins for the upstreams: a model engine, a service and
// a weight store. They implement the protocol of package wire over HTTP, announce themselves,
// record the calls that they ran and the bytes that they received, and support fault injection.
//
// A stand-in runs inside a test (New, Start, Close) or as the process egretramp-fake. Its control
// endpoints are under /_fake/ and need separate connections (see Client), which are neither
// recorded nor affected by faults.
//
// An engine's answer depends only on the model and the whole conversation. Answer computes it, so
// that a test can verify the answer of every call.
package fakes

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"egretramp/internal/config"
)

// maxBody limits the size of a request or reply body, in bytes.
const maxBody = 64 << 20

// Fake is a stand-in for one upstream.
type Fake struct {
	opts     Options
	file     *recordFile
	received *received
	faults   *faults
	runs     *runs
	worker   worker

	tracker  *tracker
	server   *http.Server
	announce *announcer
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup
	close    sync.Once
	crashed  atomic.Bool
}

// worker implements the behaviour specific to one kind of upstream.
type worker interface {
	// serve handles a request whose body has been read.
	serve(w http.ResponseWriter, r *http.Request, body []byte)
	// run processes background work until ctx is done.
	run(ctx context.Context)
	// load returns the load to report in announcements.
	load() loadReport
	// serves returns the models or services to announce.
	serves() []string
}

// New returns a stand-in that is not listening yet.
func New(opts Options) (*Fake, error) {
	opts.setDefaults()
	file, err := openRecordFile(opts.RecordTo)
	if err != nil {
		return nil, err
	}
	f := &Fake{
		opts:     opts,
		file:     file,
		received: newReceived(opts.ReceivedLimit, opts.Watch, file),
		faults:   newFaults(opts.Faults, opts.Seed),
		runs:     &runs{incarnation: time.Now().UnixNano(), file: file},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	switch opts.Kind {
	case config.KindEngine:
		f.worker = newEngine(opts, f.faults, f.runs)
	case config.KindService:
		f.worker = newService(opts, f.faults, f.runs)
	case config.KindWeightStore:
		f.worker = newWeightStore(opts, f.runs)
	default:
		return nil, errors.Newf("fakes: unknown kind %q", opts.Kind)
	}
	return f, nil
}

// Start opens the listener and starts serving and announcing.
func (f *Fake) Start() error {
	l, err := net.Listen("tcp", f.opts.Listen)
	if err != nil {
		return errors.Wrap(err, "fakes: cannot listen")
	}
	f.tracker = newTracker(l, f.received)
	f.server = &http.Server{
		Handler: f,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	f.announce = newAnnouncer(f.opts, f.runs.incarnation, f.Addr(), f.worker, f.faults)
	f.wg.Go(func() { _ = f.server.Serve(f.tracker) })
	f.wg.Go(func() { f.worker.run(f.ctx) })
	f.wg.Go(func() { f.announce.run(f.ctx) })
	return nil
}

type connKey struct{}

// Addr returns the listen address (IP:port).
func (f *Fake) Addr() string {
	return f.tracker.Addr().String()
}

// Close stops the stand-in immediately and resets its connections, as if the process were killed.
func (f *Fake) Close() {
	f.close.Do(func() {
		f.cancel()
		f.tracker.reset()
		_ = f.server.Close()
		f.wg.Wait()
	})
}

// Stop shuts down gracefully: it announces the goodbye, accepts calls for StopLinger, waits for
// calls in flight until ctx is done, and closes the stand-in.
func (f *Fake) Stop(ctx context.Context) {
	if f.announce.goodbye(ctx) {
		d := Departure{Upstream: f.opts.Name, Incarnation: f.runs.incarnation, AtNS: time.Now().UnixNano()}
		f.file.write(record{Departure: &d})
	}
	sleep(ctx, f.opts.StopLinger)
	_ = f.server.Shutdown(ctx)
	f.Close()
}

// Crashed reports whether a request that contains Faults.CrashMark has crashed the stand-in.
func (f *Fake) Crashed() bool { return f.crashed.Load() }

// crash runs OnCrash if set, otherwise it resets the listener and all connections.
func (f *Fake) crash() {
	f.crashed.Store(true)
	if f.opts.OnCrash != nil {
		f.opts.OnCrash()
		return
	}
	f.cancel()
	f.tracker.reset()
}

// Received reports whether substr was received on any connection except control connections.
func (f *Fake) Received(substr []byte) bool {
	return f.received.contains(substr)
}

// Runs returns the records of all calls that the stand-in ran.
func (f *Fake) Runs() []Run {
	return f.runs.all()
}

// SetFaults replaces the fault switches. Silence takes effect immediately and is not stored.
func (f *Fake) SetFaults(now Faults) {
	f.faults.set(now)
	if now.Silence {
		f.tracker.silence()
	}
}

// ServeHTTP implements http.Handler.
func (f *Fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok && c.isControl() {
		f.serveControl(w, r)
		return
	}
	if strings.HasPrefix(r.URL.Path, controlPrefix) {
		http.Error(w, "controls need a connection of their own", http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body_unreadable", "the body cannot be read")
		return
	}
	mark := f.faults.get().CrashMark
	if mark != "" && (bytes.Contains(body, []byte(mark)) || strings.Contains(r.URL.Path, mark)) {
		f.crash()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/healthz" && f.opts.Kind != config.KindService {
		w.WriteHeader(http.StatusOK)
		return
	}
	if f.faults.fails() {
		writeError(w, http.StatusInternalServerError, "injected", "injected failure")
		return
	}
	f.worker.serve(w, r, body)
}

// loadReport is a snapshot of a worker's load.
type loadReport struct {
	at                    time.Time
	running, waiting      int
	kvTokens, kvLimit     int64
	slots                 int
	canResume, hasFencing bool
}
