package dispatch

import (
	"context"
	"fmt"
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

const (
	benchZones  = 12
	benchModels = 8
)

// benchHost is one real Host in virtual time whose messages are only counted.
type benchHost struct {
	*Host
	now             time.Duration
	vms             []string
	messages, bytes int
}

func newBenchHost(vms int) *benchHost {
	h := &benchHost{}
	for i := range vms - 1 {
		h.vms = append(h.vms, fmt.Sprintf("region-zone%02d-vm%03d", i%benchZones, i))
	}
	h.Host = NewHost(HostOptions{
		VM: "vm1", Network: h, Locator: h, Events: events.FromZap(zap.NewNop()),
		Clock: func() time.Duration { return h.now },
	})
	return h
}

// Send implements Network.
func (h *benchHost) Send(vm, _ string, payload []byte) {
	if vm == "vm1" {
		return
	}
	h.messages++
	h.bytes += len(payload)
}

// Call implements Network.
func (h *benchHost) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }

// Dispatchers implements Locator.
func (h *benchHost) Dispatchers(upstream.Pool) []string { return []string{"vm1"} }

// VMs implements Locator.
func (h *benchHost) VMs() []string { return h.vms }

func benchAnnouncement(i int, sequence uint64) wire.Announcement {
	return wire.Announcement{
		Upstream: fmt.Sprintf("engine-zone00-%04d", i), Class: "engines", Incarnation: 1_700_000_000_000_000_000,
		Sequence: sequence, SentAtMS: 1_700_000_000_000, Zone: "region-zone00", Kind: config.KindEngine,
		Address: "10.100.100.100:8000", Serves: []string{"model-0"}, Limits: wire.Limits{Slots: 64, KVTokens: 1_000_000},
		Load: wire.Load{Running: 30, Waiting: 2, KVTokensUsed: 600_000}, CanResume: true,
	}
}

// BenchmarkHost_AtRest drives the dispatcher of one pool against generated upstreams that announce
// themselves each second, in a fleet of generated VMs. An op is a second of virtual time.
func BenchmarkHost_AtRest(b *testing.B) {
	for _, size := range []struct{ vms, replicas int }{{9, 38}, {100, 38}, {400, 38}, {400, 76}, {400, 300}} {
		b.Run(fmt.Sprintf("%d VMs, %d replicas", size.vms, size.replicas), func(b *testing.B) {
			h := newBenchHost(size.vms)
			received := 0
			var sequence uint64
			for range b.N {
				sequence++
				for i := range size.replicas {
					payload := mustMarshal(benchAnnouncement(i, sequence))
					received += len(payload)
					h.HandleAnnounce("vm2", payload)
					(<-h.events)()
				}
				for end := h.now + time.Second; h.now < end; h.now += tickInterval {
					h.tick()
				}
			}
			require.Equal(b, size.replicas, h.summarise().Pools[0].Load.Replicas)
			b.ReportMetric(float64(h.messages)/float64(b.N), "sent-messages/s")
			b.ReportMetric(float64(h.bytes)/float64(b.N), "sent-B/s")
			b.ReportMetric(float64(received)/float64(b.N), "received-B/s")
		})
	}
}

// BenchmarkClient_Summaries drives one entry VM that hears the summary of every pool of a fleet
// of 12 zones, one message a pool. An op is a second of virtual time.
func BenchmarkClient_Summaries(b *testing.B) {
	for _, pools := range []int{9, benchZones * benchModels} {
		b.Run(fmt.Sprintf("%d pools", pools), func(b *testing.B) {
			now := time.Duration(0)
			c := NewClient(ClientOptions{Zone: "region-zone00", Clock: func() time.Duration { return now }})
			var messages [][]byte
			for i := range pools {
				messages = append(messages, mustMarshal(Summary{Pools: []PoolSummary{{
					Pool: upstream.Pool{Zone: fmt.Sprintf("region-zone%02d", i/benchModels), Kind: config.KindEngine, Name: fmt.Sprintf("model-%d", i%benchModels)},
					Load: schedule.Load{Replicas: 38, Slots: 2432, Running: 1140, Waiting: 76, WaitMS: 12, PrefillNS: 80_000},
				}}}))
			}
			count, received := 0, 0
			for range b.N {
				for range int(time.Second / SummaryInterval) {
					now += SummaryInterval
					for _, m := range messages {
						c.HandleSummary("vm2", m)
						count++
						received += len(m)
					}
				}
			}
			require.Len(b, c.Pools(), pools)
			b.ReportMetric(float64(count)/float64(b.N), "messages/s")
			b.ReportMetric(float64(received)/float64(b.N), "received-B/s")
		})
	}
}
