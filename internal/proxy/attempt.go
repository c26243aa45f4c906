package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/httpwire"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/upconn"
)

const (
	// inlineBody is the largest body that is written before the answer is read. A larger one is
	// written beside, since an upstream may answer before it has read everything.
	inlineBody = 16 << 10
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 16 << 20
	// maxForeign is how many answers to other requests are skipped on a connection.
	maxForeign = 2
)

var (
	errForeign  = errors.New("proxy: the connection carries answers to other requests")
	errUnsigned = errors.New("proxy: a success without the upstream's signature")
)

// attempt is one request on one connection.
type attempt struct {
	*exchange
	conn     *upconn.Conn
	upstream registry.Upstream
	zone     *zone // the upstream's
	started  time.Time
	header   http.Header
	reusable bool
	written  chan error // the result of a write beside; nil if the write is over
}

// roundTrip sends the request and passes the answer on.
func (a *attempt) roundTrip() (outcome, error) {
	sent, err := a.send()
	if err != nil {
		if sent {
			return lost, err
		}
		return notSent, err
	}
	response, reply, err := a.receive()
	if err != nil {
		return lost, err
	}
	defer func() { _ = response.Body.Close() }() // only drains what is left; the connection decides
	a.header = response.Header
	switch {
	case reply.NotRun:
		a.hint = max(a.hint, reply.Wait)
		_, err := a.whole(response)
		a.finishConn(response, err)
		return notRun, errors.Newf("proxy: status %d", response.StatusCode)
	case a.route.Kind == routing.Streaming && response.StatusCode == http.StatusOK:
		if !reply.Signed {
			return lost, errUnsigned
		}
		return a.stream(response)
	}
	body, err := a.whole(response)
	if err != nil {
		return lost, err
	}
	if response.StatusCode/100 == 2 && !reply.Signed {
		return lost, errUnsigned
	}
	a.finishConn(response, nil)
	a.first = time.Since(a.request.Arrived)
	a.server.health.succeeded(a.upstream, a.service.Name, time.Since(a.started), response.StatusCode)
	a.answer(response.StatusCode, response.Header, body)
	return answered, nil
}

// send writes the request and reports whether any byte of it may have left.
func (a *attempt) send() (sent bool, err error) {
	left := time.Until(a.deadline)
	if left <= 0 {
		return false, errors.New("proxy: no time is left")
	}
	account := a.accountName()
	header := a.server.opts.Protocol.WriteSend(&a.call, Send{
		Upstream: a.upstream, Account: account, TimeLeft: left, LastEventID: a.lastEvent,
	})
	var head bytes.Buffer
	head.Grow(1 << 10)
	head.WriteString(a.request.Method + " " + a.request.Target + " HTTP/1.1\r\nHost: " + a.request.Host + "\r\n")
	for name, values := range header {
		for _, value := range values {
			head.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(a.body) > 0 || a.request.Method == http.MethodPost || a.request.Method == http.MethodPut || a.request.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(a.body) <= inlineBody {
		head.Write(a.body)
		n, err := a.conn.Write(head.Bytes())
		return n > 0, err
	}
	if n, err := a.conn.Write(head.Bytes()); err != nil {
		return n > 0, err
	}
	a.written = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(a.body)
		a.written <- err
	}()
	return true, nil
}

// receive reads the head of the answer to this request.
func (a *attempt) receive() (*http.Response, Reply, error) {
	request := &http.Request{Method: a.request.Method}
	for range maxForeign + 1 {
		response, err := http.ReadResponse(a.conn.Reader, request)
		if err != nil {
			return nil, Reply{}, errors.Wrap(err, "proxy: read the answer")
		}
		a.zone.heard.Store(true)
		if response.StatusCode/100 == 1 {
			continue
		}
		reply := a.server.opts.Protocol.ReadReply(response.StatusCode, response.Header)
		if reply.RequestID == a.call.RequestID {
			return response, reply, nil
		}
		// An answer to an earlier request on this connection came late.
		if _, err := a.whole(response); err != nil {
			return nil, Reply{}, err
		}
		if response.Close {
			break
		}
	}
	return nil, Reply{}, errForeign
}

// whole reads a complete body.
func (a *attempt) whole(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.New("the answer is too large")
	}
	return body, errors.Wrap(err, "proxy: read the answer's body")
}

// finishConn decides whether the connection may carry another request.
func (a *attempt) finishConn(response *http.Response, err error) {
	if err != nil || response.Close || (response.ContentLength < 0 && len(response.TransferEncoding) == 0) {
		return
	}
	if a.written != nil {
		select {
		case err := <-a.written:
			a.written = nil
			a.reusable = err == nil
		default: // the rest of the body is still due
		}
		return
	}
	a.reusable = true
}

// stream passes events on as they arrive. What is cut off within an event is not passed on.
func (a *attempt) stream(response *http.Response) (outcome, error) {
	reader := bufio.NewReaderSize(response.Body, 2<<10)
	var last time.Time
	for {
		event, err := readEvent(reader)
		if err != nil && !errors.Is(err, io.EOF) {
			return a.broken(err)
		}
		if err != nil {
			if len(event) > 0 {
				return a.broken(io.ErrUnexpectedEOF)
			}
			break
		}
		a.zone.heard.Store(true)
		if !a.w.Begun() {
			a.first = time.Since(a.request.Arrived)
			a.server.health.succeeded(a.upstream, a.service.Name, time.Since(a.started), response.StatusCode)
			a.w.Begin(response.StatusCode, response.Header)
		}
		now := time.Now()
		if last.IsZero() {
			a.server.observeFirst(a.service.Name, now.Sub(a.started), a.call.PromptTokens)
		} else {
			a.server.observePace(a.upstream.ID, a.service.Name, now.Sub(last))
		}
		last = now
		id, data := parseEvent(event)
		a.lastEvent = id
		a.handed++
		if a.route.Stateful {
			a.output = append(append(a.output, data...), '\n')
		}
		if err := a.w.Chunk(event); err != nil {
			a.leave(errors.Mark(err, httpwire.ErrCallerGone))
			return answered, nil
		}
	}
	a.finishConn(response, nil)
	if !a.w.Begun() {
		a.w.Begin(response.StatusCode, response.Header)
	}
	return answered, a.finishStream(response.StatusCode)
}

// broken ends a stream whose upstream broke off.
func (a *attempt) broken(err error) (outcome, error) {
	return lost, errors.Wrap(err, "proxy: the stream broke off")
}

// finishStream ends a stream as complete. A turn that later ones may continue counts from the
// end of its answer, so its end waits until the turn is durable.
func (a *attempt) finishStream(status int) error {
	if a.reserved && a.route.Stateful {
		result, err := a.server.opts.Ledger.End(a.ctx, a.reserveNext(a.end(a.tokens(), true)))
		if err != nil {
			// It may be recorded or not: the caller must not take it for complete.
			a.refuse(Refusal{Reason: StoreUnavailable, Detail: err.Error()})
			return err
		}
		a.reserved = false
		a.keepLine(result)
	} else if a.reserved {
		a.reserved = false
		a.server.opts.Ledger.EndLater(a.reserveNext(a.end(a.tokens(), false)), a.keepLine)
	}
	a.finish(status, a.w.Finish())
	return nil
}

// readEvent reads one event with the blank line that ends it. At the end of the stream it
// returns what is left, and io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event, err
		}
		if blank(line) && len(event) > len(line) {
			return event, nil
		}
		if len(event) > maxAnswerBytes {
			return nil, errors.New("proxy: an event is too large")
		}
	}
}

func blank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// parseEvent returns an event's ID and data.
func parseEvent(event []byte) (id string, data []byte) {
	some := false
	for _, line := range bytes.Split(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id = string(value)
		case "data":
			if some {
				data = append(data, '\n')
			}
			some = true
			data = append(data, value...)
		}
	}
	return id, data
}
