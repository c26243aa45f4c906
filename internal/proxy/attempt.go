package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/httpwire"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/turns"
	"egretramp/internal/upconn"
)

const (
	// maxInlineBodyBytes is the largest body that is written before the response is read. A larger
	// one is written concurrently, since an upstream may respond before it has read all of it.
	maxInlineBodyBytes = 16 << 10
	// maxHeadBytes bounds the head of a response, together with informational ones before it.
	maxHeadBytes = 64 << 10
	// maxDeclineBytes and declineTimeout bound the rest of a response that says that the request has not run.
	maxDeclineBytes = 64 << 10
	declineTimeout  = 100 * time.Millisecond
	// maxStaleResponses is how many responses to other requests are skipped on a connection.
	maxStaleResponses = 2
)

var (
	errStaleResponse   = errors.New("proxy: the connection carries answers to other requests")
	errUnsignedSuccess = errors.New("proxy: a success without the upstream's signature")
	// errNotResumed means that an upstream answered the request to continue a stream by a failure of its own.
	errNotResumed = errors.New("proxy: the upstream failed to continue the stream")
	// errOtherEvents means that what an upstream sent to continue a stream isn't the events that follow.
	errOtherEvents = errors.New("proxy: what the upstream sent does not continue the stream")
	// errEventMissing means that a stream ended without the event after which its caller resumes it.
	errEventMissing = errors.New("proxy: the stream lacks the event after which it is to continue")
	// errConversationLost means that the store no longer holds the conversation that a turn continued.
	errConversationLost = errors.New("proxy: the conversation that the turn continued is no longer stored")
)

// attempt sends one request on one connection.
type attempt struct {
	*exchange
	conn           *upconn.Conn
	connReleased   bool
	stopClosing    func() bool // stops the end of the request's context from closing conn; false if it has ended
	upstream       registry.Upstream
	zone           *zone // the upstream's zone
	pending        *pendingAttempt
	started        time.Time
	responseHeader http.Header
	reusable       bool
	forwarded      bool       // an event of this attempt was forwarded
	writeResult    chan error // result of the concurrent body write; nil if none is in progress
	buffers        bufferLease
}

// roundTrip sends the request and forwards the response.
func (a *attempt) roundTrip() (outcome, error) {
	sent, err := a.send()
	if err != nil {
		if sent {
			return maybeRun, err
		}
		return notSent, err
	}
	response, reply, err := a.receive()
	if err != nil {
		return maybeRun, err
	}
	// The body is not closed: that would read the rest of one that may never end. The connection of a response
	// that is not read to its end is closed instead.
	defer a.buffers.release()
	a.responseHeader = response.Header
	switch {
	case reply.NotRun:
		err := a.discardDecline(response)
		if invalid := a.conn.InvalidResponse(); invalid != nil {
			return maybeRun, errors.Wrap(invalid, "proxy: read the rest of the answer")
		}
		a.retryAfterHint = max(a.retryAfterHint, reply.RetryAfter)
		a.updateReusable(response, err)
		return notRun, errors.Newf("proxy: the upstream declined the request with status %d", response.StatusCode)
	case a.route.Kind == routing.Streaming && response.StatusCode == http.StatusOK:
		if !reply.Signed {
			return maybeRun, errUnsignedSuccess
		}
		return a.forwardStream(response)
	case a.w.Begun():
		// The caller has the head and the first events of a stream; this failure can't be passed on.
		return maybeRun, errors.Wrapf(errNotResumed, "status %d", response.StatusCode)
	}
	body, err := a.readBody(response)
	if err != nil {
		return maybeRun, err
	}
	if response.StatusCode/100 == 2 && !reply.Signed {
		return maybeRun, errUnsignedSuccess
	}
	a.updateReusable(response, nil)
	a.releaseConn()
	a.timeToFirstByte = time.Since(a.request.Arrived)
	a.server.health.recordSuccess(a.upstream, a.service.Name, time.Since(a.started), response.StatusCode)
	a.respond(response.StatusCode, response.Header, body)
	if response.StatusCode/100 == 2 {
		a.server.crashes.recordSuccess(a.call.RequestID, a.requestFingerprint())
	}
	return answered, nil
}

// releaseConn returns the connection to the pool, or closes it unless it is reusable. Once a response is read
// it is called before the caller gets the response's end: the request's context may end right after it.
func (a *attempt) releaseConn() {
	if a.connReleased {
		return
	}
	a.connReleased = true
	a.zone.removeAttempt(a.conn)
	if !a.stopClosing() || !a.reusable {
		_ = a.conn.Close()
		return
	}
	a.server.pool.Put(a.conn, a.responseHeader)
}

// send writes the request and reports whether any byte of it may have been sent.
func (a *attempt) send() (sent bool, err error) {
	timeLeft := time.Until(a.deadline)
	if timeLeft <= 0 {
		return false, errors.New("proxy: the deadline passed before the request was sent")
	}
	account := a.accountName()
	header := a.server.opts.Protocol.UpstreamHeaders(&a.call, SendInfo{
		Upstream: a.upstream, Account: account, TimeLeft: timeLeft, LastEventID: a.lastEventID, FromStart: a.recordsResumed() && a.lastEventID == "",
	})
	var buffer bytes.Buffer
	buffer.Grow(1 << 10)
	buffer.WriteString(a.request.Method + " " + a.request.Target + " HTTP/1.1\r\nHost: " + a.request.Host + "\r\n")
	for name, values := range header {
		for _, value := range values {
			buffer.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(a.body) > 0 || a.request.Method == http.MethodPost || a.request.Method == http.MethodPut || a.request.Method == http.MethodPatch {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	if len(a.body) <= maxInlineBodyBytes {
		buffer.Write(a.body)
		n, err := a.conn.Write(buffer.Bytes())
		return n > 0, err
	}
	if n, err := a.conn.Write(buffer.Bytes()); err != nil {
		return n > 0, err
	}
	a.writeResult = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(a.body)
		a.writeResult <- err
	}()
	return true, nil
}

// receive reads the head of the response to this request.
func (a *attempt) receive() (*http.Response, Reply, error) {
	request := &http.Request{Method: a.request.Method}
	a.conn.LimitReads(maxHeadBytes)
	defer a.conn.LimitReads(-1)
	for range maxStaleResponses + 1 {
		response, err := a.readHead(request)
		if err != nil {
			return nil, Reply{}, errors.Wrap(err, "proxy: read the answer")
		}
		reply := a.server.opts.Protocol.ReadReply(response.StatusCode, response.Header)
		if reply.RequestID == a.call.RequestID {
			a.server.opts.Upstreams.ObserveLimit(a.upstream, reply.RateLimit, a.started)
			if reply.Leaving {
				a.recordLeaving()
			}
			return response, reply, nil
		}
		// A late response to an earlier request on this connection: discard it.
		if response.Close {
			break
		}
		a.conn.LimitReads(maxResponseBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, Reply{}, errors.Wrap(err, "proxy: skip the answer to another request")
		}
		a.conn.LimitReads(maxHeadBytes)
	}
	return nil, Reply{}, errStaleResponse
}

// readHead reads the head of the next final response on the connection.
func (a *attempt) readHead(request *http.Request) (*http.Response, error) {
	for {
		if err := a.conn.ExpectResponse(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(a.conn.Reader, request)
		if err == nil || a.conn.InvalidResponse() != nil {
			a.recordReceived()
			a.server.health.recordHeard(a.upstream.ID)
		}
		if err != nil || response.StatusCode/100 != 1 {
			return response, err
		}
	}
}

// recordLeaving records, before the response is passed on, that it says that the upstream leaves.
func (a *attempt) recordLeaving() {
	if a.server.opts.Directory.RecordLeaving(a.upstream) {
		a.server.opts.Events.Emit(events.ProxyUpstreamLeaving, append(a.logFields(), zap.Int64("born", a.upstream.Born))...)
	}
}

// recordReceived records that bytes from the upstream were received.
func (a *attempt) recordReceived() {
	a.zone.received.Store(true)
	a.pending.received.set()
	if !a.pending.detour {
		a.server.zones.receivedDirectly.set()
	}
}

// readBody reads the complete body.
func (a *attempt) readBody(response *http.Response) ([]byte, error) {
	body, err := a.buffers.readAll(response.Body)
	return body, errors.Wrap(err, "proxy: read the answer's body")
}

// discardDecline reads the rest of a response that says that the request has not run. It returns an error
// if that doesn't end soon, so that the retry need not wait for it.
func (a *attempt) discardDecline(response *http.Response) error {
	if err := a.conn.SetReadDeadline(time.Now().Add(declineTimeout)); err != nil {
		return err
	}
	a.conn.LimitReads(maxDeclineBytes)
	defer a.conn.LimitReads(-1)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	return a.conn.SetReadDeadline(time.Time{})
}

// updateReusable sets reusable if the connection may carry another request.
func (a *attempt) updateReusable(response *http.Response, err error) {
	if err != nil || response.Close || isUnframed(response) {
		return
	}
	if a.writeResult != nil {
		select {
		case err := <-a.writeResult:
			a.writeResult = nil
			a.reusable = err == nil
		default: // the request body is still being written
		}
		return
	}
	a.reusable = true
}

// forwardStream forwards events as they arrive. An event that is cut off is not forwarded.
func (a *attempt) forwardStream(response *http.Response) (outcome, error) {
	if err := a.checkMediaType(response.Header); err != nil {
		return a.streamInterrupted(err)
	}
	after := a.resumedAfter()
	reader := bufio.NewReaderSize(response.Body, 2<<10)
	var lastEventAt time.Time
	var trailer []byte // blank lines after the last event
	for {
		a.buffers.release()
		event, err := readEvent(reader, &a.buffers)
		if err != nil && !errors.Is(err, io.EOF) {
			return a.streamInterrupted(err)
		}
		if err != nil {
			if !isBlank(event) || (!a.forwarded && isUnframed(response)) {
				return a.streamInterrupted(io.ErrUnexpectedEOF)
			}
			if a.skipUntil != "" {
				return a.streamInterrupted(errors.Wrapf(errEventMissing, "event %q", a.skipUntil))
			}
			trailer = event
			break
		}
		a.recordReceived()
		now := time.Now() // a wait for the store says nothing about the upstream
		if err := a.confirmOrigin(); err != nil {
			return a.streamInterrupted(err)
		}
		id, data := parseEvent(event)
		comment := isComment(event)
		if !comment && !follows(after, id) {
			return a.streamInterrupted(errors.Wrapf(errOtherEvents, "event %q after %q", id, after))
		}
		if a.route.Stateful {
			if err := a.outputBuffers.grow(len(data) + 1); err != nil {
				return a.streamInterrupted(err)
			}
			a.output = append(append(a.output, data...), '\n')
		}
		if id != "" {
			a.lastEventID = id
		}
		a.unnumbered = a.unnumbered || id == "" && !comment
		if a.skipUntil != "" {
			if id == a.skipUntil {
				a.skipUntil = ""
			}
			continue
		}
		if !a.w.Begun() {
			a.timeToFirstByte = time.Since(a.request.Arrived)
			a.server.health.recordSuccess(a.upstream, a.service.Name, now.Sub(a.started), response.StatusCode)
			a.mediaType = mediaType(response.Header)
			if err := a.w.Begin(response.StatusCode, response.Header); err != nil {
				return a.streamInterrupted(err)
			}
		}
		if lastEventAt.IsZero() {
			a.server.observeFirstEvent(a.service.Name, now.Sub(a.started), a.call.PromptTokens)
		} else {
			a.server.observeEventGap(a.upstream.ID, a.service.Name, now.Sub(lastEventAt))
		}
		lastEventAt = now
		a.eventsSent++
		a.forwarded = true
		if err := a.w.Chunk(event); err != nil {
			a.abortCallerGone(errors.Mark(err, httpwire.ErrCallerGone))
			return answered, nil
		}
	}
	a.updateReusable(response, nil)
	a.releaseConn()
	if !a.w.Begun() {
		if err := a.w.Begin(response.StatusCode, response.Header); err != nil {
			return a.streamInterrupted(err)
		}
	}
	if len(trailer) > 0 {
		if err := a.w.Chunk(trailer); err != nil {
			a.abortCallerGone(errors.Mark(err, httpwire.ErrCallerGone))
			return answered, nil
		}
	}
	err := a.finishStream(response.StatusCode)
	a.server.crashes.recordSuccess(a.call.RequestID, a.requestFingerprint())
	return answered, err
}

// resumedAfter returns the ID of the event after which this attempt continues a stream, empty if it sends the stream from its
// start.
func (a *attempt) resumedAfter() string {
	if a.lastEventID == "" && a.isResumable() && !a.recordsResumed() {
		return a.call.LastEventID
	}
	return a.lastEventID
}

// follows reports whether an event may come after the one with the ID after, empty for none, in a stream that was continued.
// An upstream that doesn't continue it may send it from its start, or an error in place of events.
func follows(after, id string) bool {
	if after == "" {
		return true
	}
	last, lastErr := strconv.ParseUint(after, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)
	if lastErr == nil && nextErr == nil {
		return next > last
	}
	return id != "" && id != after
}

// checkMediaType returns an error if a response that is to continue a stream states another media type than its beginning.
func (a *attempt) checkMediaType(h http.Header) error {
	if stated := mediaType(h); a.mediaType != "" && stated != "" && stated != a.mediaType {
		return errors.Wrapf(errOtherEvents, "media type %q after %q", stated, a.mediaType)
	}
	return nil
}

// mediaType returns the media type that a header states, empty if there is none.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// streamInterrupted returns the result for a stream that the upstream cut off.
func (a *attempt) streamInterrupted(err error) (outcome, error) {
	return maybeRun, errors.Wrap(err, "proxy: the stream broke off")
}

// finishStream ends a stream as complete. Later turns may continue a stateful turn as soon as its
// response ends, so the end of the response waits until the turn is recorded durably.
func (a *attempt) finishStream(status int) error {
	if a.reserved && a.route.Stateful {
		result, err := a.server.opts.Ledger.End(a.ctx, a.reserveNext(a.endCommand(a.tokensSent(), true)))
		if err != nil {
			// The turn may or may not be recorded: the response must not look complete.
			a.refuse(Refusal{Reason: StoreUnavailable, Detail: err.Error()})
			return err
		}
		if result.Outcome != turns.Begun {
			// Without the conversation before it, the turn can't be continued.
			a.refuse(Refusal{Reason: LostConversation})
			return errConversationLost
		}
		a.reserved = false
		a.cacheLine(result)
	} else if a.reserved {
		a.reserved = false
		a.server.opts.Ledger.EndLater(a.reserveNext(a.endCommand(a.tokensSent(), false)), a.cacheLine)
	}
	a.recordAnswer(status, a.w.Finish())
	return nil
}

// readEvent reads one event including the blank line that ends it, within the lease. At the end of the stream
// it returns the remaining bytes and io.EOF.
func readEvent(r *bufio.Reader, buffers *bufferLease) ([]byte, error) {
	var event []byte
	lineStart := true
	for {
		line, err := r.ReadSlice('\n')
		if growErr := buffers.grow(len(line)); growErr != nil {
			return nil, growErr
		}
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			lineStart = false
			continue
		}
		if err != nil {
			return event, err
		}
		if lineStart && isBlankLine(line) && len(event) > len(line) {
			return event, nil
		}
		lineStart = true
	}
}

// isUnframed reports whether a response has neither a length nor chunks and ends with its connection.
func isUnframed(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

// isBlank reports whether what follows the last event holds only blank lines, so that the stream ends outside of an
// event.
func isBlank(rest []byte) bool { return len(bytes.Trim(rest, "\r\n")) == 0 }

// isBlankLine reports whether line holds only a line ending.
func isBlankLine(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// isComment reports whether an event holds only comments, which upstreams send to keep a connection alive.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if !isBlankLine(line) && line[0] != ':' {
			return false
		}
	}
	return true
}

// parseEvent returns the ID and the data of a server-sent event.
func parseEvent(event []byte) (id string, data []byte) {
	hasData := false
	for _, line := range bytes.Split(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id = string(value)
		case "data":
			if hasData {
				data = append(data, '\n')
			}
			hasData = true
			data = append(data, value...)
		}
	}
	return id, data
}
