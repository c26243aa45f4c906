package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unframed answers with neither a length nor chunks and ends the connection, in order or by a reset.
func unframed(version, fields, body string, orderly bool) func(*http.Request, net.Conn) bool {
	return func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, version+" 200 OK\r\nSigned: yes\r\nId: "+r.Header.Get("Id")+"\r\n"+fields+"\r\n"+body)
		if err != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond) // a reset discards what isn't read yet
		if orderly {
			_ = c.Close()
		}
		return orderly
	}
}

// TestServer_UnframedResponses checks responses that end with their connection: they are complete only if it ended in
// order and, for a stream, after a whole event.
func TestServer_UnframedResponses(t *testing.T) {
	const one, two = "id: 1\ndata: w1\n\n", "id: 2\ndata: w2\n\n"
	for name, c := range map[string]struct {
		body     string
		orderly  bool
		streamed string // what the caller gets of a stream
		complete bool   // the stream is complete
	}{
		"whole events":                      {one + two, true, one + two, true},
		"whole events with CRLF":            {"id: 1\r\ndata: w1\r\n\r\n", true, "id: 1\r\ndata: w1\r\n\r\n", true},
		"a further blank line":              {one + two + "\n", true, one + two + "\n", true},
		"an end inside an event":            {one + "id: 2\ndata: w", true, one, false},
		"an end before an event's end":      {one + "id: 2\ndata: w2\n", true, one, false},
		"an end inside a character":         {one + "id: 2\ndata: \xe2\x82", true, one, false},
		"an end after a field name":         {one + "id", true, one, false},
		"a reset between events":            {one, false, one, false},
		"a reset inside an event":           {one + "id: 2\nda", false, one, false},
		"the head alone, ended in order":    {"", true, "", false},
		"the head alone, ended by a reset":  {"", false, "", false},
		"a blank line alone, ended orderly": {"\n", true, "", false},
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, fields := range []string{"", "Connection: close\r\n", "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n"} {
				t.Run(name+" "+version+" "+fields, func(t *testing.T) {
					t.Parallel()
					g := newFixture(t)
					g.upstream("a", unframed(version, fields, c.body, c.orderly))
					for i, path := range []string{"/stream/", "/kept/"} {
						r := g.call("s"+path, path, "Program: p")
						require.Equal(t, c.complete, r.err == nil && r.status == 200, "%s: %+v", path, r)
						if r.status == 200 {
							require.Equal(t, c.streamed, r.body)
						}
						programs, turns := g.ledger.machine.Size()
						require.Equal(t, 1, programs)
						if i == 1 {
							require.Equal(t, c.complete, turns == 1, "a turn is recorded only if it is complete")
						}
					}
					r := g.call("once", "/once/")
					if c.orderly {
						require.Equal(t, reply{200, "", c.body, nil}, r, "a plain response")
					} else {
						require.Equal(t, 502, r.status)
					}
					runs := 0
					for _, received := range g.receivedRequests() {
						if received.id == "once" {
							runs++
						}
					}
					require.Equal(t, 1, runs)
				})
			}
		}
	}
}
