package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/schedule"
)

func newHealthTest(n int) *health {
	h := newHealth()
	for i := range n {
		h.recordAnnouncement(0, fmt.Sprint("u", i), 1)
	}
	return h
}

func success(took time.Duration) schedule.Outcome { return schedule.Outcome{Took: took} }

var failure = schedule.Outcome{Failed: true}

func TestHealth_EjectsFailingUpstream(t *testing.T) {
	h := newHealthTest(3)
	for i := range ejectFailures {
		h.recordOutcome(0, "u1", success(time.Second))
		h.recordOutcome(0, "u2", success(time.Second))
		require.Equal(t, i == ejectFailures-1, h.recordOutcome(0, "u0", failure))
	}
	require.Zero(t, h.slots(0, "u0", 8))
	require.Equal(t, 8, h.slots(0, "u1", 8))
	require.Zero(t, h.slots(ejectTime-1, "u0", 8))
	require.Equal(t, 1, h.slots(ejectTime, "u0", 8), "slow start")
	require.Equal(t, 4, h.slots(ejectTime+slowStart/2, "u0", 8))
	require.Equal(t, 8, h.slots(ejectTime+slowStart, "u0", 8))

	now := ejectTime
	for range ejectFailures {
		h.recordOutcome(now, "u0", failure)
	}
	require.Zero(t, h.slots(now+2*ejectTime-1, "u0", 8), "the second ejection lasts longer")
}

func TestHealth_EjectsAtHalfFailureRate(t *testing.T) {
	h := newHealthTest(3)
	shut := false
	for i := range healthWindow {
		h.recordOutcome(0, "u1", success(time.Second))
		shut = h.recordOutcome(0, "u0", schedule.Outcome{Failed: i%2 == 0})
	}
	require.True(t, shut)
}

func TestHealth_NoEjectionIfAllFail(t *testing.T) {
	h := newHealthTest(6)
	for range 3 * healthWindow {
		for i := range 6 {
			require.False(t, h.recordOutcome(0, fmt.Sprint("u", i), failure))
		}
	}
}

func TestHealth_EjectionLimit(t *testing.T) {
	for n, allowed := range map[int]int{1: 0, 2: 1, 3: 1, 6: 2, 9: 3} {
		h := newHealthTest(n)
		for i := range n {
			for range ejectFailures {
				h.upstreams[fmt.Sprint("u", i)].record(0, failure)
			}
		}
		shut := 0
		for i := range n {
			// The other upstreams have no failures, so that only the ejection limit applies.
			for j := range n {
				if j != i {
					h.upstreams[fmt.Sprint("u", j)].outcomes = []bool{false}
				}
			}
			if h.recordOutcome(0, fmt.Sprint("u", i), failure) {
				shut++
			}
		}
		require.Equal(t, allowed, shut, "pool of %d", n)
	}
}

func TestHealth_SlowOutlier(t *testing.T) {
	h := newHealthTest(4)
	shut := 0
	for range 2 * slowSamples {
		for i := 1; i < 4; i++ {
			require.False(t, h.recordOutcome(0, fmt.Sprint("u", i), success(time.Duration(i)*100*time.Millisecond)))
		}
		if h.recordOutcome(0, "u0", success(2*time.Second)) {
			shut++
		}
	}
	require.Equal(t, 1, shut)

	h = newHealthTest(4)
	for range 2 * slowSamples {
		for i := 1; i < 4; i++ {
			h.recordOutcome(0, fmt.Sprint("u", i), success(time.Millisecond))
		}
		require.False(t, h.recordOutcome(0, "u0", success(20*time.Millisecond)), "the difference is below slowMinimum")
	}
}

func TestHealth_UnreachableUntilNextAnnouncement(t *testing.T) {
	h := newHealthTest(1)
	require.True(t, h.recordOutcome(1, "u0", schedule.Outcome{Failed: true, Unreachable: true}))
	require.True(t, h.allExcluded(time.Hour))
	h.recordAnnouncement(2, "u0", 1)
	require.Equal(t, 1, h.slots(2, "u0", 8))
	h.recordAnnouncement(3, "u0", 2)
	require.Equal(t, 8, h.slots(3, "u0", 8), "a new incarnation starts without history")
}

func TestHost_UnreachableUpstreamRejectsQueuedRequests(t *testing.T) {
	h := newHostTest(t)
	h.handleAnnouncement(announcement("e1", 1, 1, "m1"))
	require.Equal(t, StateGranted, h.ask("r1", "m1").State)
	require.Equal(t, StateQueued, h.ask("r2", "m1").State)
	h.finish(poolOf("m1"), "r1", schedule.Outcome{Failed: true, Unreachable: true})
	require.Equal(t, StateNoUpstream, h.ask("r3", "m1").State)
	require.Contains(t, h.sent, Reply{RequestID: "r2", State: StateNoUpstream})
	h.handleAnnouncement(announcement("e1", 2, 1, "m1"))
	require.Equal(t, StateGranted, h.ask("r4", "m1").State)
}

func TestHost_EjectedUpstreamGetsNoCallsUntilReturn(t *testing.T) {
	h := newHostTest(t)
	h.handleAnnouncement(announcement("e1", 1, 4, "m1"))
	h.handleAnnouncement(announcement("e2", 1, 4, "m1"))
	for i := range 4 * ejectFailures {
		id := fmt.Sprint("r", i)
		r := h.ask(id, "m1")
		require.Equal(t, StateGranted, r.State)
		h.finish(poolOf("m1"), id, schedule.Outcome{Failed: r.Grant.Upstream == "e1"})
	}
	for i := range 4 {
		require.Equal(t, "e2", h.ask(fmt.Sprint("s", i), "m1").Grant.Upstream)
	}
	h.handleAnnouncement(announcement("e1", 2, 4, "m1"))
	h.handleAnnouncement(announcement("e2", 2, 4, "m1"))
	require.Equal(t, StateQueued, h.ask("s4", "m1").State, "an announcement must not end an ejection")
	h.now = ejectTime - 1
	h.handleAnnouncement(announcement("e1", 3, 4, "m1"))
	h.handleAnnouncement(announcement("e2", 3, 4, "m1"))
	for i := range 4 {
		h.ask(fmt.Sprint("s", i), "m1") // refreshed by their entry VM
	}
	require.Equal(t, StateQueued, h.ask("s4", "m1").State)
	h.now = ejectTime
	h.tick()
	require.Equal(t, "e1", h.ask("s4", "m1").Grant.Upstream)
	require.Equal(t, StateQueued, h.ask("s5", "m1").State, "one slot at the beginning of slow start")
}

func TestHealth_Conditions(t *testing.T) {
	h := newHealthTest(3)
	require.Empty(t, h.conditions(0))
	for range ejectFailures {
		h.recordOutcome(0, "u1", success(time.Second))
		h.recordOutcome(0, "u0", failure)
	}
	h.recordOutcome(0, "u2", schedule.Outcome{Failed: true, Unreachable: true})
	require.Equal(t, map[string]Condition{"u0": ConditionEjected, "u2": ConditionUnreachable}, h.conditions(0))
	h.recordAnnouncement(1, "u2", 1)
	require.Equal(t, map[string]Condition{"u0": ConditionSlowStart, "u2": ConditionSlowStart}, h.conditions(ejectTime))
	require.Empty(t, h.conditions(ejectTime+slowStart))
}
