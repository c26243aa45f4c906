package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/schedule"
)

func TestHost_DrainedUpstreamGetsNoCalls(t *testing.T) {
	h := newHostTest(t)
	h.handleAnnouncement(announcement("e1", 1, 1, "m1", "m2"))
	require.Equal(t, StateGranted, h.ask("r1", "m1").State)
	drain := Drain{Pool: poolOf("m1"), Upstream: "e1", Incarnation: 1, ForMS: 1000}
	require.Equal(t, DrainReply{Calls: 1}, h.drain(drain))
	h.finish(poolOf("m1"), "r1", schedule.Outcome{})
	require.Equal(t, StateNoUpstream, h.ask("r2", "m1").State, "no usable upstream here, so that other zones are tried")
	require.Equal(t, StateGranted, h.ask("r3", "m2").State, "the drain applies to one model only")

	h.now = 900 * time.Millisecond
	h.handleAnnouncement(announcement("e1", 2, 1, "m1", "m2"))
	require.Equal(t, StateNoUpstream, h.ask("r2", "m1").State, "an announcement must not end the drain")
	require.Equal(t, DrainReply{}, h.drain(drain))
	h.now = 1800 * time.Millisecond
	h.tick()
	require.Equal(t, StateNoUpstream, h.ask("r2", "m1").State, "the drain was renewed")
	h.now = 1900 * time.Millisecond
	h.tick()
	require.Equal(t, StateGranted, h.ask("r2", "m1").State)
}

func TestHost_DrainMovesCallsToOtherUpstreams(t *testing.T) {
	h := newHostTest(t)
	h.handleAnnouncement(announcement("e1", 1, 1, "m1"))
	h.handleAnnouncement(announcement("e2", 1, 1, "m1"))
	h.drain(Drain{Pool: poolOf("m1"), Upstream: "e1", Incarnation: 1, ForMS: 1000})
	require.Equal(t, "e2", h.ask("r1", "m1").Grant.Upstream)
	require.Equal(t, StateQueued, h.ask("r2", "m1").State)
	h.now = time.Second
	h.tick()
	require.Equal(t, "e1", h.ask("r2", "m1").Grant.Upstream)
}

func TestHost_DrainEndsOnRequest(t *testing.T) {
	h := newHostTest(t)
	h.handleAnnouncement(announcement("e1", 1, 1, "m1"))
	drain := Drain{Pool: poolOf("m1"), Upstream: "e1", Incarnation: 1, ForMS: 10_000}
	h.drain(drain)
	require.Equal(t, StateNoUpstream, h.ask("r1", "m1").State)
	drain.ForMS = 0
	h.drain(drain)
	require.Equal(t, StateGranted, h.ask("r1", "m1").State)
}

func TestHost_DrainIsStoredBeforeTakeover(t *testing.T) {
	h := newHostTest(t)
	h.drain(Drain{Pool: poolOf("m1"), Upstream: "e1", Incarnation: 1, ForMS: 1000})
	h.handleAnnouncement(announcement("e1", 1, 1, "m1"))
	require.Equal(t, StateNoUpstream, h.ask("r1", "m1").State)
	next := announcement("e1", 1, 1, "m1")
	next.Incarnation = 2
	h.handleAnnouncement(next)
	require.Equal(t, StateGranted, h.ask("r1", "m1").State, "the drain does not apply to a new incarnation")
}
