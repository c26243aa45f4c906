package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"egretramp/internal/admin"
	"egretramp/internal/config"
	"egretramp/internal/fakes"
	"egretramp/internal/loopback"
	"egretramp/internal/settings"
)

// waitTimeout limits every wait. It is long enough that only a fault exceeds it.
const waitTimeout = 40 * time.Second

const (
	keyAna     = "sk-ana-0123456789abcdef"
	keyBob     = "sk-bob-0123456789abcdef"
	engineRoot = "engines-secret-0123"
	toolRoot   = "services-secret-0123"
)

// testFleet runs a fleet of daemons in the test process.
type testFleet struct {
	t       testing.TB
	daemons []*Daemon
	stops   []context.CancelFunc
	ended   []chan struct{}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := loopback.Address()
	require.NoError(t, err)
	return address
}

// newTestFleet starts three VMs in three zones, each with the control role.
func newTestFleet(t testing.TB) *testFleet {
	t.Helper()
	return newTestFleetWith(t, func(*settings.Settings) {})
}

// newTestFleetWith is newTestFleet with a function that changes the settings of each VM before it starts.
func newTestFleetWith(t testing.TB, change func(*settings.Settings)) *testFleet {
	t.Helper()
	return newTestFleetOf(t, 3, change)
}

// newTestFleetOf starts VMs vm0, vm1, ..., assigned to three zones in turn. The first VM of each zone has
// the control role.
func newTestFleetOf(t testing.TB, vms int, change func(*settings.Settings)) *testFleet {
	t.Helper()
	f := &testFleet{t: t}
	level := "warn"
	if _, ok := t.(*testing.B); ok {
		level = "error" // log lines would break up the benchmark's result lines
	}
	var peers []settings.Peer
	for i := range vms {
		peers = append(peers, settings.Peer{VM: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("zone%d", i%3), Address: freeAddress(t), Control: i < 3})
	}
	for i, p := range peers {
		s := &settings.Settings{
			VM: p.VM, Zone: p.Zone, Peers: peers, ShutdownLimitSeconds: 3, LogLevel: level,
			Listen: settings.Listen{Callers: freeAddress(t), Upstreams: freeAddress(t), Admin: freeAddress(t), Peers: peers[i].Address},
		}
		if p.Control {
			s.DataFolder = t.TempDir()
		}
		change(s)
		d, err := New(s, "test")
		require.NoError(t, err)
		f.run(d)
	}
	f.waitForLeases()
	return f
}

// run runs a daemon until the test ends or its entry of stops is called.
func (f *testFleet) run(d *Daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(ended)
		if err := d.Run(ctx, make(chan os.Signal)); err != nil {
			f.t.Errorf("VM %s: %v", d.settings.VM, err)
		}
	})
	f.daemons = append(f.daemons, d)
	f.stops = append(f.stops, cancel)
	f.ended = append(f.ended, ended)
	f.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func (f *testFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, waitTimeout, 20*time.Millisecond, what)
}

func (f *testFleet) waitForLeases() {
	for _, d := range f.daemons {
		f.eventually("VM "+d.settings.VM+" has no lease", func() bool { return d.fleet.Current(time.Minute) })
	}
}

// apply applies a file and waits until it is in force on all VMs.
func (f *testFleet) apply(file config.File) {
	f.t.Helper()
	vms := make([]int, len(f.daemons))
	for vm := range vms {
		vms[vm] = vm
	}
	f.applyOn(file, vms...)
	f.waitForLeases()
}

// applyOn applies a file through the first of the VMs and waits until it is in force on them.
func (f *testFleet) applyOn(file config.File, vms ...int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	b := &backend{daemon: f.daemons[vms[0]]}
	_, err := b.Apply(ctx, admin.ApplyRequest{Text: []byte(mustText(f.t, file)), Operator: "test"})
	require.NoError(f.t, err)
	for _, vm := range vms {
		d := f.daemons[vm]
		f.eventually("the generation is not in force", func() bool { return d.fleet.View().Acceptance.Generation >= file.Generation })
	}
}

func mustText(t testing.TB, file config.File) string {
	t.Helper()
	text, err := json.Marshal(file)
	require.NoError(t, err)
	return string(text)
}

func baseFile(generation uint64) config.File {
	return config.File{
		Generation: generation,
		Schemes:    []string{"ledger", "desk", "platform"},
		ClientAccounts: []config.ClientAccount{
			account("ana", "ANA-1", keyAna),
			account("bob", "BOB-1", keyBob),
		},
		Models: []config.Model{{Named: config.Named{ID: "wig-large", Names: map[string]string{"ledger": "WIG/L"}}}},
		Services: []config.Service{
			{Named: config.Named{ID: "deposit"}, TimeoutSeconds: 5},
			{Named: config.Named{ID: "catalog"}, Repeatable: true},
		},
		Routes: []config.Route{
			{ID: "models", Model: "*"}, {ID: "deposit", Service: "deposit"}, {ID: "catalog", Service: "catalog", Open: true},
		},
		Upstreams: []config.UpstreamClass{
			{ID: "engines", Kind: config.KindEngine, Secret: engineRoot},
			{ID: "services", Kind: config.KindService, Secret: toolRoot},
		},
	}
}

func account(id, name, key string) config.ClientAccount {
	return config.ClientAccount{
		Named:         config.Named{ID: id, Names: map[string]string{"ledger": name}},
		RatePerSecond: 200, Burst: 200,
		Keys: []config.Key{{ID: "key-" + id, SHA256: config.HashKey(key)}},
	}
}

func (f *testFleet) upstreamListeners() []string {
	var all []string
	for _, d := range f.daemons {
		all = append(all, d.settings.Listen.Upstreams)
	}
	return all
}

func (f *testFleet) engine(name, zone string) *fakes.Fake {
	return f.fake(fakes.Options{
		Kind: config.KindEngine, Name: name, Zone: zone, Class: "engines", Secret: engineRoot, Serves: []string{"WIG/L"},
	})
}

func (f *testFleet) service(name, zone, serves string) *fakes.Fake {
	return f.fake(fakes.Options{
		Kind: config.KindService, Name: name, Zone: zone, Class: "services", Secret: toolRoot, Serves: []string{serves},
	})
}

func (f *testFleet) fake(o fakes.Options) *fakes.Fake {
	f.t.Helper()
	o.Listen = freeAddress(f.t)
	o.AnnounceTo = f.upstreamListeners()
	o.Watch = []string{keyAna, keyBob}
	o.Aliases = map[string]string{"WIG/L": "wig-large"}
	fake, err := fakes.New(o)
	require.NoError(f.t, err)
	require.NoError(f.t, fake.Start())
	f.t.Cleanup(fake.Close)
	return fake
}

func (f *testFleet) waitForReplicas(n int) {
	for _, d := range f.daemons {
		f.eventually("the pools do not have enough replicas", func() bool {
			replicas := 0
			for _, p := range d.dispatcher.Pools() {
				replicas += p.Load.Replicas
			}
			return replicas >= n
		})
	}
}

// reply holds the response to a caller.
type reply struct {
	status int
	header http.Header
	body   string
}

// refusal returns the code and not_run of an error response.
func (r reply) refusal(t *testing.T) (code, notRun string) {
	t.Helper()
	var body struct {
		Error struct {
			Code   string          `json:"code"`
			NotRun json.RawMessage `json:"not_run"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal([]byte(r.body), &body), r.body)
	return body.Error.Code, strings.Trim(string(body.Error.NotRun), `"`)
}

func (f *testFleet) send(vm int, method, path, key, body string, headers ...string) reply {
	f.t.Helper()
	r, err := f.trySend(vm, method, path, key, body, headers...)
	require.NoError(f.t, err)
	return r
}

func (f *testFleet) trySend(vm int, method, path, key, body string, headers ...string) (reply, error) {
	url := "http://" + f.daemons[vm].settings.Listen.Callers + path
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}
