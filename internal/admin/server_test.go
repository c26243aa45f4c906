package admin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"egretramp/internal/admin/api"
	"egretramp/internal/config"
	"egretramp/internal/control"
	"egretramp/internal/events"
)

const (
	secretText = "0123456789-secret"
	emptyFile  = `{"generation": 4, "schemes": [], "models": [], "services": [], "routes": [], "upstreams": [], "client_accounts": []}`
)

var keyHash = config.HashKey("caller-key")

var fullFile = strings.NewReplacer(
	`"upstreams": []`, `"upstreams": [{"id": "e", "kind": "engine", "secret": "`+secretText+`"}]`,
	`"client_accounts": []`, `"client_accounts": [{"id": "a", "rate_per_second": 1, "burst": 1, "keys": [{"id": "k", "sha256": "`+keyHash+`"}]}] // `+secretText+"\n",
).Replace(emptyFile)

// fakeBackend records requests and returns results according to its fields.
type fakeBackend struct {
	applied   []ApplyRequest
	withdrawn []string
	query     ProgramsQuery
	polls     int // calls of InForce, which reports done from the third on
	err       error
	panics    bool
}

func (f *fakeBackend) Apply(_ context.Context, r ApplyRequest) (api.Applied, error) {
	f.applied = append(f.applied, r)
	return api.Applied{Generation: 4, Operator: r.Operator, Newest: 4}, f.err
}

func (f *fakeBackend) WithdrawKeys(_ context.Context, ids []string) (api.Withdrawn, error) {
	f.withdrawn = ids
	return api.Withdrawn{Now: ids}, f.err
}

func (f *fakeBackend) Status(context.Context) (api.Status, error) {
	if f.panics {
		panic("no status")
	}
	return api.Status{VM: "a1", ConfigText: fullFile}, f.err
}

func (f *fakeBackend) Dump(context.Context) (any, error) { return map[string]int{"x": 1}, f.err }

func (f *fakeBackend) Programs(_ context.Context, q ProgramsQuery) (api.Programs, error) {
	f.query = q
	return api.Programs{Programs: []api.Program{{Program: "p"}}, Total: 1}, f.err
}

func (f *fakeBackend) Upstreams(context.Context) (api.Upstreams, error) {
	return api.Upstreams{Upstreams: []api.Upstream{{Upstream: "u"}}}, f.err
}

func (f *fakeBackend) Placement(context.Context) (api.Placement, error) {
	return api.Placement{Zones: []api.PlacementZone{{Zone: "a"}}}, f.err
}

func (f *fakeBackend) InForce(context.Context) (api.InForce, error) {
	f.polls++
	return api.InForce{VMs: []api.VMInForce{{VM: "a1", Zone: "a", Generation: 4, Reached: f.polls >= 3}}}, f.err
}

// sendRequest handles one request and returns the response's status and body.
func sendRequest(t *testing.T, backend Backend, method, target, body string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	New(Options{Backend: backend}).Handler().ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	require.Equal(t, "application/json", strings.Split(w.Header().Get("Content-Type"), ";")[0])
	return w.Code, w.Body.String()
}

func errorOf(t *testing.T, body string) *api.Error {
	t.Helper()
	var e api.ErrorBody
	require.NoError(t, json.Unmarshal([]byte(body), &e), body)
	require.NotNil(t, e.Error, body)
	return e.Error
}

func TestServer_RespondsToValidRequests(t *testing.T) {
	backend := &fakeBackend{}
	for _, c := range []struct{ method, target, body, want string }{
		{"POST", "/v1/apply?operator=ana&request_id=r1", emptyFile, `"generation":4`},
		{"POST", "/v1/keys/withdraw", `{"key_ids": ["k1"]}`, `"now":["k1"]`},
		{"GET", "/v1/status", "", `"vm":"a1"`},
		{"GET", "/v1/dump", "", `{"x":1}`},
		{"GET", "/v1/programs?account=OP/1&limit=7", "", `"total":1`},
		{"GET", "/v1/upstreams", "", `"upstream":"u"`},
		{"GET", "/v1/in_force", "", `"generation":4`},
		{"GET", "/debug/vars", "", `"memstats"`},
	} {
		status, body := sendRequest(t, backend, c.method, c.target, c.body)
		require.Equal(t, http.StatusOK, status, body)
		require.Contains(t, body, c.want)
	}
	require.Equal(t, []ApplyRequest{{Text: []byte(emptyFile), Operator: "ana", RequestID: "r1"}}, backend.applied)
	require.Equal(t, []string{"k1"}, backend.withdrawn)
	require.Equal(t, ProgramsQuery{Account: "OP/1", Limit: 7}, backend.query)
}

func TestServer_RefusesBadRequestsBeforeTheBackend(t *testing.T) {
	for _, c := range []struct {
		method, target, body string
		status               int
		code                 string
	}{
		{"POST", "/v1/apply", emptyFile, 400, api.CodeBadRequest},
		{"POST", "/v1/apply?operator=" + strings.Repeat("x", 129), emptyFile, 400, api.CodeBadRequest},
		{"POST", "/v1/apply?operator=ana&wait=61", emptyFile, 400, api.CodeBadRequest},
		{"POST", "/v1/apply?operator=ana&wait=NaN", emptyFile, 400, api.CodeBadRequest},
		{"POST", "/v1/apply?operator=ana", `{"generation": 0}`, 422, "bad_file"},
		{"POST", "/v1/apply?operator=ana", strings.Repeat(" ", config.MaxBytes+1), 413, api.CodeTooLarge},
		{"POST", "/v1/keys/withdraw", `{"key_ids": []}`, 400, api.CodeBadRequest},
		{"POST", "/v1/keys/withdraw", `{"key_ids": [""]}`, 400, api.CodeBadRequest},
		{"POST", "/v1/keys/withdraw", `{"keys": ["a"]}`, 400, api.CodeBadRequest},
		{"POST", "/v1/keys/withdraw", `{"key_ids": ["a"]} x`, 400, api.CodeBadRequest},
		{"GET", "/v1/programs?limit=0", "", 400, api.CodeBadRequest},
		{"GET", "/v1/nothing", "", 404, api.CodeNotFound},
		{"GET", "/v1/apply", "", 405, api.CodeWrongMethod},
	} {
		backend := &fakeBackend{}
		status, body := sendRequest(t, backend, c.method, c.target, c.body)
		require.Equal(t, c.status, status, "%s %.60s", c.target, body)
		require.Equal(t, c.code, errorOf(t, body).Code)
		require.Empty(t, backend.applied)
		require.Empty(t, backend.withdrawn)
	}
	_, body := sendRequest(t, &fakeBackend{}, "POST", "/v1/apply?operator=ana", "{\n\"generation\": 0}")
	require.Contains(t, body, `"line":2,"column":15,"field":"generation"`)
}

func TestServer_MapsBackendErrors(t *testing.T) {
	winner := &control.Acceptance{Generation: 9, Operator: "ben"}
	refusal := &control.Refusal{Code: control.CodeGenerationOld, Message: "old", InForce: winner}
	for _, c := range []struct {
		err    error
		status int
		code   string
	}{
		{api.RefusalError(refusal), 409, "generation_old"},
		{api.NoMajority(1500 * time.Millisecond), 503, api.CodeNoMajority},
		{errors.Wrap(context.DeadlineExceeded, "x"), 504, api.CodeTimeout},
		{errors.New(secretText), 500, api.CodeInternal},
	} {
		status, body := sendRequest(t, &fakeBackend{err: c.err}, "POST", "/v1/apply?operator=ana", emptyFile)
		require.Equal(t, c.status, status)
		e := errorOf(t, body)
		require.Equal(t, c.code, e.Code)
		require.NotContains(t, body, secretText)
		if c.status == 409 {
			require.Equal(t, winner, e.Winner)
		}
	}
	w := httptest.NewRecorder()
	writeError(w, api.NoMajority(1500*time.Millisecond))
	require.Equal(t, "2", w.Header().Get("Retry-After"))

	status, body := sendRequest(t, &fakeBackend{panics: true}, "GET", "/v1/status", "")
	require.Equal(t, 500, status)
	require.Equal(t, api.CodeInternal, errorOf(t, body).Code)
}

func TestServer_ResponsesAndLogsContainNoSecrets(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	server := New(Options{Backend: &fakeBackend{}, Logger: events.FromZap(zap.New(core))})
	for _, r := range []*http.Request{
		httptest.NewRequest("GET", "/v1/status", nil),
		httptest.NewRequest("GET", "/v1/status?config=true", nil),
		httptest.NewRequest("POST", "/v1/apply?operator=ana", strings.NewReader(fullFile)),
		httptest.NewRequest("POST", "/v1/apply?operator=ana", strings.NewReader(strings.Replace(fullFile, `"secret": "`, `"secret": 1, "secret": "`, 1))),
	} {
		w := httptest.NewRecorder()
		server.Handler().ServeHTTP(w, r)
		require.NotContains(t, w.Body.String(), secretText)
		require.NotContains(t, w.Body.String(), keyHash)
		if r.URL.RawQuery == "config=true" {
			require.Contains(t, w.Body.String(), `"sha256":"(redacted)"`)
		}
	}
	require.Equal(t, 2, logs.Len(), "expected one accepted and one refused request")
	for _, entry := range logs.All() {
		data, err := json.Marshal(entry.ContextMap())
		require.NoError(t, err)
		require.NotContains(t, string(data), secretText)
	}
}

func TestServer_ApplyWaits(t *testing.T) {
	backend := &fakeBackend{}
	_, body := sendRequest(t, backend, "POST", "/v1/apply?operator=ana&wait=60", emptyFile)
	var applied api.Applied
	require.NoError(t, json.Unmarshal([]byte(body), &applied))
	require.True(t, applied.InForce.Done(4))
	require.Equal(t, 3, backend.polls)
}

func TestServer_ServeReturnsWhenContextEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- New(Options{Backend: &fakeBackend{}}).Serve(ctx, listener) }()
	response, err := http.Get("http://" + listener.Addr().String() + "/v1/dump")
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	require.NoError(t, response.Body.Close())
	cancel()
	require.NoError(t, <-ended)
}
