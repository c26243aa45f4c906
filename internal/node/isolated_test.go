package node

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/httpwire"
)

// okHandler answers all requests.
type okHandler struct{}

func (okHandler) Serve(_ context.Context, w *httpwire.Response, _ *httpwire.Request) {
	_ = w.Send(http.StatusOK, nil, nil)
}

func (okHandler) Malformed(w *httpwire.Response, status int, _ string) { _ = w.Send(status, nil, nil) }

// TestEntry_IsolatedVMClosesConnections guards against callers that stay on open connections to a VM that a partition
// separates from the store, and against connections that are closed after the partition.
func TestEntry_IsolatedVMClosesConnections(t *testing.T) {
	e := &entry{}
	listener, err := net.Listen("tcp", address(t))
	require.NoError(t, err)
	server := e.newServer(okHandler{})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	client := &http.Client{Transport: &http.Transport{}}
	for _, isolated := range []bool{false, true, true, false} {
		e.isolated.Store(isolated)
		response, err := client.Get("http://" + listener.Addr().String())
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, isolated, response.Close)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	client.CloseIdleConnections()
	require.NoError(t, listener.Close())
	server.CloseIdle()
	require.NoError(t, <-done)
}
