package sharedload

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// exchange sends a VM's report to a coordinator and applies the answer.
func exchange(c *Coordinator, now time.Duration, vm string, h *Holder, processes []string, samples ...Sample) {
	g := c.Grant(now, vm, *h.Report(now, samples, processes, nil))
	h.Apply(now, &g)
}

func TestShared_VMsSeeTheLoadOfOthersOnly(t *testing.T) {
	c, a, b := NewCoordinator(0, 1), NewHolder(1, "north"), NewHolder(2, "south")
	names := []string{"u@1", "v@1"}
	now := time.Hour
	for range 3 {
		now += 200 * time.Millisecond
		exchange(c, now, "a", a, names, Sample{Process: "u@1", Inflight: 2, Slowdown: 1, Samples: 10, Attempts: 4})
		exchange(c, now, "b", b, names, Sample{Process: "u@1", Inflight: 3, Slowdown: 2, Samples: 30, Attempts: 6, Failed: 5})
	}
	u, ok := b.Upstream(now, "u@1")
	require.True(t, ok)
	require.Equal(t, 2, u.Others)
	require.InDelta(t, 1.75, u.Slowdown, 0.05, "weighted by samples")
	require.InDelta(t, 5.0/14, u.FailureShare, 0.01)
	require.LessOrEqual(t, u.Age, 100*time.Millisecond)
	require.Equal(t, []Origin{{"north", 4}, {"south", 6}}, b.Origins(now))
	idle, ok := b.Upstream(now, "v@1")
	require.True(t, ok)
	require.Equal(t, Upstream{Age: u.Age}, idle)
	_, ok = b.Upstream(now, "w@1")
	require.False(t, ok, "the coordinator doesn't know it")
}

// TestShared_SilentVMsAndOldViews guards against load that no longer exists: of VMs that died, and of a lost coordinator.
func TestShared_SilentVMsAndOldViews(t *testing.T) {
	c, a, b := NewCoordinator(0, 1), NewHolder(1, "z"), NewHolder(2, "z")
	names := []string{"u@1"}
	now := time.Hour
	for range 2 {
		now += 200 * time.Millisecond
		exchange(c, now, "a", a, names, Sample{Process: "u@1", Inflight: 5})
		exchange(c, now, "b", b, names, Sample{Process: "u@1", Inflight: 1})
	}
	u, _ := b.Upstream(now, "u@1")
	require.Equal(t, 5, u.Others)
	last := now
	for now-last <= MaxAge+sweepInterval {
		now += 200 * time.Millisecond
		exchange(c, now, "b", b, names, Sample{Process: "u@1", Inflight: 1})
	}
	u, ok := b.Upstream(now, "u@1")
	require.True(t, ok)
	require.Zero(t, u.Others, "VM a has been silent for 600 ms")
	_, ok = a.Upstream(now, "u@1")
	require.False(t, ok, "its view is old")
	_, ok = b.Upstream(now+MaxAge+time.Millisecond, "u@1")
	require.False(t, ok)
	require.Nil(t, b.Origins(now+MaxAge+time.Millisecond))
}

// TestShared_NewCoordinator: numbers of the previous coordinator mean other upstreams at the new one.
func TestShared_NewCoordinator(t *testing.T) {
	first, second, a, b := NewCoordinator(0, 1), NewCoordinator(0, 2), NewHolder(1, "z"), NewHolder(2, "z")
	now := time.Hour
	for range 2 {
		now += 200 * time.Millisecond
		exchange(first, now, "a", a, []string{"u@1", "v@1"}, Sample{Process: "u@1", Inflight: 5})
		exchange(first, now, "b", b, []string{"u@1", "v@1"})
	}
	now += 200 * time.Millisecond
	exchange(second, now, "b", b, []string{"v@1", "u@1"}, Sample{Process: "v@1", Inflight: 1})
	exchange(second, now, "a", a, []string{"u@1", "v@1"}, Sample{Process: "u@1", Inflight: 5})
	_, ok := a.Upstream(now, "u@1")
	require.False(t, ok, "the new coordinator hasn't given it a number")
	for range 2 {
		now += 200 * time.Millisecond
		exchange(second, now, "a", a, []string{"u@1", "v@1"}, Sample{Process: "u@1", Inflight: 5})
		exchange(second, now, "b", b, []string{"v@1", "u@1"}, Sample{Process: "v@1", Inflight: 1})
	}
	u, ok := b.Upstream(now, "u@1")
	require.True(t, ok)
	require.Equal(t, 5, u.Others)
}

// TestShared_NewCoordinatorGivesNoPartialViews guards against VMs that all send to upstreams which seem idle because those that
// fill them have not yet reported to the new coordinator.
func TestShared_NewCoordinatorGivesNoPartialViews(t *testing.T) {
	now := time.Hour
	names := []string{"u@1"}
	holders := make([]*Holder, 8)
	for i := range holders {
		holders[i] = NewHolder(1, "z")
	}
	round := func(c *Coordinator) (known int) {
		for i, h := range holders {
			exchange(c, now, fmt.Sprint("vm ", i), h, names, Sample{Process: "u@1", Inflight: 2})
			if u, ok := h.Upstream(now, "u@1"); ok {
				known++
				require.Equal(t, 14, u.Others, "VM %d, %v after the start", i, now-time.Hour)
			}
		}
		now += 200 * time.Millisecond
		return known
	}
	for epoch := range uint64(2) {
		c := NewCoordinator(now, 1+epoch)
		started := now
		for now-started < 600*time.Millisecond {
			require.Zero(t, round(c))
		}
		require.Equal(t, 8, round(c))
	}
}

// TestCoordinator_InvalidReports: reports that can't be true change nothing, and the sums stay right.
func TestCoordinator_InvalidReports(t *testing.T) {
	c := NewCoordinator(0, 1)
	now := time.Hour
	number := c.Grant(now, "a", Request{Sequence: 1, Epoch: 1, Ask: []string{"u@1"}}).Numbers["u@1"]
	c.Grant(now, "a", Request{Sequence: 3, Epoch: 1, Rows: []uint32{number, 2, 64, 1, 1, 0}})
	others := func() uint32 {
		now += viewInterval
		g := c.Grant(now, "b", Request{Sequence: uint64(now), Epoch: 1})
		require.NotNil(t, g.View)
		return g.View.Rows[1]
	}
	require.EqualValues(t, 2, others())
	for i, r := range []Request{
		{Sequence: 3, Epoch: 1, Rows: []uint32{number, 9, 64, 1, 1, 0}},
		{Sequence: 2, Epoch: 1, Rows: []uint32{number, 9, 64, 1, 1, 0}},
		{Sequence: 4, Epoch: 1, Rows: []uint32{number, 9}},
	} {
		c.Grant(now, "a", r)
		require.Equal(t, i+1, c.Rejected())
		require.EqualValues(t, 2, others(), "%+v", r)
	}
	c.Grant(now, "a", Request{Sequence: 5, Epoch: 1, Rows: []uint32{
		number, 3, 64, 1, 1, 0, number, 4, 64, 1, 1, 0, number + 7, 5, 64, 1, 1, 0,
	}})
	require.Equal(t, 5, c.Rejected(), "a repeated row and an unknown upstream")
	require.EqualValues(t, 3, others())
	c.Grant(now, "a", Request{Sequence: 6, Epoch: 1, Rows: []uint32{number, 1 << 31, 64, 1, 1, 0}})
	require.Equal(t, 6, c.Rejected())
	c.Grant(now, "a", Request{Sequence: 7, Epoch: 1, Ask: []string{""}, Rows: []uint32{number, 1, 64, 1, 1, 0}})
	require.Equal(t, 7, c.Rejected())
	require.EqualValues(t, 1, others())
}

// TestHolder_InvalidViews: views that can't be true are not used. A negative number of attempts made each placement panic.
func TestHolder_InvalidViews(t *testing.T) {
	h := NewHolder(1, "z")
	h.Apply(time.Hour, nil)
	h.Apply(time.Hour, &Grant{Epoch: 1, Numbers: map[string]uint32{"u@1": 0}, View: &View{Rows: []uint32{0, 4}}})
	h.Apply(time.Hour, &Grant{Epoch: 1, View: &View{AgeMs: -5}})
	h.Apply(time.Hour, &Grant{Epoch: 1, View: &View{AgeMs: 1 << 60}})
	h.Apply(time.Hour, &Grant{Epoch: 1, View: &View{Origins: []Origin{{"z", 5}, {"y", -100}}}})
	h.Apply(time.Hour, &Grant{Epoch: 1, View: &View{Origins: make([]Origin, maxZones+1)}})
	h.Apply(time.Hour, &Grant{Epoch: 1, View: &View{OverShare: make([]string, maxOverShare+1)}})
	require.Equal(t, 6, h.Rejected())
	_, ok := h.Upstream(time.Hour, "u@1")
	require.False(t, ok)
	h.Apply(time.Hour, &Grant{Epoch: 1, View: &View{Rows: []uint32{0, 4, 64, 0, 3}}})
	h.Apply(time.Hour-time.Second, &Grant{Epoch: 1, View: &View{Rows: []uint32{0, 9, 64, 0, 3}}})
	u, ok := h.Upstream(time.Hour, "u@1")
	require.True(t, ok)
	require.Equal(t, Upstream{Others: 4, Slowdown: 1, FailureShare: 3.0 / 7}, u, "the older view came later")
}

// TestHolder_ReportsSoonAmongManyUpstreams guards against load that is not reported for seconds after a change of the coordinator,
// because a VM first asks for the numbers of thousands of upstreams that it doesn't use.
func TestHolder_ReportsSoonAmongManyUpstreams(t *testing.T) {
	h := NewHolder(1, "z")
	var names []string
	for i := range 3600 {
		names = append(names, fmt.Sprint("u", i, "@1"))
	}
	samples := []Sample{{Process: "u3599@1", Inflight: 2}, {Process: "of a service that shares no load@1", Inflight: 1}}
	for epoch := range uint64(2) {
		now := time.Hour + time.Duration(epoch)*time.Minute
		c := NewCoordinator(now, epoch+1)
		exchange(c, now, "a", h, names, samples...)
		r := h.Report(now+200*time.Millisecond, samples, names, nil)
		require.Len(t, r.Ask, maxAsk)
		if epoch > 0 { // the first answer has made the numbers of the previous coordinator invalid
			g := c.Grant(now+200*time.Millisecond, "a", *r)
			h.Apply(now+200*time.Millisecond, &g)
			r = h.Report(now+400*time.Millisecond, samples, names, nil)
		}
		require.Len(t, r.Rows, reportFields)
	}
}

// TestCoordinator_AgeAfterALongTime guards against ages that overflow: 400 VMs report to a control VM that has run for a year.
func TestCoordinator_AgeAfterALongTime(t *testing.T) {
	c := NewCoordinator(0, 1)
	now := 365 * 24 * time.Hour
	for i := range 400 {
		c.Grant(now, fmt.Sprint("vm ", i), Request{Sequence: 1, Epoch: 1})
	}
	now += 200 * time.Millisecond
	g := c.Grant(now, "vm 0", Request{Sequence: 2, Epoch: 1})
	require.NotNil(t, g.View)
	require.EqualValues(t, 199, g.View.AgeMs)
}

// TestCoordinator_SizeOfViews: 77 VMs use 61 upstreams. A view is at most a few hundred bytes, and a VM gets one at most
// every 100 ms, however often it reports.
func TestCoordinator_SizeOfViews(t *testing.T) {
	c := NewCoordinator(0, 1)
	var names []string
	for i := range 61 {
		names = append(names, fmt.Sprintf("upstream-%d@1700000000000", i))
	}
	holders := make([]*Holder, 77)
	views, largest := 0, 0
	now := time.Hour
	for round := range 40 {
		now += 25 * time.Millisecond
		for i := range holders {
			if holders[i] == nil {
				holders[i] = NewHolder(1, "z")
			}
			var samples []Sample
			for j := range 4 {
				samples = append(samples, Sample{Process: names[(i+j*17)%61], Inflight: 1, Slowdown: 2.4, Samples: 6, Attempts: 2})
			}
			g := c.Grant(now, fmt.Sprint("vm ", i), *holders[i].Report(now, samples, names, nil))
			holders[i].Apply(now, &g)
			if round > 10 && g.View != nil {
				data, err := cbor.Marshal(g)
				require.NoError(t, err)
				views, largest = views+1, max(largest, len(data))
			}
		}
	}
	require.Less(t, largest, 500)
	require.LessOrEqual(t, views, 8*77)
	require.Zero(t, c.Rejected())
}

// TestShared_AccountsAboveTheirShare: each VM has few programs of each account; only the sum shows which one has too many.
func TestShared_AccountsAboveTheirShare(t *testing.T) {
	c := NewCoordinator(0, 1)
	now := time.Hour
	holders := make([]*Holder, 30)
	for range 3 {
		now += 200 * time.Millisecond
		for i := range holders {
			if holders[i] == nil {
				holders[i] = NewHolder(1, "z")
			}
			accounts := []Account{{Name: "busy", Active: 2}, {Name: fmt.Sprint("other ", i%3), Active: i % 2, Refused: i % 2}}
			g := c.Grant(now, fmt.Sprint("vm ", i), *holders[i].Report(now, nil, nil, accounts))
			holders[i].Apply(now, &g)
		}
	}
	require.True(t, holders[29].OverShare(now, "busy"))
	require.False(t, holders[29].OverShare(now, "other 1"))
	require.False(t, holders[29].OverShare(now+2*MaxAge, "busy"), "the view is old")
	c.Grant(now, "vm", Request{Sequence: 1, Accounts: []Account{{Name: "a", Active: -1}, {Name: "b"}, {Name: "b"}, {Name: "c", Refused: 1 << 40}}})
	require.Equal(t, 3, c.Rejected())
}

func TestNeeded_OnlyWhereVMsSeeLittle(t *testing.T) {
	slots := make([]int, 45)
	for i := range slots {
		slots[i] = 6
	}
	require.True(t, Needed(slots, 77))
	require.False(t, Needed(slots, 7), "each VM has 38 slots")
	require.False(t, Needed(slots[:2], 7), "few VMs, however few slots there are")
	require.True(t, Needed(slots[:2], 8))
	require.False(t, Needed(slots, 45))
	require.True(t, Needed(slots, 46))
	require.False(t, Needed(nil, 77))
}
