package httpwire

import (
	"bufio"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/callermem"
	"egretramp/internal/clock"
)

// ErrOutOfOrder is returned by a call that would write bytes which don't belong to the response that was begun or sent. The
// caller's connection is closed then.
var ErrOutOfOrder = errors.New("httpwire: only the rest of the response that was begun may follow")

// Response writes one response: either by Send, or by Begin, Chunk and Finish. Abort cuts it off. Any other order of calls is
// refused, so that a caller never gets the head of a second response in the body of the first.
type Response struct {
	conn       *serverConn
	writer     *bufio.Writer
	isHead     bool // the request's method is HEAD, so no body is sent
	closeAfter bool
	begun      bool
	ended      bool
	failed     bool // the connection must be closed without lingering
}

// hopByHop holds the headers that apply to a single connection and aren't forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Content-Length": true, "Te": true, "Trailer": true, "Upgrade": true,
}

// HopByHop reports whether a header, in canonical form, applies to a single connection only.
func HopByHop(name string) bool { return hopByHop[name] }

// Send sends a complete response.
func (w *Response) Send(status int, header http.Header, body []byte) error {
	if w.Begun() {
		w.Abort()
		return ErrOutOfOrder
	}
	w.ended = true
	w.writeHead(status, header)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		_, _ = w.writer.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	_, _ = w.writer.WriteString("\r\n")
	if !w.isHead {
		_, _ = w.writer.Write(body)
	}
	return w.flush()
}

// Begin buffers the head of a response of unknown length; the first Chunk sends it.
func (w *Response) Begin(status int, header http.Header) error {
	if w.Begun() {
		w.Abort()
		return ErrOutOfOrder
	}
	w.begun = true
	w.writeHead(status, header)
	_, _ = w.writer.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	return nil
}

// Begun reports whether a response was begun or sent.
func (w *Response) Begun() bool { return w.begun || w.ended }

// Ended reports whether the response is complete or was cut off.
func (w *Response) Ended() bool { return w.ended }

// Chunk sends a part of the body without delay.
func (w *Response) Chunk(p []byte) error {
	if !w.begun || w.ended {
		w.Abort()
		return ErrOutOfOrder
	}
	if len(p) > 0 && !w.isHead {
		_, _ = w.writer.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
		_, _ = w.writer.Write(p)
		_, _ = w.writer.WriteString("\r\n")
	}
	return w.flush()
}

// Finish sends the end of a chunked response.
func (w *Response) Finish() error {
	if !w.begun || w.ended {
		w.Abort()
		return ErrOutOfOrder
	}
	w.ended = true
	if !w.isHead {
		_, _ = w.writer.WriteString("0\r\n\r\n")
	}
	return w.flush()
}

// Abort closes the connection before the end of the response, so that the caller can't mistake it
// for a complete one.
func (w *Response) Abort() {
	w.ended = true
	w.failed = true
}

func (w *Response) writeHead(status int, header http.Header) {
	text := http.StatusText(status)
	_, _ = w.writer.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\n")
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			_, _ = w.writer.WriteString(name + ": " + value + "\r\n")
		}
	}
	if w.closeAfter || w.conn.server.closesConnections() {
		w.closeAfter = true
		_, _ = w.writer.WriteString("Connection: close\r\n")
	}
}

// deadlineWriter writes to a connection in parts, each with a deadline of its own: that of an earlier response may have
// passed, and a large response may take a slow caller longer than writeTimeout, since little of it fits into the kernel's buffer.
type deadlineWriter struct{ conn *serverConn }

// writePart is the most that is written at once, in bytes: what a caller takes counts as its progress.
const writePart = 64 << 10

func (w deadlineWriter) Write(p []byte) (int, error) {
	c := w.conn
	c.memory.SetPhase(callermem.Sending, clock.Now())
	defer func() { c.memory.SetPhase(callermem.Serving, clock.Now()) }()
	written := 0
	for written < len(p) {
		if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.raw.Write(p[written:min(len(p), written+writePart)])
		written += n
		c.memory.Progress(n, clock.Now())
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// flush sends the buffered data. It also returns errors of earlier writes, which bufio.Writer keeps.
func (w *Response) flush() error {
	err := w.writer.Flush()
	if err != nil {
		w.failed = true
	}
	return err
}
