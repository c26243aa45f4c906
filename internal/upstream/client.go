package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/upconn"
	"egretramp/internal/upstream/wire"
)

const (
	dialTimeout  = time.Second
	probeTimeout = time.Second
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// maxStatusBody bounds the body of a response whose status matters, in bytes. The rest of a longer one is not read.
	maxStatusBody = 64 << 10
)

// Client makes HTTP calls to upstreams. Each call uses its own connection: an idle keep-alive
// connection may be dead without notice, and net/http retries some requests on its own when a
// reused connection breaks, which is wrong for calls that must not be sent twice.
type Client struct {
	transport *http.Transport
}

// DialFunc opens a connection; network is tcp.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a Client that opens a new connection for each call.
func NewClient() *Client { return NewClientWithDial((&net.Dialer{Timeout: dialTimeout}).DialContext) }

// NewClientWithDial is NewClient with a function that opens the connections.
func NewClientWithDial(dial DialFunc) *Client {
	return &Client{transport: &http.Transport{
		DialContext:        dialGuarded(dial),
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// CallError means that an upstream did not answer a call.
type CallError struct {
	// Written is set if bytes may have been sent to the upstream; if false, the call certainly
	// did not run.
	Written bool
	Cause   error
}

// Error describes the failure.
func (e *CallError) Error() string { return "upstream did not answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Refused reports whether the upstream's host refused the connection.
func (e *CallError) Refused() bool { return !e.Written && errors.Is(e.Cause, syscall.ECONNREFUSED) }

// ErrAttemptMismatch means that a response belongs to another attempt.
var ErrAttemptMismatch = errors.New("the answer belongs to another attempt")

// Do sends one request and returns the response once its headers arrive. The response must echo
// the request's attempt. mayWrite, if not nil, is called just before the first byte is written:
// if it returns false, nothing is sent and the error wraps ErrSendPermissionExpired.
// Errors: *CallError.
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

// doEngine is Do for engines: a response with an error status may lack the attempt, because the
// engine's HTTP framework may have rejected the request. Another attempt's ID is still an
// ErrAttemptMismatch.
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

// send sends one request on a new connection.
func (c *Client) send(req *http.Request, mayWrite func() bool) (*http.Response, error) {
	guard := &writeGuard{permitted: mayWrite}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*guardedConn).setGuard(guard) }}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, guard.callError(err)
	}
	return resp, nil
}

// exchange sends a request on a new connection and returns the status and at most maxBody bytes of the body. After an error, which may
// also be that of a response that broke off, the outcome is unknown.
func (c *Client) exchange(req *http.Request, maxBody int64) (status int, body []byte, err error) {
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = readBody(resp, maxBody)
	return resp.StatusCode, body, err
}

// readBody returns at most maxBody bytes of a response's body, and an error if it broke off before.
func readBody(resp *http.Response, maxBody int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	return body, errors.Wrapf(err, "the answer with status %d broke off", resp.StatusCode)
}

// ErrDied means that an upstream's process has ended: its host refuses or resets connections, or
// the upstream no longer knows a call that it had started to answer.
var ErrDied = errors.New("the upstream's process is gone")

// Probe checks the health endpoint of an upstream on a new connection. The error wraps ErrDied if
// the connection was refused or reset.
func (c *Client) Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint(address, "/healthz"), nil)
	if err != nil {
		return err
	}
	status, _, err := c.exchange(req, maxStatusBody)
	if err != nil {
		return markDied(err)
	}
	if status != http.StatusOK {
		return errors.Newf("probe answered with status %d", status)
	}
	return nil
}

// ProbeTCP is Probe for upstreams that may have no health endpoint: it only opens a connection.
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

// markDied marks errors of refused and reset connections with ErrDied.
func markDied(err error) error {
	if upconn.RefusedByHost(err) {
		return errors.Mark(err, ErrDied)
	}
	return err
}

// endpoint returns the URL of a path on an upstream. The path must already be escaped.
func endpoint(address, path string) string {
	return "http://" + address + path
}

// streamPath returns the path of a running call on an engine.
func streamPath(attempt string) string {
	return "/v1/streams/" + url.PathEscape(attempt)
}
