package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/dispatch"
	"egretramp/internal/refusal"
	"egretramp/internal/schedule"
	"egretramp/internal/suspect"
	"egretramp/internal/upstream"
)

// Suspects limits the runs of requests that may crash the upstreams that run them. *suspect.Guard
// implements it.
type Suspects interface {
	Enter(ctx context.Context, f suspect.Fingerprint, subject string) (*suspect.Permit, error)
}

// attemptEnd describes how an attempt ended and which upstream process ran it.
type attemptEnd struct {
	outcome  suspect.Outcome
	upstream string // process that ran the attempt; see upstreamProcess
}

// notSent is the end of an attempt of which no upstream received anything.
var notSent = attemptEnd{outcome: suspect.Unproven}

func ranOn(g *dispatch.Grant, o suspect.Outcome) attemptEnd {
	return attemptEnd{outcome: o, upstream: upstreamProcess(g)}
}

// waitForPermit waits for permission to run a request.
func (s *Server) waitForPermit(ctx context.Context, f suspect.Fingerprint, subject string, notRun refusal.NotRun) (*suspect.Permit, *refusal.Refusal) {
	ctx, cancel := s.withQueueTimeout(ctx)
	defer cancel()
	permit, err := s.opts.Suspects.Enter(ctx, f, subject)
	switch {
	case errors.Is(err, suspect.ErrQuarantined):
		return nil, quarantined(notRun)
	case errors.Is(err, suspect.ErrCutOff):
		return nil, withNotRun(unavailable("zones_out_of_reach", err.Error()+"; it is not run before they can be reached", retryAfterCutOff), notRun)
	case err != nil:
		return nil, withNotRun(unavailable("same_request_running", "the same request is under way and has not succeeded yet", retryAfterQueueFull), notRun)
	}
	return permit, nil
}

// retryAfterCutOff is the Retry-After of a request that is not run while zones are unreachable.
const retryAfterCutOff = 5 * time.Second

// stalePermit refuses an attempt whose permit is no longer valid, because the same request has lost
// an upstream since, or this VM was frozen. Nothing of the attempt was sent.
func stalePermit(notRun refusal.NotRun) *refusal.Refusal {
	return withNotRun(unavailable("same_request_running", "the same request lost an upstream meanwhile", retryAfterQueueFull), notRun)
}

// quarantined refuses a request that lost too many upstreams. Retrying the request does not help.
func quarantined(notRun refusal.NotRun) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusUnprocessableEntity, Code: "quarantined", NotRun: notRun,
		Message: "upstreams were lost while they ran this request; it is not run again for an hour after it was last sent",
	}
}

// classifyChat determines whether an attempt succeeded, its engine was lost, or neither is proven.
func (s *Server) classifyChat(ctx context.Context, g *dispatch.Grant, err error) attemptEnd {
	switch {
	case err == nil:
		return ranOn(g, suspect.Succeeded)
	case isUnsent(err):
		return notSent
	case errors.Is(err, upstream.ErrDied), errors.Is(err, upstream.ErrLost) && s.inSameZone(g):
		return ranOn(g, suspect.Lost)
	case ctx.Err() != nil:
		// The call was cancelled before it was known why the engine did not answer.
		return s.classifyByProbe(g)
	}
	return ranOn(g, suspect.Unproven)
}

// classifyService is classifyChat for services, whose calls, unlike chat streams, do not probe the
// upstream themselves.
func (s *Server) classifyService(g *dispatch.Grant, err error) attemptEnd {
	var call *upstream.CallError
	switch {
	case err == nil:
		return ranOn(g, suspect.Succeeded)
	case isUnsent(err):
		return notSent
	case errors.As(err, &call) && !errors.Is(err, upstream.ErrAttemptMismatch):
		return s.classifyByProbe(g)
	}
	return ranOn(g, suspect.Unproven)
}

func (s *Server) classifyByProbe(g *dispatch.Grant) attemptEnd {
	err := s.opts.Caller.ProbeTCP(context.Background(), g.Address)
	if errors.Is(err, upstream.ErrDied) || err != nil && s.inSameZone(g) {
		return ranOn(g, suspect.Lost)
	}
	return ranOn(g, suspect.Unproven)
}

// inSameZone reports whether an upstream is in this VM's zone. If an upstream in another zone does
// not answer, the cause may be a partition between the zones, which must not count against the
// requests that were under way.
func (s *Server) inSameZone(g *dispatch.Grant) bool { return g.Pool.Zone == s.opts.Zone }

// failedOutcome returns what a failed attempt shows about its upstream's health. A disconnected
// caller, a withdrawn key, a call refused as invalid and a call not sent in time show nothing.
func failedOutcome(ctx context.Context, err error) schedule.Outcome {
	var status *upstream.StatusError
	var call *upstream.CallError
	switch {
	case errors.Is(err, upstream.ErrSendPermissionExpired):
		return schedule.Outcome{}
	case errors.Is(err, upstream.ErrDied), errors.As(err, &call) && call.Refused():
		return schedule.Outcome{Failed: true, Unreachable: true}
	case errors.As(err, &status):
		return schedule.Outcome{Failed: status.Status >= http.StatusInternalServerError}
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return schedule.Outcome{}
	}
	return schedule.Outcome{Failed: true}
}

func isUnsent(err error) bool {
	var call *upstream.CallError
	return errors.As(err, &call) && !call.Written
}

// upstreamProcess identifies one process of an upstream by its zone, name and incarnation.
func upstreamProcess(g *dispatch.Grant) string {
	return fmt.Sprintf("%s/%s@%d", g.Pool.Zone, g.Upstream, g.Incarnation)
}

// ignoredFields are the fields of a chat completion that do not distinguish requests. The fingerprint
// covers model and messages separately.
var ignoredFields = map[string]bool{
	"model": true, "stream": true, "stream_options": true, "user": true, "metadata": true, "store": true, "seed": true,
	"temperature": true, "top_p": true, "max_tokens": true, "max_completion_tokens": true, "n": true, "messages": true,
}

// fingerprint identifies the call regardless of spacing, letter case and sampling parameters. It
// covers the whole conversation, but not the call's position in a program.
func (c *chatCall) fingerprint() suspect.Fingerprint {
	p := suspect.NewFingerprinter()
	p.AddLiteral(c.caller.account.ID)
	p.AddLiteral("model")
	p.AddLiteral(c.model.ID)
	for _, m := range c.messages {
		p.AddBody(m)
	}
	for _, name := range slices.Sorted(maps.Keys(c.request.fields)) {
		if !ignoredFields[name] {
			p.AddText(name)
			p.AddBody(c.request.fields[name])
		}
	}
	return p.Fingerprint()
}

func (c *chatCall) subject() string {
	return "client account " + c.caller.account.ID + ", model " + c.model.ID
}

// fingerprint identifies the call regardless of spacing and letter case.
func (c *serviceCall) fingerprint() suspect.Fingerprint {
	p := suspect.NewFingerprinter()
	p.AddLiteral(c.accountID())
	p.AddLiteral("service")
	p.AddLiteral(c.service.ID)
	p.AddLiteral(c.method)
	p.AddText(c.path)
	p.AddBody(c.body)
	return p.Fingerprint()
}

func (c *serviceCall) subject() string {
	return "client account " + c.accountID() + ", service " + c.service.ID + ", " + c.method
}

func (c *serviceCall) accountID() string {
	if c.caller.account == nil {
		return ""
	}
	return c.caller.account.ID
}
