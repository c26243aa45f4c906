package sharedload

import (
	"slices"
	"time"
)

const (
	// maxAsk bounds the numbers that a report asks for.
	maxAsk = 64
	// askInterval is how often a VM asks again for numbers that it knows, so that the coordinator keeps them.
	askInterval = 20 * time.Second
	// assumedSuccesses are added to the attempts of an upstream, so that a single failure of few attempts, which may be due to its
	// request, doesn't keep all VMs away.
	assumedSuccesses = 4
)

// Holder is the side of an entry VM. It is not safe for concurrent use.
type Holder struct {
	started, sequence uint64
	zone              string
	epoch             uint64
	numbers           map[string]number
	rows              map[uint32]viewRow
	origins           []Origin
	overShare         []string
	takenAt           time.Duration // mean time of the reports in the view
	hasView           bool
	rejected          int
}

// number is the number that the coordinator gave to a process.
type number struct {
	value   uint32
	askedAt time.Duration // of the last request that the coordinator answered
}

type viewRow struct {
	others, slowdown, attempts, failed uint32
}

// NewHolder returns a holder without a view for a VM in a zone. started differs for each process of the VM.
func NewHolder(started uint64, zone string) *Holder {
	return &Holder{started: started, zone: zone, numbers: map[string]number{}, rows: map[uint32]viewRow{}}
}

// Rejected returns the number of views that were ignored because they can't be true.
func (h *Holder) Rejected() int { return h.rejected }

// Report returns the next report. processes are the upstreams' processes that requests may be sent to.
func (h *Holder) Report(now time.Duration, samples []Sample, processes []string, accounts []Account) *Request {
	h.sequence++
	h.prune(processes)
	r := &Request{Started: h.started, Sequence: h.sequence, Zone: h.zone, Epoch: h.epoch, Accounts: accounts}
	r.Ask = h.ask(now, samples, processes)
	for _, s := range samples {
		n, known := h.numbers[s.Process]
		if !known {
			continue
		}
		r.Rows = append(r.Rows, n.value, bounded(s.Inflight), uint32(min(max(s.Slowdown, 0), maxSlowdown)/slowdownUnit),
			bounded(s.Samples), bounded(s.Attempts), bounded(s.Failed))
	}
	return r
}

// ask returns the processes whose numbers to ask for: first those that the VM uses, since it can't report their load before.
func (h *Holder) ask(now time.Duration, samples []Sample, processes []string) (ask []string) {
	used := make(map[string]bool, len(samples))
	for i := range samples {
		used[samples[i].Process] = true
	}
	for _, first := range []bool{true, false} {
		for _, p := range processes {
			if n, known := h.numbers[p]; used[p] == first && (!known || now-n.askedAt > askInterval) && len(ask) < maxAsk {
				ask = append(ask, p)
			}
		}
	}
	return ask
}

// prune removes the numbers of processes that are gone.
func (h *Holder) prune(processes []string) {
	if len(h.numbers) <= 2*len(processes)+maxAsk {
		return
	}
	running := make(map[string]bool, len(processes))
	for _, p := range processes {
		running[p] = true
	}
	for p := range h.numbers {
		if !running[p] {
			delete(h.numbers, p)
		}
	}
}

// Apply applies the answer to a report that was sent at sent. A nil grant, of a coordinator of an earlier release,
// changes nothing.
func (h *Holder) Apply(sent time.Duration, g *Grant) {
	if g == nil {
		return
	}
	if g.Epoch != h.epoch {
		h.epoch, h.hasView = g.Epoch, false
		clear(h.numbers)
	}
	for name, value := range g.Numbers {
		h.numbers[name] = number{value, sent}
	}
	if g.View == nil {
		return
	}
	taken := sent - time.Duration(g.View.AgeMs)*time.Millisecond
	if !g.View.valid() {
		h.rejected++
		return
	}
	if h.hasView && taken < h.takenAt {
		return // answers arrived out of order
	}
	clear(h.rows)
	for i := 0; i < len(g.View.Rows); i += viewFields {
		f := g.View.Rows[i : i+viewFields]
		h.rows[f[0]] = viewRow{min(f[1], maxInflight), min(f[2], maxSlowdown/slowdownUnit), f[3], f[4]}
	}
	h.origins, h.overShare, h.takenAt, h.hasView = g.View.Origins, g.View.OverShare, taken, true
}

// valid reports whether a view may be true.
func (v *View) valid() bool {
	if len(v.Rows)%viewFields != 0 || v.AgeMs < 0 || v.AgeMs > 2*MaxAge.Milliseconds() || len(v.Origins) > maxZones || len(v.OverShare) > maxOverShare {
		return false
	}
	return !slices.ContainsFunc(v.Origins, func(o Origin) bool { return o.PerSecond < 0 })
}

// Age returns the age of the view, false if there is none that is younger than MaxAge.
func (h *Holder) Age(now time.Duration) (time.Duration, bool) {
	if !h.hasView || now-h.takenAt > MaxAge {
		return 0, false
	}
	return max(now-h.takenAt, 0), true
}

// Upstream returns what the view says of an upstream's process, false without a fresh view or if the coordinator doesn't
// know it.
func (h *Holder) Upstream(now time.Duration, process string) (Upstream, bool) {
	age, fresh := h.Age(now)
	n, known := h.numbers[process]
	if !fresh || !known {
		return Upstream{}, false
	}
	row := h.rows[n.value] // an idle upstream has no row
	u := Upstream{Others: int(row.others), Slowdown: float64(row.slowdown) * slowdownUnit, Age: age}
	if row.failed > 0 {
		u.FailureShare = min(1, float64(row.failed)/float64(max(row.attempts, row.failed)+assumedSuccesses))
	}
	return u, true
}

// Origins returns the attempts of each zone, nil without a fresh view.
func (h *Holder) Origins(now time.Duration) []Origin {
	if _, fresh := h.Age(now); !fresh {
		return nil
	}
	return h.origins
}
