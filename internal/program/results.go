package program

// Code is the outcome of a command or query.
type Code string

// The codes. All but CodeOK are refusals: the command did not have the requested effect.
const (
	CodeOK              Code = "ok"
	CodeBusy            Code = "busy"             // a turn of the program is under way
	CodeOutOfOrder      Code = "out_of_order"     // the turn is not the expected one
	CodeTurnConflict    Code = "turn_conflict"    // the turn was begun with another request
	CodeBudgetExceeded  Code = "budget_exceeded"  // the program's or an ancestor's budget is used up
	CodeHistoryMismatch Code = "history_mismatch" // the conversation sent does not extend the record
	CodeUnknownOutcome  Code = "unknown_outcome"  // the turn may have run and is not run again
	CodeEnded           Code = "program_ended"
	CodeExpired         Code = "program_expired"
	CodeNoProgram       Code = "no_program"
	CodeProgramConflict Code = "program_conflict"  // the name is taken by a program with other arguments
	CodeTooMany         Code = "too_many_programs" // the account has reached its limit of programs
	CodeTooLarge        Code = "program_too_large" // the program's record has reached its limit of bytes
	CodeSuperseded      Code = "attempt_superseded"
	CodeOwnerFenced     Code = "owner_fenced" // the proposing VM's incarnation was declared lost
	CodeStale           Code = "stale_command"
	CodeBadCommand      Code = "bad_command"
	// CodeNoZoneGroup: the zone has no control VM that could store a program.
	CodeNoZoneGroup Code = "no_zone_group"
)

// Result is the machine's response to an Envelope or a Query.
type Result struct {
	Code Code `json:"code"`
	// Detail explains a refusal; empty for CodeOK.
	Detail string `json:"detail,omitempty"`
	// MayHaveRun is set, for a refused Begin or a Revoke, if an earlier attempt of the same turn
	// may have run.
	MayHaveRun bool `json:"may_have_run,omitempty"`
	// RetryAfterMS is the delay after which a retry may succeed. 0: a retry does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// ExpectedTurn is the next turn of the program, for CodeOutOfOrder and others.
	ExpectedTurn uint64 `json:"expected_turn,omitempty"`
	// RecordedMessages is the length of the history, for CodeHistoryMismatch.
	RecordedMessages int `json:"recorded_messages,omitempty"`
	// Remaining is what the program may still use, for CodeBudgetExceeded.
	Remaining *Budget `json:"remaining,omitempty"`
	// Busy describes the turn under way, for CodeBusy.
	Busy *BusyTurn `json:"busy,omitempty"`

	Started  *Started       `json:"started,omitempty"`
	Answered *Answered      `json:"answered,omitempty"`
	Renewed  *Renewed       `json:"renewed,omitempty"`
	Program  *View          `json:"program,omitempty"`
	List     *ListPage      `json:"list,omitempty"`
	Releases []Release      `json:"releases,omitempty"`
	Report   *ReportAnswer  `json:"report,omitempty"`
	Tick     *TickAnswer    `json:"tick,omitempty"`
	Settled  *SettledBudget `json:"settled,omitempty"`
}

// BusyTurn describes the turn under way that made the program busy.
type BusyTurn struct {
	Turn    uint64 `json:"turn"`
	Attempt string `json:"attempt"`
	Owner   Owner  `json:"owner"`
	// Same is set if the turn runs the same request as the refused one.
	Same bool `json:"same,omitempty"`
}

// Started allows an attempt to be sent to an upstream.
type Started struct {
	Turn    uint64 `json:"turn"`
	Attempt string `json:"attempt"`
	// LeaseUntilMS is when the attempt is fenced unless renewed, in the machine's time.
	LeaseUntilMS int64 `json:"lease_until_ms"`
	// DeadlineMS is the program's deadline, or an ancestor's. Unix milliseconds; 0: none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Remaining is what the program may still use beyond this attempt's reservation.
	Remaining Budget `json:"remaining"`
	// RecordedMessages is the length of the history before this turn.
	RecordedMessages int `json:"recorded_messages"`
	// Residencies are sessions that hold the program's prefix: a call sent to one of these engines
	// uses that session.
	Residencies []Residency `json:"residencies,omitempty"`
	// NewSession is the session that a call to any other engine uses.
	NewSession string `json:"new_session"`
	// IdempotencyKey is the same for all attempts of the turn.
	IdempotencyKey string `json:"idempotency_key"`
}

// Answered is the recorded answer of a turn, byte for byte.
type Answered struct {
	Turn        uint64 `json:"turn"`
	Attempt     string `json:"attempt"`
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Answer      []byte `json:"answer"`
}

// Renewed lists the attempts that are no longer current: their owner stops them.
type Renewed struct {
	Lost []string `json:"lost,omitempty"`
}

// SettledBudget is the amount that an attempt was charged.
type SettledBudget struct {
	ChargedTokens int64 `json:"charged_tokens"`
	// OverrunTokens were used beyond the budget and could not be charged.
	OverrunTokens int64 `json:"overrun_tokens,omitempty"`
}

// State is the state of a program's life cycle.
type State string

// The states of a program.
const (
	StateLive    State = "live"
	StateEnded   State = "ended"
	StateExpired State = "expired"
)

// TurnState is the state of a turn's life cycle.
type TurnState string

// The states of a turn. Only turns that are answered or have an unknown outcome keep their number.
const (
	TurnOpen     TurnState = "open"
	TurnRunning  TurnState = "running"
	TurnAnswered TurnState = "answered"
	TurnUnknown  TurnState = "unknown_outcome"
	// TurnCancelled is a repeatable turn without an answer that was under way when it was cancelled
	// or its program ended.
	TurnCancelled TurnState = "cancelled"
)

// View is the state of a program as returned by queries.
type View struct {
	Account    string     `json:"account"`
	Name       string     `json:"name"`
	Parent     string     `json:"parent,omitempty"`
	Children   []string   `json:"children,omitempty"`
	State      State      `json:"state"`
	NextTurn   uint64     `json:"next_turn"`
	Limit      Budget     `json:"limit"`
	Used       Budget     `json:"used"`
	Reserved   Budget     `json:"reserved"`
	Overrun    int64      `json:"overrun_tokens,omitempty"`
	DeadlineMS int64      `json:"deadline_ms,omitempty"`
	CreatedMS  int64      `json:"created_ms"`
	ActiveMS   int64      `json:"active_ms"`
	EndedMS    int64      `json:"ended_ms,omitempty"`
	Bytes      int64      `json:"bytes"` // memory accounted to the record
	Turns      []TurnView `json:"turns,omitempty"`
	// RecordedMessages and HistoryHash describe the history; Messages is set if the query includes
	// the history.
	RecordedMessages int         `json:"recorded_messages"`
	HistoryHash      []byte      `json:"history_hash"`
	Messages         [][]byte    `json:"messages,omitempty"`
	Residencies      []Residency `json:"residencies,omitempty"`
}

// TurnView is the state of one turn in a View.
type TurnView struct {
	Turn    uint64    `json:"turn"`
	Kind    Kind      `json:"kind"`
	State   TurnState `json:"state"`
	Attempt string    `json:"attempt"`
	Status  int       `json:"status,omitempty"`
}

// ListPage is a page of an account's programs.
type ListPage struct {
	Programs []Summary `json:"programs"`
	More     bool      `json:"more,omitempty"`
	// Silent lists the homes that did not answer, in a page merged from several homes.
	Silent []string `json:"silent,omitempty"`
}

// Summary describes a program in a list.
type Summary struct {
	Name     string `json:"name"`
	Parent   string `json:"parent,omitempty"`
	State    State  `json:"state"`
	NextTurn uint64 `json:"next_turn"`
	Used     Budget `json:"used"`
	Limit    Budget `json:"limit"`
	// DeadlineMS is in Unix milliseconds; 0: none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Engines are the engines that hold memory for the program, as named by EngineName.
	Engines []string `json:"engines,omitempty"`
}

// Release is a session to be released on an engine.
type Release struct {
	Engine            string `json:"engine"`
	EngineIncarnation int64  `json:"engine_incarnation"`
	Session           string `json:"session"`
	SinceMS           int64  `json:"since_ms"`
}

// ReportAnswer lists the sessions of a report that the record does not account for.
type ReportAnswer struct {
	Orphans []string `json:"orphans,omitempty"`
	// NewIncarnation is set if the report is of a higher incarnation of the engine than the
	// record's.
	NewIncarnation bool `json:"new_incarnation,omitempty"`
}

// TickAnswer counts what a Tick processed.
type TickAnswer struct {
	Fenced    int `json:"fenced,omitempty"`    // attempts whose lease expired
	Expired   int `json:"expired,omitempty"`   // programs
	Forgotten int `json:"forgotten,omitempty"` // ended programs purged after their retention
}
