package placement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"egretramp/internal/upstream/wire"
)

// Intervals and limits of orders.
const (
	// drainInterval is the time between renewals of a drain.
	drainInterval = time.Second
	// DrainDuration is how long a dispatcher keeps to a drain that is not renewed.
	DrainDuration = 10 * time.Second
	// maxDrainAge is the maximum age of the dispatchers' agreement to a drain when an unload is sent.
	maxDrainAge = 2 * time.Second
	// minIdleTime is how long an engine must have run no call of a model before it is unloaded: a
	// dispatcher that has just taken over learns of the running calls within that time.
	minIdleTime = 3 * time.Second
	// drainTimeout is the time after which a change ends if its engine still runs calls.
	drainTimeout = 10 * time.Minute
	// permitInterval is the time between requests for a permit.
	permitInterval = time.Second
	// orderTransit bounds the time from the check of lease and permit to the engine's receipt of an order.
	orderTransit = time.Second
	// resendDelay is the delay before an order that failed or got no answer is sent again.
	resendDelay = 2 * time.Second
	// maxFailures is the number of failed orders after which a change ends.
	maxFailures = 5
	// settleTimeout is how long an engine may take to announce the loaded model.
	settleTimeout = 10 * time.Second
	// maxDriftPerMille bounds the difference in rate between this VM's clock and the control group's.
	maxDriftPerMille = 10
	// maxResults is the number of results that are kept.
	maxResults = 32
)

// Orderer carries out the changes of one zone's engines. It does no I/O, and isn't safe for concurrent
// use.
type Orderer struct {
	settings Settings
	right    *Right
	serial   int
	orders   map[string]*Order // by engine
	engines  map[string]Engine
	// changedAt is when each engine was last changed.
	changedAt     map[string]time.Duration
	required      map[string]bool
	permitReturns []string
	drainEnds     []Action
	results       []Result
	ended         int
}

// NewOrderer returns an orderer without a right.
func NewOrderer() *Orderer {
	return &Orderer{orders: map[string]*Order{}, engines: map[string]Engine{}, changedAt: map[string]time.Duration{}}
}

// SetSettings sets the time limits.
func (o *Orderer) SetSettings(s Settings) { o.settings = s }

// Right returns the right under which orders are sent, nil without one.
func (o *Orderer) Right() *Right { return o.right }

// SetRight sets the right, nil if it is lost. All orders under another right end.
func (o *Orderer) SetRight(now time.Duration, r *Right) {
	if r != nil && o.right != nil && r.Number == o.right.Number {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(o.orders)) {
		o.end(now, o.orders[name], CodeRightLost)
	}
	o.right = r
}

// Ready reports whether orders may be sent. A VM that takes over from another waits until no order of
// that VM can be in progress, and the least time since the last change of any engine has passed.
func (o *Orderer) Ready(now time.Duration) bool {
	return o.right != nil && (o.right.First || now-o.right.Since >= o.settings.MinChange+orderTransit)
}

// Blocked reports whether an engine may not be changed now.
func (o *Orderer) Blocked(now time.Duration, engine string) bool {
	at, changed := o.changedAt[engine]
	return o.orders[engine] != nil || changed && now-at < o.settings.MinChange
}

// Unloading returns the models that an order in progress unloads from an engine.
func (o *Orderer) Unloading(engine string) []string {
	if order := o.orders[engine]; order != nil {
		return order.Unload
	}
	return nil
}

// Loading returns the number of loads in progress, by model.
func (o *Orderer) Loading() map[string]int {
	coming := map[string]int{}
	for _, order := range o.orders {
		coming[order.Load]++
	}
	return coming
}

// Orders returns the orders in progress, sorted by engine name.
func (o *Orderer) Orders() []Order {
	all := make([]Order, 0, len(o.orders))
	for _, name := range slices.Sorted(maps.Keys(o.orders)) {
		all = append(all, *o.orders[name])
	}
	return all
}

// Results returns the last maxResults results, oldest first.
func (o *Orderer) Results() []Result { return slices.Clone(o.results) }

// Ended returns the number of all orders that have ended.
func (o *Orderer) Ended() int { return o.ended }

// Start begins the changes of a plan.
func (o *Orderer) Start(now time.Duration, changes []Change) {
	if !o.Ready(now) {
		return
	}
	for _, c := range changes {
		if o.Blocked(now, c.Engine) {
			panic("placement: engine " + c.Engine + " is changed again too soon")
		}
		o.serial++
		order := &Order{
			ID: fmt.Sprintf("%d-%d", o.right.Number, o.serial), Change: c, Step: StepPermit, Began: now, nextAt: now,
		}
		if len(c.Unload) > 0 {
			order.Step = StepDrain
		}
		o.orders[c.Engine] = order
	}
}

// Observe updates the announced engines of the zone and the models whose last replica the zone must
// keep, and ends the orders in progress that they show to be complete or impossible.
func (o *Orderer) Observe(now time.Duration, engines []Engine, keeps map[string]bool) {
	o.engines = make(map[string]Engine, len(engines))
	for _, e := range engines {
		o.engines[e.Name] = e
	}
	o.required = keeps
	for _, name := range slices.Sorted(maps.Keys(o.orders)) {
		o.reconcile(now, o.orders[name])
	}
	for name, at := range o.changedAt {
		if _, known := o.engines[name]; !known && now-at >= o.settings.MinChange {
			delete(o.changedAt, name)
		}
	}
}

func (o *Orderer) reconcile(now time.Duration, order *Order) {
	e, known := o.engines[order.Engine]
	serves := slices.Contains(e.Serves, order.Load)
	switch {
	case !known || e.Incarnation != order.Incarnation:
		// A restarted engine no longer runs the load.
		order.loading = order.loading && !known
		o.end(now, order, CodeEngineGone)
	case order.Step == StepSettle && serves:
		o.end(now, order, CodeDone)
	case order.Step == StepSettle && now >= order.settleBy:
		o.end(now, order, CodeNotObeyed)
	case serves && order.Step == StepLoad && order.loading && !order.actionPending:
		order.loading = false // the answer was lost
		o.end(now, order, CodeDone)
	case serves && !order.loading && order.unloaded == 0 && !order.sent:
		o.end(now, order, CodeAlreadyLoaded)
	case order.Step == StepDrain && now-order.Began > drainTimeout:
		o.end(now, order, CodeNotDrained)
	}
}

// end ends an order. Its permit is returned, unless the load may still be running: then it expires.
func (o *Orderer) end(now time.Duration, order *Order, code Code) {
	delete(o.orders, order.Engine)
	o.ended++
	if e, known := o.engines[order.Engine]; known && order.drainedAt > 0 && order.unloaded < len(order.Unload) && !order.sent {
		o.drainEnds = append(o.drainEnds, Action{Kind: ActEndDrain, ID: order.ID, Engine: e, Models: order.Unload[order.unloaded:]})
	}
	if order.permitAsked > 0 && !order.loading {
		o.permitReturns = append(o.permitReturns, order.ID)
	}
	o.results = append(o.results, Result{ID: order.ID, Change: order.Change, Code: code, Ended: now})
	if len(o.results) > maxResults {
		o.results = slices.Clone(o.results[len(o.results)-maxResults:])
	}
}

// Next returns the actions that are due.
func (o *Orderer) Next(now time.Duration) []Action {
	var actions []Action
	for _, id := range o.permitReturns {
		actions = append(actions, Action{Kind: ActReturnPermit, ID: id})
	}
	actions = append(actions, o.drainEnds...)
	o.permitReturns, o.drainEnds = nil, nil
	if !o.Ready(now) {
		return actions
	}
	for _, name := range slices.Sorted(maps.Keys(o.orders)) {
		order := o.orders[name]
		if order.actionPending || now < order.nextAt {
			continue
		}
		if a, due := o.nextAction(now, order); due {
			order.actionPending = true
			actions = append(actions, a)
		}
	}
	return actions
}

// nextAction returns an order's next action, if one is due.
func (o *Orderer) nextAction(now time.Duration, order *Order) (Action, bool) {
	a := Action{ID: order.ID, Engine: o.engines[order.Engine], Models: order.Unload}
	drainDue := len(order.Unload) > order.unloaded && now-order.drainedAt >= drainInterval
	switch {
	case order.Step == StepSettle:
		return a, false
	case order.Step == StepDrain, drainDue:
		a.Kind = ActDrain
	case order.Step == StepPermit:
		if order.permitAsked == 0 {
			order.permitAsked = now
		}
		a.Kind = ActPermit
	case !o.permitCovers(now, order):
		o.end(now, order, CodePermitExpired)
		return a, false
	default:
		a.Kind = ActSend
	}
	return a, true
}

// permitCovers reports whether a load that begins now ends within its permit.
func (o *Orderer) permitCovers(now time.Duration, order *Order) bool {
	return order.permitEnd > 0 && now+orderTransit+o.settings.LoadTimeout <= order.permitEnd
}

// actionEnded returns the order of an action that has ended, nil if the order itself has ended.
func (o *Orderer) actionEnded(id string) *Order {
	for _, order := range o.orders {
		if order.ID == id {
			order.actionPending = false
			return order
		}
	}
	return nil
}

// Drained reports the dispatchers' answer to a drain that was requested at began: the number of running
// calls of the models on the engine; ok is false if a dispatcher did not agree.
func (o *Orderer) Drained(now, began time.Duration, id string, calls int, ok bool) {
	order := o.actionEnded(id)
	if order == nil {
		return
	}
	order.nextAt = now + drainInterval
	e := o.engines[order.Engine]
	alone := len(e.Serves) == len(order.Unload)
	switch {
	case !ok, calls > 0, alone && e.Running > 0 && order.unloaded == 0:
		order.idleSince = 0
	case order.idleSince == 0 || began-order.drainedAt > DrainDuration:
		order.idleSince = began
	}
	if !ok {
		return
	}
	order.drainedAt = began
	if order.idleSince == 0 || began-order.idleSince < minIdleTime {
		order.Step = StepDrain
		return
	}
	if order.Step == StepDrain {
		order.Step = StepPermit
		if order.permitEnd > 0 {
			order.Step = StepUnload
		}
	}
	order.nextAt = now
}

// Permit reports the answer to a permit request that was sent at began; granted is how long the permit
// lasts, 0 if it was not granted, negative if the answer was lost.
func (o *Orderer) Permit(now, began time.Duration, id string, granted time.Duration) {
	order := o.actionEnded(id)
	if order == nil || order.Step != StepPermit {
		return
	}
	order.nextAt = now + permitInterval
	if granted == 0 {
		// An earlier request may still arrive and be granted, but was not granted before this one.
		order.permitAsked = began
	}
	if granted <= 0 {
		return
	}
	order.permitEnd = order.permitAsked + granted - granted*maxDriftPerMille/1000
	order.nextAt = now
	order.Step = StepLoad
	if len(order.Unload) > 0 {
		order.Step = StepUnload
	}
	if !o.permitCovers(now, order) {
		o.end(now, order, CodePermitExpired)
	}
}

// Send returns the order to send now. It is called immediately before sending, after the caller has
// checked its lease and right.
func (o *Orderer) Send(now time.Duration, id string) (wire.Order, bool) {
	order := o.actionEnded(id)
	if order == nil || !o.Ready(now) || !o.permitCovers(now, order) {
		return wire.Order{}, false
	}
	order.nextAt = now
	e := o.engines[order.Engine]
	w := wire.Order{ID: order.ID, Fencing: o.right.Number, TimeoutMS: o.settings.LoadTimeout.Milliseconds()}
	switch order.Step {
	case StepUnload:
		model := order.Unload[order.unloaded]
		if !o.mayUnload(now, order, model) {
			return wire.Order{}, false
		}
		w.Kind, w.Model = wire.OrderUnloadModel, e.Names[model]
		w.ID += "-unload-" + model
	case StepLoad:
		w.Kind, w.Model = wire.OrderLoadModel, order.Load
		order.loading = true
	default:
		return wire.Order{}, false
	}
	o.recordChange(now, order)
	order.actionPending, order.sent = true, true
	return w, true
}

// mayUnload checks immediately before sending that the engine is drained and that the zone keeps
// another replica if it must. Otherwise the order returns to StepDrain or ends.
func (o *Orderer) mayUnload(now time.Duration, order *Order, model string) bool {
	if order.idleSince == 0 || now-order.drainedAt >= maxDrainAge {
		order.Step, order.nextAt = StepDrain, now
		return false
	}
	if !o.required[model] || o.otherReplicas(order.Engine, model) > 0 {
		return true
	}
	o.end(now, order, CodeLastReplica)
	return false
}

// otherReplicas counts the replicas of a model on other engines, without those that an order unloads.
func (o *Orderer) otherReplicas(engine, model string) int {
	n := 0
	for name, e := range o.engines {
		if name != engine && slices.Contains(e.Serves, model) && !slices.Contains(o.Unloading(name), model) {
			n++
		}
	}
	return n
}

// recordChange records the time at which an order is sent, and panics if the engine's last change is
// too recent. Every order of a change updates the time, since the first ones may be lost.
func (o *Orderer) recordChange(now time.Duration, order *Order) {
	at, changed := o.changedAt[order.Engine]
	if changed && at < order.Began && now-at < o.settings.MinChange {
		panic("placement: engine " + order.Engine + " is changed again too soon")
	}
	o.changedAt[order.Engine] = now
}

// Answered reports the outcome of a sent order.
func (o *Orderer) Answered(now time.Duration, id string, outcome Outcome) {
	order := o.actionEnded(id)
	if order == nil {
		return
	}
	order.nextAt = now + resendDelay
	switch outcome {
	case OutcomeDone:
		o.advance(now, order)
	case OutcomeFailed:
		order.sent, order.loading = false, false
		order.Failures++
		if order.Failures >= maxFailures {
			o.end(now, order, CodeFailed)
		}
	case OutcomeStale:
		order.loading = false
		o.end(now, order, CodeRightLost)
	case OutcomeUnknown:
		// Sent again under the same ID.
	}
}

func (o *Orderer) advance(now time.Duration, order *Order) {
	order.sent, order.nextAt = false, now
	if order.Step == StepUnload {
		order.unloaded++
		if order.unloaded == len(order.Unload) {
			order.Step = StepLoad
		}
		return
	}
	order.loading, order.sent = false, true
	order.Step, order.settleBy = StepSettle, now+settleTimeout
	// The load has ended, so its permit is free for another.
	o.permitReturns = append(o.permitReturns, order.ID)
	order.permitAsked = 0
}
