package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

func TestHost_TellsOtherZonesOfNews(t *testing.T) {
	h := newHostTest(t)
	m := poolOf("m")
	pools := func(load schedule.Load) Summary { return Summary{Pools: []PoolSummary{{Pool: m, Load: load}}} }
	load := schedule.Load{Replicas: 2, WaitMS: 100, PrefillNS: 1000}
	changed := func(change func(*schedule.Load)) schedule.Load {
		l := load
		change(&l)
		return l
	}
	require.Equal(t, pools(load), h.news(0, pools(load)), "a pool that was never told of")
	for name, same := range map[string]schedule.Load{
		"unchanged":     load,
		"calls":         changed(func(l *schedule.Load) { l.Running, l.Waiting = 9, 9 }),
		"a little wait": changed(func(l *schedule.Load) { l.WaitMS += 25 }),
		"a little cost": changed(func(l *schedule.Load) { l.PrefillNS -= 250 }),
	} {
		require.Empty(t, h.news(time.Second, pools(same)), name)
	}
	for name, news := range map[string]schedule.Load{
		"longer wait":  changed(func(l *schedule.Load) { l.WaitMS += 26 }),
		"shorter wait": changed(func(l *schedule.Load) { l.WaitMS = 0 }),
		"cost":         changed(func(l *schedule.Load) { l.PrefillNS = 0 }),
	} {
		require.Equal(t, pools(news), h.news(time.Second, pools(news)), name)
		h.told[m] = told{load: load}
	}
	require.Equal(t, pools(load), h.news(RemoteSummaryInterval, pools(load)), "told of again")
	require.Equal(t, pools(schedule.Load{}), h.news(RemoteSummaryInterval, Summary{}), "its last upstream is gone")
	require.Empty(t, h.news(RemoteSummaryInterval, Summary{}).Pools, "once")
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

// VMs implements Locator.
func (z zones) VMs() []string { return nil }

func TestClient_BelievesSummaries(t *testing.T) {
	var now time.Duration
	c := NewClient(ClientOptions{Zone: "z0", Locator: zones{"z0", "z1"}, Clock: func() time.Duration { return now }})
	hear := func(from, zone string, replicas int) {
		c.HandleSummary(from, mustMarshal(Summary{Pools: []PoolSummary{
			{Pool: upstream.Pool{Zone: zone, Name: "m"}, Load: schedule.Load{Replicas: replicas}},
		}}))
	}
	known := func() (list []string) {
		for _, p := range c.order("", "m", "", &schedule.Request{}) {
			list = append(list, p.Zone)
		}
		return list
	}
	hear("vm0", "z0", 1)
	hear("vm1", "z1", 1)
	hear("vm2", "z2", 1)
	require.Equal(t, []string{"z0", "z1"}, known(), "z2 has no live VM")
	hear("vm9", "z1", 0)
	require.Equal(t, []string{"z0", "z1"}, known(), "another VM than the pool's dispatcher has none of it")
	now = SummaryAge + 1
	require.Equal(t, []string{"z1"}, known())
	now = RemoteSummaryAge
	hear("vm1", "z1", 1)
	now += RemoteSummaryAge
	require.Equal(t, []string{"z1"}, known())
	hear("vm1", "z1", 0)
	require.Empty(t, known(), "its dispatcher lost the last upstream")
	hear("vm1", "z1", 1)
	now += RemoteSummaryAge + 1
	require.Empty(t, known(), "silent for too long")
}
