package fleet

import (
	"time"

	"go.uber.org/zap"

	"egretramp/internal/config"
	"egretramp/internal/control"
	"egretramp/internal/events"
	"egretramp/internal/membership"
	"egretramp/internal/ratelimit"
)

// beginIncarnation makes the parts of this VM that hold what an incarnation was given: without
// a lease and with empty shares.
func (f *Fleet) beginIncarnation(now time.Duration, incarnation int64) {
	f.ownIncarnation.Store(incarnation)
	f.registered = false
	f.holder = membership.NewHolder(now, membership.HolderOptions{
		VM: f.opts.VM, Zone: f.opts.Zone, Incarnation: uint64(incarnation),
		CutoffLimit: config.DefaultCutoffLimitSeconds * time.Second,
	})
	f.limiter = ratelimit.New(ratelimit.Options{
		VM: f.opts.VM, Zone: f.opts.Zone, Incarnation: uint64(incarnation), Lease: f.holder,
	})
}

// rejoinIfRemoved begins a new incarnation when control removed this VM, which it does to a VM
// that was cut off for so long that its lease surely ran out. Others have had its shares and
// its attempts since, so this VM must come back with nothing, as one that was started again.
func (f *Fleet) rejoinIfRemoved(now time.Duration, m control.Members) {
	for _, vm := range m.VMs {
		if vm.VM == f.opts.VM {
			f.registered = f.registered || vm.Incarnation == f.ownIncarnation.Load()
			return
		}
	}
	if !f.registered {
		return
	}
	incarnation := max(time.Now().UnixNano(), f.ownIncarnation.Load()+1)
	f.opts.Events.Emit(events.FleetRejoins, zap.Uint64("epoch", m.Epoch), zap.Int64("incarnation", incarnation))
	f.beginIncarnation(now, incarnation)
	f.refuseDraws()
	if f.opts.Rejoins != nil {
		f.opts.Rejoins(incarnation)
	}
}

// refuseDraws answers the draws that waited for the limiter of the last incarnation.
func (f *Fleet) refuseDraws() {
	for request, waiting := range f.draws {
		delete(f.draws, request)
		waiting <- ratelimit.Decision{
			Request: request, Reason: ratelimit.ReasonNoLease, RetryAfter: ratelimit.NoLeaseRetryAfter,
		}
	}
}
