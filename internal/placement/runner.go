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
	// restInterval is the time between two looks at the configuration while it enables nothing.
	restInterval = time.Second
	eventQueue   = 256
	callTimeout  = 2 * time.Second
	// contactLimit is how lately the zone must have heard control for orders to be given.
	contactLimit = 4 * time.Second
	// rightEvery is how often the right is asked for while another VM has it.
	rightEvery = 3 * time.Second
	// giveUpAfter is how long a VM keeps the right after another became the first of its zone.
	giveUpAfter = 10 * time.Second
	// watchEvery is how often the engines are looked at while orders are under way.
	watchEvery = time.Second
	// unservedEvery is how often a VM tells of the calls that found no replica.
	unservedEvery = time.Second
)

// ErrStopped is returned after the runner has ended.
var ErrStopped = errors.New("placement: stopped")

// Network carries messages between VMs.
type Network interface {
	Send(vm, kind string, payload []byte)
}

// Control brings commands into the control group's log.
type Control interface {
	Propose(ctx context.Context, command control.Command) (control.Result, error)
}

// Fleet is this VM's part in the fleet.
type Fleet interface {
	// Current reports whether this VM holds its lease and its zone heard control within limit.
	Current(limit time.Duration) bool
	// Incarnation is the one under which it holds the lease.
	Incarnation() int64
	// Snapshot is the configuration in force, nil before there is one.
	Snapshot() *config.Snapshot
}

// Fabric reaches the engines and dispatchers.
type Fabric interface {
	// Zones returns the zones of the fleet.
	Zones() []string
	// Orderer returns the VM of a zone that orders its engines, empty if none is alive.
	Orderer(zone string) string
	// Demand returns what is known of the pools, by zone.
	Demand() map[string]ZoneDemand
	// Engines returns the engines of this VM's zone that announce themselves.
	Engines(ctx context.Context) ([]Engine, error)
	// Drain tells the dispatchers to send an engine no calls of models for DrainFor, and returns
	// how many are under way; ok is false if one of the zone's VMs did not agree.
	Drain(ctx context.Context, e Engine, models []string) (calls int, ok bool)
	// Lift ends a drain before its time.
	Lift(ctx context.Context, e Engine, models []string)
	// Order sends an order.
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

// Runner orders the engines of this VM's zone while it has the right to.
type Runner struct {
	opts   Options
	events chan func()
	done   chan struct{}
	tasks  *conc.WaitGroup
	ctx    context.Context

	refused refusals

	orderer  *Orderer
	trend    *Trend
	unserved map[string]heard[Unserved] // by VM
	reports  map[string]heard[Report]   // by zone
	plan     Plan
	engines  []Engine
	logged   int // results that are logged

	incarnation int64 // of the right
	asking      bool
	nextAsk     time.Duration
	above       uint64        // a fencing number that an engine refused
	first       time.Duration // when this VM was last the first of its zone
	listing     bool
	nextList    time.Duration
	nextPlan    time.Duration
	nextTell    time.Duration

	tick     uint64 // last move of the permits' clock that is known
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
		refused: refusals{calls: map[string]map[int64]int{}}, orderer: NewOrderer(), trend: NewTrend(),
		unserved: map[string]heard[Unserved]{}, reports: map[string]heard[Report]{},
	}
}

// Run gives orders until ctx ends. The right then passes on as this VM leaves the membership.
func (r *Runner) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer close(r.done)
	r.tasks, r.ctx = &tasks, ctx
	timer := time.NewTimer(clock.Align(restInterval))
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

// post queues an event for the runner's goroutine. It is dropped after the end.
func (r *Runner) post(event func()) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// task runs what blocks beside the runner's goroutine.
func (r *Runner) task(timeout time.Duration, run func(ctx context.Context)) {
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, timeout)
		defer cancel()
		run(ctx)
	})
}

// onTick does what is due and returns when to look again.
func (r *Runner) onTick() time.Duration {
	now := r.opts.Clock()
	settings, enabled := r.settings()
	if !enabled {
		r.setRight(now, nil)
		return restInterval
	}
	r.orderer.SetSettings(Settings{LoadTimeout: seconds(settings.LoadTimeoutSeconds), MinChange: seconds(settings.MinChangeSeconds)})
	r.tell(now)
	r.keepRight(now)
	if r.orderer.Right() == nil || !r.opts.Fleet.Current(contactLimit) {
		return tickInterval
	}
	r.list(now, seconds(settings.PlanSeconds))
	for _, a := range r.orderer.Next(now) {
		r.carryOut(a)
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

// keepRight asks for the right, and drops or gives it up.
func (r *Runner) keepRight(now time.Duration) {
	if r.orderer.Right() != nil && r.opts.Fleet.Incarnation() != r.incarnation {
		r.setRight(now, nil)
	}
	mine := r.opts.Fabric.Orderer(r.opts.Zone) == r.opts.VM
	if mine {
		r.first = now
	}
	if r.asking || now < r.nextAsk || !r.opts.Fleet.Current(contactLimit) {
		return
	}
	right := r.orderer.Right()
	switch {
	case mine && right == nil:
		r.takeRight(now)
	case right != nil && now-r.first > giveUpAfter && len(r.orderer.Orders()) == 0:
		r.giveUp(now, right.Number)
	}
}

func (r *Runner) takeRight(now time.Duration) {
	r.asking, r.nextAsk = true, now+rightEvery
	incarnation := r.opts.Fleet.Incarnation()
	command := control.Command{AcquireOrderRight: &control.AcquireOrderRight{
		Zone: r.opts.Zone, VM: r.opts.VM, Incarnation: incarnation, RefusedNumber: r.above,
	}}
	r.task(callTimeout, func(ctx context.Context) {
		result, err := r.opts.Control.Propose(ctx, command)
		r.post(func() {
			r.asking = false
			if err != nil || result.OrderRight == nil || r.opts.Fleet.Incarnation() != incarnation {
				return
			}
			r.incarnation = incarnation
			now := r.opts.Clock()
			r.setRight(now, &Right{Number: result.OrderRight.Number, Since: now, First: result.OrderRight.First})
		})
	})
}

func (r *Runner) giveUp(now time.Duration, number uint64) {
	r.asking, r.nextAsk = true, now+rightEvery
	r.setRight(now, nil) // before control may give it to another VM
	command := control.Command{ReleaseOrderRight: &control.ReleaseOrderRight{Zone: r.opts.Zone, Number: number}}
	r.task(callTimeout, func(ctx context.Context) {
		_, _ = r.opts.Control.Propose(ctx, command)
		r.post(func() { r.asking = false })
	})
}

// list looks at the zone's engines, and plans when a plan is due.
func (r *Runner) list(now time.Duration, planEvery time.Duration) {
	every := planEvery
	if len(r.orderer.Orders()) > 0 {
		every = min(every, watchEvery)
	}
	if r.listing || now < r.nextList && now < r.nextPlan {
		return
	}
	r.listing = true
	r.nextList = now + every
	r.task(callTimeout, func(ctx context.Context) {
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
	r.orderer.Observe(now, engines, Keeps(s))
	r.logResults()
	if now < r.nextPlan {
		return
	}
	r.nextPlan = now + planEvery
	r.trend.Observe(now, s.Models, s.Zones)
	s = r.snapshot(now, planEvery)
	r.plan = MakePlan(s)
	if r.opts.Fleet.Current(contactLimit) {
		r.orderer.Start(now, r.plan.Changes)
	}
	r.report(s)
}
