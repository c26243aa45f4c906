package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/admin"
	"egretramp/internal/admin/api"
	"egretramp/internal/config"
	"egretramp/internal/fakes"
	"egretramp/internal/schedule"
)

// isolate cuts the links between a VM and all others, in both directions.
func (f *testFleet) isolate(vm int) {
	var others []string
	for i, d := range f.daemons {
		if i != vm {
			others = append(others, d.settings.VM)
			d.node.Cut([]string{f.daemons[vm].settings.VM})
		}
	}
	f.daemons[vm].node.Cut(others)
}

// heal restores all links.
func (f *testFleet) heal() {
	for _, d := range f.daemons {
		d.node.Cut(nil)
	}
}

// TestFleet_IsolatedVM isolates the only VM of a zone. It must stop serving calls that need a key and
// refuse configurations at once for lack of a majority, but accept a key withdrawal, which must reach the
// rest of the fleet once the links are restored.
func TestFleet_IsolatedVM(t *testing.T) {
	f := newTestFleet(t)
	f.apply(baseFile(1))
	engine := f.engine("engine-2", "zone2")
	f.waitForReplicas(1)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	isolated := &backend{daemon: f.daemons[2]}

	f.isolate(2)
	f.eventually("the isolated VM still serves calls that need a key", func() bool {
		return f.send(2, http.MethodGet, "/v1/models", keyAna, "").status == http.StatusServiceUnavailable
	})
	r := f.send(2, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user("x")}, false))
	code, notRun := r.refusal(t)
	require.Equal(t, "cut_off", code)
	require.Equal(t, "true", notRun)
	require.NotEmpty(t, r.header.Get("Retry-After"))

	_, err := isolated.Apply(ctx, admin.ApplyRequest{Text: []byte(mustText(t, baseFile(2))), Operator: "test"})
	var refused *api.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, api.CodeNoMajority, refused.Code)

	withdrawn, err := isolated.WithdrawKeys(ctx, []string{"key-bob", "key-nobody"})
	require.NoError(t, err)
	require.Equal(t, []string{"key-bob"}, withdrawn.Pending)
	require.Equal(t, []string{"key-nobody"}, withdrawn.Unknown)

	f.eventually("the isolated VM is still a member", func() bool {
		_, member := f.daemons[0].fleet.View().Epoch.ZoneOf("vm2")
		return !member
	})
	f.eventually("the other VMs do not serve calls", func() bool {
		return f.send(0, http.MethodGet, "/v1/models", keyBob, "").status == http.StatusOK
	})
	f.applyOn(baseFile(3), 0, 1)

	f.heal()
	for vm, d := range f.daemons {
		f.eventually("the key withdrawal did not reach every VM", func() bool {
			return f.send(vm, http.MethodGet, "/v1/models", keyBob, "").status == http.StatusUnauthorized
		})
		f.eventually("the newer generation is not in force", func() bool { return d.fleet.View().Acceptance.Generation == 3 })
	}
	f.eventually("the control group did not record the withdrawal", func() bool {
		w, err := isolated.WithdrawKeys(ctx, []string{"key-bob"})
		return err == nil && len(w.Already) == 1
	})
	f.waitForLeases()
	f.eventually("the VM does not serve calls after rejoining", func() bool {
		return f.send(2, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user("x")}, false)).status == http.StatusOK
	})
	f.eventually("the VM does not run programs after rejoining", func() bool {
		body := chatBody(t, []fakes.Message{user("x")}, false)
		return f.send(2, http.MethodPost, "/v1/chat/completions", keyAna, body, headerProgram, "back").status == http.StatusOK
	})
	require.False(t, engine.Received([]byte(keyAna)))
}

// TestFleet_PartialPartition cuts the link between two VMs that are both connected to the third. No VM may
// be considered dead, and all must keep serving.
func TestFleet_PartialPartition(t *testing.T) {
	f := newTestFleet(t)
	f.apply(baseFile(1))
	f.engine("engine-0", "zone0")
	f.engine("engine-2", "zone2")
	f.waitForReplicas(2)
	f.daemons[0].node.Cut([]string{"vm1"})
	f.daemons[1].node.Cut([]string{"vm0"})
	until := time.Now().Add(5 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		for vm := range f.daemons {
			r := f.send(vm, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user("x")}, false))
			require.Equal(t, http.StatusOK, r.status, "VM %d: %s", vm, r.body)
		}
	}
	for _, d := range f.daemons {
		require.True(t, d.fleet.Alive("vm0") && d.fleet.Alive("vm1"), "%s considers a live VM dead", d.settings.VM)
	}
}

// TestFleet_PartialPartitionToDispatcher cuts the link between the VM to which an engine announces itself
// and the engine's dispatcher. A third VM is connected to both, so all VMs must still get grants.
func TestFleet_PartialPartitionToDispatcher(t *testing.T) {
	f := newTestFleet(t)
	f.apply(baseFile(1))
	f.daemons[0].node.Cut([]string{"vm1"})
	f.daemons[1].node.Cut([]string{"vm0"})
	f.eventually("the link is still up", func() bool {
		return !f.daemons[0].node.Connected("vm1") && !f.daemons[1].node.Connected("vm0")
	})
	engine, err := fakes.New(fakes.Options{
		Kind: config.KindEngine, Name: "engine-1", Zone: "zone1", Class: "engines", Secret: engineRoot, Serves: []string{"WIG/L"},
		Aliases: map[string]string{"WIG/L": "wig-large"}, AnnounceTo: []string{f.daemons[0].settings.Listen.Upstreams},
	})
	require.NoError(t, err)
	require.NoError(t, engine.Start())
	t.Cleanup(engine.Close)
	f.waitForReplicas(1)
	grant := func(d *Daemon) error {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		g, err := d.dispatcher.Acquire(ctx, config.KindEngine, "wig-large", "", schedule.Request{ID: "r-" + d.settings.VM, Account: "ana", Weight: 1})
		if err == nil {
			d.dispatcher.Release(g, schedule.Outcome{})
		}
		return err
	}
	for _, d := range f.daemons {
		require.NoError(t, grant(d), d.settings.VM)
	}
	dump, err := f.daemons[1].host.Dump(context.Background())
	require.NoError(t, err)
	require.Len(t, dump.Upstreams, 1, "the dispatcher of the engine's zone must list it")
}
