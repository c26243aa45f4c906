package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/balance"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
)

// Fill levels of an upstream's rate limit that a request requires.
const (
	// minNewLevel is what the most urgent new programs require, and levelPerRank is added for each rank of
	// less urgent ones. The rest is left to programs under way.
	minNewLevel  = 0.3
	levelPerRank = 0.2
	maxNewLevel  = 0.8
	// fullSize is the size, relative to the average, of requests that require no level while other upstreams
	// have no limit. A limit counts requests whatever their size, so the large ones use it best.
	fullSize = 2
)

const (
	// minRoomWait is the shortest wait for a permit.
	minRoomWait = time.Millisecond
	// maxColdDialTime is how long a connection to a cold upstream may take to open after the permit was taken. Requests
	// that wait longer, as while its zone is cut off, would all be sent in the moment in which it can be reached again.
	maxColdDialTime = 100 * time.Millisecond
)

// errPermitExpired means that the connection to a cold upstream was opened too long after the permit was taken.
var errPermitExpired = errors.New("proxy: the permit to send to the cold upstream has expired")

// permitExpired reports whether the permit for an attempt that started at a given time may no longer be used.
func (x *exchange) permitExpired(u registry.Upstream, started time.Time) bool {
	return time.Since(started) > maxColdDialTime && x.server.opts.Upstreams.UpstreamRoom(u).Cold
}

// begins reports whether the request begins a program.
func (x *exchange) begins() bool {
	return !x.programActive && len(x.mayHaveRun) == 0 && !x.w.Begun()
}

// urgencyLevel returns the fill level that the request's urgency requires.
func (x *exchange) urgencyLevel() float64 {
	if !x.begins() {
		return 0
	}
	return min(minNewLevel+levelPerRank*float64(x.urgencyRank()), maxNewLevel)
}

// relativeSize returns the expected length of the response, relative to the service's average, 1 if unknown.
func (x *exchange) relativeSize() float64 {
	if x.route.Kind != routing.Streaming || x.call.ExpectedTokens == 0 {
		return 1
	}
	if x.size == 0 {
		x.size = x.server.health.relativeSize(x.service.Name, x.call.ExpectedTokens)
	}
	return x.size
}

// applyLimits marks the candidates that have no room for the request within their rate limit as tried. If no
// candidate is left, wait is the time until one may have room.
func (x *exchange) applyLimits(upstreams []registry.Upstream, candidates []balance.Candidate) (wait time.Duration) {
	rooms := map[int]quota.Room{}
	unlimited := false
	for i, u := range upstreams {
		if candidates[i].Tried {
			continue
		}
		room := x.server.opts.Upstreams.UpstreamRoom(u)
		if room.Limited {
			rooms[i] = room
		}
		unlimited = unlimited || !room.Limited && !candidates[i].Failing
	}
	minLevel := x.urgencyLevel()
	if unlimited {
		minLevel = max(minLevel, 1-x.relativeSize()/fullSize)
	}
	for i, room := range rooms {
		candidates[i].Limited = unlimited
		level := minLevel
		if room.Cold && upstreams[i].ID == x.home() {
			level = x.urgencyLevel() // it is cold for a few seconds only, which a line of turns need not leave it for
		}
		if !hasRoom(room, level) {
			candidates[i].Tried = true
			wait = earlier(wait, roomWait(room, level))
		}
	}
	return wait
}

// fitsSomewhere reports whether an upstream may take the request, and if all are at their rate limit, after
// which time one may.
func (x *exchange) fitsSomewhere() (wait time.Duration, ok bool) {
	minLevel := x.urgencyLevel()
	for _, u := range x.upstreams() {
		room := x.server.opts.Upstreams.UpstreamRoom(u)
		if !room.Limited || hasRoom(room, minLevel) {
			return 0, true
		}
		wait = earlier(wait, roomWait(room, minLevel))
	}
	return wait, wait == 0
}

// limitedRefusal returns the refusal while all upstreams are at their rate limit. wait is the time until one may
// take the request. New programs come back later, and not all at once.
func (x *exchange) limitedRefusal(wait time.Duration) Refusal {
	if x.begins() {
		wait = max(wait, x.overloadRetryDelay())
	}
	return Refusal{Reason: UpstreamsLimited, RetryAfter: wait}
}

// hasRoom reports whether there is room for a request that requires a fill level.
func hasRoom(room quota.Room, minLevel float64) bool { return room.Free && room.Level >= minLevel }

// roomWait returns the time until there may be room for a request that requires a fill level.
func roomWait(room quota.Room, minLevel float64) time.Duration {
	filled := time.Duration((minLevel - room.Level) * float64(room.FillTime))
	return max(filled, room.Wait, minRoomWait)
}

// mayWait reports whether the request may wait for a permit. One that begins a program doesn't wait, nor one
// that would wait too long.
func (x *exchange) mayWait(wait time.Duration) bool {
	return !x.begins() && x.permitWait+wait <= quota.MaxPermitWait && wait < time.Until(x.deadline)
}

// awaitPermit waits until an upstream may have a permit.
func (x *exchange) awaitPermit(wait time.Duration) {
	x.permitWait += wait
	select {
	case <-x.ctx.Done():
	case <-time.After(wait):
	}
}

// earlier returns the shorter of two waits, of which 0 means none.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || b < a {
		return b
	}
	return a
}

// noUpstreamLimits is an UpstreamLimiter without limits.
type noUpstreamLimits struct{}

func (noUpstreamLimits) ObserveLimit(registry.Upstream, RateLimit, time.Time) {}

func (noUpstreamLimits) UpstreamRoom(registry.Upstream) quota.Room {
	return quota.Unlimited
}

func (noUpstreamLimits) TakeUpstream(context.Context, registry.Upstream) bool { return true }

func (noUpstreamLimits) ReturnUpstream(registry.Upstream) {}
