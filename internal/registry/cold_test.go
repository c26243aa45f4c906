package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func coldEntryOf(sequence int64, cold time.Duration) Upstream {
	u := upstreamEntry("a", 1, sequence, Ready)
	u.Cold, u.ColdStated = cold, 1
	return u
}

// TestRegistrar_ColdTimePassesWithoutNews guards against registrations that reach all entry VMs at each heartbeat only
// because the remaining time differs.
func TestRegistrar_ColdTimePassesWithoutNews(t *testing.T) {
	const heartbeat = 500 * time.Millisecond
	clock := &fakeClock{now: time.Minute}
	r := NewRegistrar(4*time.Second, clock.Now)
	sequence, news := int64(0), 0
	register := func(cold time.Duration) bool {
		sequence++
		changed := r.Register(coldEntryOf(sequence, cold))
		if changed {
			news++
		}
		return changed
	}
	end := clock.now + 3*time.Second
	for i := range 20 {
		delay := time.Duration(i%4) * 10 * time.Millisecond
		clock.now += delay
		register(max(end-clock.now+delay, 0)) // stated before the delay
		clock.now += heartbeat - delay
	}
	require.Equal(t, 1, news, "10 s of heartbeats, 3 of them cold")
	require.True(t, register(3*time.Second), "cold again")
	clock.now += heartbeat
	require.False(t, register(2500*time.Millisecond))
	clock.now += heartbeat
	require.True(t, register(3*time.Second), "extended")
	clock.now += heartbeat
	require.True(t, register(0), "ended early")
	clock.now += heartbeat
	require.False(t, register(0))
}

// TestRegistrar_ColdEntries: what entry VMs that ask later get, and what a process that doesn't say is sent as.
func TestRegistrar_ColdEntries(t *testing.T) {
	clock := &fakeClock{now: time.Minute}
	r := NewRegistrar(time.Hour, clock.Now)
	entry := func() Upstream {
		changes, _, _ := r.Since(0)
		require.Len(t, changes, 1)
		return changes[0]
	}
	require.True(t, r.Register(upstreamEntry("a", 1, 1, Ready)))
	require.Zero(t, entry().ColdStated, "it doesn't say")
	require.True(t, r.Register(coldEntryOf(2, 3*time.Second)))
	clock.now += time.Second
	require.Equal(t, 2*time.Second, entry().Cold, "less the time since then")
	require.Equal(t, time.Second, entry().ColdStated)
	require.False(t, r.Register(coldEntryOf(3, 2*time.Second)))
	require.Equal(t, time.Duration(1), entry().ColdStated)
	require.False(t, r.Register(coldEntryOf(2, 0)), "late")
	clock.now += 3 * time.Second
	require.Zero(t, entry().Cold)
	require.Positive(t, entry().ColdStated)

	_, version, _ := r.Since(0)
	r.AnnounceCold("elsewhere")
	require.False(t, r.Register(coldEntryOf(4, 0)))
	r.AnnounceCold("")
	require.False(t, r.Register(upstreamEntry("a", 1, 5, Ready)), "says nothing")
	require.True(t, r.Register(coldEntryOf(6, 0)), "entry VMs wait for it")
	require.False(t, r.Register(coldEntryOf(7, 0)))
	changes, _, _ := r.Since(version)
	require.Len(t, changes, 1)

	later := upstreamEntry("a", 2, 1, Ready)
	require.True(t, r.Register(later))
	require.Zero(t, entry().ColdStated, "another process")
}

// TestDirectory_ColdEntriesOutOfOrder: entries arrive late and out of order from several control VMs.
func TestDirectory_ColdEntriesOutOfOrder(t *testing.T) {
	d := NewDirectory(nil)
	var observed []Upstream
	d.Observe(func(accepted []Upstream) {
		observed = append(observed, accepted...)
		for _, u := range accepted {
			for _, known := range d.View().Services[u.Service] {
				require.NotEqual(t, u.Sequence, known.Sequence, "observed before it is used")
			}
		}
	})
	merge := func(source string, u Upstream) Upstream {
		d.Merge(source, []Upstream{u})
		return d.View().Services["s"][0]
	}
	first := merge("c1", coldEntryOf(2, 3*time.Second))
	require.WithinDuration(t, time.Now().Add(3*time.Second), first.ColdUntil, time.Second)
	require.False(t, first.FirstSeen.IsZero())
	require.Equal(t, first.ColdUntil, merge("c2", coldEntryOf(1, 0)).ColdUntil, "an earlier one")
	require.Equal(t, first.ColdUntil, merge("c2", coldEntryOf(2, time.Hour)).ColdUntil, "the same one")
	silent := merge("c1", upstreamEntry("a", 1, 3, Ready))
	require.Equal(t, first.ColdUntil, silent.ColdUntil, "doesn't say")
	ended := merge("c2", coldEntryOf(4, 0))
	require.Less(t, time.Until(ended.ColdUntil), time.Second)
	require.Equal(t, first.FirstSeen, ended.FirstSeen)
	next := upstreamEntry("a", 9, 1, Ready)
	next.Registered = time.Hour
	again := merge("c1", next)
	require.True(t, again.ColdStatedAt.IsZero(), "another process")
	require.Greater(t, time.Since(again.FirstSeen), time.Minute)
	require.Len(t, observed, 4)
}
