package bench

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// answerWeight is the work of an answer token relative to a prompt token, as in the scheduler.
const answerWeight = 4.0

// fairWindow is the period over which an account's service is compared with its fair share.
const fairWindow = 20 * time.Second

// measures holds the counters of a run.
type measures struct {
	latencies map[string][]time.Duration // of programs, by account
	quotes    []time.Duration            // latencies of programs of one call
	underWay  map[*programRun]time.Duration

	promptTokens, wastedTokens int64
	requests, refusals         int
	decisions                  int
	operations                 *hdrhistogram.Histogram // durations of pool operations, in nanoseconds
	spent                      time.Duration

	weights map[string]float64
	// pending is the waiting work, done the work served in the current window, by account.
	pending, done  map[string]float64
	received, fair map[string]float64 // sums over the windows
	isWaiting      map[*call]bool
}

func newMeasures(l *load, _ time.Duration) measures {
	return measures{
		latencies: map[string][]time.Duration{}, underWay: map[*programRun]time.Duration{},
		operations: newHistogram(), weights: l.weights,
		pending: map[string]float64{}, done: map[string]float64{},
		received: map[string]float64{}, fair: map[string]float64{}, isWaiting: map[*call]bool{},
	}
}

func (m *measures) spend(d time.Duration) {
	m.spent += d
	_ = m.operations.RecordValue(max(d.Nanoseconds(), 1))
}

func (m *measures) finished(s *programSpec, latency time.Duration) {
	m.latencies[s.account] = append(m.latencies[s.account], latency)
	if s.quote() && !s.noisy {
		m.quotes = append(m.quotes, latency)
	}
}

// wait adds a call's work to its account's pending work; granted removes it.
func (m *measures) wait(c *call) {
	if !m.isWaiting[c] {
		m.isWaiting[c] = true
		m.pending[c.program.spec.account] += c.work
	}
}

func (m *measures) granted(c *call) {
	if m.isWaiting[c] {
		delete(m.isWaiting, c)
		m.pending[c.program.spec.account] -= c.work
	}
}

// served counts a call that an engine completed.
func (m *measures) served(c *call, j *job) {
	m.done[c.program.spec.account] += c.work
	m.promptTokens += j.prompt
	m.wastedTokens += max(0, min(c.program.computed, j.prompt)-j.cached)
}

// closeWindow adds the window's service of each account, and its max-min fair share of all
// service in the window, to the sums.
func (m *measures) closeWindow() {
	demand, capacity := map[string]float64{}, 0.0
	for a := range m.weights {
		demand[a] = m.done[a] + max(m.pending[a], 0)
		capacity += m.done[a]
	}
	for a, share := range maxMin(demand, m.weights, capacity) {
		m.fair[a] += share
		m.received[a] += m.done[a]
	}
	clear(m.done)
}

// maxMin divides a capacity among demands by weight; none gets more than it demands.
func maxMin(demand, weights map[string]float64, capacity float64) map[string]float64 {
	names := make([]string, 0, len(demand))
	total := 0.0
	for name := range demand {
		names = append(names, name)
		total += weights[name]
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		x, y := demand[a]/weights[a], demand[b]/weights[b]
		return x < y || x == y && a < b
	})
	shares := map[string]float64{}
	for _, name := range names {
		shares[name] = min(demand[name], capacity*weights[name]/total)
		capacity -= shares[name]
		total -= weights[name]
	}
	return shares
}

// worstShare returns the account that received the smallest fraction of its fair share, and that
// fraction.
func (m *measures) worstShare() (account string, part float64) {
	part = 1
	for _, a := range sortedNames(m.fair) {
		if m.fair[a] > 0 && (account == "" || m.received[a]/m.fair[a] < part) {
			account, part = a, m.received[a]/m.fair[a]
		}
	}
	return account, part
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// quantile returns a quantile of latencies that are sorted in ascending order.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
