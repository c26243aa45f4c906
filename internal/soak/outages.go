package soak

import (
	"sync"
	"time"
)

// window is a time interval; it is open-ended if to is zero.
type window struct {
	from, to time.Time
}

// outages records when VMs were unreachable by every path: stopped, frozen, isolated or in a zone
// that was cut off. It is safe for concurrent use.
type outages struct {
	mu   sync.Mutex
	list map[string][]window // by VM
	open map[string]int      // number of active faults, by VM
}

func newOutages() *outages {
	return &outages{list: map[string][]window{}, open: map[string]int{}}
}

// begin records that a fault makes the VMs unreachable from at on.
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

// end records that a fault of the VMs is over. A VM is reachable again once all of its faults are
// over.
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

// during reports whether the VM was unreachable at any moment between from and to.
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

// lastEnd returns the latest end of an outage of the VM between from and at, or from if there is
// none. It returns false if the VM was unreachable at the time at.
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
