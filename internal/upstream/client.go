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

// Client makes HTTP calls to upstreams. Each call has a connection of its own: a kept
// connection may have gone silent, and net/http repeats some requests by itself on a kept
// connection that broke, which a call that must not be repeated cannot bear.
type Client struct {
	transport *http.Transport
}

// NewClient returns a caller.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
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

// ErrAttemptMismatch says that an answer belongs to another attempt.
var ErrAttemptMismatch = errors.New("the answer belongs to another attempt")

// Do sends one request and returns the response once its headers came. The response must echo
// the request's attempt. mayWrite, if not nil, is asked as the first byte is written: if it
// says no, nothing is sent and the error wraps ErrTooLate. Errors: *CallError.
func (c *Client) Do(req *http.Request, mayWrite func() bool) (*http.Response, error) {
	resp, err := c.send(req, mayWrite)
	if err != nil {
		return nil, err
	}
	if echoed, attempt := resp.Header.Get(wire.HeaderAttempt), req.Header.Get(wire.HeaderAttempt); echoed != attempt {
		return nil, attemptMismatch(resp)
	}
	return resp, nil
}

// doEngine is Do for engines: an error status may lack the attempt, as when the engine's HTTP
// framework refused. One that names another attempt is crossed.
func (c *Client) doEngine(req *http.Request, mayWrite func() bool) (*http.Response, error) {
	resp, err := c.send(req, mayWrite)
	if err != nil {
		return nil, err
	}
	echoed := resp.Header.Get(wire.HeaderAttempt)
	if echoed == "" && resp.StatusCode >= http.StatusBadRequest {
		return resp, nil
	}
	if echoed != req.Header.Get(wire.HeaderAttempt) {
		return nil, attemptMismatch(resp)
	}
	return resp, nil
}

func attemptMismatch(resp *http.Response) error {
	_ = resp.Body.Close()
	return &CallError{Written: true, Cause: ErrAttemptMismatch}
}

// send sends one request on a connection of its own.
func (c *Client) send(req *http.Request, mayWrite func() bool) (*http.Response, error) {
	guard := &writeGuard{permitted: mayWrite}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*guardedConn).setGuard(guard) }}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, guard.callError(err)
	}
	return resp, nil
}

// ErrDied says that an upstream's process is gone: its machine refuses connections, or it does
// not know a call any more that it had answered.
var ErrDied = errors.New("the upstream's process is gone")

// Probe asks whether an upstream answers on a new connection. The error wraps ErrDied if the
// connection was refused.
func (c *Client) Probe(ctx context.Context, address string) error {
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

// ProbeTCP is Probe for upstreams that may have no health endpoint: it only connects.
func (c *Client) ProbeTCP(ctx context.Context, address string) error {
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
