package placement

import "time"

// Right is the right to order the engines of a zone.
type Right struct {
	Number uint64        `json:"number"`
	Since  time.Duration `json:"since"` // when it was given, time since boot
	// First says that nobody had it before.
	First bool `json:"first,omitempty"`
}

// Settings are the bounds of an Orderer.
type Settings struct {
	LoadTimeout time.Duration
	MinChange   time.Duration
}

// Step is what an order waits for.
type Step string

// The steps of an order.
const (
	StepDrain  Step = "drain"
	StepPermit Step = "permit"
	StepUnload Step = "unload"
	StepLoad   Step = "load"
	StepSettle Step = "settle" // the engine announces what it was ordered
)

// Order is one change of an engine under way.
type Order struct {
	ID string `json:"id"`
	Change
	Step Step `json:"step"`
	// Began is when the change was planned, time since boot.
	Began    time.Duration `json:"began"`
	Failures int           `json:"failures,omitempty"`

	idleSince     time.Duration // since when no call of the models to unload is under way; 0: one is
	drainedAt     time.Duration // when a dispatcher last agreed to the drain
	unloaded      int           // models of Unload that are unloaded
	permitAsked   time.Duration // the permit was surely not given before; 0: not asked for yet
	permitEnd     time.Duration // 0: no permit
	sent          bool          // an order was sent whose answer is not known
	loading       bool          // the load may be under way at the engine
	actionPending bool          // an action of the order is under way here
	nextAt        time.Duration // when the next action is due
	settleBy      time.Duration
}

// Action is what an Orderer wants done. Its outcome is reported by the method of its kind.
type Action struct {
	Kind   ActionKind
	ID     string
	Engine Engine
	Models []string // to drain
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	ActDrain        ActionKind = iota // reported by Drained
	ActPermit                         // reported by Permit
	ActReturnPermit                   // gives a permit back; no report
	ActEndDrain                       // ends a drain; no report
	ActSend                           // Send says what to send at that moment; reported by Answered
)

// Outcome is what became of a sent order.
type Outcome int

// The outcomes.
const (
	OutcomeDone    Outcome = iota // the engine carried it out
	OutcomeFailed                 // the engine answered that it could not
	OutcomeStale                  // the engine has seen a higher fencing number
	OutcomeUnknown                // no answer
)

// Result is the end of an order.
type Result struct {
	ID string `json:"id"`
	Change
	Code  Code          `json:"code"`
	Ended time.Duration `json:"ended"` // time since boot
}

// Code says how an order ended.
type Code string

// The ends of an order.
const (
	CodeDone          Code = "done"
	CodeNotObeyed     Code = "not_obeyed"   // the engine announces something else than ordered
	CodeFailed        Code = "failed"       // the engine failed to carry it out
	CodeEngineGone    Code = "engine_gone"  // it fell silent or started anew
	CodeNotDrained    Code = "not_drained"  // its calls did not end in time
	CodeLastReplica   Code = "last_replica" // what it was to unload has become the zone's last replica
	CodePermitExpired Code = "permit_over"  // the load permit ran out
	CodeRightLost     Code = "right_lost"   // another VM may order the zone now
	CodeAlreadyLoaded Code = "loaded"       // it serves the model already
)
