package responsecheck

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	soundHead = "HTTP/1.1 103 Early\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	soundBody = "5;a=b\r\nab\r\nc\r\n00B\r\n0\r\nx x: y\r\n\r\n0\r\nOdd: v\r\n\r\n"
)

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
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 102\r\n\r\nHTTP/1.0 200 OK\r\nA: b\r\ntransfer-encoding: x\r\n",
		soundHead + strings.TrimSuffix(soundBody, "\r\n") + "O dd: v\r\n", soundHead + "0\r\n\n", soundHead + "0\r\n x: y\r\n",
	}
	sound := []string{soundHead + soundBody + "\n \x00", soundHead + "x\r\n \n\n", "HTTP/1.1 204\r\n\r\n \n\n",
		"HTTP/1.0 102\r\n\r\n" + soundHead, "HTTP/1.0 200 OK\r\nTransfer: chunked\r\n\r\n"}
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
	for _, start := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: ", soundHead + "5;", soundHead + "0\r\nA: "} {
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

// TestChecker_FollowsAnotherBodyThanTheReader guards against a Checker that takes a part of the body for a trailer, or the other way
// round.
func TestChecker_FollowsAnotherBodyThanTheReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var raw, body strings.Builder
		raw.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n")
		for range rapid.IntRange(0, 5).Draw(t, "chunks") {
			data := rapid.StringMatching(`[0-9a-f \r\n:;]{1,40}`).Draw(t, "data")
			size := rapid.SampledFrom([]string{"%x", "0%X", "%x ", "%x;n=v", "%x;n=\"; m\""}).Draw(t, "size")
			raw.WriteString(strings.ReplaceAll(strings.ReplaceAll(size, "%x", hex(len(data))), "%X", strings.ToUpper(hex(len(data)))) + "\r\n" + data + "\r\n")
			body.WriteString(data)
		}
		raw.WriteString("0\r\n")
		valid := true
		for range rapid.IntRange(0, 3).Draw(t, "trailers") {
			name := rapid.StringMatching(`[A-Za-z!#$%&'*+.^_|~0-9-]{1,5}|[A-Z ]{1,3}[ \t\x00][a-z]{0,3}`).Draw(t, "name")
			valid = valid && !strings.ContainsAny(name, " \t\x00")
			raw.WriteString(name + ": v\r\n")
		}
		raw.WriteString("\r\n")

		checked := &Reader{Source: &segments{strings.NewReader(raw.String() + " after\n"), rapid.IntRange(1, 50).Draw(t, "segment")}}
		checked.Expect()
		response, err := http.ReadResponse(bufio.NewReader(checked), nil)
		if err == nil {
			var read []byte
			read, err = io.ReadAll(response.Body)
			if err == nil && string(read) != body.String() {
				t.Fatalf("read %q, sent %q", read, body.String())
			}
		}
		if (err == nil) != valid {
			t.Fatalf("%q: valid %v, error %v", raw.String(), valid, err)
		}
		if (checked.Err() == nil) != valid { // net/http's reader may hide it
			t.Fatalf("%q: valid %v, error %v", raw.String(), valid, checked.Err())
		}
	})
}

// TestChecker_ErrorHoldsAValue guards against values of fields, which may be secrets, in errors and thereby in logs.
func TestChecker_ErrorHoldsAValue(t *testing.T) {
	for _, line := range []string{"Set-Cookie : secret\r\n", "Set Cookie: secret\r\n", "A: b\r\n secret\r\n", "Set-Cookie: secret\n", "Set-Cookie: se\rcret\r\n", ": secret\r\n"} {
		err := check("HTTP/1.1 200 OK\r\n" + line)
		require.ErrorIs(t, err, ErrInvalid, "%q", line)
		require.NotContains(t, err.Error(), "secret", "%q", line)
	}
}

func hex(n int) string { return strconv.FormatInt(int64(n), 16) }

// segments reads at most n bytes at once.
type segments struct {
	io.Reader
	n int
}

func (r *segments) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.n)]) }
