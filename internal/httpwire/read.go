package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/callermem"
)

// failure is the response to a request that can't be read. With status 0 no response is sent.
type failure struct {
	status int
	reason string
}

func (c *serverConn) read(limits Limits) (*Request, *failure) {
	arrived := time.Now()
	if c.raw.SetReadDeadline(arrived.Add(limits.HeaderTimeout)) != nil {
		return nil, &failure{}
	}
	if !c.reserve(callermem.RequestBytes) {
		return nil, outOfMemory
	}
	c.openReader()
	if f := c.checkHead(limits.MaxHeaderBytes); f != nil {
		return nil, f
	}
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, readFailure(err)
	}
	request := &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Host: parsed.Host, Header: parsed.Header,
		Arrived: arrived, close: parsed.Close,
	}
	request.Path, _, _ = strings.Cut(request.Target, "?")
	if !strings.HasPrefix(request.Target, "/") {
		return nil, &failure{http.StatusBadRequest, "the request target is not a path"}
	}
	if parsed.ContentLength > int64(limits.MaxBodyBytes) {
		return nil, &failure{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, &failure{}
		}
	}
	if c.raw.SetReadDeadline(arrived.Add(bodyTimeout)) != nil {
		return nil, &failure{}
	}
	if request.Body, err = c.readBody(parsed, limits.MaxBodyBytes); err != nil {
		return nil, readFailure(err)
	}
	if len(request.Body) > limits.MaxBodyBytes {
		return nil, &failure{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	return request, nil
}

// readBody reads the body into a buffer that grows with what has arrived, whatever length is announced. It reads one byte
// more than limit at most.
func (c *serverConn) readBody(r *http.Request, limit int) ([]byte, error) {
	most := int64(limit) + 1
	if r.ContentLength >= 0 {
		most = r.ContentLength
	}
	growth := int64(2)
	if r.ContentLength >= 0 {
		growth = announcedGrowth
	}
	body := make([]byte, 0, min(most, firstBodyBytes))
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			size := growth * int64(cap(body))
			if size+1 >= most { // a body of exactly the limit needs no further buffer for the byte that would exceed it
				size = most
			}
			if !c.reserve(size) {
				return nil, errOutOfMemory
			}
			c.unreserve(int64(cap(body)))
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && (r.ContentLength < 0 || int64(len(body)) == most):
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}

// readFailure returns status 503 for a request for which there is no memory, 400 for one that can't be parsed, and no response for one that
// was cut short by a network error or the end of the connection.
func readFailure(err error) *failure {
	if errors.Is(err, errOutOfMemory) {
		return outOfMemory
	}
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return &failure{}
	}
	return &failure{http.StatusBadRequest, "the request is not valid HTTP/1.1"}
}

var headEnd, headLineEnd = []byte("\r\n\r\n"), []byte("\r\n")

const (
	// firstBodyBytes is the size of a body's buffer before any of the body has arrived. It is part of
	// callermem.RequestBytes.
	firstBodyBytes = 4 << 10
	// announcedGrowth is how many times larger the buffer of a body with an announced length gets when it is full. It isn't 2: for
	// bodies of 200 KB, the copies took as much processor time as the rest of the request.
	announcedGrowth = 4
	// headerLineBytes is about what a parsed header takes besides its text: entries of maps, and their copies that are sent on.
	headerLineBytes = 400
)

// checkHead waits until the whole head is buffered and rejects ambiguous framing, on which two HTTP
// implementations could disagree. net/http would accept some of it, and an upstream could then parse
// a part of the body as a separate request (request smuggling).
func (c *serverConn) checkHead(limit int) *failure {
	limit = min(limit, maxHeadBytes)
	for {
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return &failure{}
		}
		if end := bytes.Index(buffered, headEnd); end >= 0 {
			if end > limit {
				return &failure{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"}
			}
			// Parsed headers take several times their size on the wire.
			if !c.reserve(int64(end + headerLineBytes*bytes.Count(buffered[:end], headLineEnd))) {
				return outOfMemory
			}
			return checkFraming(buffered[:end])
		}
		if len(buffered) >= limit {
			return &failure{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"}
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			if !errors.Is(err, bufio.ErrBufferFull) {
				return &failure{}
			}
			if !c.growReader() {
				return outOfMemory
			}
		}
	}
}

func checkFraming(head []byte) *failure {
	lengths, codings := 0, 0
	for i, line := range bytes.Split(head, []byte("\r\n")) {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return &failure{http.StatusBadRequest, "the head has a bare line break"}
		}
		if i == 0 {
			continue
		}
		if len(line) == 0 || line[0] == ' ' || line[0] == '\t' {
			return &failure{http.StatusBadRequest, "a header is folded over lines"}
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) != len(bytes.TrimSpace(name)) {
			return &failure{http.StatusBadRequest, "a header has no valid name"}
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return &failure{http.StatusBadRequest, "the transfer encoding is not supported"}
			}
		}
	}
	if lengths+codings > 1 {
		return &failure{http.StatusBadRequest, "the body's length is given twice"}
	}
	return nil
}
