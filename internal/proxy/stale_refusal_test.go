package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// refusalOf returns a refusal of a request that says that it has not run.
func refusalOf(id string) string {
	return "HTTP/1.1 503 Full\r\nNot-Run: yes\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\nfull"
}

// repeater is an upstream that refuses its first request and writes this refusal once more on the kept connection.
type repeater struct {
	mu      sync.Mutex
	refused string         // ID of the refused request
	ran     map[string]int // runs by request
	when    string
}

func (u *repeater) answer(r *http.Request, c net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := r.Header.Get("Id")
	if u.refused == "" {
		u.refused = id
		_, _ = io.WriteString(c, refusalOf(id))
		if u.when == "together with the refusal" {
			_, _ = io.WriteString(c, refusalOf(id))
		}
		if u.when == "while the connection is idle" {
			time.AfterFunc(20*time.Millisecond, func() { _, _ = io.WriteString(c, refusalOf(id)) })
		}
		return true
	}
	again := refusalOf(u.refused)
	own := signed(r) + "Content-Length: 4\r\n\r\ndone"
	u.ran[id]++
	switch u.when {
	case "before the answer":
		_, _ = io.WriteString(c, again)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, own)
	case "in one write with the answer":
		_, _ = io.WriteString(c, again+own)
	case "after the answer":
		_, _ = io.WriteString(c, own)
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(c, again)
	case "in place of the answer":
		_, _ = io.WriteString(c, again)
	case "without an ID":
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Run: yes\r\nContent-Length: 4\r\n\r\nfull"+own)
	default:
		_, _ = io.WriteString(c, own)
	}
	return true
}

// TestServer_RepeatedRefusal guards against "not run" for a request that a replica runs, and against a second run: an
// upstream writes an earlier refusal once more on a kept connection, at whatever moment. Requests may not be repeated. A
// request that is told "not run" is sent to another upstream by this VM as well as by its caller.
func TestServer_RepeatedRefusal(t *testing.T) {
	for _, when := range []string{
		"together with the refusal", "while the connection is idle", "before the answer", "in one write with the answer",
		"after the answer", "in place of the answer", "without an ID",
	} {
		t.Run(when, func(t *testing.T) {
			g := newFixture(t)
			u := &repeater{ran: map[string]int{}, when: when}
			g.upstream("u", u.answer)
			require.Equal(t, 503, g.call("first", "/once/").status)
			time.Sleep(60 * time.Millisecond)
			for i := range 12 {
				id := fmt.Sprint("later", i)
				got := g.call(id, "/once/", "Key: other")
				u.mu.Lock()
				ran := u.ran[id]
				u.mu.Unlock()
				require.LessOrEqual(t, ran, 1, "it ran twice")
				if got.status == 503 || got.status == 429 {
					require.Zero(t, ran, "the caller was told that it has not run")
				}
				if got.status == 200 {
					require.Equal(t, "done", got.body)
					require.Equal(t, 1, ran)
				}
				if when != "in place of the answer" {
					require.Equal(t, 200, got.status, "%+v", got)
				}
			}
		})
	}
}
