// Package fakes holds small stand-ins for the upstreams: a model engine, a service and a
// weight store. They speak the protocol of package wire over HTTP, announce themselves, keep
// records of what they ran and received, and have fault switches.
//
// A stand-in runs inside a test (New, Start, Close) or as the process egretramp-fake. Its own
// controls are under /_fake/, on connections of their own (see Client): such connections are
// neither recorded nor concerned by faults.
//
// An engine's answer depends on the model and the whole conversation alone, and Answer
// computes it, so that a test knows the only right answer of every call.
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

// maxBody bounds a request's body. Bytes.
const maxBody = 64 << 20

// Fake is one stand-in.
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

// worker is what the kinds of stand-ins differ in.
type worker interface {
	// serve answers a request whose body was read.
	serve(w http.ResponseWriter, r *http.Request, body []byte)
	// run works until ctx ends.
	run(ctx context.Context)
	// load is what is reported in announcements.
	load() loadReport
	// serves are the models or services announced.
	serves() []string
}

// New returns a stand-in that does not listen yet.
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

// Start listens and begins to announce.
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

// Addr returns the address that it listens on, IP:port.
func (f *Fake) Addr() string {
	return f.tracker.Addr().String()
}

// Close ends the stand-in at once, as a process that is killed.
func (f *Fake) Close() {
	f.close.Do(func() {
		f.cancel()
		f.tracker.reset()
		_ = f.server.Close()
		f.wg.Wait()
	})
}

// Stop says goodbye, takes calls for StopLinger, lets those under way end for as long as ctx
// lasts, and closes.
func (f *Fake) Stop(ctx context.Context) {
	if f.announce.goodbye(ctx) {
		d := Departure{Upstream: f.opts.Name, Incarnation: f.runs.incarnation, AtNS: time.Now().UnixNano()}
		f.file.write(record{Departure: &d})
	}
	sleep(ctx, f.opts.StopLinger)
	_ = f.server.Shutdown(ctx)
	f.Close()
}

// Crashed reports whether a marked request has crashed the stand-in.
func (f *Fake) Crashed() bool { return f.crashed.Load() }

// crash is what a marked request does to the stand-in.
func (f *Fake) crash() {
	f.crashed.Store(true)
	if f.opts.OnCrash != nil {
		f.opts.OnCrash()
		return
	}
	f.cancel()
	f.tracker.reset()
}

// Received reports whether substr arrived, on any connection but the controls'.
func (f *Fake) Received(substr []byte) bool {
	return f.received.contains(substr)
}

// Runs returns the records of all calls that were run.
func (f *Fake) Runs() []Run {
	return f.runs.all()
}

// SetFaults replaces the fault switches; Silence acts at once and is not kept.
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

// loadReport is a worker's load at one time.
type loadReport struct {
	at                    time.Time
	running, waiting      int
	kvTokens, kvLimit     int64
	slots                 int
	canResume, hasFencing bool
}
