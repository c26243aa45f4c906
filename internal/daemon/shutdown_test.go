package daemon

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/fakes"
)

func TestConnTracker_AllIdle(t *testing.T) {
	c := newConnTracker()
	a, b := net.Pipe()
	require.True(t, c.allIdle(time.Now(), time.Second), "no connection is open")
	c.trackState(a, http.StateNew)
	c.trackState(b, http.StateActive)
	later := time.Now().Add(2 * time.Second)
	require.False(t, c.allIdle(later, time.Second), "a request is in flight")
	c.trackState(b, http.StateIdle)
	require.False(t, c.allIdle(time.Now(), time.Second), "not idle for long enough")
	require.True(t, c.allIdle(later, time.Second))
	c.trackState(a, http.StateActive)
	c.trackState(a, http.StateClosed)
	require.True(t, c.allIdle(later, time.Second))
}

// TestFleet_ShutdownCompletesRequests stops a VM while a stream is open. The stream must complete, and its
// connection must accept one more request, because the response began before the drain and didn't ask the
// caller to close the connection.
func TestFleet_ShutdownCompletesRequests(t *testing.T) {
	f := newTestFleet(t)
	f.apply(baseFile(1))
	f.engine("engine-0", "zone0")
	f.waitForReplicas(1)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	url := "http://" + f.daemons[0].settings.Listen.Callers + "/v1/chat/completions"
	send := func(body string) (*http.Response, string) {
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+keyAna)
		resp, err := client.Do(req)
		require.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp, string(data)
	}
	ended := make(chan string, 1)
	go func() {
		long := `{"model":"WIG/L","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"words:400"}]}`
		_, text := send(long)
		ended <- text
	}()
	f.eventually("the stream is not open", func() bool { return f.daemons[0].gateway.InFlight() > 0 })
	f.stops[0]()
	require.True(t, strings.HasSuffix(<-ended, "data: [DONE]\n\n"))
	require.True(t, f.daemons[0].gateway.Draining())
	resp, text := send(chatBody(t, []fakes.Message{user("x")}, false))
	require.Equal(t, http.StatusOK, resp.StatusCode, text)
	require.True(t, resp.Close, "the response must ask the caller to close the connection")
	select {
	case <-f.ended[0]:
	case <-time.After(waitTimeout):
		t.Fatal("the daemon did not end")
	}
}
