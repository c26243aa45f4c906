package pathbench

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCaller_RejectsIncompleteAnswers(t *testing.T) {
	body, status := "data: {}\n\ndata: [DONE]\n\n", http.StatusOK
	var paths []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths = append(paths, r.URL.Path)
		require.Equal(t, "Bearer "+key, r.Header.Get("Authorization"))
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	c := &caller{client: s.Client(), engine: address, vms: []string{address}}

	first, whole, err := c.call(context.Background(), Program, maxTurns)
	require.NoError(t, err)
	require.Positive(t, first)
	require.GreaterOrEqual(t, whole, first)
	require.Equal(t, []string{"/v1/programs", "/v1/programs/bench-1/turns"}, paths)

	body = "data: {}\n\n"
	_, _, err = c.call(context.Background(), Direct, 0)
	require.Error(t, err, "an answer without its end must be rejected")
	body, status = "data: [DONE]\n\n", http.StatusServiceUnavailable
	_, _, err = c.call(context.Background(), Dispatcher, 0)
	require.ErrorContains(t, err, "503")
}

func TestResult_SubtractsDirectLatency(t *testing.T) {
	direct, path := newLatencies(), newLatencies()
	for i := range 100 {
		_ = direct.total.RecordValue(time.Duration(i * 10_000).Microseconds())
		_ = path.total.RecordValue((time.Duration(i*10_000) + 3*time.Millisecond).Microseconds())
	}
	require.InDelta(t, 3.0, result(Dispatcher, path, direct).AddedP50MS, 0.01)
}
