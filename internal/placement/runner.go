package placement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/config"
	"egretramp/internal/control"
	"egretramp/internal/events"
	"egretramp/internal/upstream/wire"
)

const (
	tickInterval = 100 * time.Millisecond
	// disabledInterval is the time between two checks of the configuration while placement is disabled.
	disabledInterval = time.Second
	eventQueue       = 256
	callTimeout      = 2 * time.Second
	// maxContactAge is the longest time since the zone's last contact with the control group for orders
	// to be sent.
	maxContactAge = 4 * time.Second
	// rightInterval is the time between requests for the right while another VM has it.
	rightInterval = 3 * time.Second
	// releaseRightAfter is how long a VM keeps the right after another became the first of its zone.
	releaseRightAfter = 10 * time.Second
	// listInterval is the time between two listings of the engines while orders are in progress.
	listInterval = time.Second
	// unservedInterval is the time between two messages of a VM about unserved calls.
	unservedInterval = time.Second
)

// ErrStopped is returned after the runner has ended.
var ErrStopped = errors.New("placement: stopped")

// Network sends messages to other VMs.
type Network interface {
	Send(vm, kind string, payload []byte)
}

// Control proposes commands for the control group's log.
type Control interface {
	Propose(ctx context.Context, command control.Command) (control.Result, error)
}

// Fleet is this VM's view of the fleet and of its own membership.
type Fleet interface {
	// Current reports whether this VM holds its lease and its zone had contact with the control group
	// within limit.
	Current(limit time.Duration) bool
	// Incarnation returns the incarnation under which this VM holds the lease.
	Incarnation() int64
	// Snapshot returns the configuration in force, nil before there is one.
	Snapshot() *config.Snapshot
}

// Fabric gives access to the engines and dispatchers.
type Fabric interface {
	// Zones returns the zones of the fleet.
	Zones() []string
	// Orderer returns the VM of a zone that orders its engines, empty if none is alive.
	Orderer(zone string) string
	// Demand returns the last known load of the engines' pools, by zone.
	Demand() map[string]ZoneDemand
	// Engines returns the announced engines of this VM's zone.
	Engines(ctx context.Context) ([]Engine, error)
	// Drain makes the dispatchers send an engine no calls of models for DrainDuration, and returns how
	// many are running; ok is false if one of the zone's VMs did not agree.
	Drain(ctx context.Context, e Engine, models []string) (calls int, ok bool)
	// EndDrain ends a drain before DrainDuration has passed.
	EndDrain(ctx context.Context, e Engine, models []string)
	// Order sends an order to the engine at an address.
	Order(ctx context.Context, address string, o wire.Order) Outcome
}

// Options configure a Runner.
type Options struct {
	VM      string
	Zone    string
	Network Network
	Control Control
	Fleet   Fleet
	Fabric  Fabric
	Events  *events.Logger
	Clock   func() time.Duration // default clock.Now
}

// Runner orders the engines of this VM's zone while the VM has the right to.
type Runner struct {
	opts   Options
	events chan func()
	done   chan struct{}
	tasks  *conc.WaitGroup
	ctx    context.Context

	unservedHere unservedCounter

	orderer       *Orderer
	trend         *Trend
	unserved      map[string]received[Unserved] // by VM
	reports       map[string]received[Report]   // by zone
	plan          Plan
	engines       []Engine
	loggedResults int // number of results that are logged

	rightIncarnation int64 // incarnation to which the right was granted
	rightPending     bool
	nextRightRequest time.Duration
	refusedFencing   uint64        // a fencing number that an engine refused
	lastFirst        time.Duration // when this VM was last the first live VM of its zone
	listing          bool
	nextList         time.Duration
	nextPlan         time.Duration
	nextUnserved     time.Duration

	tick     uint64 // last known tick of the permits' clock
	tickAt   time.Duration
	underWay int
}

// NewRunner returns a runner; Run drives it.
func NewRunner(opts Options) *Runner {
	if opts.Clock == nil {
		opts.Clock = clock.Now
	}
	return &Runner{
		opts: opts, events: make(chan func(), eventQueue), done: make(chan struct{}),
		unservedHere: unservedCounter{calls: map[string]map[int64]int{}}, orderer: NewOrderer(), trend: NewTrend(),
		unserved: map[string]received[Unserved]{}, reports: map[string]received[Report]{},
	}
}

// Run sends orders until ctx ends. The right then passes to another VM as this one leaves the
// membership.
func (r *Runner) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer close(r.done)
	r.tasks, r.ctx = &tasks, ctx
	timer := time.NewTimer(clock.Align(disabledInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-r.events:
			event()
		case <-timer.C:
			timer.Reset(clock.Align(r.onTick()))
		}
	}
}

// post queues an event for the runner's goroutine, or drops it after Run has ended.
func (r *Runner) post(event func()) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// runAsync runs a blocking function on a goroutine of its own, with a timeout.
func (r *Runner) runAsync(timeout time.Duration, run func(ctx context.Context)) {
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, timeout)
		defer cancel()
		run(ctx)
	})
}

// onTick does what is due and returns the time until the next tick.
func (r *Runner) onTick() time.Duration {
	now := r.opts.Clock()
	settings, enabled := r.settings()
	if !enabled {
		r.setRight(now, nil)
		return disabledInterval
	}
	r.orderer.SetSettings(Settings{LoadTimeout: seconds(settings.LoadTimeoutSeconds), MinChange: seconds(settings.MinChangeSeconds)})
	r.sendUnserved(now)
	r.maintainRight(now)
	if r.orderer.Right() == nil || !r.opts.Fleet.Current(maxContactAge) {
		return tickInterval
	}
	r.listEngines(now, seconds(settings.PlanSeconds))
	for _, a := range r.orderer.Next(now) {
		r.execute(a)
	}
	return tickInterval
}

func (r *Runner) settings() (config.Placement, bool) {
	snapshot := r.opts.Fleet.Snapshot()
	if snapshot == nil {
		return config.Placement{}, false
	}
	p := snapshot.Placement()
	return p, p.Enabled
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (r *Runner) setRight(now time.Duration, right *Right) {
	was := r.orderer.Right()
	r.orderer.SetRight(now, right)
	switch {
	case right != nil && (was == nil || was.Number != right.Number):
		r.opts.Events.Emit(events.OrderRightTaken, zap.Uint64("fencing", right.Number), zap.Bool("first", right.First))
	case right == nil && was != nil:
		r.opts.Events.Emit(events.OrderRightLost, zap.Uint64("fencing", was.Number))
	}
}

// maintainRight requests the right, drops it when the incarnation has changed, and releases it when
// another VM has become the first of the zone.
func (r *Runner) maintainRight(now time.Duration) {
	if r.orderer.Right() != nil && r.opts.Fleet.Incarnation() != r.rightIncarnation {
		r.setRight(now, nil)
	}
	mine := r.opts.Fabric.Orderer(r.opts.Zone) == r.opts.VM
	if mine {
		r.lastFirst = now
	}
	if r.rightPending || now < r.nextRightRequest || !r.opts.Fleet.Current(maxContactAge) {
		return
	}
	right := r.orderer.Right()
	switch {
	case mine && right == nil:
		r.requestRight(now)
	case right != nil && now-r.lastFirst > releaseRightAfter && len(r.orderer.Orders()) == 0:
		r.releaseRight(now, right.Number)
	}
}

func (r *Runner) requestRight(now time.Duration) {
	r.rightPending, r.nextRightRequest = true, now+rightInterval
	incarnation := r.opts.Fleet.Incarnation()
	command := control.Command{AcquireOrderRight: &control.AcquireOrderRight{
		Zone: r.opts.Zone, VM: r.opts.VM, Incarnation: incarnation, RefusedNumber: r.refusedFencing,
	}}
	r.runAsync(callTimeout, func(ctx context.Context) {
		result, err := r.opts.Control.Propose(ctx, command)
		r.post(func() {
			r.rightPending = false
			if err != nil || result.OrderRight == nil || r.opts.Fleet.Incarnation() != incarnation {
				return
			}
			r.rightIncarnation = incarnation
			now := r.opts.Clock()
			r.setRight(now, &Right{Number: result.OrderRight.Number, Since: now, First: result.OrderRight.First})
		})
	})
}

func (r *Runner) releaseRight(now time.Duration, number uint64) {
	r.rightPending, r.nextRightRequest = true, now+rightInterval
	r.setRight(now, nil) // before the control group can grant it to another VM
	command := control.Command{ReleaseOrderRight: &control.ReleaseOrderRight{Zone: r.opts.Zone, Number: number}}
	r.runAsync(callTimeout, func(ctx context.Context) {
		_, _ = r.opts.Control.Propose(ctx, command)
		r.post(func() { r.rightPending = false })
	})
}

// listEngines lists the zone's engines, and makes a plan when one is due.
func (r *Runner) listEngines(now time.Duration, planEvery time.Duration) {
	every := planEvery
	if len(r.orderer.Orders()) > 0 {
		every = min(every, listInterval)
	}
	if r.listing || now < r.nextList && now < r.nextPlan {
		return
	}
	r.listing = true
	r.nextList = now + every
	r.runAsync(callTimeout, func(ctx context.Context) {
		engines, err := r.opts.Fabric.Engines(ctx)
		r.post(func() {
			r.listing = false
			if err == nil {
				r.observe(engines, planEvery)
			}
		})
	})
}

func (r *Runner) observe(engines []Engine, planEvery time.Duration) {
	now := r.opts.Clock()
	if r.orderer.Right() == nil {
		return
	}
	r.engines = engines
	s := r.snapshot(now, planEvery)
	r.orderer.Observe(now, engines, RequiredModels(s))
	r.logResults()
	if now < r.nextPlan {
		return
	}
	r.nextPlan = now + planEvery
	r.trend.Observe(now, s.Models, s.Zones)
	s = r.snapshot(now, planEvery)
	r.plan = MakePlan(s)
	if r.opts.Fleet.Current(maxContactAge) {
		r.orderer.Start(now, r.plan.Changes)
	}
	r.sendReport(s)
}
