package dispatch

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/config"
	"egretramp/internal/events"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
	"egretramp/internal/upstream/wire"
)

// hostTest drives a host without its goroutine and records the replies that it sends.
type hostTest struct {
	*Host
	t    *testing.T
	now  time.Duration
	sent []Reply
}

func newHostTest(t *testing.T) *hostTest {
	h := &hostTest{t: t}
	h.Host = NewHost(HostOptions{
		VM: "vm1", Network: h, Locator: h, Events: events.FromZap(zap.NewNop()),
		Clock: func() time.Duration { return h.now },
	})
	return h
}

// Send implements Network.
func (h *hostTest) Send(_, kind string, payload []byte) {
	if kind != KindGrant {
		return
	}
	var r Reply
	require.NoError(h.t, json.Unmarshal(payload, &r))
	h.sent = append(h.sent, r)
}

// Call implements Network.
func (h *hostTest) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }

// Dispatchers implements Locator.
func (h *hostTest) Dispatchers(p upstream.Pool) []string {
	if p.Zone != "z1" {
		return nil
	}
	return []string{"vm1"}
}

// Zones implements Locator.
func (h *hostTest) Zones() []string { return []string{"z1"} }

func announcement(name string, sequence uint64, slots int, serves ...string) wire.Announcement {
	return wire.Announcement{
		Upstream: name, Class: "engines", Incarnation: 1, Sequence: sequence, Zone: "z1", Kind: config.KindEngine,
		Address: "10.0.0.1:80", Serves: serves, Limits: wire.Limits{Slots: slots},
	}
}

func poolOf(model string) upstream.Pool {
	return upstream.Pool{Zone: "z1", Kind: config.KindEngine, Name: model}
}

func (h *hostTest) ask(id, model string) Reply {
	e := Enqueue{Pool: poolOf(model), Request: schedule.Request{ID: id, Account: "ana", Weight: 1}}
	h.enqueue("vm2", e)
	return h.replyTo(e)
}

func TestHost_RemovesUpstreamFromPoolsItLeft(t *testing.T) {
	h := newHostTest(t)
	h.handleAnnouncement(announcement("e1", 1, 1, "m1", "m2"))
	h.handleAnnouncement(announcement("e2", 1, 1, "m1"))
	require.Equal(t, StateGranted, h.ask("r1", "m2").State)

	h.handleAnnouncement(announcement("e1", 2, 1, "m1"))
	require.Equal(t, StateNoUpstream, h.ask("r2", "m2").State, "e1 serves only m1 now")

	leaving := announcement("e1", 3, 1)
	leaving.Goodbye = true
	h.handleAnnouncement(leaving)
	require.Equal(t, 1, h.pool(poolOf("m1")).Load().Replicas, "a goodbye without model names removes the upstream from all pools")

	h.now = upstream.AnnouncementTimeout + 1
	h.tick()
	require.Equal(t, StateNoUpstream, h.ask("r3", "m1").State, "e2's announcements have stopped")
}

func TestHost_EmptyPoolRejectsQueuedRequests(t *testing.T) {
	h := newHostTest(t)
	h.handleAnnouncement(announcement("e1", 1, 1, "m1"))
	require.Equal(t, StateGranted, h.ask("r1", "m1").State)
	require.Equal(t, StateQueued, h.ask("r2", "m1").State)
	h.now = upstream.AnnouncementTimeout + 1
	h.sent = nil
	h.tick()
	require.Equal(t, []Reply{{RequestID: "r2", State: StateNoUpstream}}, h.sent, "the queued request is rejected, so that other zones are tried")
}

func TestHost_AnnounceReportsWhetherZoneHasDispatcher(t *testing.T) {
	h := newHostTest(t)
	a := announcement("e1", 1, 1, "m1")
	require.True(t, h.Announce(a))
	a.Zone = "z9"
	require.False(t, h.Announce(a))
}

func (h *hostTest) askAlone(id string) Reply {
	e := Enqueue{Pool: poolOf("m1"), Request: schedule.Request{ID: id, Account: "ana", Weight: 1, Alone: true}}
	h.enqueue("vm2", e)
	return h.replyTo(e)
}

// TestHost_AloneRequestSharesNoUpstream keeps the upstreams busy while a request that has to run
// alone is queued.
func TestHost_AloneRequestSharesNoUpstream(t *testing.T) {
	h := newHostTest(t)
	h.handleAnnouncement(announcement("e1", 1, 4, "m1"))
	h.handleAnnouncement(announcement("e2", 1, 4, "m1"))
	for _, id := range []string{"r1", "r2"} {
		require.Equal(t, StateGranted, h.ask(id, "m1").State)
	}
	require.Equal(t, StateQueued, h.askAlone("x").State, "both upstreams run other requests")
	for _, id := range []string{"r3", "r4", "r5"} {
		require.Equal(t, StateGranted, h.ask(id, "m1").State, "one upstream continues to get calls")
	}
	require.Equal(t, StateQueued, h.ask("r6", "m1").State, "the other upstream gets no new calls")
	for _, id := range []string{"r1", "r2"} {
		h.finish(poolOf("m1"), id, schedule.Outcome{})
	}
	x := h.askAlone("x")
	require.Equal(t, StateGranted, x.State)
	others := map[string]bool{}
	for _, id := range []string{"r6", "r7", "r8", "r9", "r10"} {
		if r := h.ask(id, "m1"); r.State == StateGranted {
			others[r.Grant.Upstream] = true
		}
	}
	require.False(t, others[x.Grant.Upstream], "no other call runs on its upstream")
	h.finish(poolOf("m1"), "x", schedule.Outcome{})
	require.Equal(t, StateGranted, h.ask("r10", "m1").State, "the upstream gets other calls again")
}

func TestHost_ListsWorstConditionOfUpstream(t *testing.T) {
	h := newHostTest(t)
	h.handleAnnouncement(announcement("e1", 1, 1, "m1", "m2"))
	h.handleAnnouncement(announcement("e2", 1, 1, "m3"))
	require.Equal(t, StateGranted, h.ask("r1", "m1").State)
	h.finish(poolOf("m1"), "r1", schedule.Outcome{Failed: true, Unreachable: true})
	conditions := map[string]Condition{}
	for _, l := range (Dump{Upstreams: h.directory.All(), Pools: h.dumpPools()}).list(h.now) {
		conditions[l.Record.Upstream] = l.Condition
	}
	require.Equal(t, map[string]Condition{"e1": ConditionUnreachable, "e2": ConditionUp}, conditions)
}
