package placement

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"egretramp/internal/control"
	"egretramp/internal/events"
	"egretramp/internal/upstream/wire"
)

// execute performs an action of the orderer.
func (r *Runner) execute(a Action) {
	switch a.Kind {
	case ActDrain:
		r.drain(a)
	case ActPermit:
		r.requestPermit(a)
	case ActReturnPermit:
		r.returnPermit(a.ID)
	case ActEndDrain:
		r.runAsync(callTimeout, func(ctx context.Context) { r.opts.Fabric.EndDrain(ctx, a.Engine, a.Models) })
	case ActSend:
		r.send(a)
	}
}

func (r *Runner) drain(a Action) {
	began := r.opts.Clock()
	r.runAsync(callTimeout, func(ctx context.Context) {
		calls, ok := r.opts.Fabric.Drain(ctx, a.Engine, a.Models)
		r.post(func() { r.orderer.Drained(r.opts.Clock(), began, a.ID, calls, ok) })
	})
}

// requestPermit requests a load permit from the control group. The request has the last known tick of
// the permits' clock and the time since it was received.
func (r *Runner) requestPermit(a Action) {
	right := r.orderer.Right()
	began := r.opts.Clock()
	take := &control.AcquireLoadPermit{ID: a.ID, Zone: r.opts.Zone, Number: right.Number, Tick: r.tick}
	if r.tick > 0 {
		take.ElapsedMS = (began - r.tickAt).Milliseconds()
	}
	r.runAsync(callTimeout, func(ctx context.Context) {
		result, err := r.opts.Control.Propose(ctx, control.Command{AcquireLoadPermit: take})
		r.post(func() { r.permitAnswered(a.ID, began, result, err) })
	})
}

func (r *Runner) permitAnswered(id string, began time.Duration, result control.Result, err error) {
	now := r.opts.Clock()
	if err == nil && result.Refusal != nil && result.Refusal.Code == control.CodeOrderRightLost {
		r.setRight(now, nil)
		return
	}
	if err != nil || result.Load == nil {
		r.orderer.Permit(now, began, id, -1)
		return
	}
	r.updateTick(now, result.Load)
	granted := time.Duration(0)
	if result.Load.Granted {
		granted = time.Duration(result.Load.DurationMS) * time.Millisecond
	}
	r.orderer.Permit(now, began, id, granted)
}

func (r *Runner) updateTick(now time.Duration, a *control.LoadPermitResult) {
	if a.Tick > r.tick {
		r.tick, r.tickAt = a.Tick, now
	}
	r.underWay = a.PermitsHeld
}

// returnPermit returns a permit. If the request is lost, the permit expires.
func (r *Runner) returnPermit(id string) {
	r.runAsync(callTimeout, func(ctx context.Context) {
		result, err := r.opts.Control.Propose(ctx, control.Command{ReleaseLoadPermit: &control.ReleaseLoadPermit{ID: id}})
		if err == nil && result.Load != nil {
			r.post(func() { r.updateTick(r.opts.Clock(), result.Load) })
		}
	})
}

// send sends an order. Lease and right are checked immediately before.
func (r *Runner) send(a Action) {
	now := r.opts.Clock()
	incarnation := r.rightIncarnation
	if !r.mayOrder(incarnation) {
		r.orderer.Answered(now, a.ID, OutcomeUnknown)
		return
	}
	order, ok := r.orderer.Send(now, a.ID)
	r.logResults()
	if !ok {
		return
	}
	r.opts.Events.Emit(events.OrderSent, zap.String("order", order.ID), zap.String("engine", a.Engine.Name),
		zap.String("kind", string(order.Kind)), zap.String("model", order.Model))
	r.runAsync(time.Duration(order.TimeoutMS)*time.Millisecond, func(ctx context.Context) {
		outcome := OutcomeUnknown
		if r.mayOrder(incarnation) {
			outcome = r.opts.Fabric.Order(ctx, a.Engine.Address, order)
		}
		r.post(func() { r.answered(a, order, outcome) })
	})
}

// mayOrder reports whether this VM holds its lease under the incarnation to which a right was granted.
func (r *Runner) mayOrder(incarnation int64) bool {
	return r.opts.Fleet.Current(maxContactAge) && r.opts.Fleet.Incarnation() == incarnation
}

func (r *Runner) answered(a Action, order wire.Order, outcome Outcome) {
	now := r.opts.Clock()
	r.orderer.Answered(now, a.ID, outcome)
	r.logResults()
	if outcome == OutcomeStale {
		r.opts.Events.Emit(events.OrderRefused, zap.String("order", order.ID), zap.String("engine", a.Engine.Name))
		r.refusedFencing = max(r.refusedFencing, order.Fencing)
		r.setRight(now, nil)
	}
}

// logResults logs the orders that have ended since the last call.
func (r *Runner) logResults() {
	results := r.orderer.Results()
	news := min(r.orderer.Ended()-r.loggedResults, len(results))
	r.loggedResults = r.orderer.Ended()
	for _, result := range results[len(results)-news:] {
		r.opts.Events.Emit(events.OrderEnded, zap.String("order", result.ID), zap.String("engine", result.Engine),
			zap.String("load", result.Load), zap.Strings("unload", result.Unload), zap.String("code", string(result.Code)))
	}
}

// Status returns the runner's state, or ErrStopped after it has ended.
func (r *Runner) Status(ctx context.Context) (Status, error) {
	result := make(chan Status, 1)
	r.post(func() { result <- r.status() })
	select {
	case s := <-result:
		return s, nil
	case <-r.done:
		return Status{}, ErrStopped
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (r *Runner) status() Status {
	_, enabled := r.settings()
	return Status{
		Zone: r.opts.Zone, VM: r.opts.VM, Enabled: enabled, Right: r.orderer.Right(),
		Reachable: r.opts.Fleet.Current(maxContactAge), Ready: r.orderer.Ready(r.opts.Clock()), UnderWay: r.underWay,
		Plan: r.plan, Engines: r.engines, Orders: r.orderer.Orders(), Results: r.orderer.Results(),
	}
}

// HandleStatus answers a call of MethodStatus with the state as JSON.
func (r *Runner) HandleStatus(ctx context.Context, _ string, _ []byte) ([]byte, error) {
	s, err := r.Status(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(s)
}
