package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/fakes"
	"egretramp/internal/upstream"
	"egretramp/internal/upstream/wire"
)

const storeRoot = "stores-secret-01234"

// placementFile returns a configuration that enables placement with one load at a time.
func placementFile(generation uint64) config.File {
	file := baseFile(generation)
	file.Models = append(file.Models, config.Model{Named: config.Named{ID: "wig-small"}})
	file.Upstreams = append(file.Upstreams, config.UpstreamClass{ID: "stores", Kind: config.KindWeightStore, Secret: storeRoot})
	file.Placement = config.Placement{
		Enabled: true, LoadsUnderWay: 1, LoadsPerSecond: 20, LoadTimeoutSeconds: 5, MinChangeSeconds: 5, PlanSeconds: 0.25,
	}
	return file
}

func (f *testFleet) store() *fakes.Fake {
	return f.fake(fakes.Options{
		Kind: config.KindWeightStore, Name: "store", Zone: "zone0", Class: "stores", Secret: storeRoot,
		WeightStore: fakes.WeightStoreOptions{RatePerSecond: 1000, Burst: 1000, FetchTime: 200 * time.Millisecond},
	})
}

func (f *testFleet) placedEngine(name, zone string, store *fakes.Fake, serves ...string) *fakes.Fake {
	return f.fake(fakes.Options{
		Kind: config.KindEngine, Name: name, Zone: zone, Class: "engines", Secret: engineRoot, Serves: serves,
		Engine: fakes.EngineOptions{Slots: 2, Models: 1, WeightStore: store.Addr()},
	})
}

func (f *testFleet) callSmallModel(vm int) reply {
	return f.send(vm, http.MethodPost, "/v1/chat/completions", keyAna,
		`{"model":"wig-small","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`)
}

// TestFleet_DemandLoadsModels calls a model that no engine serves, with more concurrent calls than one
// engine has slots. Placement must load it on at least two engines without exceeding the limit of loads.
func TestFleet_DemandLoadsModels(t *testing.T) {
	f := newTestFleet(t)
	f.apply(placementFile(1))
	store := f.store()
	engines := []*fakes.Fake{f.placedEngine("a", "zone0", store, "WIG/L")}
	for i := range 3 {
		engines = append(engines, f.placedEngine(fmt.Sprint("b", i), fmt.Sprintf("zone%d", i), store))
	}
	f.eventually("wig-small is not served", func() bool { return f.callSmallModel(0).status == http.StatusOK })
	f.sustainLoad(t, func() bool { return len(f.serving("wig-small")) >= 2 })

	violations := f.violations(store)
	require.LessOrEqual(t, violations.MostUnderWay, 1, "more concurrent loads than the limit")
	require.GreaterOrEqual(t, violations.Requests, 2)
	require.Zero(t, violations.Refused)
	first := f.ordersOf(engines[0])
	require.Empty(t, first, "the only replica of wig-large must stay loaded")
	for _, e := range engines[1:] {
		for _, o := range f.ordersOf(e) {
			f.requireStaleOrderRejected(e, o)
		}
	}
}

// TestFleet_DemandSwapsModels calls a model that can only be loaded in place of an otherwise idle one, while
// the engines still run calls of that one. Those calls must finish before it is unloaded.
func TestFleet_DemandSwapsModels(t *testing.T) {
	f := newTestFleet(t)
	file := placementFile(1)
	file.Placement.PressedSeconds, file.Placement.IdleSeconds = 0.5, 0.5
	f.apply(file)
	store := f.store()
	large := []*fakes.Fake{f.placedEngine("a", "zone0", store, "WIG/L"), f.placedEngine("b", "zone0", store, "WIG/L")}
	f.waitForReplicas(2)

	var calls conc.WaitGroup
	for range 2 {
		calls.Go(func() {
			r, err := f.trySend(0, http.MethodPost, "/v1/chat/completions", keyAna,
				`{"model":"wig-large","max_tokens":400,"messages":[{"role":"user","content":"a long one"}]}`)
			if err != nil || r.status != http.StatusOK {
				t.Errorf("a call to the model that is being unloaded failed: %d %v", r.status, err)
			}
		})
	}
	f.eventually("wig-small is not served", func() bool { return f.callSmallModel(0).status == http.StatusOK })
	calls.Wait()
	require.Equal(t, http.StatusOK, f.send(0, http.MethodPost, "/v1/chat/completions", keyAna,
		`{"model":"wig-large","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`).status, "one replica of wig-large must stay loaded")
	first, second := f.ordersOf(large[0]), f.ordersOf(large[1])
	orders := append(first, second...)
	require.Len(t, orders, 2, "exactly one engine must receive orders")
	require.Equal(t, []wire.OrderKind{wire.OrderUnloadModel, wire.OrderLoadModel}, []wire.OrderKind{orders[0].Kind, orders[1].Kind})
	require.Equal(t, "WIG/L", orders[0].Model, "an order must use the engine's own name of the model")
	// The engine serves the model before it reports that the order is done.
	f.eventually("the order's result is not listed", func() bool {
		answer, err := (&backend{daemon: f.daemons[1]}).Placement(context.Background())
		return err == nil && answer.Zones[0].State == "ordering" && len(answer.Zones[0].Results) > 0 &&
			answer.Zones[0].Results[0].Load == "wig-small"
	})
}

// sustainLoad keeps eight calls to wig-small in flight until done returns true.
func (f *testFleet) sustainLoad(t *testing.T, done func() bool) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers conc.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for ctx.Err() == nil {
				_, _ = f.trySend(i%3, http.MethodPost, "/v1/chat/completions", keyAna,
					`{"model":"wig-small","max_tokens":200,"messages":[{"role":"user","content":"`+strings.Repeat("word ", 50)+`"}]}`)
			}
		})
	}
	f.eventually("wig-small still has fewer than two replicas", done)
	cancel()
	callers.Wait()
}

// serving returns the names of the engines that serve a model according to the dispatchers.
func (f *testFleet) serving(model string) []string {
	var names []string
	for name, l := range f.daemons[0].listUpstreams(context.Background()) {
		if l.Record.Kind == config.KindEngine && strings.Contains(strings.Join(l.Record.Serves, " "), model) {
			names = append(names, name)
		}
	}
	return names
}

func (f *testFleet) violations(store *fakes.Fake) fakes.Violations {
	v, err := fakes.NewClient(store.Addr()).Violations(context.Background())
	require.NoError(f.t, err)
	return v
}

func (f *testFleet) ordersOf(e *fakes.Fake) []fakes.OrderRecord {
	list, err := fakes.NewClient(e.Addr()).Orders(context.Background())
	require.NoError(f.t, err)
	return list
}

// requireStaleOrderRejected sends an order with a fencing number one below that of an executed order, and
// requires that the engine rejects it.
func (f *testFleet) requireStaleOrderRejected(e *fakes.Fake, o fakes.OrderRecord) {
	err := f.daemons[0].caller.Order(context.Background(), e.Addr(), wire.Order{
		ID: "old", Kind: wire.OrderUnloadModel, Model: o.Model, Fencing: o.Fencing - 1,
	})
	require.ErrorIs(f.t, err, upstream.ErrOldFencing)
	require.NotZero(f.t, o.Fencing)
}
