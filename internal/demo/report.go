package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"egretramp/internal/harness"
	"egretramp/internal/workload"
)

// report holds the results that the demo prints at its end.
type report struct {
	latencies map[string]workload.Latency
	worst     workload.Worst
	cache     workload.Cache
	refusals  workload.Refusals
	vms       []vmUsage
	results   []workload.Result
}

// vmUsage is the resource usage of a VM while programs ran and while none did.
type vmUsage struct {
	name, zone, role string
	busy, idle       usageRates
	rss              int64 // bytes
}

// usageRates is the resource usage of a VM per second of an interval.
type usageRates struct {
	known bool
	cpu   float64 // fraction of a core
	sent  *float64
	recv  *float64 // bytes per second between VMs; nil if the VM doesn't count them
}

// Indexes of the samples: before and after the programs, before and after the idle time.
const (
	beforePrograms = iota
	afterPrograms
	beforeIdle
	afterIdle
)

func usage(vms []*harness.VM, samples []sample) []vmUsage {
	var list []vmUsage
	for i, vm := range vms {
		u := vmUsage{name: vm.Name, zone: vm.Settings.Zone, role: "entry"}
		if vm.Control() {
			u.role = "entry, control"
		}
		u.busy = usageBetween(samples[beforePrograms], samples[afterPrograms], i)
		u.idle = usageBetween(samples[beforeIdle], samples[afterIdle], i)
		u.rss = samples[afterIdle].vms[i].usage.RSS
		list = append(list, u)
	}
	return list
}

func usageBetween(from, to sample, vm int) usageRates {
	a, b := from.vms[vm], to.vms[vm]
	seconds := to.at.Sub(from.at).Seconds()
	return usageRates{
		known: a.known && b.known,
		cpu:   (b.usage.CPU - a.usage.CPU).Seconds() / seconds,
		sent:  perSecond(a.vars.PeerBytesSent, b.vars.PeerBytesSent, seconds),
		recv:  perSecond(a.vars.PeerBytesReceived, b.vars.PeerBytesReceived, seconds),
	}
}

func perSecond(from, to *int64, seconds float64) *float64 {
	if from == nil || to == nil {
		return nil
	}
	v := float64(*to-*from) / seconds
	return &v
}

// addStopCheck adds the check that no process had to be killed.
func (r *report) addStopCheck(all int, killed []string) {
	result := workload.Result{Name: "processes end on SIGTERM", Tried: all, Violated: len(killed), Details: killed}
	r.results = append(r.results, result)
}

// failed reports whether any check was violated.
func (r *report) failed() bool {
	return slices.ContainsFunc(r.results, func(c workload.Result) bool { return c.Violated > 0 })
}

func (r *report) print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nPROGRAM LATENCY\tprograms\tp50\tp95\n")
	for _, name := range slices.Sorted(maps.Keys(r.latencies)) {
		l := r.latencies[name]
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\n", name, l.Programs, ms(l.P50), ms(l.P95))
	}
	r.printMeasures(t)
	r.printVMs(t)
	r.printChecks(t)
	_ = t.Flush()
	for _, c := range r.results {
		for _, detail := range c.Details {
			fmt.Fprintf(out, "violated: %s: %s\n", c.Name, detail)
		}
	}
}

func (r *report) printMeasures(t io.Writer) {
	fmt.Fprintf(t, "\nMEASURE\t\n")
	fmt.Fprintf(t, "wasted cache\t%s (%d of %d prompt tokens computed again)\n",
		percent(r.cache.Wasted, r.cache.PromptTokens), r.cache.Wasted, r.cache.PromptTokens)
	fmt.Fprintf(t, "worst-served client account\t%s: p95 %s, median account %s\n",
		r.worst.Account, ms(r.worst.P95), ms(r.worst.Median))
	fmt.Fprintf(t, "refused although inside the rate\t%d of %d requests (%d refused for the rate)\n",
		r.refusals.Wrong, r.refusals.Requests, r.refusals.Limited)
}

func (r *report) printVMs(t io.Writer) {
	fmt.Fprintf(t, "\nVM\tzone\troles\tcpu busy\tcpu idle\tmemory\tsent busy\treceived busy\tsent idle\treceived idle\n")
	for _, u := range r.vms {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.0f MB\t%s\t%s\t%s\t%s\n", u.name, u.zone, u.role,
			u.busy.cpuPercent(), u.idle.cpuPercent(), float64(u.rss)/1e6,
			kilobytes(u.busy.sent), kilobytes(u.busy.recv), kilobytes(u.idle.sent), kilobytes(u.idle.recv))
	}
}

func (r *report) printChecks(t io.Writer) {
	fmt.Fprintf(t, "\nCHECK\ttried\tviolated\n")
	for _, c := range r.results {
		fmt.Fprintf(t, "%s\t%d\t%d\n", c.Name, c.Tried, c.Violated)
	}
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond))
}

func percent(part, whole int) string {
	if whole == 0 {
		return "n/a"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}

func (s usageRates) cpuPercent() string {
	if !s.known {
		return "n/a"
	}
	return fmt.Sprintf("%.1f%%", 100*s.cpu)
}

func kilobytes(v *float64) string {
	if v == nil {
		return "n/a"
	}
	return fmt.Sprintf("%.1f KB/s", *v/1e3)
}
