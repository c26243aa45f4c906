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

// outcome of one try.
type outcome int

const (
	answered outcome = iota // the caller has its final answer, or is gone
	notSent                 // no byte can have reached the upstream
	notRun                  // the upstream states that it didn't run the request
	maybeRun                // the request may have run
)

const (
	// maxRefusals is how many upstreams may turn one request down before the caller is told.
	maxRefusals = 3
	// maxSameUpstream is how often a repeatable request is sent to one upstream.
	maxSendsPerUpstream = 2
	// prefillPerMilli is the usual speed at which engines read a prompt, in tokens a
	// millisecond; it only weighs affinity against queues.
	prefillTokensPerMilli = 80
	// prefillHarm is by how much reading a prompt again costs more than the time of its own turn:
	// all turns that run on the upstream wait meanwhile.
	prefillCostFactor = 4
	// plainGain is what an upstream that handled the object lately saves.
	objectAffinityGain = 15 * time.Millisecond
)

// run sends the request until it has an answer or none can come.
func (x *exchange) forward() {
	sends := map[string]int{}
	for {
		if err := context.Cause(x.ctx); err != nil {
			x.abandon(err)
			return
		}
		u, ok := x.pickUpstream(sends)
		if !ok {
			x.refuse(x.exhaustedRefusal())
			return
		}
		sends[u.ID]++
		x.upstream = u.ID
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
		}
	}
}

func (x *exchange) recordFailure(u registry.Upstream, result outcome, err error) {
	if result == notSent && x.ctx.Err() != nil {
		return
	}
	x.server.health.recordFailure(u.ID, result)
	x.server.opts.Metrics.attemptFailed(result)
	x.server.opts.Events.Emit(events.ProxyAttemptFailed, append(x.logFields(),
		zap.Stringer("outcome", result), zap.Int64("born", u.Born), zap.Error(err))...)
}

// giveUp ends a request whose time is up or whose caller left.
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

// leave ends a request whose caller can't be answered.
func (x *exchange) abortCallerGone(cause error) {
	x.settle()
	x.server.opts.Metrics.callerGone()
	x.server.opts.Events.Emit(events.ProxyCallerGone, append(x.logFields(), zap.Error(cause))...)
	x.w.Abort()
}

// exhausted is the refusal when no upstream is left to try.
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

func (x *exchange) failureRefusal(err error) Refusal {
	if x.ctx.Err() != nil {
		return Refusal{Reason: TimedOut}
	}
	return Refusal{Reason: Failed, Detail: err.Error()}
}

// pick chooses the next upstream. Once as many as allowed may have run the request, only those
// are left, so that it runs on no further one. Upstreams that were cut off don't count.
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

// try sends the request to one upstream.
func (x *exchange) tryUpstream(u registry.Upstream) (outcome, error) {
	s := x.server
	conn, err := s.pool.Get(x.ctx, u.Address)
	if err != nil {
		return notSent, err
	}
	// Any blocking read or write ends with the request.
	stop := context.AfterFunc(x.ctx, func() { _ = conn.Close() })
	defer stop()
	s.health.requestStarted(u.ID)
	defer s.health.requestEnded(u.ID)
	started := time.Now()
	var closedUnreachable atomic.Bool
	zone := s.zones.addAttempt(u.Zone, conn, &closedUnreachable)
	a := &attempt{exchange: x, conn: conn, upstream: u, zone: zone, started: started}
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
		x.abortCallerGone(cause)
		return answered, nil
	}
	return result, err
}

// answer passes a complete answer on.
func (x *exchange) respond(status int, header http.Header, body []byte) {
	x.settle()
	x.recordAnswer(status, x.w.Whole(status, header, body))
}

// finish notes how a request that got an upstream's answer ended.
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
