package node

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"egretramp/internal/events"
	"egretramp/internal/registry"
	"egretramp/internal/sharedload"
)

// sharingLimiter returns a limiter that shares load and is in contact with the coordinator. Its VM has inflight requests
// at the upstream "u0".
func (n *permitNetwork) sharingLimiter(name string, now func() time.Duration, inflight int) *permitLimiter {
	directory := registry.NewDirectory(func(registry.Upstream) {})
	var upstreams []registry.Upstream
	for i := range 20 {
		upstreams = append(upstreams, registry.Upstream{ID: fmt.Sprint("w", i), Service: "wide", Address: fmt.Sprint("b:", i), Slots: 60, Born: 1, Sequence: 1})
	}
	for i := range 3 {
		upstreams = append(upstreams, registry.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("a:", i), Slots: 6, Born: 1, Sequence: 1})
	}
	directory.Merge("c", upstreams)
	p := n.limiter(name)
	p.clock = now
	p.load = &loadSharer{
		clock: now, directory: directory, events: events.NewTo("entry", zapcore.ErrorLevel, &discard{}), holder: sharedload.NewHolder(1, "z"),
		accounts: func() []sharedload.Account {
			return []sharedload.Account{{Name: "busy", Active: inflight}, {Name: "other", Active: 1, Refused: 3}}
		},
		samples: func() []sharedload.Sample { return []sharedload.Sample{{Process: "u0@1", Inflight: inflight}} },
	}
	return p
}

func testClock() (now func() time.Duration, advance func(time.Duration)) {
	var at atomic.Int64
	at.Store(int64(time.Hour))
	return func() time.Duration { return time.Duration(at.Load()) }, func(d time.Duration) { at.Add(int64(d)) }
}

// TestLoadSharer_VMsLearnTheLoadOfOthers also covers a coordinator that is lost, and one of the previous release: the VM
// decides by its own load then.
func TestLoadSharer_VMsLearnTheLoadOfOthers(t *testing.T) {
	var term atomic.Uint64
	term.Store(1)
	network := newPermitNetwork(19, &term)
	now, advance := testClock()
	network.coordinator.clock = now
	a, b := network.sharingLimiter("a", now, 5), network.sharingLimiter("b", now, 2)
	u := registry.Upstream{ID: "u0", Service: "s", Born: 1}
	rounds := func() {
		for range 3 {
			advance(permitInterval)
			a.exchange()
			b.exchange()
		}
	}
	_, known := b.load.upstream(u)
	require.False(t, known)
	require.EqualValues(t, -1, b.load.viewAge())
	rounds()
	load, known := b.load.upstream(u)
	require.True(t, known)
	require.Equal(t, 5, load.Others)
	require.GreaterOrEqual(t, b.load.viewAge(), 0.0)
	require.Equal(t, "z", b.load.origins()[0].Zone)
	require.True(t, b.load.overShare("busy"))
	require.False(t, b.load.overShare("other"))

	_, known = b.load.upstream(registry.Upstream{ID: "w0", Service: "wide", Born: 1})
	require.Equal(t, false, known, "a VM has as many slots of this service as an upstream")

	term.Store(2)
	rounds()
	_, known = b.load.upstream(u)
	require.False(t, known, "a new coordinator doesn't have the reports of all VMs yet")
	rounds()
	load, known = b.load.upstream(u)
	require.True(t, known, "a new coordinator")
	require.Equal(t, 5, load.Others)

	network.mu.Lock()
	network.cut = true
	network.mu.Unlock()
	advance(sharedload.MaxAge + time.Millisecond)
	b.exchange()
	_, known = b.load.upstream(u)
	require.False(t, known, "the coordinator is lost")

	network.mu.Lock()
	network.cut, network.olderLoad = false, true
	network.mu.Unlock()
	rounds()
	_, known = b.load.upstream(u)
	require.False(t, known, "the coordinator is of the previous release")
}

// TestLoadSharer_FewVMsShareNothing: with few VMs that have much load each, nothing is sent and decisions stay as they were.
func TestLoadSharer_FewVMsShareNothing(t *testing.T) {
	var term atomic.Uint64
	term.Store(1)
	network := newPermitNetwork(7, &term)
	now, advance := testClock()
	network.coordinator.clock = now
	a := network.sharingLimiter("a", now, 5)
	for range 5 {
		advance(permitInterval)
		require.Nil(t, a.load.report(now(), a.holder.Holders()), "18 slots for 7 VMs")
		advance(permitInterval)
		a.exchange()
	}
	_, known := a.load.upstream(registry.Upstream{ID: "u0", Service: "s", Born: 1})
	require.False(t, known)
	require.EqualValues(t, -1, a.load.viewAge())
}
