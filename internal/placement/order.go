package placement

import "time"

// Right is the right to order the engines of a zone.
type Right struct {
	Number uint64        `json:"number"` // fencing number of orders
	Since  time.Duration `json:"since"`  // when it was granted, as time since boot
	// First reports that no VM had the right before.
	First bool `json:"first,omitempty"`
}

// Settings are the time limits of an Orderer: the longest duration of a load, and the least time
// between two changes of an engine.
type Settings struct {
	LoadTimeout time.Duration
	MinChange   time.Duration
}

// Step is the stage of an order.
type Step string

// The steps of an order, in their sequence.
const (
	StepDrain  Step = "drain"
	StepPermit Step = "permit"
	StepUnload Step = "unload"
	StepLoad   Step = "load"
	StepSettle Step = "settle" // wait until the engine announces the loaded model
)

// Order is a change of an engine in progress.
type Order struct {
	ID string `json:"id"`
	Change
	Step Step `json:"step"`
	// Began is when the change was planned, as time since boot.
	Began    time.Duration `json:"began"`
	Failures int           `json:"failures,omitempty"`

	idleSince     time.Duration // since when no call of the models to unload is running; 0: one may be
	drainedAt     time.Duration // when the last drain to which all dispatchers agreed was requested
	unloaded      int           // number of models of Unload that are unloaded
	permitAsked   time.Duration // the permit was certainly not granted before; 0: not requested yet
	permitEnd     time.Duration // 0: no permit
	sent          bool          // an order was sent whose outcome is not known
	loading       bool          // the engine may be loading the model
	actionPending bool          // an action of the order is in progress at the caller
	nextAt        time.Duration // when the next action is due
	settleBy      time.Duration
}

// Action is what the caller of an Orderer must do. The outcome is reported by the method named at the
// action's kind.
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
	ActReturnPermit                   // returns a permit; no report
	ActEndDrain                       // ends a drain; no report
	ActSend                           // sends the order that Send returns at that moment; reported by Answered
)

// Outcome is the outcome of a sent order.
type Outcome int

// The outcomes of a sent order.
const (
	OutcomeDone    Outcome = iota // the engine carried it out
	OutcomeFailed                 // the engine answered that the order failed
	OutcomeStale                  // the engine has seen a higher fencing number
	OutcomeUnknown                // no answer
)

// Result is the record of an ended order.
type Result struct {
	ID string `json:"id"`
	Change
	Code  Code          `json:"code"`
	Ended time.Duration `json:"ended"` // time since boot
}

// Code is the reason for the end of an order.
type Code string

// The reasons for the end of an order.
const (
	CodeDone          Code = "done"
	CodeNotObeyed     Code = "not_obeyed"   // the engine did not announce the loaded model in time
	CodeFailed        Code = "failed"       // the engine answered maxFailures times that it failed
	CodeEngineGone    Code = "engine_gone"  // the engine is no longer announced, or has restarted
	CodeNotDrained    Code = "not_drained"  // the engine's calls did not end in time
	CodeLastReplica   Code = "last_replica" // a replica to unload has become the zone's last one
	CodePermitExpired Code = "permit_over"  // the load permit has expired, or would during the load
	CodeRightLost     Code = "right_lost"   // another VM may order the zone now
	CodeAlreadyLoaded Code = "loaded"       // the engine serves the model already
)
