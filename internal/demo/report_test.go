package demo

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/harness"
	"egretramp/internal/workload"
)

func TestReport_FailsOnAnyViolation(t *testing.T) {
	r := report{results: []workload.Result{{Name: "a", Tried: 3}}}
	r.addStopCheck(2, nil)
	require.False(t, r.failed())
	r.addStopCheck(2, []string{"vm1"})
	require.True(t, r.failed())
	var out bytes.Buffer
	r.print(&out)
	require.Contains(t, out.String(), "violated: processes end on SIGTERM: vm1")
}

func TestUsageBetween_ReportsUnknownValues(t *testing.T) {
	sent := []int64{1000, 5000}
	at := time.Unix(0, 0)
	from := sample{at: at, vms: []vmSample{{known: true, vars: harness.Vars{PeerBytesSent: &sent[0]}}}}
	to := sample{at: at.Add(2 * time.Second), vms: []vmSample{{
		known: true, usage: harness.Usage{CPU: time.Second}, vars: harness.Vars{PeerBytesSent: &sent[1]},
	}}}
	s := usageBetween(from, to, 0)
	require.Equal(t, "50.0%", s.cpuPercent())
	require.Equal(t, "2.0 KB/s", kilobytes(s.sent))
	require.Equal(t, "n/a", kilobytes(s.recv))
	to.vms[0].known = false
	require.Equal(t, "n/a", usageBetween(from, to, 0).cpuPercent())
}
