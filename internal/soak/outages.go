package soak

import (
	"sync"
	"time"
)

// window is a span of time; a zero end is open.
type window struct {
	from, to time.Time
}

// outages keeps the times at which VMs could not be reached by any path: dead, frozen, isolated
// or in a zone that was cut off. It is safe for concurrent use.
type outages struct {
	mu   sync.Mutex
	list map[string][]window // by VM
	open map[string]int      // faults under way, by VM
}

func newOutages() *outages {
	return &outages{list: map[string][]window{}, open: map[string]int{}}
}

// begin notes that a fault makes the VMs unreachable from now on.
func (o *outages) begin(at time.Time, vms ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, vm := range vms {
		o.open[vm]++
		if o.open[vm] == 1 {
			o.list[vm] = append(o.list[vm], window{from: at})
		}
	}
}

// end notes that a fault of the VMs is over. A VM is reachable when all of its faults are.
func (o *outages) end(at time.Time, vms ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, vm := range vms {
		o.open[vm]--
		if o.open[vm] == 0 {
			o.list[vm][len(o.list[vm])-1].to = at
		}
	}
}

// during reports whether the VM was unreachable at any moment of a span.
func (o *outages) during(vm string, from, to time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.list[vm] {
		if w.from.Before(to) && (w.to.IsZero() || w.to.After(from)) {
			return true
		}
	}
	return false
}

// lastEnd returns the latest end of an outage of the VM before at, or from if there is none
// after it; false if the VM was unreachable at that moment.
func (o *outages) lastEnd(vm string, from, at time.Time) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.list[vm] {
		if w.from.After(at) {
			break
		}
		if w.to.IsZero() || w.to.After(at) {
			return time.Time{}, false
		}
		if w.to.After(from) {
			from = w.to
		}
	}
	return from, true
}
