package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/balance"
	"egretramp/internal/events"
	"egretramp/internal/httpwire"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/upconn"
	"egretramp/internal/zonebytes"
)

// outcome is the result of one attempt.
type outcome int

const (
	answered outcome = iota // the caller received the final response, or disconnected
	notSent                 // no byte can have reached the upstream
	notRun                  // the upstream states that it did not run the request
	maybeRun                // the request may have run
)

const (
	// maxRefusals is how many upstreams may decline a request before the caller gets a refusal.
	maxRefusals = 3
	// maxSendsPerUpstream is how often a repeatable request is sent to one upstream.
	maxSendsPerUpstream = 2
	// prefillTokensPerMilli is the typical prefill speed of engines, in tokens per millisecond. It
	// only weighs affinity against queueing.
	prefillTokensPerMilli = 80
	// objectAffinityGain is the time saved by an upstream that handled the object recently.
	objectAffinityGain = 15 * time.Millisecond
)

// forward makes attempts until the request has a response or no attempt is left.
func (x *exchange) forward() {
	sends := map[string]int{}
	for {
		if err := context.Cause(x.ctx); err != nil {
			x.abandon(err)
			return
		}
		if retryAfter, rejected := x.isQuarantined(); rejected {
			x.refuse(x.quarantineRefusal(retryAfter))
			return
		}
		u, ok, wait := x.pickUpstream(sends)
		if !ok && wait > 0 && x.mayWait(wait) {
			x.awaitPermit(wait)
			continue
		}
		if !ok {
			x.refuse(x.exhaustedRefusal(wait))
			return
		}
		if !x.server.opts.Upstreams.TakeUpstream(x.ctx, u) {
			continue
		}
		sends[u.ID]++
		x.upstream, x.upstreamBuild = u.ID, u.Build
		started := time.Now()
		result, err := x.tryUpstream(u)
		if result == answered {
			return
		}
		x.recordFailure(u, result, err)
		switch result {
		case notSent:
			x.server.opts.Upstreams.ReturnUpstream(u)
			x.excluded[u.ID] = true
		case notRun:
			x.excluded[u.ID] = true
			x.refusals++
			if x.refusals >= maxRefusals {
				x.refuse(x.exhaustedRefusal(0))
				return
			}
		case maybeRun:
			x.mayHaveRun[u.ID] = true
			crashResult := x.detectCrash(u, started, err)
			if errors.Is(err, errZoneUnreachable) {
				x.zoneUnreachable[u.ID] = true
			}
			if !x.route.Repeatable() || sends[u.ID] >= maxSendsPerUpstream {
				x.excluded[u.ID] = true
			}
			if !x.route.Repeatable() || x.w.Begun() && x.unnumbered {
				x.refuse(x.failureRefusal(err))
				return
			}
			x.awaitCrashResult(crashResult)
		}
	}
}

// recordFailure records a failed attempt. An attempt that was not sent because the request's
// context ended, because the upstream's zone was taken out of service, or because the permit for it had expired when its
// connection was open, is no failure of the upstream.
func (x *exchange) recordFailure(u registry.Upstream, result outcome, err error) {
	if result == notSent && (x.ctx.Err() != nil || errors.IsAny(err, errZoneEvacuated, errPermitExpired)) {
		return
	}
	x.server.health.recordFailure(u.ID, result, err)
	x.server.opts.Metrics.attemptFailed(result)
	x.server.opts.Events.Emit(events.ProxyAttemptFailed, append(x.logFields(),
		zap.Stringer("outcome", result), zap.Int64("born", u.Born), zap.String("fingerprint", string(x.requestFingerprint())), zap.Error(err))...)
}

// abandon ends a request whose deadline passed or whose caller disconnected.
func (x *exchange) abandon(cause error) {
	if errors.Is(cause, httpwire.ErrCallerGone) {
		x.abortCallerGone(cause)
		return
	}
	if len(x.mayHaveRun) > 0 || x.w.Begun() {
		x.refuse(Refusal{Reason: TimedOut})
		return
	}
	x.refuse(Refusal{Reason: TooLate})
}

// abortCallerGone ends a request whose caller disconnected.
func (x *exchange) abortCallerGone(cause error) {
	x.settle()
	x.server.opts.Metrics.callerGone()
	x.server.opts.Events.Emit(events.ProxyCallerGone, append(x.logFields(), zap.Error(cause))...)
	x.w.Abort()
}

// exhaustedRefusal returns the refusal when no upstream is left to try. limitedFor is the time until one that
// is at its rate limit may take the request, 0 if there is none.
func (x *exchange) exhaustedRefusal(limitedFor time.Duration) Refusal {
	if len(x.mayHaveRun) > 0 || x.w.Begun() {
		return Refusal{Reason: Failed, Detail: "every upstream that may run it failed"}
	}
	if limitedFor > 0 {
		return x.limitedRefusal(limitedFor)
	}
	if x.zonesEvacuated() {
		return Refusal{Reason: ZonesEvacuated, RetryAfter: evacuatedRetryAfter}
	}
	if r, gone := x.buildGone(); gone {
		return r
	}
	after := upstreamRetryAfter
	if x.retryAfterHint > 0 {
		after = x.retryAfterHint
	}
	return Refusal{Reason: NoUpstream, RetryAfter: after}
}

// failureRefusal returns the refusal after a failed attempt of a request that may have run.
func (x *exchange) failureRefusal(err error) Refusal {
	if x.ctx.Err() != nil {
		return Refusal{Reason: TimedOut}
	}
	return Refusal{Reason: Failed, Detail: err.Error()}
}

// pickUpstream selects the next upstream. Once MaxAttempts upstreams may have run the request, only
// those remain, so that it runs on no further one. Upstreams in unreachable zones don't count. If there is none
// and some are at their rate limit, wait is the time until the first of these may take the request.
func (x *exchange) pickUpstream(sends map[string]int) (picked registry.Upstream, ok bool, wait time.Duration) {
	s := x.server
	upstreams := x.upstreams()
	candidates := make([]balance.Candidate, len(upstreams))
	exhausted := len(x.mayHaveRun)-len(x.zoneUnreachable) >= max(x.route.MaxAttempts, 1)
	for i, u := range upstreams {
		candidates[i] = s.health.candidate(u)
		candidates[i].Local = u.Zone == s.opts.Zone
		candidates[i].Unconfirmed = u.State != registry.Ready
		candidates[i].Failing = candidates[i].Failing || !s.zones.reachable(u.Zone)
		candidates[i].Tried = x.excluded[u.ID] || !x.mayContinue(u) || x.zoneUnreachable[u.ID] || (exhausted && !x.mayHaveRun[u.ID])
		if sends[u.ID] > 0 {
			candidates[i].Failing = true
		}
	}
	wait = x.applyLimits(upstreams, candidates)
	request := balance.Request{Draw: rand.Float64(), Service: time.Duration(x.relativeSize() * float64(s.health.expectedDuration(x.service.Name)))}
	switch {
	case x.route.Kind == routing.Streaming && x.call.Program != "":
		request.Affinity = x.call.Program
		request.Home = x.home()
		request.OwnGain = time.Duration(x.call.PromptTokens/prefillTokensPerMilli) * time.Millisecond
		request.AffinityGain = balance.PromptCostFactor * request.OwnGain
		request.New = !x.programActive
	case x.route.Sticky && x.call.Object != "":
		request.Affinity, request.AffinityGain = x.call.Object, objectAffinityGain
	}
	x.addFleetLoad(upstreams, candidates, &request)
	i := balance.Pick(candidates, request)
	if i < 0 {
		return registry.Upstream{}, false, wait
	}
	s.opts.Metrics.placed(x.loadAge >= 0, candidates[i].Local)
	if request.Affinity != "" && x.call.Program != "" && !candidates[i].Limited && upstreams[i].State != registry.Draining {
		s.lastUpstreams.set(x.homeKey(), upstreams[i].ID)
		x.newHome = upstreams[i].ID
	}
	return upstreams[i], true, 0
}

// homeKey identifies the request's line of turns.
func (x *exchange) homeKey() string { return x.call.Program + "/" + x.call.Line }

// home returns the upstream that is likely to hold the state of the request's line of turns: that of its last
// turn, or for a line's first turn that of the program's main line. The store, if it was asked, also knows the
// turns that other VMs served.
func (x *exchange) home() string {
	if x.storedHome != "" {
		return x.storedHome
	}
	if home := x.server.lastUpstreams.get(x.homeKey()); home != "" {
		return home
	}
	return x.server.lastUpstreams.get(x.call.Program + "/" + x.call.Program)
}

// tryUpstream makes one attempt at an upstream.
func (x *exchange) tryUpstream(u registry.Upstream) (outcome, error) {
	s := x.server
	taken := time.Now()
	conn, err := s.pool.Get(x.ctx, u.Address)
	if err != nil {
		return notSent, err
	}
	if s.opts.Evacuated(u.Zone) { // since the upstream was selected
		_ = conn.Close()
		return notSent, errZoneEvacuated
	}
	if x.permitExpired(u, taken) {
		s.pool.Put(conn, nil)
		return notSent, errPermitExpired
	}
	s.countBytes(conn, u)
	s.health.requestStarted(u.ID)
	defer s.health.requestEnded(u.ID)
	started := time.Now()
	pending := &pendingAttempt{upstream: u, detour: conn.IsDetour(), repeatable: x.route.Repeatable()}
	zone := s.zones.addAttempt(conn, pending)
	a := &attempt{exchange: x, conn: conn, upstream: u, zone: zone, pending: pending, started: started, buffers: bufferLease{shared: &s.buffers}}
	// Closing the connection ends blocked reads and writes when the request's context ends.
	a.stopClosing = context.AfterFunc(x.ctx, func() { _ = conn.Close() })
	defer a.releaseConn()
	x.recordOrigin(u)
	result, err := a.roundTrip()
	a.releaseConn()
	if reason := pending.closed.Load(); reason != nil && result != answered {
		err = *reason
	}
	if cause := context.Cause(x.ctx); result == maybeRun && cause != nil && errors.Is(cause, httpwire.ErrCallerGone) {
		x.detectCrash(u, started, err)
		x.abortCallerGone(cause)
		return answered, nil
	}
	return result, err
}

// countBytes counts the bytes of an attempt. Those of a detour are counted as a tunnel's by the connection between the VMs.
func (s *Server) countBytes(conn *upconn.Conn, u registry.Upstream) {
	if s.opts.Bytes == nil || conn.IsDetour() {
		return
	}
	conn.CountBytes(func(sent, received int64) { s.opts.Bytes.Add(u.Zone, zonebytes.Attempt, sent, received) })
}

// respond forwards a complete response.
func (x *exchange) respond(status int, header http.Header, body []byte) {
	x.settle()
	x.recordAnswer(status, x.w.Send(status, header, body))
}

// recordAnswer records how a request ended that got an upstream's response.
func (x *exchange) recordAnswer(status int, err error) {
	s := x.server
	age := time.Since(x.request.Arrived)
	if err != nil {
		s.opts.Metrics.callerGone()
		s.opts.Events.Emit(events.ProxyCallerGone, append(x.logFields(), zap.Error(err))...)
		return
	}
	s.opts.Metrics.answered(x.route.Kind, status, x.timeToFirstByte, age)
	s.opts.Events.Emit(events.ProxyAnswered, append(x.logFields(), zap.Int("status", status),
		zap.Duration("first", x.timeToFirstByte), zap.Int64("events", x.eventsSent))...)
}
