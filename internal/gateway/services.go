package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/events"
	"egretramp/internal/program"
	"egretramp/internal/refusal"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
	"egretramp/internal/upstream/wire"
)

// serviceMethods are the HTTP methods with which services may be called.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// serviceCall is one call of a plain or tool service.
type serviceCall struct {
	id         string
	caller     *caller
	service    *config.Service
	method     string
	path       string // escaped, including the query
	header     http.Header
	body       []byte
	timeout    time.Duration
	repeatable bool
	key        recordKey
	turn       *turn
	budget     *waitBudget
	notRun     refusal.NotRun
	avoid      []string
}

// serviceAnswer is a service's complete answer. Headers other than Content-Type are not recorded.
type serviceAnswer struct {
	answer
	header http.Header
}

// service serves ANY /v1/services/NAME/PATH.
func (s *Server) service(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	call, refused := s.prepareService(w, r, p)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	ctx := r.Context()
	if call.key.recorded() {
		// A recorded call continues after its caller disconnects: a retry gets the recorded answer.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, done := s.inflight.add(ctx, call.caller)
	defer done()
	a, refused := s.admitService(ctx, call)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	for name, values := range a.header {
		w.Header()[name] = values
	}
	_ = writeAnswer(w, a.answer)
}

func (s *Server) prepareService(w http.ResponseWriter, r *http.Request, p httprouter.Params) (*serviceCall, *refusal.Refusal) {
	c, refused := s.identify(r)
	if refused != nil {
		return nil, refused
	}
	service, ok := c.snapshot.Service(p.ByName("service"))
	if !ok {
		return nil, notKnown("unknown_service", "no service has this name")
	}
	path := p.ByName("path")
	route, ok := c.snapshot.ServiceRoute(c.account, service.ID, path)
	switch {
	case !ok && c.account == nil:
		return nil, unauthorized("missing_api_key", "this call needs a key: Authorization: Bearer KEY")
	case !ok:
		return nil, forbidden("no_route", "no route leads this client account to the path of the service")
	case c.account != nil:
		if refused := s.checkCurrent(c); refused != nil {
			return nil, refused
		}
	}
	key, refused := readRecordKey(r.Header)
	if refused != nil {
		return nil, refused
	}
	body, refused := readBody(w, r)
	if refused != nil {
		return nil, refused
	}
	if refused := checkKeyNotForwarded(c, r, body, unescapeJSON(body)); refused != nil {
		return nil, refused
	}
	repeatable := service.Repeatable || r.Method == http.MethodGet || r.Method == http.MethodHead
	if c.account == nil || repeatable && key.program == "" {
		key = recordKey{} // no account to record the call for, or a repeatable call that needs no record
	}
	return &serviceCall{
		id:         newID(),
		caller:     c,
		service:    service,
		method:     r.Method,
		path:       targetPath(path, r.URL.RawQuery),
		header:     forwardHeader(r.Header),
		body:       body,
		timeout:    serviceTimeout(service, route),
		repeatable: repeatable,
		key:        key,
		notRun:     refusal.True,
		budget:     s.newWaitBudget(program.HomeOf(key.program)),
	}, nil
}

func targetPath(path, query string) string {
	target := (&url.URL{Path: path}).EscapedPath()
	if query != "" {
		target += "?" + query
	}
	return target
}

func serviceTimeout(service *config.Service, route *config.Route) time.Duration {
	seconds := service.TimeoutSeconds
	if route.TimeoutSeconds > 0 {
		seconds = route.TimeoutSeconds
	}
	return time.Duration(seconds * float64(time.Second))
}

// unforwardedHeaders are not forwarded between callers and upstreams: those that identify the caller
// and those that apply to a single connection.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Cookie": true, "Set-Cookie": true, "Host": true, "Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Accept-Encoding": true,
}

func forwardHeader(from http.Header) http.Header {
	to := http.Header{}
	dropped := map[string]bool{}
	for _, list := range from.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if unforwardedHeaders[name] || dropped[name] || strings.HasPrefix(name, "Egretramp-") || name == wire.HeaderAttempt {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
	return to
}

// admitService enforces the rate limit of a caller with a key and runs the call.
func (s *Server) admitService(ctx context.Context, call *serviceCall) (*serviceAnswer, *refusal.Refusal) {
	if call.caller.account == nil {
		return s.runService(ctx, call)
	}
	if err := s.opts.Limiter.Draw(ctx, call.caller.account.ID, call.id); err != nil {
		return nil, asRefusal(err)
	}
	a, refused := s.recordService(ctx, call)
	if call.notRun == refusal.True {
		s.opts.Limiter.GiveBack(call.id)
	}
	return a, refused
}

// recordService begins a turn if the call is recorded, and runs the call.
func (s *Server) recordService(ctx context.Context, call *serviceCall) (*serviceAnswer, *refusal.Refusal) {
	if !call.key.recorded() {
		return s.runService(ctx, call)
	}
	ledgerCall := call.key.call(call.caller.account, program.KindService)
	ledgerCall.RequestHash = program.HashRequest([]byte(call.service.ID), []byte(call.method), []byte(call.path), call.body)
	ledgerCall.Repeatable = call.repeatable
	turn, begun, refused := s.begin(ctx, call.budget, ledgerCall, "")
	if refused != nil {
		return nil, refused
	}
	if a := begun.Answered; a != nil {
		return &serviceAnswer{answer: answer{status: a.Status, contentType: a.ContentType, body: a.Answer}}, nil
	}
	call.turn = turn
	if turn.started.IdempotencyKey != "" {
		call.header.Set(wire.HeaderIdempotency, turn.started.IdempotencyKey)
	}
	ctx, stop := turn.bind(ctx)
	defer stop()
	return s.runService(ctx, call)
}

func (s *Server) runService(ctx context.Context, call *serviceCall) (*serviceAnswer, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	retries := s.newRetries()
	for {
		a, refused, retry := s.attemptService(ctx, call)
		if refused == nil {
			return a, nil
		}
		if ctx.Err() == nil && retries.allow(retry) {
			continue
		}
		return nil, s.settleRefused(ctx, call.turn, refused, call.notRun)
	}
}

func (s *Server) attemptService(ctx context.Context, call *serviceCall) (_ *serviceAnswer, refused *refusal.Refusal, retry retryClass) {
	call.turn.markWaiting()
	permit, refused := s.waitForPermit(ctx, call.fingerprint(), call.subject(), call.notRun)
	if refused != nil {
		return nil, refused, noRetry
	}
	end := notSent
	defer func() { permit.End(end.outcome, end.upstream) }()
	request := serviceRequest(call)
	request.Alone = permit.Alone()
	grant, err := s.acquire(ctx, config.KindService, call.service.ID, "", request)
	if err != nil {
		return nil, acquireRefusal(err, call.notRun), noRetry
	}
	outcome := schedule.Outcome{}
	defer func() { s.opts.Dispatcher.Release(grant, outcome) }()
	mayWrite, refused := s.spendToken(ctx, call.caller, call.id, call.turn)
	if refused != nil {
		return nil, withNotRun(refused, call.notRun), noRetry
	}
	if !permit.Valid() {
		return nil, stalePermit(call.notRun), retryUnsent
	}
	startedAt := s.opts.Clock()
	a, err := s.send(ctx, call, grant, mayWrite)
	end = s.classifyService(grant, err)
	if err != nil {
		outcome = failedOutcome(ctx, err)
		s.opts.Events.Emit(events.AttemptFailed, zap.String("upstream", grant.Upstream), zap.Error(err))
		refused, retry = serviceFailure(ctx, call, grant, err)
		return nil, refused, retry
	}
	outcome = schedule.Outcome{Failed: a.status >= http.StatusInternalServerError, Took: s.opts.Clock() - startedAt}
	call.notRun = refusal.False
	if err := call.turn.complete(a.answer, nil, 0); err != nil {
		call.notRun = refusal.Unknown
		return nil, withNotRun(program.Refusal(err), refusal.Unknown), noRetry
	}
	return a, nil, noRetry
}

func serviceRequest(call *serviceCall) schedule.Request {
	r := schedule.Request{ID: newID(), Weight: 1, Avoid: call.avoid}
	if call.caller.account != nil {
		r.Account = call.caller.account.ID
		r.Weight = call.caller.account.Weight
	}
	return r
}

// send sends one attempt and reads the complete answer.
func (s *Server) send(ctx context.Context, call *serviceCall, grant *dispatch.Grant, mayWrite func() bool) (*serviceAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+grant.Address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, &upstream.CallError{Cause: err}
	}
	req.Header = call.header.Clone()
	req.Header.Set(wire.HeaderAttempt, newID())
	if req.Header.Get(wire.HeaderIdempotency) == "" {
		req.Header.Set(wire.HeaderIdempotency, call.id)
	}
	resp, err := s.opts.Caller.Do(req, mayWrite)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, &upstream.CallError{Written: true, Cause: err}
	}
	if len(body) > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	header := forwardHeader(resp.Header)
	header.Del(wire.HeaderAttempt)
	a := answer{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), body: body}
	return &serviceAnswer{answer: a, header: header}, nil
}

var errAnswerTooLarge = errors.New("the answer is larger than 8 MiB")

func serviceFailure(ctx context.Context, call *serviceCall, grant *dispatch.Grant, err error) (_ *refusal.Refusal, retry retryClass) {
	if errors.Is(err, upstream.ErrSendPermissionExpired) {
		return withNotRun(tooLate(), call.notRun), retryUnsent
	}
	call.avoid = append(call.avoid, grant.Upstream)
	var unsent *upstream.CallError
	if errors.As(err, &unsent) && !unsent.Written {
		return withNotRun(unavailable("upstream_unreachable", "the service could not be reached", retryAfterNoUpstream), call.notRun), retryUnsent
	}
	if errors.Is(err, errAnswerTooLarge) {
		call.notRun = refusal.False
		return failed("answer_too_large", errAnswerTooLarge.Error(), refusal.False), noRetry
	}
	call.notRun = refusal.Unknown
	if ctx.Err() != nil {
		r := failed("upstream_timeout", "the service did not answer in time", refusal.Unknown)
		r.Status = http.StatusGatewayTimeout
		return r, noRetry
	}
	if call.repeatable {
		retry = retrySent
	}
	return failed("upstream_failed", "the service broke the call off", refusal.Unknown), retry
}
