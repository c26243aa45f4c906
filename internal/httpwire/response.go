package httpwire

import (
	"bufio"
	"net/http"
	"strconv"
	"time"
)

// Response writes one answer: either Whole, or Begin, Chunk and Finish. Abort breaks it off.
type Response struct {
	conn       *serverConn
	writer     *bufio.Writer
	isHead     bool // the request was HEAD: no body is sent
	closeAfter bool
	begun      bool
	ended      bool
	failed     bool // the connection must be closed at once
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Content-Length": true, "Te": true, "Trailer": true, "Upgrade": true,
}

// HopByHop reports whether a header, in canonical form, concerns one connection only.
func HopByHop(name string) bool { return hopByHop[name] }

// Send sends a complete answer.
func (w *Response) Send(status int, header http.Header, body []byte) error {
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

// Begin buffers the head of an answer whose length isn't known; the first Chunk sends it.
func (w *Response) Begin(status int, header http.Header) {
	w.begun = true
	w.writeHead(status, header)
	_, _ = w.writer.WriteString("Transfer-Encoding: chunked\r\n\r\n")
}

// Begun reports whether an answer was begun or sent.
func (w *Response) Begun() bool { return w.begun || w.ended }

// Chunk sends a part of the body at once.
func (w *Response) Chunk(p []byte) error {
	if len(p) > 0 && !w.isHead {
		_, _ = w.writer.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
		_, _ = w.writer.Write(p)
		_, _ = w.writer.WriteString("\r\n")
	}
	return w.flush()
}

// Finish ends an answer as complete.
func (w *Response) Finish() error {
	w.ended = true
	if !w.isHead {
		_, _ = w.writer.WriteString("0\r\n\r\n")
	}
	return w.flush()
}

// Abort closes the connection without the end of the answer, so that it can't look complete.
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
	if w.closeAfter || w.conn.server.draining.Load() {
		w.closeAfter = true
		_, _ = w.writer.WriteString("Connection: close\r\n")
	}
}

// flush sends what is buffered; errors of earlier writes are the writer's to keep.
func (w *Response) flush() error {
	err := w.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = w.writer.Flush()
	}
	if err != nil {
		w.failed = true
	}
	return err
}
