package peer

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/events"
)

// benchMesh is a full mesh of nodes in this process.
type benchMesh struct {
	nodes []*Node
	stop  func()
}

func newBenchMesh(b *testing.B, size int) *benchMesh {
	m := &benchMesh{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	m.stop = func() {
		cancel()
		wg.Wait()
	}
	peers := map[string]string{}
	var starts []func()
	for i := range size {
		l := listen(b)
		name := fmt.Sprintf("region-zone%02d-vm%03d", i%12, i)
		peers[name] = l.Addr().String()
		starts = append(starts, func() {
			n := New(Options{VM: name, Peers: peers, Events: events.FromZap(zap.NewNop())})
			m.nodes = append(m.nodes, n)
			wg.Go(func() { _ = n.Serve(ctx, l) })
		})
	}
	for _, start := range starts {
		start()
	}
	require.Eventually(b, m.connected, 30*time.Second, 20*time.Millisecond)
	return m
}

func (m *benchMesh) connected() bool {
	for _, n := range m.nodes {
		for _, vm := range n.VMs() {
			if !n.Connected(vm) {
				return false
			}
		}
	}
	return true
}

func (m *benchMesh) sent() (total int64) {
	for _, n := range m.nodes {
		total += n.Stats().BytesSent.Load()
	}
	return total
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkNode_IdleLinks reports the cost of connections that carry only heartbeats, per node and
// peer. Byte counts include drpc framing but no TCP or IP headers.
func BenchmarkNode_IdleLinks(b *testing.B) {
	for _, size := range []int{5, 17, 33} {
		b.Run(fmt.Sprintf("%d VMs", size), func(b *testing.B) {
			m := newBenchMesh(b, size)
			defer m.stop()
			const seconds = 4
			links := float64(size * (size - 1))
			for range b.N {
				cpu, sent := processorTime(b), m.sent()
				time.Sleep(seconds * time.Second)
				b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/seconds/links, "cpu-us/s/peer")
				b.ReportMetric(float64(m.sent()-sent)/seconds/links, "sent-B/s/peer")
				b.ReportMetric(float64(heapInUse())/links, "heap-B/peer")
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
