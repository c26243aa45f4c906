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
	if request.Body, err = readBody(parsed, limits.MaxBodyBytes); err != nil {
		return nil, readFailure(err)
	}
	if len(request.Body) > limits.MaxBodyBytes {
		return nil, &failure{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	return request, nil
}

func readBody(r *http.Request, limit int) ([]byte, error) {
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
}

// readFailure returns status 400 for a request that can't be parsed, and no response for one that
// was cut short by a network error or the end of the connection.
func readFailure(err error) *failure {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return &failure{}
	}
	return &failure{http.StatusBadRequest, "the request is not valid HTTP/1.1"}
}

var headEnd = []byte("\r\n\r\n")

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
			return checkFraming(buffered[:end])
		}
		if len(buffered) >= limit {
			return &failure{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"}
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			if !errors.Is(err, bufio.ErrBufferFull) {
				return &failure{}
			}
			c.growReader()
		}
	}
}

// growReader doubles the read buffer and keeps what it holds.
func (c *serverConn) growReader() {
	// The buffer's content is copied: reads into the new one may not overlap with it.
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails: it asks for no more than is there
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.raw)
	c.reader = bufio.NewReaderSize(rest, 2*c.reader.Size())
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
