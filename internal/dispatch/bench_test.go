package dispatch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/config"
	"egretramp/internal/events"
	"egretramp/internal/message"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
	"egretramp/internal/upstream/wire"
)

const (
	benchZones  = 12
	benchModels = 8
)

// benchHost is a Host in virtual time; the messages that it sends are only counted.
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
		VM: "vm1", Zone: "region-zone00", Network: h, Locator: h, Events: events.FromZap(zap.NewNop()),
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
func (h *benchHost) Dispatchers(p upstream.Pool) []string {
	zone := []string{"vm1"}
	for _, vm := range h.vms {
		if strings.HasPrefix(vm, p.Zone) {
			zone = append(zone, vm)
		}
	}
	return zone
}

// Zones implements Locator.
func (h *benchHost) Zones() []string {
	var zones []string
	for i := range min(benchZones, len(h.vms)) {
		zones = append(zones, fmt.Sprintf("region-zone%02d", i))
	}
	return zones
}

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
					payload := message.Encode(benchAnnouncement(i, sequence))
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

// BenchmarkHost_Relay drives a VM that relays its part of the summaries of other zones: the VMs of
// its zone take turns. An op is one summary of each pool of the other zones, without changed loads.
func BenchmarkHost_Relay(b *testing.B) {
	for _, vms := range []int{36, 400} {
		b.Run(fmt.Sprintf("%d VMs", vms), func(b *testing.B) {
			h := newBenchHost(vms)
			zone := len(h.Dispatchers(upstream.Pool{Zone: "region-zone00"}))
			pools := (benchZones - 1) * benchModels
			for range b.N {
				for i := range pools {
					h.HandleRelaySummary("vm2", benchSummary(1+i/benchModels, i%benchModels))
				}
			}
			// Each pool's summary reaches this VM once in zone x RemoteSummaryInterval.
			part := 1 / (float64(b.N) * float64(zone) * RemoteSummaryInterval.Seconds())
			b.ReportMetric(float64(h.messages)*part, "sent-messages/s")
			b.ReportMetric(float64(h.bytes)*part, "sent-B/s")
		})
	}
}

// BenchmarkClient_Summaries drives one entry VM that receives the summaries of every pool of a fleet
// of up to 12 zones, one message per pool, as often as their dispatchers send unchanged loads. An
// op is a second of virtual time.
func BenchmarkClient_Summaries(b *testing.B) {
	for _, zones := range []int{1, 3, benchZones} {
		b.Run(fmt.Sprintf("%d pools", zones*benchModels), func(b *testing.B) {
			now := time.Duration(0)
			c := NewClient(ClientOptions{
				Zone: "region-zone00", Locator: newBenchHost(400), Clock: func() time.Duration { return now },
			})
			count, received := 0, 0
			for range b.N {
				for end := now + time.Second; now < end; now += SummaryInterval {
					for zone := range zones {
						if zone > 0 && now%RemoteSummaryInterval != 0 {
							continue
						}
						for model := range benchModels {
							m := benchSummary(zone, model)
							c.HandleSummary("vm2", m)
							count++
							received += len(m)
						}
					}
				}
			}
			require.Len(b, c.Pools(), zones*benchModels)
			b.ReportMetric(float64(count)/float64(b.N), "messages/s")
			b.ReportMetric(float64(received)/float64(b.N), "received-B/s")
		})
	}
}

func benchSummary(zone, model int) []byte {
	return message.Encode(Summary{From: fmt.Sprintf("region-zone%02d-vm%03d", zone, model), SentAt: time.Hour, Pools: []PoolSummary{{
		Pool: upstream.Pool{Zone: fmt.Sprintf("region-zone%02d", zone), Kind: config.KindEngine, Name: fmt.Sprintf("model-%d", model)},
		Load: schedule.Load{Replicas: 38, Slots: 2432, Running: 1140, Waiting: 76, WaitMS: 12, PrefillNS: 80_000},
	}}})
}

// countingNetwork is a Network that counts the messages and bytes sent.
type countingNetwork struct{ messages, bytes int }

// Send implements Network.
func (n *countingNetwork) Send(_, _ string, payload []byte) {
	n.messages++
	n.bytes += len(payload)
}

// Call implements Network.
func (n *countingNetwork) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, nil
}

// BenchmarkClient_Refresh drives an entry VM that refreshes its running calls at their dispatchers.
// An op is a second of virtual time.
func BenchmarkClient_Refresh(b *testing.B) {
	for _, calls := range []int{16, 130} {
		b.Run(fmt.Sprintf("%d calls", calls), func(b *testing.B) {
			network := &countingNetwork{}
			c := NewClient(ClientOptions{Zone: "region-zone00", Network: network, Locator: newBenchHost(400)})
			for i := range calls {
				pool := upstream.Pool{Zone: "region-zone00", Kind: config.KindEngine, Name: fmt.Sprintf("model-%d", i%benchModels)}
				id := fmt.Sprintf("0123456789abcdef0123-%04d", i)
				c.addRunning(pool, schedule.Request{
					ID: id, Account: "account-0123", Program: "account-0123/program-0123456789", Weight: 1,
					PromptTokens: 20_000, MaxTokens: 2_000, Resident: "engine-zone00-0012", PrefixTokens: 19_000,
				}, &Grant{Upstream: "engine-zone00-0012"})
			}
			b.ResetTimer()
			for range b.N {
				c.refresh()
			}
			b.ReportMetric(float64(network.bytes)/float64(b.N)/float64(calls), "sent-B/s/call")
			b.ReportMetric(float64(network.bytes)/float64(b.N), "sent-B/s")
		})
	}
}
