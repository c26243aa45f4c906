package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"egretramp/internal/upstream/wire"
)

// Limits for streams from engines.
const (
	// IdleLimit is how long a stream may be idle before the engine is probed.
	IdleLimit = 2 * time.Second
	// StallLimit is how long a stream may go without a chunk although the engine answers probes;
	// after that it is given up.
	StallLimit = 60 * time.Second
	// cancelTimeout is the timeout of the request that cancels a call.
	cancelTimeout = 2 * time.Second
	// maxResumes is the maximum number of consecutive resumptions without a new chunk.
	maxResumes = 16
	// maxIdleDoublings is how often the idle limit is doubled at most.
	maxIdleDoublings = 3
)

// Target identifies an upstream and the attempt that runs there.
type Target struct {
	Upstream    string
	Incarnation int64
	Address     string
	CanResume   bool
	Attempt     string
	Session     string
	Idempotency string
	// MayWrite is called just before the call's first byte is written; see Client.Do. Nil means
	// that it may always be written.
	MayWrite func() bool
}

// StatusError is an engine's response to a call with a status other than 200.
type StatusError struct {
	Status      int
	ContentType string
	Body        []byte
}

// Error returns a message with the status.
func (e *StatusError) Error() string { return fmt.Sprintf("engine answered with status %d", e.Status) }

// Errors of streams: ErrLost if the engine doesn't answer a probe or has restarted, ErrBroken if
// the stream failed and can't be resumed.
var (
	ErrLost      = errors.New("the engine is gone")
	ErrBroken    = errors.New("the stream broke and cannot be resumed")
	errIdle      = errors.New("the stream is idle")
	errTruncated = errors.New("the stream ended early")
)

// Stream is an engine's streamed answer to one attempt. It is not safe for concurrent use.
type Stream struct {
	client        *Client
	target        Target
	body          []byte
	next          int       // index of the next chunk
	resumes       int       // resumptions since the last chunk
	lastChunkAt   time.Time // when the last chunk arrived
	brokeAbruptly bool      // the last connection broke (was not merely idle) within IdleLimit after a chunk
	conn          *streamConn
	pumps         conc.WaitGroup
}

// streamConn is one of the connections that deliver the stream.
type streamConn struct {
	cancel          context.CancelFunc
	opened          chan openResult
	chunks          chan chunk
	awaitingHeaders bool // the response's headers have not arrived
	resumed         bool // the call was already sent on an earlier connection
}

type openResult struct {
	err error
}

type chunk struct {
	data []byte
	err  error
}

// OpenStream starts a chat completion on an engine; body must request a stream with usage.
// It returns before the response arrives; Next returns all errors.
func (c *Client) OpenStream(ctx context.Context, target Target, body []byte) *Stream {
	s := &Stream{client: c, target: target, body: body}
	s.conn = s.open(ctx, http.MethodPost, "/v1/chat/completions", body)
	return s
}

// Next returns the payload of the next chunk, each chunk once and in order, and io.EOF after the
// last. Errors: *CallError if the call did not reach the engine or the answer belongs to another
// attempt, *StatusError, ErrLost, ErrBroken, or the context's error.
func (s *Stream) Next(ctx context.Context) ([]byte, error) {
	idleSince := time.Now()
	for {
		data, err := s.readChunk(ctx)
		switch {
		case err == nil && bytes.Equal(data, doneData):
			return nil, io.EOF
		case err == nil:
			if err := s.checkChunk(data); err != nil {
				return nil, err
			}
			s.next++
			s.resumes = 0
			s.lastChunkAt = time.Now()
			return data, nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case s.conn.resumed && isStatus(err):
			return nil, s.resumeError(err)
		case s.isTerminal(err):
			return nil, err
		}
		if err := s.reconnect(ctx, err, time.Since(idleSince)); err != nil {
			return nil, err
		}
	}
}

// isTerminal reports whether an error ends the attempt without trying to resume the stream. A
// resumption that could not be sent is not terminal: the call itself was sent before.
func (s *Stream) isTerminal(err error) bool {
	var call *CallError
	unsent := errors.As(err, &call) && !call.Written
	return unsent && !s.conn.resumed || errors.Is(err, ErrAttemptMismatch) || isStatus(err)
}

// isStatus reports whether the engine replied with an error status; for a resumption it does so if
// it does not know the attempt.
func isStatus(err error) bool {
	var status *StatusError
	return errors.As(err, &status)
}

// lostError converts the error of a probe to ErrLost, marked with ErrDied if the engine refuses
// connections.
func lostError(cause error) error {
	err := errors.WithSecondaryError(ErrLost, cause)
	if errors.Is(cause, ErrDied) {
		return errors.Mark(err, ErrDied)
	}
	return err
}

// resumeError classifies an engine's rejection of a resumption. If the connection broke soon after
// a chunk and the engine then does not know the attempt, the engine has restarted. After a longer
// time without a reader this conclusion is not valid, because engines drop such calls on their own.
func (s *Stream) resumeError(err error) error {
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound && s.brokeAbruptly {
		return errors.Mark(errors.WithSecondaryError(ErrLost, err), ErrDied)
	}
	return errors.WithSecondaryError(ErrBroken, err)
}

// checkChunk checks that a chunk is valid JSON, is not an error and has the attempt's completion ID.
func (s *Stream) checkChunk(data []byte) error {
	var head struct {
		ID    string          `json:"id"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return errors.Wrap(ErrBroken, "a chunk is not JSON")
	}
	if len(head.Error) > 0 && string(head.Error) != "null" {
		return errors.Wrap(ErrBroken, "the engine sent an error in place of a chunk")
	}
	if head.ID != wire.CompletionIDPrefix+s.target.Attempt {
		return &CallError{Written: true, Cause: ErrAttemptMismatch}
	}
	return nil
}

// reconnect handles a stream that is idle or broke: it probes the engine on a new connection and
// resumes the stream if the engine supports that.
func (s *Stream) reconnect(ctx context.Context, cause error, idle time.Duration) error {
	if err := s.client.Probe(ctx, s.target.Address); err != nil {
		return lostError(errors.CombineErrors(err, cause))
	}
	s.brokeAbruptly = !errors.Is(cause, errIdle) && time.Since(s.lastChunkAt) < IdleLimit
	if errors.Is(cause, errIdle) && !s.target.CanResume {
		if idle > StallLimit {
			return errors.WithSecondaryError(ErrBroken, cause)
		}
		return nil
	}
	if !s.target.CanResume || s.resumes >= maxResumes || idle > StallLimit || errors.Is(cause, errEventTooLarge) {
		return errors.WithSecondaryError(ErrBroken, cause)
	}
	s.resumes++
	s.conn.cancel()
	path := streamPath(s.target.Attempt) + "?from=" + strconv.Itoa(s.next)
	s.conn = s.open(ctx, http.MethodGet, path, nil)
	s.conn.resumed = true
	return nil
}

// idleLimit returns how long to wait for the next chunk. It doubles with each resumption without a
// new chunk, because a call that is queued within the engine would otherwise use up maxResumes. The
// first resumption does not count: its connection may have stalled too, for example if the engine
// hangs for a moment.
func (s *Stream) idleLimit() time.Duration {
	return IdleLimit << min(max(s.resumes-1, 0), maxIdleDoublings)
}

// readChunk waits for the next chunk on the current connection, at most idleLimit.
func (s *Stream) readChunk(ctx context.Context) ([]byte, error) {
	idle := time.NewTimer(s.idleLimit())
	defer idle.Stop()
	if s.conn.awaitingHeaders {
		select {
		case r := <-s.conn.opened:
			if r.err != nil {
				return nil, r.err
			}
			s.conn.awaitingHeaders = false
		case <-idle.C:
			return nil, errIdle
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	select {
	case c := <-s.conn.chunks:
		return c.data, c.err
	case <-idle.C:
		return nil, errIdle
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open starts a request on a new connection and a goroutine that reads its response.
func (s *Stream) open(ctx context.Context, method, path string, body []byte) *streamConn {
	ctx, cancel := context.WithCancel(ctx)
	conn := &streamConn{
		cancel:          cancel,
		opened:          make(chan openResult, 1),
		chunks:          make(chan chunk, 16),
		awaitingHeaders: true,
	}
	s.pumps.Go(func() { s.client.pump(ctx, conn, s.target, method, path, body) })
	return conn
}

// pump copies the chunks of one connection to its channels until the connection ends or ctx is done.
func (c *Client) pump(ctx context.Context, conn *streamConn, target Target, method, path string, body []byte) {
	resp, err := c.openResponse(ctx, target, method, path, body)
	conn.opened <- openResult{err: err}
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	events := newEventReader(resp.Body)
	for {
		data, err := events.next()
		if err != nil && !errors.Is(err, errEventTooLarge) {
			err = errors.WithSecondaryError(errTruncated, err)
		}
		select {
		case conn.chunks <- chunk{data: data, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *Client) openResponse(ctx context.Context, target Target, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, endpoint(target.Address, path), bytes.NewReader(body))
	if err != nil {
		return nil, &CallError{Cause: err}
	}
	setHeaders(req, target)
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	var mayWrite func() bool
	if method == http.MethodPost {
		mayWrite = target.MayWrite
	}
	resp, err := c.doEngine(req, mayWrite)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := readBody(resp, maxStatusBody)
	if err != nil {
		return nil, &CallError{Written: true, Cause: err}
	}
	return nil, &StatusError{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: text}
}

func setHeaders(req *http.Request, target Target) {
	req.Header.Set(wire.HeaderAttempt, target.Attempt)
	if target.Session != "" {
		req.Header.Set(wire.HeaderSession, target.Session)
	}
	if target.Idempotency != "" {
		req.Header.Set(wire.HeaderIdempotency, target.Idempotency)
	}
}

// Close stops reading and waits for the reading goroutines. It does not cancel the call on the engine.
func (s *Stream) Close() {
	s.conn.cancel()
	s.pumps.Wait()
}

// Cancel stops reading and requests the engine to cancel the call. It reports whether the engine
// acknowledged it.
func (s *Stream) Cancel() bool {
	s.conn.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return s.client.delete(ctx, s.target.Address, streamPath(s.target.Attempt))
}

// delete sends a DELETE request; it reports whether it was answered whole, with a status below 300 or 404.
func (c *Client) delete(ctx context.Context, address, path string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, endpoint(address, path), nil)
	if err != nil {
		return false
	}
	status, _, err := c.exchange(req, maxStatusBody)
	return err == nil && (status < http.StatusMultipleChoices || status == http.StatusNotFound)
}
