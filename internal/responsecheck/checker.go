// Package responsecheck checks the syntax of HTTP responses as their bytes arrive. net/http's reader accepts statuses and field names
// that HTTP doesn't allow, and with them bodies that end elsewhere than the sender meant. All connections on which the product
// reads responses use a Checker.
package responsecheck

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrInvalid means that a response isn't valid HTTP/1.1. The request may have run, and the connection can't be used any more.
var ErrInvalid = errors.New("invalid HTTP response")

const (
	// maxLineBytes bounds a line of a head or trailer, and of the size of a chunk.
	maxLineBytes = 64 << 10
	// switchingProtocols is invalid because no request asks an upstream for another protocol.
	switchingProtocols = 101
)

// part is the part of a response to which the next byte belongs.
type part int

const (
	unchecked part = iota // a body that isn't chunked, and what follows a response
	statusLine
	fieldLines
	chunkSize
	chunkData
	trailerLines
)

// Checker checks one response at a time, together with the informational ones before it: the status, the names of fields (RFC
// 9112, sections 4 and 5), that their lines end with CRLF, so that no other byte ends a line or the head, and that an HTTP/1.0 response
// states no transfer coding (section 6.1), which net/http's reader would leave in the body. The rest is left to that reader. The zero
// Checker checks nothing before Expect. It is not safe for concurrent use.
type Checker struct {
	part    part
	line    []byte // the start of a line that has not arrived completely
	interim bool   // the head is that of an informational response
	old     bool   // the version is less than HTTP/1.1, which has no transfer codings
	chunked bool
	left    int64 // bytes of the chunk and its line end that have not arrived
	err     error
}

// Expect makes the next byte the first one of a response.
func (c *Checker) Expect() { *c = Checker{part: statusLine, err: c.err} }

// Err returns the error of the first invalid byte, nil if there was none.
func (c *Checker) Err() error { return c.err }

// Check checks the next bytes of the connection. Its error wraps ErrInvalid and is returned by all later calls.
func (c *Checker) Check(p []byte) error {
	for len(p) > 0 && c.part != unchecked && c.err == nil {
		if c.part == chunkData {
			n := min(c.left, int64(len(p)))
			p, c.left = p[n:], c.left-n
			if c.left == 0 {
				c.part = chunkSize
			}
			continue
		}
		line, rest, complete := bytes.Cut(p, []byte("\n"))
		if len(c.line)+len(line) > maxLineBytes {
			c.err = errors.Wrapf(ErrInvalid, "a line of more than %d bytes", maxLineBytes)
			break
		}
		if !complete {
			c.line = append(c.line, line...)
			break
		}
		if len(c.line) > 0 {
			line, c.line = append(c.line, line...), nil
		}
		c.err = c.checkLine(line)
		p = rest
	}
	return c.err
}

// checkLine checks a line without the LF that ends it.
func (c *Checker) checkLine(line []byte) error {
	if c.part == chunkSize {
		c.readChunkSize(line)
		return nil
	}
	line, found := bytes.CutSuffix(line, []byte("\r"))
	if !found || bytes.IndexByte(line, '\r') >= 0 {
		return errors.Wrap(ErrInvalid, "a bare CR or LF in the head or trailer")
	}
	switch {
	case c.part == statusLine:
		return c.readStatus(line)
	case len(line) > 0:
		return c.readField(line)
	case c.part == trailerLines:
		c.part = unchecked
	case c.interim:
		c.part = statusLine
	case c.chunked:
		c.part = chunkSize
	default:
		c.part = unchecked
	}
	return nil
}

// IsFinal reports whether a status is one of a final response.
func IsFinal(status int) bool { return 200 <= status && status < 600 }

// readStatus reads a status line.
func (c *Checker) readStatus(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	major, minor, _ := http.ParseHTTPVersion(string(version)) // net/http's reader rejects others
	c.old = major < 1 || major == 1 && minor < 1
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	parsed, err := strconv.ParseUint(string(digits), 10, 16) // takes no sign
	status := int(parsed)
	c.interim = status/100 == 1 && status != switchingProtocols
	if err != nil || len(digits) != 3 || !c.interim && !IsFinal(status) {
		return errors.Wrapf(ErrInvalid, "the status line %.80q", line)
	}
	c.part, c.chunked = fieldLines, false
	return nil
}

// readField reads a field line. One that begins with a blank would continue the line before it, which HTTP allows no sender to do.
func (c *Checker) readField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return errors.Wrap(ErrInvalid, "a field line without a name")
	}
	if !isToken(name) { // the value may be a secret
		return errors.Wrapf(ErrInvalid, "the field name %.80q", name)
	}
	if c.part == fieldLines && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		if c.old {
			return errors.Wrap(ErrInvalid, "an HTTP/1.0 response with a transfer coding")
		}
		c.chunked = bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked"))
	}
	return nil
}

// readChunkSize reads the line before a chunk.
func (c *Checker) readChunkSize(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 62)
	switch {
	case err != nil:
		c.part = unchecked // net/http's reader rejects it
	case size == 0:
		c.part = trailerLines
	default:
		c.part, c.left = chunkData, int64(size)+2
	}
}

// isToken reports whether a name is a token (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, b := range name {
		switch {
		case '0' <= b && b <= '9', 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0:
		default:
			return false
		}
	}
	return len(name) > 0
}
