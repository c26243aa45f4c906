package placement

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/upstream/wire"
)

const testStart = time.Hour

// newSwapOrderer returns an orderer that is replacing m0 by m1 on e1, drained and with a permit.
func newSwapOrderer() *Orderer {
	o := NewOrderer()
	o.SetSettings(Settings{LoadTimeout: testLoadTimeout, MinChange: testMinChange})
	o.SetRight(testStart, &Right{Number: 7, Since: testStart, First: true})
	o.Observe(testStart, twoReplicas(), map[string]bool{"m0": true})
	o.Start(testStart, []Change{{Engine: "e1", Incarnation: 1, Unload: []string{"m0"}, Load: "m1"}})
	for s := range 5 {
		at := testStart + time.Duration(s)*time.Second
		o.Drained(at, at, "7-1", 0, true)
	}
	now := testStart + 4*time.Second
	o.Next(now)
	o.Permit(now, now, "7-1", time.Minute)
	return o
}

func twoReplicas() []Engine {
	return []Engine{
		{Name: "e1", Incarnation: 1, Serves: []string{"m0"}, Names: map[string]string{"m0": "M/0"}},
		{Name: "e2", Incarnation: 1, Serves: []string{"m0"}},
	}
}

func TestOrderer_UnloadsThenLoads(t *testing.T) {
	o, now := newSwapOrderer(), testStart+4*time.Second
	unload, ok := o.Send(now, "7-1")
	require.True(t, ok)
	require.Equal(t, wire.Order{ID: "7-1-unload-m0", Kind: wire.OrderUnloadModel, Model: "M/0", Fencing: 7, TimeoutMS: 4000}, unload)
	o.Answered(now, "7-1", OutcomeUnknown)
	again, ok := o.Send(now+time.Second, "7-1")
	require.True(t, ok)
	require.Equal(t, unload, again, "order sent again under another ID")
	o.Answered(now+time.Second, "7-1", OutcomeDone)
	load, ok := o.Send(now+time.Second, "7-1")
	require.True(t, ok)
	require.Equal(t, wire.Order{ID: "7-1", Kind: wire.OrderLoadModel, Model: "m1", Fencing: 7, TimeoutMS: 4000}, load)
	o.Answered(now+2*time.Second, "7-1", OutcomeDone)
	o.Observe(now+3*time.Second, []Engine{{Name: "e1", Incarnation: 1, Serves: []string{"m1"}}}, nil)
	require.Equal(t, CodeDone, o.Results()[0].Code)
	require.True(t, o.Blocked(now+4*time.Second, "e1"), "engine may be changed again before MinChange has passed")
}

func TestOrderer_LastReplicaStays(t *testing.T) {
	o, now := newSwapOrderer(), testStart+4*time.Second
	o.Observe(now, twoReplicas()[:1], map[string]bool{"m0": true})
	_, ok := o.Send(now, "7-1")
	require.False(t, ok)
	require.Equal(t, CodeLastReplica, o.Results()[0].Code)
	require.Equal(t, []Action{
		{Kind: ActReturnPermit, ID: "7-1"},
		{Kind: ActEndDrain, ID: "7-1", Engine: twoReplicas()[0], Models: []string{"m0"}},
	}, o.Next(now), "drain not ended or permit not returned")
}

func TestOrderer_StaleDrainIsRenewedFirst(t *testing.T) {
	o, now := newSwapOrderer(), testStart+4*time.Second+maxDrainAge
	_, ok := o.Send(now, "7-1")
	require.False(t, ok)
	require.Equal(t, StepDrain, o.Orders()[0].Step)
	o.Drained(now, now, "7-1", 1, true)
	require.Equal(t, StepDrain, o.Orders()[0].Step, "drain ended while a call is running")
}

func TestOrderer_NewIncarnationEndsTheOrder(t *testing.T) {
	o, now := newSwapOrderer(), testStart+4*time.Second
	engines := twoReplicas()
	engines[0].Incarnation = 2
	o.Observe(now, engines, nil)
	require.Equal(t, CodeEngineGone, o.Results()[0].Code)
	require.Equal(t, []Action{
		{Kind: ActReturnPermit, ID: "7-1"}, // the restarted engine no longer runs the load
		{Kind: ActEndDrain, ID: "7-1", Engine: engines[0], Models: []string{"m0"}},
	}, o.Next(now))
}

func TestOrderer_KeepsPermitOfRunningLoad(t *testing.T) {
	o, now := newSwapOrderer(), testStart+4*time.Second
	_, _ = o.Send(now, "7-1")
	o.Answered(now, "7-1", OutcomeDone)
	_, ok := o.Send(now, "7-1")
	require.True(t, ok)
	o.SetRight(now, nil)
	require.Empty(t, o.Next(now), "permit returned while the engine may still be loading")
	require.Equal(t, CodeRightLost, o.Results()[0].Code)
}

func TestOrderer_EngineDoesNotAnnounceModel(t *testing.T) {
	o, now := newSwapOrderer(), testStart+4*time.Second
	_, _ = o.Send(now, "7-1")
	o.Answered(now, "7-1", OutcomeDone)
	_, _ = o.Send(now, "7-1")
	o.Answered(now, "7-1", OutcomeDone)
	o.Observe(now+settleTimeout, []Engine{{Name: "e1", Incarnation: 1, Serves: []string{"m0"}}}, nil)
	require.Equal(t, CodeNotObeyed, o.Results()[0].Code)
}

// testFleet is a VM that loses its lease after a number of checks.
type testFleet struct{ checks int }

func (f *testFleet) Current(time.Duration) bool {
	f.checks--
	return f.checks >= 0
}
func (f *testFleet) Incarnation() int64         { return 1 }
func (f *testFleet) Snapshot() *config.Snapshot { return nil }

type testFabric struct {
	Fabric
	orders int
}

func (f *testFabric) Order(context.Context, string, wire.Order) Outcome {
	f.orders++
	return OutcomeDone
}

// TestRunner_ChecksLeaseBeforeSending makes the lease end before each of its two checks: when the order
// is made, and when it is sent.
func TestRunner_ChecksLeaseBeforeSending(t *testing.T) {
	for checks, want := range []int{0, 0, 1} {
		fabric := &testFabric{}
		now := testStart + 4*time.Second
		r := NewRunner(Options{Fleet: &testFleet{checks}, Fabric: fabric, Clock: func() time.Duration { return now }})
		r.orderer, r.rightIncarnation = newSwapOrderer(), 1
		r.tasks, r.ctx = &conc.WaitGroup{}, context.Background()
		r.send(Action{Kind: ActSend, ID: "7-1"})
		r.tasks.Wait()
		require.Equal(t, want, fabric.orders, "orders sent after %d passed lease checks", checks)
	}
}
