package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/harness"
)

const (
	// restSettle is the time for the fleet to become idle before it is measured.
	restSettle = 6 * time.Second
	restTime   = 20 * time.Second
	// binVariable is the environment variable with the folder of the program binaries.
	binVariable = "EGRETRAMP_BIN"
)

// wakeups returns the number of voluntary context switches of a process's threads.
func wakeups(b *testing.B, vm *harness.VM) (total int) {
	pid, err := vm.PID()
	require.NoError(b, err)
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	require.NoError(b, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has exited
		}
		_, rest, _ := strings.Cut(string(data), "\nvoluntary_ctxt_switches:")
		line, _, _ := strings.Cut(rest, "\n")
		n, err := strconv.Atoi(strings.TrimSpace(line))
		require.NoError(b, err)
		total += n
	}
	return total
}

// BenchmarkDemo_AtRest reports the usage of each VM in the demo's fleet without callers: CPU time,
// thread wake-ups, and bytes sent on the wire between VMs.
func BenchmarkDemo_AtRest(b *testing.B) {
	bin := os.Getenv(binVariable)
	if bin == "" {
		b.Skip("set " + binVariable + " to the folder of the programs")
	}
	b.Run("plain", func(b *testing.B) { benchmarkAtRest(b, bin, false) })
	b.Run("TLS", func(b *testing.B) { benchmarkAtRest(b, bin, true) })
}

func benchmarkAtRest(b *testing.B, bin string, protected bool) {
	ctx, cancel := context.WithTimeout(b.Context(), 2*time.Minute)
	defer cancel()
	d := &demo{opts: Options{Bin: bin, Out: io.Discard}, dir: b.TempDir()}
	var err error
	d.fleet, err = harness.New(harness.Options{Bin: bin, Dir: d.dir, Zones: zones, Protected: protected})
	require.NoError(b, err)
	defer d.fleet.Stop(stopLimit)
	require.NoError(b, d.start(ctx))
	require.NoError(b, d.apply(ctx))
	time.Sleep(restSettle)
	for range b.N {
		d.reportAtRest(ctx, b)
	}
}

func (d *demo) reportAtRest(ctx context.Context, b *testing.B) {
	d.samples = nil
	var woken []int
	d.sample(ctx)
	for _, vm := range d.fleet.VMs {
		woken = append(woken, wakeups(b, vm))
	}
	time.Sleep(restTime)
	d.sample(ctx)
	var total, most float64
	for i, vm := range d.fleet.VMs {
		u := usageBetween(d.samples[0], d.samples[1], i)
		require.True(b, u.known)
		ms := u.cpu * 1000
		total += ms
		most = max(most, ms)
		b.Logf("%s: %.1f ms/s, %.0f wakeups/s, %.1f KB/s sent, control %v", vm.Name, ms,
			float64(wakeups(b, vm)-woken[i])/restTime.Seconds(), *u.sent/1000, vm.Control())
	}
	b.ReportMetric(total/float64(len(d.fleet.VMs)), "mean-cpu-ms/s")
	b.ReportMetric(most, "most-cpu-ms/s")
}
