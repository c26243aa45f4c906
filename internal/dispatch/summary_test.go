package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/message"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

func TestHost_SendsChangedPoolsToOtherZones(t *testing.T) {
	h := newHostTest(t)
	m := poolOf("m")
	pools := func(load schedule.Load) Summary { return Summary{Pools: []PoolSummary{{Pool: m, Load: load}}} }
	load := schedule.Load{Replicas: 2, WaitMS: 100, PrefillNS: 1000}
	changed := func(change func(*schedule.Load)) schedule.Load {
		l := load
		change(&l)
		return l
	}
	require.Equal(t, pools(load), h.changedPools(0, pools(load)), "a pool that was never sent")
	for name, same := range map[string]schedule.Load{
		"unchanged":         load,
		"call counts":       changed(func(l *schedule.Load) { l.Running, l.Waiting = 9, 9 }),
		"small wait change": changed(func(l *schedule.Load) { l.WaitMS += 25 }),
		"small cost change": changed(func(l *schedule.Load) { l.PrefillNS -= 250 }),
	} {
		require.Empty(t, h.changedPools(time.Second, pools(same)), name)
	}
	for name, news := range map[string]schedule.Load{
		"longer wait":  changed(func(l *schedule.Load) { l.WaitMS += 26 }),
		"shorter wait": changed(func(l *schedule.Load) { l.WaitMS = 0 }),
		"cost":         changed(func(l *schedule.Load) { l.PrefillNS = 0 }),
	} {
		require.Equal(t, pools(news), h.changedPools(time.Second, pools(news)), name)
		h.sentLoads[m] = sentLoad{load: load}
	}
	require.Equal(t, pools(load), h.changedPools(RemoteSummaryInterval, pools(load)), "sent again unchanged")
	require.Equal(t, pools(schedule.Load{}), h.changedPools(RemoteSummaryInterval, Summary{}), "its last upstream was removed")
	require.Empty(t, h.changedPools(RemoteSummaryInterval, Summary{}).Pools, "a removed pool is sent once")
}

// zones is a Locator of the zones with live VMs.
type zones []string

// Dispatchers implements Locator.
func (z zones) Dispatchers(p upstream.Pool) []string {
	for _, zone := range z {
		if zone == p.Zone {
			return []string{"vm-" + zone}
		}
	}
	return nil
}

// Zones implements Locator.
func (z zones) Zones() []string { return z }

func TestClient_SummaryExpiry(t *testing.T) {
	var now time.Duration
	c := NewClient(ClientOptions{Zone: "z0", Locator: zones{"z0", "z1"}, Clock: func() time.Duration { return now }})
	deliver := func(from, zone string, replicas int) {
		c.HandleSummary("relay", message.Encode(Summary{From: from, Pools: []PoolSummary{
			{Pool: upstream.Pool{Zone: zone, Name: "m"}, Load: schedule.Load{Replicas: replicas}},
		}}))
	}
	known := func() (list []string) {
		for _, p := range c.rankPools("", "m", "", &schedule.Request{}) {
			list = append(list, p.Zone)
		}
		return list
	}
	deliver("vm0", "z0", 1)
	deliver("vm1", "z1", 1)
	deliver("vm2", "z2", 1)
	require.Equal(t, []string{"z0", "z1"}, known(), "z2 has no live VM")
	deliver("vm9", "z1", 0)
	require.Equal(t, []string{"z0", "z1"}, known(), "an empty load from another VM than the pool's dispatcher is ignored")
	now = SummaryAge + 1
	require.Equal(t, []string{"z1"}, known())
	now = RemoteSummaryAge
	deliver("vm1", "z1", 1)
	now += RemoteSummaryAge
	require.Equal(t, []string{"z1"}, known())
	deliver("vm1", "z1", 0)
	require.Empty(t, known(), "the dispatcher reported that it has no upstream")
	deliver("vm1", "z1", 1)
	now += RemoteSummaryAge + 1
	require.Empty(t, known(), "the summary has expired")
}

func TestClient_LateSummaryDoesNotReplaceNewerOne(t *testing.T) {
	var now time.Duration
	c := NewClient(ClientOptions{Zone: "z0", Locator: zones{"z0", "z1"}, Clock: func() time.Duration { return now }})
	deliver := func(from string, sentAt time.Duration, replicas int) {
		c.HandleSummary("relay", message.Encode(Summary{From: from, SentAt: sentAt, Pools: []PoolSummary{
			{Pool: upstream.Pool{Zone: "z1", Name: "m"}, Load: schedule.Load{Replicas: replicas}},
		}}))
	}
	known := func() int { return c.Pools()[0].Load.Replicas }
	deliver("vm1", 20*time.Second, 2)
	deliver("vm1", 19*time.Second, 3)
	require.Equal(t, 2, known(), "a summary that was delayed by its relay is ignored")
	deliver("vm1", 19*time.Second, 0)
	require.Equal(t, 2, known())
	deliver("vm2", 1*time.Second, 4)
	require.Equal(t, 4, known(), "clocks of two VMs are not compared")
	now += RemoteSummaryAge + 1
	deliver("vm2", time.Millisecond, 5)
	require.Equal(t, 5, known(), "an expired summary is replaced by one with an earlier time: its VM has restarted")
}

// zoneNet is a Locator of three zones and delivers summaries between their VMs.
type zoneNet struct {
	vms       map[string][]string
	zoneOf    map[string]string
	received  map[string]int // summaries by VM
	crossZone int            // messages sent to other zones
	lost      map[string]bool
	message   Summary
}

func newZoneNet() *zoneNet {
	n := &zoneNet{vms: map[string][]string{}, zoneOf: map[string]string{}, received: map[string]int{}, lost: map[string]bool{}}
	for _, zone := range []string{"z1", "z2", "z3"} {
		for _, vm := range []string{"a", "b", "c"} {
			n.vms[zone] = append(n.vms[zone], zone+vm)
			n.zoneOf[zone+vm] = zone
		}
	}
	return n
}

// zoneNetVM is the Network of one VM in a zoneNet.
type zoneNetVM struct {
	*zoneNet
	vm string
}

// Dispatchers implements Locator.
func (n *zoneNet) Dispatchers(p upstream.Pool) []string { return n.vms[p.Zone] }

// Zones implements Locator.
func (n *zoneNet) Zones() []string { return []string{"z1", "z2", "z3"} }

// Call implements Network.
func (n *zoneNet) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }

// Send implements Network.
func (v zoneNetVM) Send(vm, kind string, payload []byte) {
	if v.lost[vm] || v.lost[v.vm] {
		return
	}
	if v.zoneOf[v.vm] != v.zoneOf[vm] {
		v.crossZone++
	}
	switch kind {
	case KindSummary:
		v.received[vm]++
		_ = v.message.UnmarshalJSON(payload)
	case KindRelaySummary:
		v.host(vm).HandleRelaySummary(v.vm, payload)
	}
}

func (n *zoneNet) host(vm string) *Host {
	return NewHost(HostOptions{
		VM: vm, Zone: n.zoneOf[vm], Network: zoneNetVM{n, vm}, Locator: n, Events: events.FromZap(zap.NewNop()),
		Clock: func() time.Duration { return time.Minute },
	})
}

func TestHost_OneVMOfEachZoneRelaysSummaries(t *testing.T) {
	n := newZoneNet()
	h := n.host("z1a")
	h.handleAnnouncement(announcement("e1", 1, 3, "m1"))
	n.lost["z2b"] = true
	for range 3 {
		h.sentLoads = map[upstream.Pool]sentLoad{}
		h.sendSummary(0)
	}
	require.Equal(t, h.summarise(), n.message, "the encoding keeps every field")
	require.Equal(t, 5, n.crossZone, "one message per other zone and summary, one of six lost")
	for _, vm := range n.vms["z3"] {
		require.Equal(t, 3, n.received[vm], vm)
	}
	require.Equal(t, 2, n.received["z2a"], "the next summary is relayed by another VM")
	require.Equal(t, 2, n.received["z2c"])
	require.Equal(t, 3, n.received["z1b"], "the dispatcher sends to its own zone itself")
}
