package responsecheck

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const soundHead = "HTTP/1.1 103 Early\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// check passes the parts of a response to a Checker one after the other.
func check(parts ...string) error {
	var c Checker
	c.Expect()
	for _, part := range parts {
		if err := c.Check([]byte(part)); err != nil {
			return err
		}
	}
	return nil
}

// TestChecker_ErrorDependsOnSegments guards against invalid responses that pass, and sound ones that don't, depending on where they
// are cut into segments.
func TestChecker_ErrorDependsOnSegments(t *testing.T) {
	invalid := []string{
		"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 101 Odd\r\n", "HTTP/1.1 200 O\rK\r\n", "HTTP/1.1 200 OK\n", "\r\n", "\n", "200 OK\r\n",
		"HTTP/1.1 200 OK\r\nO dd: v\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\n", "HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n", "HTTP/1.1 200 OK\r\n: v\r\n",
		"HTTP/1.1 200 OK\r\nOdd\r\n", "HTTP/1.1 200 OK\r\nA: b\rc\r\n",
	}
	sound := []string{soundHead + "\n \x00", soundHead + "x\r\n \n\n", "HTTP/1.1 204\r\n\r\n \n\n"}
	for i, response := range append(invalid, sound...) {
		want := check(response)
		require.Equal(t, i < len(invalid), errors.Is(want, ErrInvalid), "%q: %v", response, want)
		for cut := range len(response) {
			require.Equal(t, want == nil, check(response[:cut], response[cut:]) == nil, "%q cut at %d", response, cut)
		}
		require.Equal(t, want == nil, check(strings.Split(response, "")...) == nil, "%q", response)
	}
}

// TestChecker_EndlessLineFillsMemory guards against lines that never end.
func TestChecker_EndlessLineFillsMemory(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: "} {
		var c Checker
		c.Expect()
		require.NoError(t, c.Check([]byte(start)))
		for range maxLineBytes / 1024 {
			if c.Check(bytes.Repeat([]byte("x"), 1024)) != nil {
				break
			}
		}
		require.ErrorIs(t, c.Check([]byte("x")), ErrInvalid, "%q", start)
		require.Less(t, cap(c.line), 4*maxLineBytes)
	}
}
