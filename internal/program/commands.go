package program

// Envelope is one entry of the log: exactly one command.
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

// Budget is what a program may use, its sub-agents included.
type Budget struct {
	Tokens int64 `json:"tokens"`
	Calls  int64 `json:"calls"`
}

// Create makes a program. Sent again with equal arguments it has the same answer; with other
// arguments it is refused with CodeProgramConflict.
type Create struct {
	// Account is the canonical ID of the client account.
	Account string `json:"account"`
	// Name is the program's name, unique within the account.
	Name string `json:"name"`
	// Parent is the name of the parent program, empty for a program of its own.
	Parent string `json:"parent,omitempty"`
	// Budget bounds the program; a part that is 0 is bounded by the ceiling and the parent only.
	Budget Budget `json:"budget"`
	// Ceiling is the account's bound on one program.
	Ceiling Budget `json:"ceiling"`
	// DeadlineMS ends the program. Unix milliseconds; 0: none of its own.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Token is random, and set in commands for a zone's group only; see Machine.
	Token string `json:"token,omitempty"`
}

// Kind is what a turn calls.
type Kind string

// The kinds of turns.
const (
	KindChat    Kind = "chat"
	KindService Kind = "service"
)

// Begin asks to run one turn. Turns are numbered from 1. The command is durable before its
// answer, so Started is the dispatch intent. Sent again with the same attempt it has the same
// answer while the attempt is current.
type Begin struct {
	Account string `json:"account"`
	Program string `json:"program"`
	// Turn is the number of the turn; 0 means the next one.
	Turn uint64 `json:"turn,omitempty"`
	Kind Kind   `json:"kind"`
	// RequestHash identifies the caller's request; the same turn with another hash is refused.
	RequestHash string `json:"request_hash"`
	// Prefix says, for a call that came with the full conversation, how many messages of it
	// are taken to be the record, and their hash. Nil: only new messages were sent.
	Prefix *Prefix `json:"prefix,omitempty"`
	// Messages are the new messages of a chat turn, canonical JSON each.
	Messages [][]byte `json:"messages,omitempty"`
	// Repeatable says that the call may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// ReserveTokens is the most tokens that the call can use, prompt included.
	ReserveTokens int64 `json:"reserve_tokens,omitempty"`
	// Attempt is unique for all time; it is never given to a second Begin.
	Attempt string `json:"attempt"`
	// Owner is the VM that runs the attempt.
	Owner Owner `json:"owner"`
	// IdempotencyKey names the request within the program for callers who don't number turns.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Implicit makes the program if there is none by that name.
	Implicit *Implicit `json:"implicit,omitempty"`
}

// Implicit describes a program that is made by its first call.
type Implicit struct {
	Ceiling    Budget `json:"ceiling"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	// OneCall ends the program with its first turn. Names of such programs come from
	// OneCallName and no other program can have them.
	OneCall bool `json:"one_call,omitempty"`
}

// Prefix is the beginning of a conversation.
type Prefix struct {
	Messages int    `json:"messages"`
	Hash     []byte `json:"hash"` // HashMessages over them
}

// Owner is one run of an entry VM's process.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"` // grows with each start of the process
}

// Revoke takes an attempt back before any byte was written towards an upstream: the turn is
// open again and the reservation is released. Revoking an attempt that was never begun
// prevents it from being begun later.
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
	// Messages are the answer's messages as they enter the history, canonical JSON each.
	Messages   [][]byte   `json:"messages,omitempty"`
	UsedTokens int64      `json:"used_tokens,omitempty"`
	Residency  *Residency `json:"residency,omitempty"`
}

// Residency is one session that holds memory on an engine for a program.
type Residency struct {
	// Model tells sessions of programs with several models apart: one session for each.
	Model             string `json:"model"`
	Engine            string `json:"engine"`
	EngineIncarnation int64  `json:"engine_incarnation"`
	Session           string `json:"session"`
}

// Outcome is how an attempt without a recorded answer ended.
type Outcome string

// The outcomes. All of them mean that bytes were written; otherwise the attempt is revoked.
const (
	// OutcomeUnknown: the call may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed: the upstream ended the call with a failure or an incomplete answer.
	OutcomeFailed Outcome = "failed"
)

// Fail settles an attempt without an answer. A repeatable turn opens again; any other turn has
// an unknown outcome for good.
type Fail struct {
	Account string  `json:"account"`
	Program string  `json:"program"`
	Attempt string  `json:"attempt"`
	Outcome Outcome `json:"outcome"`
	// UsedTokens is charged for OutcomeFailed; for OutcomeUnknown the whole reservation is.
	UsedTokens int64 `json:"used_tokens,omitempty"`
	// Residency is the session that the call used, if known; it is released unless the program
	// holds it from an earlier turn.
	Residency *Residency `json:"residency,omitempty"`
}

// Renew extends the leases of attempts under way. Its answer names those no longer current.
type Renew struct {
	Owner    Owner    `json:"owner"`
	Attempts []string `json:"attempts"`
}

// OwnerLost fences all attempts of a VM up to an incarnation, those still to come included.
type OwnerLost struct {
	Owner Owner `json:"owner"`
}

// Cancel ends the turn under way without an answer, on the caller's word: a repeatable turn
// opens again, any other has an unknown outcome. It does nothing if the turn is not under way.
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

// Tick moves the machine's time on and does what is due: leases, deadlines, idle programs and
// sessions, retention. The group's leader proposes one every TickEvery.
type Tick struct{}

// ReleaseDone says that an engine acknowledged the release of a session.
type ReleaseDone struct {
	Engine            string `json:"engine"`
	EngineIncarnation int64  `json:"engine_incarnation"`
	Session           string `json:"session"`
}

// Report is an engine's own list of the sessions that hold memory. Reporters leave out the
// sessions that they know to be in use outside of the record.
type Report struct {
	Engine            string   `json:"engine"`
	EngineIncarnation int64    `json:"engine_incarnation"`
	Sessions          []string `json:"sessions"`
}

// EngineGone says that an engine's process up to an incarnation is gone, its memory with it.
type EngineGone struct {
	Engine            string `json:"engine"`
	EngineIncarnation int64  `json:"engine_incarnation"`
}

// Query reads. It changes nothing but the machine's time; exactly one field is set.
type Query struct {
	Program  *ProgramQuery  `json:"program,omitempty"`
	List     *ListQuery     `json:"list,omitempty"`
	Releases *ReleasesQuery `json:"releases,omitempty"`
	// Report asks which sessions of a report are not accounted for.
	Report *Report `json:"report,omitempty"`
}

// ProgramQuery reads one program.
type ProgramQuery struct {
	Account string `json:"account"`
	Program string `json:"program"`
	// History asks for the messages too.
	History bool `json:"history,omitempty"`
	// Attempt, if set, also asks for the messages of the turn that this attempt runs.
	Attempt string `json:"attempt,omitempty"`
}

// ListQuery lists an account's programs in the order of their names.
type ListQuery struct {
	Account string `json:"account"`
	After   string `json:"after,omitempty"` // the last name of the page before
	Limit   int    `json:"limit,omitempty"` // default and most: MaxListed
}

// ReleasesQuery lists pending releases in a fixed order.
type ReleasesQuery struct {
	Engine string `json:"engine,omitempty"` // empty: all engines
	Limit  int    `json:"limit,omitempty"`  // default and most: MaxListed
}
