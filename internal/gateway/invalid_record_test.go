package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/program"
	"egretramp/internal/refusal"
)

// TestServer_InvalidStatusInARecord guards against a caller's connection that is closed without an answer because an earlier
// release has recorded an answer with a status that can't be sent.
func TestServer_InvalidStatusInARecord(t *testing.T) {
	u := startRawUpstream(t)
	g := newTestGateway(t, u.address)
	for _, status := range []int{0, 20, 101, 600, 1000} {
		name := fmt.Sprint("k", status)
		key, refused := readRecordKey(http.Header{"Idempotency-Key": {name}})
		require.Nil(t, refused)
		call := key.call(&g.authority.snapshot.Accounts()[0], program.KindService)
		call.RequestHash = program.HashRequest([]byte("charge"), []byte(http.MethodPost), []byte("/x"), []byte("{}"))
		begun, err := g.ledger.Begin(context.Background(), call)
		require.NoError(t, err)
		_, err = g.ledger.Complete(context.Background(), program.Complete{
			Account: call.Account, Program: call.Program, Attempt: begun.Started.Attempt, Answer: []byte("body"), Status: status,
		})
		require.NoError(t, err)
		got := g.bytesOf(t, "/v1/services/charge/x", "{}", "Idempotency-Key: "+name+"\r\n")
		head, text, _ := strings.Cut(got, "\r\n\r\n")
		require.True(t, strings.HasPrefix(head, "HTTP/1.1 502 "), "%d: %q", status, got)
		code, notRun := errorOf(t, text)
		require.Equal(t, "bad_answer", code)
		require.Equal(t, refusal.False, notRun)
	}
	require.Zero(t, u.runs.Load())
}
