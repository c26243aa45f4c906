package gateway

import (
	"bytes"
	"net"
	"net/http"
	"strconv"

	"egretramp/internal/refusal"
)

// plainErrorHeaders are the headers of the plain-text responses that net/http itself writes to
// requests that it cannot parse. Unlike a handler's responses, they have no Date header.
const plainErrorHeaders = "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Listener wraps a listener for callers so that requests that net/http cannot parse are refused in
// the same JSON format as all other refusals.
func Listener(l net.Listener) net.Listener { return refusingListener{l} }

type refusingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l refusingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &refusingConn{tcp}, nil
}

// refusingConn embeds *net.TCPConn rather than net.Conn, because net/http half-closes connections
// that have a CloseWrite method.
type refusingConn struct{ *net.TCPConn }

// Write replaces net/http's own error response, which is written in a single call.
func (c *refusingConn) Write(p []byte) (int, error) {
	status, ok := plainErrorStatus(p)
	if !ok {
		return c.TCPConn.Write(p)
	}
	if _, err := c.TCPConn.Write(malformedResponse(status)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// plainErrorStatus returns the status of an error response that net/http itself wrote.
func plainErrorStatus(p []byte) (status int, ok bool) {
	line, rest, found := bytes.Cut(p, []byte("\r\n"))
	if !found || !bytes.HasPrefix(rest, []byte(plainErrorHeaders)) {
		return 0, false
	}
	fields := bytes.Fields(line)
	if len(fields) < 2 {
		return 0, false
	}
	status, err := strconv.Atoi(string(fields[1]))
	return status, err == nil
}

// malformed returns the refusal that replaces net/http's own response with a status.
func malformed(status int) *refusal.Refusal {
	switch status {
	case http.StatusRequestHeaderFieldsTooLarge:
		return &refusal.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Code: "headers_too_large",
			Message: "the request's headers are too large", NotRun: refusal.True}
	case http.StatusNotImplemented:
		return &refusal.Refusal{Status: http.StatusNotImplemented, Code: "bad_http",
			Message: "the request's transfer encoding is not supported", NotRun: refusal.True}
	case http.StatusHTTPVersionNotSupported:
		return &refusal.Refusal{Status: http.StatusHTTPVersionNotSupported, Code: "bad_http",
			Message: "the request's HTTP version is not supported", NotRun: refusal.True}
	}
	return &refusal.Refusal{Status: http.StatusBadRequest, Code: "bad_http",
		Message: "the request is not valid HTTP/1.1", NotRun: refusal.True}
}

// malformedResponse returns the complete HTTP response to a malformed request, which was not run.
func malformedResponse(status int) []byte {
	r := malformed(status)
	body := r.JSON()
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	b.WriteString("Content-Type: " + contentTypeJSON + "\r\n")
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	b.WriteString("Connection: close\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}
