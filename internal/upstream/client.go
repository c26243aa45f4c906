package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/upstream/wire"
)

const (
	dialTimeout  = time.Second
	probeTimeout = time.Second
)

// Caller makes HTTP calls to upstreams. Each call has a connection of its own: a kept
// connection may have gone silent, and net/http repeats some requests by itself on a kept
// connection that broke, which a call that must not be repeated cannot bear.
type Caller struct {
	transport *http.Transport
}

// NewCaller returns a caller.
func NewCaller() *Caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Caller{transport: &http.Transport{
		DialContext:        dialGuarded(dialer),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}
}

// CallError says that an upstream did not answer a call.
type CallError struct {
	// Written says that bytes may have gone towards the upstream; if false, the call surely
	// did not run.
	Written bool
	Cause   error
}

// Error describes the failure.
func (e *CallError) Error() string { return "upstream did not answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Refused reports whether the upstream's machine refused the connection.
func (e *CallError) Refused() bool { return !e.Written && errors.Is(e.Cause, syscall.ECONNREFUSED) }

// ErrCrossed says that an answer belongs to another attempt.
var ErrCrossed = errors.New("the answer belongs to another attempt")

// Do sends one request and returns the response once its headers came. The response must echo
// the request's attempt. mayWrite, if not nil, is asked as the first byte is written: if it
// says no, nothing is sent and the error wraps ErrTooLate. Errors: *CallError.
func (c *Caller) Do(req *http.Request, mayWrite func() bool) (*http.Response, error) {
	resp, err := c.send(req, mayWrite)
	if err != nil {
		return nil, err
	}
	if echoed, attempt := resp.Header.Get(wire.HeaderAttempt), req.Header.Get(wire.HeaderAttempt); echoed != attempt {
		return nil, crossed(resp)
	}
	return resp, nil
}

// doEngine is Do for engines: an error status may lack the attempt, as when the engine's HTTP
// framework refused. One that names another attempt is crossed.
func (c *Caller) doEngine(req *http.Request, mayWrite func() bool) (*http.Response, error) {
	resp, err := c.send(req, mayWrite)
	if err != nil {
		return nil, err
	}
	echoed := resp.Header.Get(wire.HeaderAttempt)
	if echoed == "" && resp.StatusCode >= http.StatusBadRequest {
		return resp, nil
	}
	if echoed != req.Header.Get(wire.HeaderAttempt) {
		return nil, crossed(resp)
	}
	return resp, nil
}

func crossed(resp *http.Response) error {
	_ = resp.Body.Close()
	return &CallError{Written: true, Cause: ErrCrossed}
}

// send sends one request on a connection of its own.
func (c *Caller) send(req *http.Request, mayWrite func() bool) (*http.Response, error) {
	guard := &firstWrite{may: mayWrite}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*guardedConn).arm(guard) }}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, guard.failed(err)
	}
	return resp, nil
}

// ErrDied says that an upstream's process is gone: its machine refuses connections, or it does
// not know a call any more that it had answered.
var ErrDied = errors.New("the upstream's process is gone")

// Probe asks whether an upstream answers on a new connection. The error wraps ErrDied if the
// connection was refused.
func (c *Caller) Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint(address, "/healthz"), nil)
	if err != nil {
		return err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return markDied(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("probe answered with status %d", resp.StatusCode)
	}
	return nil
}

// Reach is Probe for upstreams that may have no health endpoint: it only connects.
func (c *Caller) Reach(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := c.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return markDied(err)
	}
	_ = conn.Close()
	return nil
}

func markDied(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return errors.Mark(err, ErrDied)
	}
	return err
}

// endpoint returns the URL of a path on an upstream. The path must be escaped already.
func endpoint(address, path string) string {
	return "http://" + address + path
}

// streamPath returns the path of a call under way on an engine.
func streamPath(attempt string) string {
	return "/v1/streams/" + url.PathEscape(attempt)
}
