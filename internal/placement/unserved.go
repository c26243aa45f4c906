package placement

import (
	"sync"
	"time"
)

// unservedWindow is the time over which unserved calls are averaged. Seconds.
const unservedWindow = 5

// unservedCounter counts the calls that found no replica, by model and second. It is safe for concurrent
// use: the goroutines of calls add to it.
type unservedCounter struct {
	mu    sync.Mutex
	calls map[string]map[int64]int
}

// NoReplica records a call that found no replica of a model in any zone.
func (r *Runner) NoReplica(model string) { r.unservedHere.add(r.opts.Clock(), model) }

func (r *unservedCounter) add(now time.Duration, model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls[model] == nil {
		r.calls[model] = map[int64]int{}
	}
	r.calls[model][int64(now/time.Second)]++
}

// recent returns the average number of calls a second over the window by model, rounded up.
func (r *unservedCounter) recent(now time.Duration) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := map[string]int{}
	oldest := int64(now/time.Second) - unservedWindow
	for model, seconds := range r.calls {
		sum := 0
		for second, n := range seconds {
			if second <= oldest {
				delete(seconds, second)
				continue
			}
			sum += n
		}
		if sum == 0 {
			delete(r.calls, model)
			continue
		}
		recent[model] = (sum + unservedWindow - 1) / unservedWindow
	}
	return recent
}
