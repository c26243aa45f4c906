package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/admin/api"
	"egretramp/internal/control"
)

const goodFile = `{"generation": 4, "schemes": [], "models": [], "services": [], "routes": [], "upstreams": [], "client_accounts": []}`

// fakeVM serves a configured status and value for each path, and records the requested paths.
type fakeVM struct {
	address   string
	answers   map[string]func(*http.Request) (int, any)
	requested []string
}

func newFakeVM(t *testing.T) *fakeVM {
	t.Helper()
	vm := &fakeVM{answers: map[string]func(*http.Request) (int, any){}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vm.requested = append(vm.requested, r.URL.Path)
		answer, ok := vm.answers[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		status, value := answer(r)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(value)
	}))
	t.Cleanup(server.Close)
	vm.address = strings.TrimPrefix(server.URL, "http://")
	return vm
}

func (vm *fakeVM) respond(path string, status int, value any) {
	vm.answers[path] = func(*http.Request) (int, any) { return status, value }
}

func run(t *testing.T, stdin string, args ...string) (code int, out, errOut string) {
	t.Helper()
	var outBuffer, errBuffer bytes.Buffer
	code = Run(context.Background(), args, Streams{In: strings.NewReader(stdin), Out: &outBuffer, Err: &errBuffer})
	return code, outBuffer.String(), errBuffer.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// examplePath is the example configuration file in the operators' documentation.
const examplePath = "../../docs/examples/operators.json"

func TestRun_CommandLine(t *testing.T) {
	t.Setenv("EGRETRAMP_ADMIN", "")
	good, bad := writeFile(t, goodFile), writeFile(t, "{\n \"generation\": 0}")
	for _, c := range []struct {
		args         []string
		stdin        string
		code         int
		out, problem string
	}{
		{[]string{"--help"}, "", ExitOK, "hash-key", ""},
		{[]string{"apply", "--help"}, "", ExitOK, "--wait", ""},
		{[]string{"--version"}, "", ExitOK, "egretrampctl 0", ""},
		{[]string{}, "", ExitUsage, "", "Please specify one command"},
		{[]string{"wrong"}, "", ExitUsage, "", "Unknown command"},
		{[]string{"status", "more"}, "", ExitUsage, "", `unexpected argument "more"`},
		{[]string{"status"}, "", ExitUsage, "", "--admin ADDRESS"},
		{[]string{"status", "--admin", "localhost"}, "", ExitUsage, "", "is not IP:port"},
		{[]string{"check", good}, "", ExitOK, "no problems; generation 4", ""},
		{[]string{"check", "-"}, goodFile, ExitOK, "-: no problems", ""},
		{[]string{"check", examplePath}, "", ExitOK, "no problems; generation 1 with 2 client accounts, 1 models, 1 services, 4 routes", ""},
		{[]string{"check", bad}, "", ExitUsage, "", bad + ":2:16: generation: impossible value 0"},
		{[]string{"check", bad, "--json"}, "", ExitUsage, `"line": 2`, ""},
		{[]string{"apply", bad, "--operator", "ana", "--admin", "127.0.0.1:1"}, "", ExitUsage, "", ":2:16:"},
		{[]string{"apply", good, "--operator", "ana", "--admin", "127.0.0.1:1", "--timeout", "0s"}, "", ExitUsage, "", "--timeout"},
		{[]string{"withdraw"}, "", ExitUsage, "", "KEYID"},
		{[]string{"hash-key"}, "abc\n", ExitOK, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n", ""},
		{[]string{"hash-key", "--json"}, "abc", ExitOK, `"sha256": "ba7816bf`, ""},
		{[]string{"hash-key"}, "\n", ExitUsage, "", "a key is one line"},
		{[]string{"hash-key"}, "a b", ExitUsage, "", "a key is one line"},
		{[]string{"hash-key"}, strings.Repeat("a", maxKeyBytes+1), ExitUsage, "", "a key is one line"},
	} {
		code, out, errOut := run(t, c.stdin, c.args...)
		require.Equal(t, c.code, code, "%v %s", c.args, errOut)
		require.Contains(t, out, c.out, c.args)
		require.Contains(t, errOut, c.problem, c.args)
	}
}

func TestApply_SendsTheFileToTheNextVMIfOneFails(t *testing.T) {
	isolated, good := newFakeVM(t), newFakeVM(t)
	isolated.respond(api.PathApply, 503, api.ErrorBody{Error: api.NoMajority(0)})
	var body []byte
	var operator string
	good.answers[api.PathApply] = func(r *http.Request) (int, any) {
		body, _ = io.ReadAll(r.Body)
		operator = r.URL.Query().Get("operator")
		return 200, api.Applied{Generation: 4, Hash: "abcdef", Operator: "ben", Newest: 6}
	}
	code, out, errOut := run(t, goodFile, "apply", "-", "--operator", "ana",
		"--admin", "127.0.0.1:1", "--admin", isolated.address, "--admin", good.address)
	require.Equal(t, ExitOK, code, errOut)
	require.Equal(t, goodFile, string(body))
	require.Equal(t, "ana", operator)
	require.Equal(t, "generation 4 accepted (hash abcdef, first applied by ben)\ngeneration 6 has replaced it since\n", out)
	require.Equal(t, []string{api.PathApply}, isolated.requested)
}

func TestApply_RefusalIsFinal(t *testing.T) {
	first, second := newFakeVM(t), newFakeVM(t)
	refusal := api.RefusalError(&control.Refusal{Code: control.CodeGenerationTaken, Message: `taken, applied by "ben"`})
	first.respond(api.PathApply, 409, api.ErrorBody{Error: refusal})
	args := []string{"apply", writeFile(t, goodFile), "--operator", "ana", "--admin", first.address, "--admin", second.address}
	code, _, errOut := run(t, "", args...)
	require.Equal(t, ExitFailed, code)
	require.Equal(t, "egretrampctl: taken, applied by \"ben\" (generation_taken)\n", errOut)
	require.Empty(t, second.requested)

	first.respond(api.PathApply, 422, api.ErrorBody{Error: api.FileError(nil)})
	code, out, _ := run(t, "", append(args, "--json")...)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, out, `"code": "bad_file"`)
}

func TestApply_WaitReportsZoneByZone(t *testing.T) {
	vm := newFakeVM(t)
	vm.respond(api.PathApply, 200, api.Applied{Generation: 4, Hash: "abcdef", Operator: "ana", Newest: 4})
	polls := 0
	vm.answers[api.PathInForce] = func(*http.Request) (int, any) {
		polls++
		return 200, api.InForce{VMs: []api.VMInForce{
			{VM: "a1", Zone: "a", Generation: 4, Reached: true},
			{VM: "b1", Zone: "b", Generation: 3 + uint64(polls/2), Reached: true},
		}}
	}
	args := []string{"apply", writeFile(t, goodFile), "--operator", "ana", "--admin", vm.address, "--wait"}
	code, out, errOut := run(t, "", args...)
	require.Equal(t, ExitOK, code, errOut)
	require.Regexp(t, `(?s)accepted.*\nzone a: in force on a1 after [0-9.]+ s\nzone b: in force on b1 after [0-9.]+ s\n$`, out)

	vm.respond(api.PathInForce, 200, api.InForce{VMs: []api.VMInForce{
		{VM: "a1", Zone: "a", Generation: 4, Reached: true},
		{VM: "b1", Zone: "b", Generation: 3, Reached: true},
		{VM: "b2", Zone: "b", Generation: 3},
	}})
	code, out, _ = run(t, "", append(args, "--timeout", "300ms")...)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, out, "zone a: in force on a1 after")
	require.Contains(t, out, "zone b: in force on none; not yet on b1; could not reach b2\n")

	code, out, _ = run(t, "", append(args, "--timeout", "300ms", "--json")...)
	require.Equal(t, ExitFailed, code)
	var result applyOutput
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.Equal(t, []string{"b2"}, result.Zones[1].Unreached)
}

func TestWithdraw_UnknownKeysFail(t *testing.T) {
	vm := newFakeVM(t)
	vm.answers[api.PathWithdraw] = func(r *http.Request) (int, any) {
		var request api.WithdrawRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		return 200, api.Withdrawn{Now: request.KeyIDs[:1], Unknown: request.KeyIDs[1:]}
	}
	code, out, _ := run(t, "", "withdraw", "k1", "--admin", vm.address)
	require.Equal(t, ExitOK, code)
	require.Equal(t, "withdrawn now: k1\nwithdrawn before: none\n", out)
	code, _, errOut := run(t, "", "withdraw", "k1", "k2", "--admin", vm.address)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errOut, "no accepted file has these keys: k2")
}

func TestShow_PrintsTablesAndJSON(t *testing.T) {
	vm, other := newFakeVM(t), newFakeVM(t)
	vm.respond(api.PathStatus, 200, api.Status{VM: "a1", Zone: "a", Generation: 4, Control: true,
		VMs: []api.VM{{VM: "a1", Zone: "a"}, {VM: "b1", Zone: "b", Admin: other.address}, {VM: "c1"}}})
	vm.respond(api.PathPrograms, 200, api.Programs{Programs: []api.Program{{Program: "p1", Account: "opera", CallsUsed: 2, CallsBudget: 9, Engines: []string{"a/e1", "b/e2"}}}, Total: 3})
	vm.respond(api.PathUpstreams, 200, api.Upstreams{Upstreams: []api.Upstream{{Upstream: "e1", Kind: "engine", AgeMS: 1500, Serves: []string{"m"}}}})
	vm.respond(api.PathPlacement, 200, api.Placement{Zones: []api.PlacementZone{{
		Zone: "a", VM: "a1", State: "ordering", Fencing: 12, Targets: []api.PlacementTarget{{Model: "wig", Replicas: 1, Wanted: 3, Calls: 40}},
		Orders: []api.PlacementOrder{{ID: "12-4", Engine: "e1", Load: "wig", State: "permit"}},
	}}})
	vm.respond(api.PathDump, 200, map[string]string{"of": "a1"})
	other.respond(api.PathDump, 200, map[string]string{"of": "b1"})
	t.Setenv("EGRETRAMP_ADMIN", "127.0.0.1:1,"+vm.address)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"status"}, ExitOK, "entry and control"},
		{[]string{"status", "--json"}, ExitOK, `"generation": 4`},
		{[]string{"programs"}, ExitOK, "1 of 3 programs"},
		{[]string{"programs"}, ExitOK, "a/e1, b/e2"},
		{[]string{"programs", "--json", "--account", "opera"}, ExitOK, `"calls_budget": 9`},
		{[]string{"upstreams"}, ExitOK, "1.5 s ago"},
		{[]string{"placement"}, ExitOK, "a     12-4   e1      none    wig   permit"},
		{[]string{"placement", "--json"}, ExitOK, `"wanted": 3`},
		{[]string{"dump", "a1"}, ExitOK, `"of": "a1"`},
		{[]string{"dump", "b1"}, ExitOK, `"of": "b1"`},
		{[]string{"dump", "c1"}, ExitFailed, "the administration address of VM c1 is not known"},
		{[]string{"dump", "d1"}, ExitFailed, "there is no VM d1; known are a1, b1, c1"},
	} {
		code, out, errOut := run(t, "", c.args...)
		require.Equal(t, c.code, code, "%v %s", c.args, errOut)
		require.Contains(t, out+errOut, c.want)
	}
}
