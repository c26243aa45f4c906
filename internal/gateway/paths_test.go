package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/upstream/wire"
)

func TestServer_ProgramNameWithASlash(t *testing.T) {
	g := newTestGateway(t)
	status, text := g.post(t, "/v1/programs", `{"name":"eve/fitting 1"}`)
	require.Equal(t, http.StatusOK, status, text)
	status, text = g.post(t, "/v1/programs/eve%2Ffitting%201/end", "")
	require.Equal(t, http.StatusOK, status, text)
	require.Contains(t, text, `"eve/fitting 1"`)
}

func TestServer_ServiceNameWithASlash(t *testing.T) {
	paths := make(chan string, 1)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	}))
	t.Cleanup(service.Close)
	g := newTestGateway(t, service.Listener.Addr().String())
	g.authority.snapshot = config.Compile(&config.File{
		Generation: 2, CutoffLimitSeconds: 60, Schemes: []string{"desk"},
		ClientAccounts: g.authority.snapshot.Accounts(),
		Services:       []config.Service{{Named: config.Named{ID: "charge", Names: map[string]string{"desk": "TILL/CHARGE"}}, TimeoutSeconds: 2}},
		Routes:         []config.Route{{ID: "s", Service: "charge", PathPrefix: "/deposits"}},
	})
	status, text := g.post(t, "/v1/services/TILL%2FCHARGE/deposits/a%20b", "{}")
	require.Equal(t, http.StatusOK, status, text)
	require.Equal(t, "/deposits/a b", <-paths)

	status, text = g.post(t, "/v1/services/TILL%2FCHARGE/refunds", "{}")
	require.Equal(t, http.StatusForbidden, status, text)
	status, text = g.post(t, "/v1/services/TILL/CHARGE/deposits", "{}")
	require.Equal(t, http.StatusNotFound, status, text)
}
