package program

// Envelope is one entry of the replicated log: exactly one command.
type Envelope struct {
	// TimeMS is the proposer's wall time in Unix milliseconds.
	TimeMS int64 `json:"time_ms"`

	Create      *Create      `json:"create,omitempty"`
	Begin       *Begin       `json:"begin,omitempty"`
	Revoke      *Revoke      `json:"revoke,omitempty"`
	Complete    *Complete    `json:"complete,omitempty"`
	Fail        *Fail        `json:"fail,omitempty"`
	Renew       *Renew       `json:"renew,omitempty"`
	OwnerLost   *OwnerLost   `json:"owner_lost,omitempty"`
	Cancel      *Cancel      `json:"cancel,omitempty"`
	End         *End         `json:"end,omitempty"`
	Tick        *Tick        `json:"tick,omitempty"`
	ReleaseDone *ReleaseDone `json:"release_done,omitempty"`
	Report      *Report      `json:"report,omitempty"`
	EngineGone  *EngineGone  `json:"engine_gone,omitempty"`
	Query       *Query       `json:"query,omitempty"`
}

// Budget is an amount of tokens and calls. A program's budget covers its sub-agents too.
type Budget struct {
	Tokens int64 `json:"tokens"`
	Calls  int64 `json:"calls"`
}

// Create creates a program. Repeated with the same arguments it returns the existing program; with
// other arguments it is refused with CodeProgramConflict.
type Create struct {
	// Account is the canonical ID of the client account.
	Account string `json:"account"`
	// Name is the program's name, unique within the account.
	Name string `json:"name"`
	// Parent is the name of the parent program, empty for a program without a parent.
	Parent string `json:"parent,omitempty"`
	// Budget bounds the program; a component that is 0 is bounded only by the ceiling and the
	// parent.
	Budget Budget `json:"budget"`
	// Ceiling is the account's limit for a single program.
	Ceiling Budget `json:"ceiling"`
	// DeadlineMS is when the program expires, in Unix milliseconds; 0: no deadline of its own.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Token is a random value, set only in commands to a zone's group; see Machine.
	Token string `json:"token,omitempty"`
}

// Kind is the kind of call that a turn makes: to a model or to a service.
type Kind string

// The kinds of turns.
const (
	KindChat    Kind = "chat"
	KindService Kind = "service"
)

// Begin starts an attempt to run one turn. Turns are numbered from 1. The command is durable before
// its result is returned, so Started is the dispatch intent. Repeated with the same attempt it
// returns the same result while the attempt is current.
type Begin struct {
	Account string `json:"account"`
	Program string `json:"program"`
	// Turn is the number of the turn; 0 means the next one.
	Turn uint64 `json:"turn,omitempty"`
	Kind Kind   `json:"kind"`
	// RequestHash identifies the caller's request; the same turn with another hash is refused.
	RequestHash string `json:"request_hash"`
	// Prefix is set for a call that was sent with the whole conversation: the number and hash of
	// the messages that are assumed to be recorded already. Nil: only new messages were sent.
	Prefix *Prefix `json:"prefix,omitempty"`
	// Messages are the new messages of a chat turn, each in canonical JSON.
	Messages [][]byte `json:"messages,omitempty"`
	// Repeatable marks a call that may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// ReserveTokens is the maximum number of tokens that the call can use, including the prompt.
	ReserveTokens int64 `json:"reserve_tokens,omitempty"`
	// Attempt is the globally unique ID of the attempt; it is never reused for a second Begin.
	Attempt string `json:"attempt"`
	// Owner is the VM that runs the attempt.
	Owner Owner `json:"owner"`
	// IdempotencyKey identifies the request within the program, for callers that don't number
	// turns.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Implicit, if set, creates the program if it does not exist.
	Implicit *Implicit `json:"implicit,omitempty"`
}

// Implicit has the settings of a program that is created by its first call.
type Implicit struct {
	Ceiling    Budget `json:"ceiling"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	// OneCall ends the program after its first turn. Names of such programs come from OneCallName
	// and are reserved for them.
	OneCall bool `json:"one_call,omitempty"`
}

// Prefix identifies the beginning of a conversation.
type Prefix struct {
	Messages int    `json:"messages"`
	Hash     []byte `json:"hash"` // HashMessages of the messages
}

// Owner identifies one run of an entry VM's process.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"` // increases with each start of the process
}

// Revoke cancels an attempt before any byte was written to an upstream: the turn reopens and the
// reservation is released. Revoking an attempt that has not begun prevents it from beginning later.
type Revoke struct {
	Account string `json:"account"`
	Program string `json:"program"`
	Attempt string `json:"attempt"`
}

// Complete records the answer of the current attempt and settles the budget.
type Complete struct {
	Account     string `json:"account"`
	Program     string `json:"program"`
	Attempt     string `json:"attempt"`
	Answer      []byte `json:"answer"`
	Status      int    `json:"status"` // HTTP status
	ContentType string `json:"content_type,omitempty"`
	// Messages are the answer's messages to append to the history, each in canonical JSON.
	Messages   [][]byte   `json:"messages,omitempty"`
	UsedTokens int64      `json:"used_tokens,omitempty"`
	Residency  *Residency `json:"residency,omitempty"`
}

// Residency is a session that holds memory on an engine for a program.
type Residency struct {
	// Model is the model that the session serves; a program has one session for each of its models.
	Model             string `json:"model"`
	Engine            string `json:"engine"`
	EngineIncarnation int64  `json:"engine_incarnation"`
	Session           string `json:"session"`
}

// Outcome is how an attempt without a recorded answer ended.
type Outcome string

// The outcomes. All of them mean that bytes were written to the upstream; otherwise the attempt is
// revoked.
const (
	// OutcomeUnknown: the call may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed: the upstream ended the call with a failure or an incomplete answer.
	OutcomeFailed Outcome = "failed"
)

// Fail settles an attempt without an answer. A repeatable turn reopens; any other turn is closed
// with an unknown outcome.
type Fail struct {
	Account string  `json:"account"`
	Program string  `json:"program"`
	Attempt string  `json:"attempt"`
	Outcome Outcome `json:"outcome"`
	// UsedTokens is charged for OutcomeFailed; for OutcomeUnknown the whole reservation is charged.
	UsedTokens int64 `json:"used_tokens,omitempty"`
	// Residency is the session that the call used, if known; it is released unless the program
	// holds it from an earlier turn.
	Residency *Residency `json:"residency,omitempty"`
}

// Renew extends the leases of attempts under way. Its result lists those that are no longer
// current.
type Renew struct {
	Owner    Owner    `json:"owner"`
	Attempts []string `json:"attempts"`
}

// OwnerLost fences all attempts of a VM up to an incarnation, including attempts that have not
// begun yet.
type OwnerLost struct {
	Owner Owner `json:"owner"`
}

// Cancel ends the turn under way without an answer, at the caller's request: a repeatable turn
// reopens, any other is closed with an unknown outcome. It does nothing if the turn is not under
// way.
type Cancel struct {
	Account string `json:"account"`
	Program string `json:"program"`
	Turn    uint64 `json:"turn"`
}

// End ends a program and its sub-agents; turns under way are cancelled.
type End struct {
	Account string `json:"account"`
	Program string `json:"program"`
}

// Tick advances the machine's time and processes what is due: expired leases, deadlines, idle
// programs and sessions, and retention. The group's leader proposes one every TickEvery.
type Tick struct{}

// ReleaseDone records that an engine acknowledged the release of a session.
type ReleaseDone struct {
	Engine            string `json:"engine"`
	EngineIncarnation int64  `json:"engine_incarnation"`
	Session           string `json:"session"`
}

// Report lists the sessions that hold memory on an engine, as reported by the engine. Senders leave
// out sessions that they know to be in use outside of the record.
type Report struct {
	Engine            string   `json:"engine"`
	EngineIncarnation int64    `json:"engine_incarnation"`
	Sessions          []string `json:"sessions"`
}

// EngineGone records that the processes of an engine up to an incarnation are gone, together with
// their memory.
type EngineGone struct {
	Engine            string `json:"engine"`
	EngineIncarnation int64  `json:"engine_incarnation"`
}

// Query reads state. It changes nothing but the machine's time; exactly one field is set.
type Query struct {
	Program  *ProgramQuery  `json:"program,omitempty"`
	List     *ListQuery     `json:"list,omitempty"`
	Releases *ReleasesQuery `json:"releases,omitempty"`
	// Report returns which sessions of a report the record does not account for.
	Report *Report `json:"report,omitempty"`
}

// ProgramQuery reads one program.
type ProgramQuery struct {
	Account string `json:"account"`
	Program string `json:"program"`
	// History includes the messages in the result.
	History bool `json:"history,omitempty"`
	// Attempt, if set, adds the messages of the turn that this attempt runs.
	Attempt string `json:"attempt,omitempty"`
}

// ListQuery lists an account's programs, sorted by name.
type ListQuery struct {
	Account string `json:"account"`
	After   string `json:"after,omitempty"` // last name of the previous page
	Limit   int    `json:"limit,omitempty"` // default and maximum: MaxListed
}

// ReleasesQuery lists pending releases, sorted by engine and session.
type ReleasesQuery struct {
	Engine string `json:"engine,omitempty"` // empty: all engines
	Limit  int    `json:"limit,omitempty"`  // default and maximum: MaxListed
}
