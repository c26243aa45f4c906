package program

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
)

// Overheads that are added to the bytes of a record's contents when its memory is accounted.
const (
	programOverheadBytes = 1024
	turnOverheadBytes    = 256
	messageOverheadBytes = 24
)

// program is the record of one program.
type program struct {
	account       string
	name          string
	parentName    string
	parent        *program // nil: none, or purged
	children      map[string]*program
	depth         int
	createCommand Create // as stored, to recognise a repeated command
	oneCall       bool
	state         State
	createdIndex  uint64 // log index of the command that created it
	sessionBase   string // prefix of its session names

	limit      Budget
	used       Budget
	reserved   Budget
	overrun    int64 // tokens used beyond the budget
	deadlineMS int64 // its own or an ancestor's; 0: none
	createdMS  int64
	activeMS   int64 // last begin, settlement or renewal, including sub-agents
	endedMS    int64

	history          [][]byte
	historyHash      []byte
	bytes            int64
	turns            []turn            // closed turns: turns[i] has the number i+1
	turnByKey        map[string]uint64 // closed turns' numbers by idempotency key
	hasNonRepeatable bool              // at least one turn was not repeatable
	next             openTurn
	// replacedMayHaveRun is set if an unanswered attempt may have run and its turn was taken by
	// another request.
	replacedMayHaveRun bool
	begins             uint64 // attempts started
	residencies        []residency
}

// turn is a closed turn: answered, or with an unknown outcome.
type turn struct {
	Kind           Kind
	State          TurnState
	RequestHash    string
	IdempotencyKey string
	Attempt        string
	EndedMS        int64
	// EarlierRan is set if an earlier attempt, possibly of another request, may have run.
	EarlierRan  bool
	Status      int
	ContentType string
	Answer      []byte
	Settled     SettledBudget
}

// openTurn is the next turn, which is not closed yet.
type openTurn struct {
	running *attempt // nil: none under way
	// mayHaveRunHash is the request hash of the last attempt that ended without an answer and may
	// have run; empty if there is none.
	mayHaveRunHash string
	// nonRepeatableStarted is set if an attempt of a turn that is not repeatable was started and
	// not revoked: no other attempt may start.
	nonRepeatableStarted bool
	cancelled            bool
}

// attempt is the attempt under way of an open turn.
type attempt struct {
	ID             string
	Owner          Owner
	Kind           Kind
	RequestHash    string
	IdempotencyKey string
	Unnumbered     bool // the call had no turn number
	Repeatable     bool
	ReserveTokens  int64
	Messages       [][]byte
	LeaseUntilMS   int64
	NewSession     string
}

type residency struct {
	Residency
	UsedMS int64
}

func (p *program) nextTurn() uint64 {
	return uint64(len(p.turns)) + 1
}

func (p *program) deriveSessionBase() string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d", p.account, p.name, p.createdIndex))
	return HomeOf(p.name).withHomePrefix(hex.EncodeToString(sum[:12]))
}

// newSession returns a session name that no earlier attempt had, so that the release of an old
// session never affects a new one.
func (p *program) newSession() string {
	return p.sessionBase + "." + strconv.FormatUint(p.begins, 10)
}

// upstreamKey returns the idempotency key that is sent to upstreams with all attempts of one
// request.
func (p *program) upstreamKey(requestHash string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s", p.sessionBase, p.nextTurn(), requestHash))
	return hex.EncodeToString(sum[:16])
}

// closedTurnOf returns the closed turn that an attempt answered or left with an unknown outcome, or
// nil. It searches only the turns closed since sinceMS: an older command is refused as stale.
func (p *program) closedTurnOf(attemptID string, sinceMS int64) *turn {
	for i := len(p.turns) - 1; i >= 0; i-- {
		t := &p.turns[i]
		if t.EndedMS < sinceMS {
			return nil
		}
		if t.Attempt == attemptID {
			return t
		}
	}
	return nil
}

// touch records activity of the program for itself and its ancestors.
func (p *program) touch(nowMS int64) {
	for q := p; q != nil; q = q.parent {
		q.activeMS = nowMS
	}
}

// path returns the program's name for error messages.
func (p *program) path() string {
	return p.account + "/" + p.name
}
