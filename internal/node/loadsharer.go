package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/registry"
	"egretramp/internal/sharedload"
)

// reportInterval is the shortest time between two reports of load. Callers that wait for permits cause requests more often
// than that, and a view that is sent at most every 100 ms gains nothing from more.
const reportInterval = 50 * time.Millisecond

// loadSharer shares the load at upstreams with the other entry VMs, with the requests for permits. It is safe for
// concurrent use. A nil *loadSharer shares nothing.
type loadSharer struct {
	clock     func() time.Duration
	directory *registry.Directory
	samples   func() []sharedload.Sample
	accounts  func() []sharedload.Account
	events    *events.Logger

	mu       sync.Mutex
	holder   *sharedload.Holder
	reported time.Duration // time of the last report
	// needed are the services whose requests are placed by the load of all VMs.
	needed map[string]bool
	fresh  bool // as last logged
}

// report returns the report to send now, nil for none. vms is the number of entry VMs.
func (l *loadSharer) report(now time.Duration, vms int) *sharedload.Request {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reported != 0 && now-l.reported < reportInterval {
		return nil
	}
	l.reported = now
	processes := l.updateNeeded(vms)
	l.logChange(now)
	if len(l.needed) == 0 {
		return nil
	}
	return l.holder.Report(now, l.samples(), processes, l.accounts())
}

// updateNeeded determines the services for whose requests the load of other VMs is needed, and returns the processes of their
// upstreams. l.mu must be held.
func (l *loadSharer) updateNeeded(vms int) (processes []string) {
	l.needed = map[string]bool{}
	for service, list := range l.directory.View().Services {
		slots := make([]int, 0, len(list))
		for i := range list {
			slots = append(slots, list[i].Slots)
		}
		if !sharedload.Needed(slots, vms) {
			continue
		}
		l.needed[service] = true
		for i := range list {
			processes = append(processes, list[i].Process())
		}
	}
	return processes
}

// apply applies the coordinator's answer to a report that was sent at sent.
func (l *loadSharer) apply(sent time.Duration, g *sharedload.Grant) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Apply(sent, g)
	l.logChange(l.clock())
}

// logChange logs when a VM that shares load begins or ceases to have a fresh view. l.mu must be held.
func (l *loadSharer) logChange(now time.Duration) {
	age, fresh := l.holder.Age(now)
	if fresh == l.fresh || len(l.needed) == 0 {
		return
	}
	l.fresh = fresh
	if fresh {
		l.events.Emit(events.SharedLoadFresh, zap.Duration("age", age))
	} else {
		l.events.Emit(events.SharedLoadStale)
	}
}

// upstream implements proxy.Options.Load.
func (l *loadSharer) upstream(u registry.Upstream) (sharedload.Upstream, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.needed[u.Service] {
		return sharedload.Upstream{}, false
	}
	return l.holder.Upstream(l.clock(), u.Process())
}

// origins implements proxy.Options.LoadOrigins.
func (l *loadSharer) origins() []sharedload.Origin {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Origins(l.clock())
}

// overShare implements proxy.Options.OverShare.
func (l *loadSharer) overShare(account string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.needed) > 0 && l.holder.OverShare(l.clock(), account)
}

// viewAge returns the age of the view in seconds, -1 without a fresh one.
func (l *loadSharer) viewAge() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	age, fresh := l.holder.Age(l.clock())
	if !fresh || len(l.needed) == 0 {
		return -1
	}
	return age.Seconds()
}

// rejectedViews returns the number of views that were ignored because they can't be true.
func (l *loadSharer) rejectedViews() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.holder.Rejected())
}
