package suspect

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
)

// sendThroughAllVMs sends a request that crashes its upstream through all VMs concurrently, several
// times each, and returns the number of upstreams lost.
func sendThroughAllVMs(w *testNetwork, vms []string, wait time.Duration) int {
	runs := make(chan string, 1000)
	var wg conc.WaitGroup
	for i := range 4 * len(vms) {
		g := w.guards[vms[i%len(vms)]]
		wg.Go(func() {
			for range 3 {
				ctx, cancel := context.WithTimeout(context.Background(), wait)
				l, err := g.Enter(ctx, fp1, "")
				cancel()
				if err != nil {
					return
				}
				runs <- l.request.Run
				l.End(Lost, l.request.Run)
			}
		})
	}
	wg.Wait()
	return len(runs)
}

func sixVMs() (vms []string) {
	for i := range 6 {
		vms = append(vms, fmt.Sprintf("vm%d", i+1))
	}
	return vms
}

// TestGuard_DetectedPartition sends a crashing request through all VMs of a partitioned fleet whose two
// sides consider each other dead.
func TestGuard_DetectedPartition(t *testing.T) {
	vms := sixVMs()
	w := newTestNetwork(vms...)
	w.advance(2 * SettleTime)
	w.partition(true, vms[:4], vms[4:])
	require.LessOrEqual(t, sendThroughAllVMs(w, vms, 5*time.Second), MaxLost)
}

// TestGuard_UndetectedPartition does the same while each VM still considers all others alive.
func TestGuard_UndetectedPartition(t *testing.T) {
	vms := sixVMs()
	w := newTestNetwork(vms...)
	w.advance(2 * SettleTime)
	w.partition(false, vms[:4], vms[4:])
	require.LessOrEqual(t, sendThroughAllVMs(w, vms, 500*time.Millisecond), MaxLost)
}
