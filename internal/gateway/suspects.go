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

// Suspects watches for requests that crash the upstreams that run them; *suspect.Guard is one.
type Suspects interface {
	Enter(ctx context.Context, f suspect.Fingerprint, subject string) (*suspect.Permit, error)
}

// ended says how one attempt ended for its upstream.
type ended struct {
	outcome  suspect.Outcome
	upstream string // the process that ran it
}

// notSent is an attempt of which no upstream saw anything.
var notSent = ended{outcome: suspect.Unproven}

func ranOn(g *dispatch.Grant, o suspect.Outcome) ended {
	return ended{outcome: o, upstream: upstreamProcess(g)}
}

// enter waits for leave to run a request.
func (s *Server) enter(ctx context.Context, f suspect.Fingerprint, subject string, notRun refusal.NotRun) (*suspect.Permit, *refusal.Refusal) {
	ctx, cancel := s.awaiting(ctx)
	defer cancel()
	leave, err := s.opts.Suspects.Enter(ctx, f, subject)
	switch {
	case errors.Is(err, suspect.ErrQuarantined):
		return nil, quarantined(notRun)
	case errors.Is(err, suspect.ErrCutOff):
		return nil, withNotRun(unavailable("zones_out_of_reach", err.Error()+"; it is not run before they can be reached", retryCutOff), notRun)
	case err != nil:
		return nil, withNotRun(unavailable("same_request_running", "the same request is under way and has not succeeded yet", retryQueueFull), notRun)
	}
	return leave, nil
}

// retryCutOff is when a request may come back that waits for zones to be in reach again.
const retryCutOff = 5 * time.Second

// staleLeave refuses an attempt whose leave no longer holds: an upstream was lost to the same
// request since, or this VM stood still. Nothing of it was sent.
func staleLeave(notRun refusal.NotRun) *refusal.Refusal {
	return withNotRun(unavailable("same_request_running", "the same request lost an upstream meanwhile", retryQueueFull), notRun)
}

// quarantined is final: sending the request again does not help.
func quarantined(notRun refusal.NotRun) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusUnprocessableEntity, Code: "quarantined", NotRun: notRun,
		Message: "upstreams were lost while they ran this request; it is not run again for an hour after it was last sent",
	}
}

// judgeChat tells whether an attempt's engine was lost, or lives, or served the call well.
func (s *Server) judgeChat(ctx context.Context, g *dispatch.Grant, err error) ended {
	switch {
	case err == nil:
		return ranOn(g, suspect.Succeeded)
	case isUnsent(err):
		return notSent
	case errors.Is(err, upstream.ErrDied), errors.Is(err, upstream.ErrLost) && s.isNear(g):
		return ranOn(g, suspect.Lost)
	case ctx.Err() != nil:
		// The caller left before anybody looked why the engine was silent.
		return s.judgeByProbe(g)
	}
	return ranOn(g, suspect.Unproven)
}

// judgeService is judgeChat for services, which have no probe of their own in their streams.
func (s *Server) judgeService(g *dispatch.Grant, err error) ended {
	var call *upstream.CallError
	switch {
	case err == nil:
		return ranOn(g, suspect.Succeeded)
	case isUnsent(err):
		return notSent
	case errors.As(err, &call) && !errors.Is(err, upstream.ErrAttemptMismatch):
		return s.judgeByProbe(g)
	}
	return ranOn(g, suspect.Unproven)
}

func (s *Server) judgeByProbe(g *dispatch.Grant) ended {
	err := s.opts.Caller.ProbeTCP(context.Background(), g.Address)
	if errors.Is(err, upstream.ErrDied) || err != nil && s.isNear(g) {
		return ranOn(g, suspect.Lost)
	}
	return ranOn(g, suspect.Unproven)
}

// isNear reports whether an upstream is in this VM's zone. Silence from another zone may as well
// be a cut between the two, and must not count against the requests that were under way.
func (s *Server) isNear(g *dispatch.Grant) bool { return g.Pool.Zone == s.opts.Zone }

// failedOutcome says what a failed attempt tells about its upstream's health. A caller that left,
// a key that was withdrawn, a call that was refused as bad and one that was not sent say nothing.
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

// upstreamProcess names one start of an upstream.
func upstreamProcess(g *dispatch.Grant) string {
	return fmt.Sprintf("%s/%s@%d", g.Pool.Zone, g.Upstream, g.Incarnation)
}

// looseFields of a chat completion do not make it another request.
var looseFields = map[string]bool{
	"model": true, "stream": true, "stream_options": true, "user": true, "metadata": true, "store": true, "seed": true,
	"temperature": true, "top_p": true, "max_tokens": true, "max_completion_tokens": true, "n": true, "messages": true,
}

// fingerprint names the call but for spacing, letter case and how its answer is to be drawn. The
// place in a program does not count; the whole conversation does.
func (c *chatCall) fingerprint() suspect.Fingerprint {
	p := suspect.NewFingerprinter()
	p.AddLiteral(c.caller.account.ID)
	p.AddLiteral("model")
	p.AddLiteral(c.model.ID)
	for _, m := range c.messages {
		p.AddBody(m)
	}
	for _, name := range slices.Sorted(maps.Keys(c.request.fields)) {
		if !looseFields[name] {
			p.AddText(name)
			p.AddBody(c.request.fields[name])
		}
	}
	return p.Fingerprint()
}

func (c *chatCall) subject() string {
	return "client account " + c.caller.account.ID + ", model " + c.model.ID
}

// fingerprint names the call but for spacing and letter case.
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
