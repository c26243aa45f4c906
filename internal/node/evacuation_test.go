package node

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/catalog"
	"egretramp/internal/detour"
	"egretramp/internal/peer"
	"egretramp/internal/registry"
	"egretramp/internal/suspect"
)

// TestHub_SendsEvacuations checks which watch requests are answered with the zones that are out of service: those of entry
// VMs that know a lower version, together with the document for a VM that has just started.
func TestHub_SendsEvacuations(t *testing.T) {
	now := time.Hour
	h := newTestHub(func() time.Duration { return now })
	answer := func(role Role, known uint64) watchResponse {
		data, err := h.handleWatch(t.Context(), "vm", encode(watchRequest{From: vmInfo{VM: "vm", Role: role}, Evacuation: known, WaitMs: 1}))
		require.NoError(t, err)
		r, err := decode[watchResponse](data)
		require.NoError(t, err)
		return r
	}
	require.Nil(t, answer(Entry, 0).Evacuation)
	h.setState(catalog.State{Document: catalog.Document{Version: 7}, Evacuated: []string{"a", "b"}, EvacuationVersion: 3})
	first := answer(Entry, 0)
	require.Equal(t, &evacuation{Version: 3, Zones: []string{"a", "b"}}, first.Evacuation)
	require.NotNil(t, first.Document)
	require.NotNil(t, answer(Entry, 2).Evacuation)
	require.Nil(t, answer(Entry, 3).Evacuation)
	require.Nil(t, answer(Entry, 4).Evacuation, "the control VM lags behind")
	require.Nil(t, answer(Store, 0).Evacuation)
	h.setState(catalog.State{EvacuationVersion: 4})
	require.Equal(t, &evacuation{Version: 4}, answer(Entry, 3).Evacuation, "withdrawn")
	require.Equal(t, 0, h.evacuatedCount())
}

// TestEvacuations_HighestVersionHolds guards against a control VM that lags behind and brings an older order back, and
// against load that returns before the zone's upstreams are limited.
func TestEvacuations_HighestVersionHolds(t *testing.T) {
	e := newEvacuations()
	var restored []string
	hook := func(zone string) {
		require.True(t, e.contains(zone), "requests are sent to %s already", zone)
		restored = append(restored, zone)
	}
	apply := func(version uint64, zones ...string) ([]string, bool) {
		return e.apply(evacuation{Version: version, Zones: zones}, hook)
	}
	added, newer := apply(2, "a", "b")
	require.Equal(t, []string{"a", "b"}, added)
	require.True(t, newer)
	_, newer = apply(1)
	require.False(t, newer)
	_, newer = apply(2)
	require.False(t, newer)
	require.True(t, e.contains("a"))
	added, newer = apply(5, "b", "c")
	require.Equal(t, []string{"c"}, added)
	require.True(t, newer)
	require.Equal(t, []string{"a"}, restored)
	require.Equal(t, []bool{false, true, true, false}, []bool{e.contains("a"), e.contains("b"), e.contains("c"), e.contains("")})
	require.Equal(t, uint64(5), e.version())
	_, newer = e.apply(evacuation{Version: 6}, nil)
	require.True(t, newer, "without a hook")
	require.Zero(t, e.count())
}

// TestHub_VoterOfEarlierRelease guards against an order that a member of the control group ignores, so that its state
// differs from that of the others.
func TestHub_VoterOfEarlierRelease(t *testing.T) {
	clock := func() time.Duration { return time.Hour }
	voters := []string{"c", "c2"}
	h := newHub(1, vmInfo{VM: "c", Role: Control}, clock, registry.NewRegistrar(time.Second, clock), suspect.NewTracker(clock), func() []string { return voters })
	require.Empty(t, h.voterWithoutOrders(), "nothing is known of c2")
	h.recordWatch(vmInfo{VM: "e", Role: Entry}, 1)
	h.recordWatch(vmInfo{VM: "c3", Role: Control}, 1)
	require.Empty(t, h.voterWithoutOrders(), "neither is a voter")
	h.recordWatch(vmInfo{VM: "c2", Role: Control}, 1)
	require.Equal(t, "c2", h.voterWithoutOrders())
	h.recordWatch(vmInfo{VM: "c2", Role: Control, Evacuates: true}, 1)
	require.Empty(t, h.voterWithoutOrders())
}

// startSingleControl starts a control VM that is its fleet's only one, and waits until it leads.
func startSingleControl(t *testing.T, zones map[string]string) *control {
	peers := address(t)
	v := startControl(t, Settings{
		Name: "c", Role: Control, Zone: "a", Zones: zones, Peers: peers, Control: address(t), Seeds: []string{peers}, FirstStart: true,
		DataFolder: t.TempDir(), Heartbeat: time.Second,
	})
	c := v.node.role.(*control)
	require.Eventually(t, func() bool {
		_, err := c.Evacuated(t.Context())
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	return c
}

func requireZones(t *testing.T, c *control, zones ...string) {
	t.Helper()
	evacuated, err := c.Evacuated(t.Context())
	require.NoError(t, err)
	require.Equal(t, zones, evacuated)
}

// TestControl_LateOrderIsNotProposed guards against an order that waited in a frozen VM and undoes a later one: its client
// has given up and disconnected meanwhile.
func TestControl_LateOrderIsNotProposed(t *testing.T) {
	c := startSingleControl(t, map[string]string{"a": "r"})
	require.NoError(t, c.SetEvacuation(t.Context(), "a", true))
	requireZones(t, c, "a")
	gone, disconnect := context.WithCancel(t.Context())
	disconnect()
	// The time for the order is not over: only the check after the state was confirmed stops it.
	err := c.tryEvacuation(gone, t.Context(), &zoneOrder{zone: "a"})
	require.ErrorIs(t, err, errSenderGone)
	require.True(t, errors.Is(err, ErrUnavailable))
	require.Error(t, c.SetEvacuation(gone, "a", false))
	requireZones(t, c, "a")
	require.NoError(t, c.SetEvacuation(t.Context(), "a", false))
	requireZones(t, c)
}

// TestZoneOrder_IsSettled guards against an order that is never acknowledged because commits take longer than an operator
// waits: each repetition would wait for a command of its own. And against one that is acknowledged although an order
// that was given up before may still be applied: only a command since the order was received rules that out.
func TestZoneOrder_IsSettled(t *testing.T) {
	state := func(orders uint64, zones ...string) catalog.State {
		return catalog.State{EvacuationOrders: orders, Evacuated: zones}
	}
	o := zoneOrder{zone: "a", evacuated: true}
	require.False(t, o.isSettled(state(4, "a")), "as it was before")
	require.False(t, o.isSettled(state(4, "a")))
	require.True(t, o.isSettled(state(5, "a")), "the command of an earlier try")
	require.False(t, o.isSettled(state(6)), "another operator's order to the contrary")
	o = zoneOrder{zone: "a"}
	require.False(t, o.isSettled(state(7, "a")))
	require.True(t, o.isSettled(state(8, "b")))
}

// TestControl_RepeatedAfterAnUnknownOutcome guards against an order that waits for a command of its own although that of an
// earlier try has been applied meanwhile.
func TestControl_RepeatedAfterAnUnknownOutcome(t *testing.T) {
	c := startSingleControl(t, map[string]string{"a": "r"})
	order := zoneOrder{zone: "a", evacuated: true}
	state, err := c.confirmedState(t.Context())
	require.NoError(t, err)
	require.False(t, order.isSettled(state))
	require.NoError(t, c.SetEvacuation(t.Context(), "a", true), "the earlier try")
	require.NoError(t, c.tryEvacuation(t.Context(), t.Context(), &order))
	state, err = c.confirmedState(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(1), state.EvacuationOrders, "commands that were applied")
}

// TestControl_TwoOperators checks orders that are sent at the same time: all are acknowledged and hold.
func TestControl_TwoOperators(t *testing.T) {
	zones := map[string]string{"a": "r", "b": "r", "c": "r", "d": "r"}
	c := startSingleControl(t, zones)
	for _, evacuated := range []bool{true, false} {
		done := make(chan error)
		for zone := range zones {
			go func() { done <- c.SetEvacuation(t.Context(), zone, evacuated) }()
		}
		for range zones {
			require.NoError(t, <-done)
		}
		if evacuated {
			requireZones(t, c, "a", "b", "c", "d")
		}
	}
	requireZones(t, c)
}

// TestControl_UnknownZone checks which zones an order may name: those of the settings, or else those of known VMs and
// upstreams, and in any case those that are out of service.
func TestControl_UnknownZone(t *testing.T) {
	t.Run("zones in the settings", func(t *testing.T) {
		c := startSingleControl(t, map[string]string{"a": "r", "b": "r"})
		c.Register(registry.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Zone: "x", Sequence: 1})
		for _, zone := range []string{"x", "", "A"} {
			require.ErrorIs(t, c.SetEvacuation(t.Context(), zone, true), ErrUnknownZone, zone)
		}
		requireZones(t, c)
		require.NoError(t, c.SetEvacuation(t.Context(), "b", true))
	})
	t.Run("no zones in the settings", func(t *testing.T) {
		c := startSingleControl(t, nil)
		require.ErrorIs(t, c.SetEvacuation(t.Context(), "x", true), ErrUnavailable, "VMs may not be known yet")
		c.started -= memberTimeout
		err := c.SetEvacuation(t.Context(), "x", true)
		require.ErrorIs(t, err, ErrUnknownZone)
		require.NotErrorIs(t, err, ErrUnavailable)
		require.ErrorIs(t, c.SetEvacuation(t.Context(), "", true), ErrUnknownZone)
		c.Register(registry.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Zone: "x", Sequence: 1})
		c.hub.recordWatch(vmInfo{VM: "e", Role: Entry, Zone: "y"}, 1)
		for _, zone := range []string{"a", "x", "y"} {
			require.NoError(t, c.SetEvacuation(t.Context(), zone, true), zone)
		}
		requireZones(t, c, "a", "x", "y")
		require.NoError(t, c.checkOrder("z", catalog.State{Evacuated: []string{"z"}}), "nothing is left of the zone")
	})
}

// TestDetours_EvacuatedZone guards against requests of another VM that reach an upstream of a zone that is out of service
// through a tunnel that this VM opens, or has just opened, and against surveys of the paths that only such upstreams
// answer.
func TestDetours_EvacuatedZone(t *testing.T) {
	f := newServedDetours(t)
	conn, err := f.detours.serve(t.Context(), "vm", "10.0.0.1:1")
	require.NoError(t, err)
	tunnel := conn.(*countedTunnel)
	require.False(t, tunnel.Draining())
	f.evacuated = []string{"a"}
	require.True(t, tunnel.Draining())
	require.Equal(t, detour.CodeEvacuated, f.code("10.0.0.1:1"))
	_, err = f.detours.serve(t.Context(), "vm", "10.0.0.2:1")
	require.NoError(t, err, "another zone")
	require.Equal(t, []string{"10.0.0.2:1"}, f.detours.addresses())
	f.evacuated = []string{"a", "b"}
	require.Len(t, f.detours.addresses(), 2, "the paths can be surveyed all the same")
	require.Equal(t, []string{"10.0.0.1:1"}, f.detours.directory.AddressesIn([]string{"a"}))
	require.Empty(t, f.detours.directory.AddressesIn(nil))
	f.evacuated = nil
	_, err = f.detours.serve(t.Context(), "vm", "10.0.0.1:1")
	require.NoError(t, err)
}

// servedDetours are an entry VM's tunnels to an upstream in zone a and one in zone b.
type servedDetours struct {
	t         *testing.T
	detours   *detours
	evacuated []string
}

func dialPipe(context.Context, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

// code returns the code of the error with which a tunnel is refused.
func (f *servedDetours) code(address string) string {
	_, err := f.detours.serve(f.t.Context(), "vm", address)
	var remote *peer.RemoteError
	require.ErrorAs(f.t, err, &remote)
	return remote.Code
}

func newServedDetours(t *testing.T) *servedDetours {
	f := &servedDetours{t: t}
	directory := registry.NewDirectory(nil)
	directory.Merge("c", []registry.Upstream{
		{ID: "u", Service: "s", Address: "10.0.0.1:1", Zone: "a", Born: 1, Sequence: 1},
		{ID: "v", Service: "s", Address: "10.0.0.2:1", Zone: "b", Born: 1, Sequence: 1},
	})
	f.detours = &detours{directory: directory, direct: dialPipe, evacuated: func(zone string) bool { return slices.Contains(f.evacuated, zone) }}
	f.detours.dialer = detour.New(detour.Options{Direct: dialPipe})
	return f
}

// TestControl_OrderIsKnownAfterPowerLoss guards against a control VM that starts again alone and hands out the document
// without the order that came after it, because it doesn't know yet that the order is committed.
func TestControl_OrderIsKnownAfterPowerLoss(t *testing.T) {
	seeds := []string{address(t), address(t), address(t)}
	var settings []Settings
	var vms []*controlVM
	for _, seed := range seeds {
		s := Settings{
			Name: seed, Role: Control, Zone: "a", Zones: map[string]string{"a": "r"}, Peers: seed, Control: address(t), Seeds: seeds,
			FirstStart: true, DataFolder: t.TempDir(), LostDisks: 1, Heartbeat: time.Second,
		}
		settings = append(settings, s)
		vms = append(vms, startControl(t, s))
	}
	first := vms[0].node.role.(*control)
	require.Eventually(t, func() bool {
		_, err := first.PutDocument(t.Context(), catalog.Document{Version: 7, Data: []byte("x")})
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { return first.SetEvacuation(t.Context(), "a", true) == nil }, 10*time.Second, 20*time.Millisecond)
	for _, v := range vms {
		require.Eventually(t, func() bool { return v.node.role.(*control).hub.evacuatedCount() == 1 }, 5*time.Second, 5*time.Millisecond)
	}
	time.Sleep(time.Second) // the order is in force
	for _, v := range vms {
		v.end()
	}
	for _, s := range settings {
		s.FirstStart = false
		v := startControl(t, s)
		h := v.node.role.(*control).hub
		data, err := h.handleWatch(t.Context(), "vm", encode(watchRequest{From: vmInfo{VM: "vm", Role: Entry}, WaitMs: 200}))
		require.NoError(t, err)
		r, err := decode[watchResponse](data)
		require.NoError(t, err)
		require.True(t, r.Document == nil || r.Evacuation != nil, "the document without the order")
		require.Eventually(t, func() bool { return h.evacuatedCount() == 1 }, time.Second, 5*time.Millisecond, "alone, without a leader")
		v.end()
	}
}

// TestHub_RestoredZoneAnnouncesCold guards against upstreams that stay limited for the whole cold time after their zone
// returned to service, although they register as not cold: such a registration is no news otherwise.
func TestHub_RestoredZoneAnnouncesCold(t *testing.T) {
	now := time.Hour
	clock := func() time.Duration { return now }
	registrar := registry.NewRegistrar(time.Minute, clock)
	h := newHub(1, vmInfo{VM: "c", Role: Control}, clock, registrar, suspect.NewTracker(clock), func() []string { return nil })
	register := func(id, zone string, sequence int64) bool {
		return registrar.Register(registry.Upstream{
			ID: id, Service: "s", Address: "10.0.0.1:" + id, Zone: zone, Slots: 6, Born: 1, Sequence: sequence, ColdStated: 1,
		})
	}
	require.True(t, register("1", "a", 1))
	require.True(t, register("2", "b", 1))
	h.setState(catalog.State{Evacuated: []string{"a", "b"}, EvacuationVersion: 2})
	require.False(t, register("1", "a", 2))
	h.setState(catalog.State{Evacuated: []string{"b"}, EvacuationVersion: 3})
	require.True(t, register("1", "a", 3))
	require.False(t, register("1", "a", 4), "entry VMs know it by now")
	require.False(t, register("2", "b", 2), "the zone is out of service")
}
