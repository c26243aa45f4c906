package proxy

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/turns"
)

const (
	// maxRecordWait is how long a stream's first event waits for the record of its origin. The record is sent while
	// the upstream reads the prompt, so only a store that is slow or can't be reached delays the event; the
	// stream then can't be resumed until it is recorded.
	maxRecordWait = 100 * time.Millisecond
	// recordTimeout is how long the record of an origin is retried, which may outlast the request.
	recordTimeout = 3 * time.Second
	// resumeWindow is how long after a route's timeout a stream may still be resumed. Callers resume before their
	// own deadline, which isn't known once a VM is lost.
	resumeWindow = 30 * time.Second
	// directoryFillTime is about the time in which a VM that has just started learns of all upstreams.
	directoryFillTime = 2 * time.Second
	// leavingShare is the part of the time that an upstream serves after it announced its shutdown, in which it
	// is still sent requests that no other upstream can serve: streams of its build, and all if its service has no
	// ready upstream. The rest is for the delay of the announcement.
	leavingShare = 0.5
	// lastAttempt is the number of a record that no later one replaces.
	lastAttempt = math.MaxInt64
)

var (
	errUpstreamReplaced = errors.New("proxy: another process has taken the upstream's place; its build isn't certain")
	errOriginUnrecorded = errors.New("proxy: the origin of the stream could not be recorded in place of an earlier attempt's")
)

// origin is what wrote a stream: upstreams of one build of one service. What two builds write doesn't fit
// together, and upstreams don't check it.
type origin struct{ service, build string }

// originSeparator separates the parts of an encoded origin.
const originSeparator = "\x00"

// encode returns the origin as it is stored, empty if the build isn't known.
func (o origin) encode() string {
	if o.build == "" {
		return ""
	}
	return o.service + originSeparator + o.build
}

func decodeOrigin(text string) (origin, bool) {
	service, build, ok := strings.Cut(text, originSeparator)
	return origin{service, build}, ok && build != ""
}

// originRecord is a record of a stream's origin on its way to the store.
type originRecord struct {
	origin  origin
	attempt int64
	// replaces is set if an earlier attempt's record names another origin, and may be stored.
	replaces bool
	done     chan struct{} // closed when stored is final
	stored   bool
}

// isFinished reports whether the record's result is known.
func (r *originRecord) isFinished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// resumes reports whether the request resumes a stream that an earlier client attempt began.
func (x *exchange) resumes() bool {
	return x.isResumable() && (x.call.Resumes != "" || x.call.LastEventID != "")
}

func (x *exchange) isResumable() bool { return x.route.Kind == routing.Streaming && x.route.Resumable }

// recordsResumed reports whether the request resumes the stream of a turn that is recorded. The record needs the whole
// output, and what the caller got before may be known to no VM any more: the upstream, one of the build that began the
// stream, sends it again from the start.
func (x *exchange) recordsResumed() bool {
	return x.route.Stateful && x.resumes() && x.call.LastEventID != ""
}

// originRetention is how long the origin of a stream is stored.
func (x *exchange) originRetention() time.Duration { return x.route.Timeout + resumeWindow }

// resumedOrigin returns the origin of the stream that the request resumes, empty if it isn't known. If the caller doesn't
// say which of its account's streams it resumes, the origin is known only if they all have the same one, as far as the
// route's services are concerned.
func (x *exchange) resumedOrigin(r turns.Result) string {
	if x.call.Resumes != "" {
		return r.Origin
	}
	found := ""
	for _, stored := range r.Origins {
		o, known := decodeOrigin(stored)
		if known && !x.leadsTo(o.service) {
			continue
		}
		if !known || found != "" {
			return ""
		}
		found = stored
	}
	return found
}

// leadsTo reports whether the route leads to a service.
func (x *exchange) leadsTo(service string) bool {
	return slices.ContainsFunc(x.route.Targets, func(t routing.Target) bool { return t.Service == service && t.Weight > 0 })
}

// resumeAt makes the request go on at the origin that the store returned.
func (x *exchange) resumeAt(stored string) *Refusal {
	o, known := decodeOrigin(stored)
	if !known {
		return &Refusal{Reason: UnknownStream}
	}
	if !x.leadsTo(o.service) {
		return &Refusal{Reason: BuildGone, Detail: "the route no longer leads to the service that wrote the stream"}
	}
	x.service, _ = x.table.Service(o.service)
	x.origin = o
	if x.call.Resumes == "" { // a named stream's origin is stored for this attempt by the begin
		x.originRecord = &originRecord{origin: o, done: make(chan struct{})}
		x.sendRecord(x.call.RequestID, x.originRecord)
	}
	return nil
}

// upstreams returns the upstreams of the request's service in zones that are in service. For a stream that is resumed, or
// if no upstream is ready, they include those that announced their shutdown a short time ago.
func (x *exchange) upstreams() []registry.Upstream { return x.listUpstreams(x.server.opts.Evacuated) }

// listUpstreams is upstreams with other zones excluded.
func (x *exchange) listUpstreams(excluded func(zone string) bool) []registry.Upstream {
	ready := withoutZones(x.server.opts.Directory.View().Services[x.service.Name], excluded)
	if x.origin.build == "" && len(ready) > 0 {
		return ready
	}
	limit := LeavingLimit(x.server.opts.Drain)
	leaving := withoutZones(x.server.opts.Directory.LeavingFor(x.service.Name, limit), excluded)
	return append(ready[:len(ready):len(ready)], leaving...)
}

// LeavingLimit is how long an upstream is sent requests after it announced its shutdown, if no other one can serve them.
// drain is the time for which it serves.
func LeavingLimit(drain time.Duration) time.Duration {
	return time.Duration(leavingShare * float64(drain))
}

// mayContinue reports whether an upstream may write what follows the events that were forwarded so far.
func (x *exchange) mayContinue(u registry.Upstream) bool {
	if !x.isResumable() || x.origin == (origin{}) {
		return true
	}
	return x.origin.build != "" && u.Build == x.origin.build
}

// buildGone returns the refusal of a stream that can't be resumed because no upstream of its build is left. Soon
// after this VM's start, it may not know of them yet.
func (x *exchange) buildGone() (Refusal, bool) {
	if !x.resumes() {
		return Refusal{}, false
	}
	for _, u := range x.upstreams() {
		if x.mayContinue(u) {
			return Refusal{}, false
		}
	}
	r := Refusal{Reason: BuildGone, Detail: x.origin.build}
	if time.Since(x.server.started) < directoryFillTime {
		r.RetryAfter = upstreamRetryAfter
	}
	return r, true
}

// recordOrigin begins to record the origin of a stream that an upstream is about to begin, so that any VM can
// resume it later. It doesn't wait: the upstream reads the prompt meanwhile.
func (x *exchange) recordOrigin(u registry.Upstream) {
	if !x.isResumable() || x.resumes() || x.eventsSent > 0 || u.Build == "" {
		return
	}
	next := &originRecord{origin: origin{x.service.Name, u.Build}, done: make(chan struct{})}
	if last := x.originRecord; last != nil {
		if last.origin == next.origin && (!last.isFinished() || last.stored) {
			return
		}
		next.attempt = last.attempt + 1
		next.replaces = last.replaces || last.origin != next.origin
	}
	x.originRecord = next
	x.sendRecord(x.call.RequestID, next)
}

// sendRecord records the origin of the stream that a client attempt began, in the background.
func (x *exchange) sendRecord(request string, r *originRecord) {
	s := turns.Stream{
		Account: x.accountName(), Request: request, Origin: r.origin.encode(), Attempt: r.attempt, Retention: x.originRetention(),
	}
	server, fields := x.server, x.logFields()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), recordTimeout)
	go func() {
		defer close(r.done)
		defer cancel()
		stored, err := server.opts.Ledger.RecordStream(ctx, s)
		r.stored = stored && err == nil
		if !r.stored {
			server.opts.Metrics.originUnrecorded()
			server.opts.Events.Emit(events.ProxyOriginUnrecorded, append(fields, zap.String("build", r.origin.build), zap.Error(err))...)
		}
	}()
}

// confirmOrigin is called before an event of a resumable stream is forwarded. It returns an error if the event may
// not be, because it may be of another build than the events before it or than the recorded one.
func (a *attempt) confirmOrigin() error {
	if !a.isResumable() {
		return nil
	}
	if a.server.opts.Directory.Replaced(a.upstream) {
		a.forgetOrigin()
		return errUpstreamReplaced
	}
	if a.origin != (origin{}) {
		return nil
	}
	if err := a.awaitRecord(); err != nil {
		return err
	}
	a.origin = origin{a.service.Name, a.upstream.Build}
	return nil
}

// awaitRecord waits until the origin of a stream that begins is recorded, but for at most maxRecordWait unless the
// store may hold another origin.
func (a *attempt) awaitRecord() error {
	r := a.originRecord
	if r == nil {
		return nil // the upstream states no build, so the stream can't be resumed
	}
	if r.replaces || r.origin.build != a.upstream.Build {
		select {
		case <-r.done:
		case <-a.ctx.Done():
		}
		if !r.isFinished() || !r.stored || r.origin.build != a.upstream.Build {
			return errOriginUnrecorded
		}
		return nil
	}
	started := time.Now()
	defer func() { a.server.opts.Metrics.originAwaited(time.Since(started)) }()
	timer := time.NewTimer(maxRecordWait)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	case <-a.ctx.Done():
	}
	return nil
}

// forgetOrigin ends the resumption of a stream if events of this attempt were forwarded, which may be of another
// build than recorded.
func (a *attempt) forgetOrigin() {
	if !a.forwarded {
		return
	}
	a.origin = origin{service: a.service.Name}
	for _, request := range []string{a.call.RequestID, a.call.Resumes} {
		if request != "" {
			a.originRecord = &originRecord{origin: a.origin, attempt: lastAttempt, replaces: true, done: make(chan struct{})}
			a.sendRecord(request, a.originRecord)
		}
	}
}
