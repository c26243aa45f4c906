package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// suspended returns a tracker with one strike and MaxCrashes - 1 unconfirmed ones.
func suspended(c *trackerClock) *Tracker {
	t := c.tracker()
	t.Lost(fp1, crash(0), "s")
	for n := 1; n < MaxCrashes; n++ {
		t.Silent(fp1, crash(n), "s")
	}
	return t
}

func TestTracker_UnconfirmedStrikesExpire(t *testing.T) {
	clock := &trackerClock{now: time.Hour}
	a := suspended(clock)
	clock.now += UnconfirmedRetention / 3
	retryAfter, rejected := a.Rejection(fp1)
	require.True(t, rejected)
	require.Equal(t, UnconfirmedRetention*2/3, retryAfter)

	clock.now += retryAfter
	require.False(t, a.Rejects(fp1))
	a.Lost(fp1, crash(7), "s")
	require.False(t, a.Rejects(fp1), "two crashes and expired strikes")
	a.Sweep()
	require.Empty(t, a.unconfirmed)
	require.Empty(t, a.subjects)
}

func TestTracker_UnconfirmedStrikeIsConfirmed(t *testing.T) {
	clock := &trackerClock{now: time.Hour}
	a := suspended(clock)
	for n := range MaxCrashes {
		a.Lost(fp1, crash(n), "s")
	}
	clock.now += UnconfirmedRetention
	retryAfter, rejected := a.Rejection(fp1)
	require.True(t, rejected)
	require.Equal(t, StrikeRetention, retryAfter)
	_, counted := a.Silent(fp1, crash(0), "s")
	require.False(t, counted, "the process already has a strike")
}

func TestTracker_UnconfirmedStrikesSpread(t *testing.T) {
	clock := &trackerClock{now: time.Hour}
	a, b, c := clock.tracker(), clock.tracker(), clock.tracker()
	a.Silent(fp1, crash(0), "s")
	b.Silent(fp1, crash(1), "s")
	b.Silent(fp1, Strike{Run: "another", Upstream: crash(0).Upstream}, "s")
	c.Silent(fp1, crash(2), "s")
	for _, from := range []*Tracker{a, b} {
		records, _, _ := from.Since(0)
		require.Len(t, c.Merge(records), 1)
		require.Empty(t, c.Merge(records), "nothing new")
	}
	require.True(t, c.Rejects(fp1))
	spread, _, _ := c.Since(0)
	clock.now += UnconfirmedRetention - 1
	a.Merge(spread)
	require.True(t, a.Rejects(fp1))

	require.True(t, c.Succeeded(fp1), "a run that was in progress")
	cleared, _, _ := c.OwnSince(0)
	a.Merge(cleared)
	a.Merge(spread)
	require.False(t, a.Rejects(fp1), "unconfirmed strikes that were cleared don't come back")
	_, counted := c.Silent(fp1, crash(3), "s")
	require.False(t, counted, "the request has just succeeded")
}

func TestTracker_UnconfirmedMemoryIsBounded(t *testing.T) {
	clock := &trackerClock{now: time.Hour}
	a := clock.tracker()
	for n := range 2 * maxTracked {
		f := Fingerprint(fmt.Sprint("f", n))
		for i := range 2 * MaxCrashes {
			a.Silent(f, crash(i), "s")
		}
		require.LessOrEqual(t, len(a.unconfirmed[f]), MaxCrashes)
	}
	require.Len(t, a.unconfirmed, maxTracked)
	clock.now += UnconfirmedRetention
	a.Sweep()
	require.True(t, a.Empty())
	require.Empty(t, a.subjects)
}
