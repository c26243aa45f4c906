package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/registry"
	"egretramp/internal/suspect"
	"egretramp/internal/upconn"
)

const (
	// crashProbeWait bounds how long a retry waits for the result of a probe, which takes one round trip
	// unless the upstream's host is silent.
	crashProbeWait = 50 * time.Millisecond
	// failedRunRetention is how long after a failed attempt the registration of another process in the
	// upstream's place shows that the upstream crashed. It covers the time until a crashed upstream is back.
	failedRunRetention = suspect.UnconfirmedRetention
	// minSilence is how long an upstream must not have responded before an attempt that this VM ended itself
	// is probed.
	minSilence = 300 * time.Millisecond
	// maxFailedRuns bounds the failed attempts that are kept.
	maxFailedRuns = 1024
)

// crashDetector determines which failed attempts crashed their upstream and reports these to the tracker.
// A lost response alone is no crash: it takes a host that refuses connections, or the registration of
// another process in the upstream's place. A host that doesn't respond to connections counts as crashed for
// some seconds. It is safe for concurrent use.
type crashDetector struct {
	tracker   *suspect.Tracker
	directory *registry.Directory
	pool      *upconn.Pool
	health    *health
	zones     *zones
	cutOff    func() bool // a partition separates this VM from all upstreams
	events    *events.Logger
	metrics   *Metrics

	mu     sync.Mutex
	failed []failedRun // oldest first
}

// failedRun is an attempt that ended without a complete response.
type failedRun struct {
	request     string // its ID
	fingerprint suspect.Fingerprint
	subject     string // describes the request to operators
	upstream    registry.Upstream
	startedAt   time.Time
	endedAt     time.Time
	endedHere   bool // this VM closed the connection: the deadline passed or the caller disconnected
}

// probe determines in the background whether the upstream of a failed attempt still accepts connections.
// The returned channel is closed when the result is known.
func (d *crashDetector) probe(run failedRun) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if run.endedHere {
			time.Sleep(time.Until(run.startedAt.Add(minSilence)))
			if d.health.heardSince(run.upstream.ID, run.startedAt) {
				d.watch(run)
				return
			}
		}
		err := d.pool.Probe(context.Background(), run.upstream.Address)
		switch {
		case err == nil || d.directory.Leaving(run.upstream):
		case upconn.RefusedByHost(err):
			d.recordCrash(run)
			return
		case d.zones.reachable(run.upstream.Zone) && !d.cutOff():
			d.recordSilence(run, err)
		}
		d.watch(run)
	}()
	return done
}

// watch keeps a failed attempt until another process is registered in its upstream's place.
func (d *crashDetector) watch(run failedRun) {
	d.mu.Lock()
	replaced := d.directory.Replaced(run.upstream) // before the attempt failed
	if !replaced {
		d.addFailed(run)
	}
	d.mu.Unlock()
	if replaced {
		d.recordCrash(run)
	}
}

// addFailed keeps a failed attempt. d.mu must be held.
func (d *crashDetector) addFailed(run failedRun) {
	if len(d.failed) == maxFailedRuns {
		d.failed = slices.Delete(d.failed, 0, 1)
	}
	d.failed = append(d.failed, run)
}

// review checks the failed attempts against the directory. It is called after each change of the directory.
func (d *crashDetector) review() {
	var crashed []failedRun
	d.mu.Lock()
	d.failed = slices.DeleteFunc(d.failed, func(run failedRun) bool {
		switch {
		case time.Since(run.endedAt) > failedRunRetention, d.directory.Leaving(run.upstream):
			return true
		case d.directory.Replaced(run.upstream):
			crashed = append(crashed, run)
			return true
		}
		return false
	})
	d.mu.Unlock()
	for _, run := range crashed {
		d.recordCrash(run)
	}
}

// strike returns the strike of a run whose upstream crashed.
func (r *failedRun) strike() suspect.Strike {
	return suspect.Strike{Run: r.request + "/" + r.upstream.ID, Upstream: r.upstream.Process()}
}

// logFields returns the fields that describe a run in log lines.
func (r *failedRun) logFields() []zap.Field {
	return []zap.Field{
		zap.String("request", r.request), zap.String("subject", r.subject), zap.String("fingerprint", string(r.fingerprint)),
		zap.String("upstream", r.upstream.ID), zap.Int64("born", r.upstream.Born), zap.String("address", r.upstream.Address),
		zap.Duration("after", time.Since(r.endedAt)),
	}
}

// recordSilence records that the upstream's host doesn't respond, as after a loss of power.
func (d *crashDetector) recordSilence(run failedRun, cause error) {
	record, counted := d.tracker.Silent(run.fingerprint, run.strike(), run.subject)
	d.events.Emit(events.ProxyUpstreamSilent, append(run.logFields(), zap.Bool("counted", counted),
		zap.Int("strikes", len(record.Struck)), zap.Int("unconfirmed", len(record.Unconfirmed)), zap.Error(cause))...)
}

func (d *crashDetector) recordCrash(run failedRun) {
	record, counted := d.tracker.Lost(run.fingerprint, run.strike(), run.subject)
	d.metrics.upstreamCrashed(counted)
	event := events.ProxyUpstreamCrashed
	if counted && len(record.Struck) == suspect.MaxCrashes {
		event = events.ProxyQuarantined
	}
	d.events.Emit(event, append(run.logFields(), zap.Bool("counted", counted), zap.Int("strikes", len(record.Struck)))...)
}

// recordSuccess records that an attempt got a complete response.
func (d *crashDetector) recordSuccess(request string, f suspect.Fingerprint) {
	if d.tracker.Succeeded(f) {
		d.events.Emit(events.ProxyStrikesCleared, zap.String("request", request), zap.String("fingerprint", string(f)))
	}
}

// ReviewCrashes checks whether upstreams that were replaced had crashed. It is called after each change of
// the directory.
func (s *Server) ReviewCrashes() { s.crashes.review() }

// requestFingerprint identifies requests of the same caller with the same method, target and body,
// whatever their request IDs and the VMs that receive them.
func (x *exchange) requestFingerprint() suspect.Fingerprint {
	if x.fingerprint == "" {
		p := suspect.NewFingerprinter()
		p.AddLiteral(x.accountName())
		p.AddLiteral(x.request.Method)
		p.AddLiteral(x.request.Host)
		p.AddLiteral(x.request.Target)
		p.AddBytes(x.request.Body)
		x.fingerprint = p.Fingerprint()
	}
	return x.fingerprint
}

// isQuarantined reports whether the request has crashed too many upstreams to be sent to another one, and
// after which time it may be sent again.
func (x *exchange) isQuarantined() (retryAfter time.Duration, rejected bool) {
	tracker := x.server.opts.Suspects
	if tracker.Empty() {
		return 0, false
	}
	return tracker.Rejection(x.requestFingerprint())
}

// quarantineRefusal returns the refusal of a quarantined request.
func (x *exchange) quarantineRefusal(retryAfter time.Duration) Refusal {
	if len(x.mayHaveRun) > 0 || x.w.Begun() {
		return Refusal{Reason: Failed, Detail: "the request crashed its upstreams and is quarantined"}
	}
	return Refusal{Reason: Quarantined, RetryAfter: retryAfter}
}

// detectCrash starts to determine whether an attempt that may have run crashed its upstream. The returned
// channel is closed when that is known, or when it can't be determined yet.
func (x *exchange) detectCrash(u registry.Upstream, started time.Time, cause error) <-chan struct{} {
	d := x.server.crashes
	run := failedRun{
		request: x.call.RequestID, fingerprint: x.requestFingerprint(), upstream: u, startedAt: started, endedAt: time.Now(),
		endedHere: x.ctx.Err() != nil,
		subject:   "client account " + x.accountName() + ", route " + x.route.Name + ", " + x.request.Method,
	}
	if !errors.Is(cause, errZoneUnreachable) && !errors.Is(cause, errPathLost) {
		return d.probe(run)
	}
	// A partition, which shows nothing about the upstream.
	d.watch(run)
	done := make(chan struct{})
	close(done)
	return done
}

// awaitCrashResult waits for the channel of detectCrash before a retry.
func (x *exchange) awaitCrashResult(done <-chan struct{}) {
	select {
	case <-done:
	case <-x.ctx.Done():
	case <-time.After(crashProbeWait):
	}
}
