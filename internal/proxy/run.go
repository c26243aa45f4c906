package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/balance"
	"egretramp/internal/events"
	"egretramp/internal/httpwire"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
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
	// prefillCostFactor is the cost of reading a prompt again, as a multiple of the time that its own
	// turn loses: all turns running on the upstream wait meanwhile.
	prefillCostFactor = 4
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
		u, ok := x.pickUpstream(sends)
		if !ok {
			x.refuse(x.exhaustedRefusal())
			return
		}
		sends[u.ID]++
		x.upstream = u.ID
		started := time.Now()
		result, err := x.tryUpstream(u)
		if result == answered {
			return
		}
		x.recordFailure(u, result, err)
		switch result {
		case notSent:
			x.excluded[u.ID] = true
		case notRun:
			x.excluded[u.ID] = true
			x.refusals++
			if x.refusals >= maxRefusals {
				x.refuse(x.exhaustedRefusal())
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
			if !x.route.Repeatable() {
				x.refuse(x.failureRefusal(err))
				return
			}
			x.awaitCrashResult(crashResult)
		}
	}
}

// recordFailure records a failed attempt. An attempt that was not sent because the request's
// context ended is no failure of the upstream.
func (x *exchange) recordFailure(u registry.Upstream, result outcome, err error) {
	if result == notSent && x.ctx.Err() != nil {
		return
	}
	x.server.health.recordFailure(u.ID, result)
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

// exhaustedRefusal returns the refusal when no upstream is left to try.
func (x *exchange) exhaustedRefusal() Refusal {
	if len(x.mayHaveRun) > 0 || x.w.Begun() {
		return Refusal{Reason: Failed, Detail: "every upstream that may run it failed"}
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
// those remain, so that it runs on no further one. Upstreams in unreachable zones don't count.
func (x *exchange) pickUpstream(sends map[string]int) (registry.Upstream, bool) {
	s := x.server
	upstreams := s.opts.Directory.View().Services[x.service.Name]
	candidates := make([]balance.Candidate, len(upstreams))
	exhausted := len(x.mayHaveRun)-len(x.zoneUnreachable) >= max(x.route.MaxAttempts, 1)
	for i, u := range upstreams {
		candidates[i] = s.health.candidate(u)
		candidates[i].Local = u.Zone == s.opts.Zone
		candidates[i].Unconfirmed = u.State != registry.Ready
		candidates[i].Failing = candidates[i].Failing || !s.zones.reachable(u.Zone)
		candidates[i].Tried = x.excluded[u.ID] || x.zoneUnreachable[u.ID] || (exhausted && !x.mayHaveRun[u.ID])
		if sends[u.ID] > 0 {
			candidates[i].Failing = true
		}
	}
	request := balance.Request{Draw: rand.Float64(), Service: s.health.expectedDuration(x.service.Name)}
	switch {
	case x.route.Kind == routing.Streaming && x.call.Program != "":
		request.Affinity = x.call.Program
		request.Home = s.lastUpstreams.get(x.call.Program)
		request.AffinityGain = time.Duration(prefillCostFactor*x.call.PromptTokens/prefillTokensPerMilli) * time.Millisecond
		request.New = !x.programActive
	case x.route.Sticky && x.call.Object != "":
		request.Affinity, request.AffinityGain = x.call.Object, objectAffinityGain
	}
	i := balance.Pick(candidates, request)
	if i < 0 {
		return registry.Upstream{}, false
	}
	if request.Affinity != "" && x.call.Program != "" {
		s.lastUpstreams.set(x.call.Program, upstreams[i].ID)
	}
	return upstreams[i], true
}

// tryUpstream makes one attempt at an upstream.
func (x *exchange) tryUpstream(u registry.Upstream) (outcome, error) {
	s := x.server
	conn, err := s.pool.Get(x.ctx, u.Address)
	if err != nil {
		return notSent, err
	}
	// Closing the connection ends blocked reads and writes when the request's context ends.
	stop := context.AfterFunc(x.ctx, func() { _ = conn.Close() })
	defer stop()
	s.health.requestStarted(u.ID)
	defer s.health.requestEnded(u.ID)
	started := time.Now()
	var closedUnreachable atomic.Bool
	zone := s.zones.addAttempt(u.Zone, conn, &closedUnreachable)
	a := &attempt{exchange: x, conn: conn, upstream: u, zone: zone, started: started, buffers: bufferLease{shared: &s.buffers}}
	result, err := a.roundTrip()
	zone.removeAttempt(conn)
	if closedUnreachable.Load() && result != answered {
		err = errZoneUnreachable
	}
	if !a.reusable || !stop() {
		_ = conn.Close()
	} else {
		s.pool.Put(conn, a.responseHeader)
	}
	if cause := context.Cause(x.ctx); result == maybeRun && cause != nil && errors.Is(cause, httpwire.ErrCallerGone) {
		x.detectCrash(u, started, err)
		x.abortCallerGone(cause)
		return answered, nil
	}
	return result, err
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
