package program

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/groups"
)

// Proposer brings a command into the group's log and returns the machine's answer.
type Proposer interface {
	// Propose returns an error wrapping ErrNotProposed if the command surely has not been and
	// will not be applied; after any other error its outcome is unknown. One call brings the
	// command into the log once at most.
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Reader answers a Query (in JSON, by Machine.Query) from a state that includes all commands
// acknowledged before the call, without a log entry.
type Reader interface {
	Read(ctx context.Context, query []byte) ([]byte, error)
}

// LedgerOptions are what a Ledger is built from.
type LedgerOptions struct {
	Proposer Proposer
	// Reader may be nil: queries are proposed as commands then.
	Reader Reader
	// Home is the group's own.
	Home Home
	// InSight reports whether enough of the group's VMs are connected to this one that waiting
	// for an answer may help. Nil: always.
	InSight func() bool
	// Owner is this run of this VM's process; see SetOwner.
	Owner Owner
	// Now returns the wall time. Default time.Now.
	Now func() time.Time
	// NewAttempt returns an ID never returned before on any VM. Default: 128 random bits.
	NewAttempt func() string
	// Clock returns the time since boot. Default clock.Now.
	Clock  func() time.Duration
	Events *events.Logger
}

// Ledger is an entry VM's client of one program group. Its methods may be called concurrently.
// Each blocks until the group answered or the context ended; a proposal with an unknown
// outcome is sent again with the very same bytes. Errors are *RefusedError,
// *UnavailableError, or plain ones for bad input.
type Ledger struct {
	opts   LedgerOptions
	outage groups.Outage

	mu              sync.Mutex
	owner           Owner
	recordedLengths map[programKey]int // last known length of histories
	abandoned       []Revoke
}

type programKey struct {
	account, name string
}

const (
	// retryMin and retryMax bound the delay before a proposal is sent again.
	retryMin = 20 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// disconnectedWait bounds the wait for a group of which no majority is connected to this VM.
	// It leaves time for one way through other VMs.
	disconnectedWait = 100 * time.Millisecond
	// maxRecordedLengths bounds the lengths of histories that a ledger keeps.
	maxRecordedLengths = 50_000
	// maxAbandoned bounds the attempts that wait for their revocation. What is beyond it is left
	// to the attempts' leases.
	maxAbandoned = 10_000
)

// NewLedger returns a ledger.
func NewLedger(opts LedgerOptions) *Ledger {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.InSight == nil {
		opts.InSight = func() bool { return true }
	}
	if opts.NewAttempt == nil {
		opts.NewAttempt = randomAttempt
	}
	if opts.Clock == nil {
		opts.Clock = clock.Now
	}
	return &Ledger{opts: opts, owner: opts.Owner, recordedLengths: map[programKey]int{}}
}

// SetOwner goes on under a new incarnation of this VM, after the earlier one was declared lost.
// The attempts begun under the earlier one are lost.
func (l *Ledger) SetOwner(owner Owner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner = owner
}

func (l *Ledger) currentOwner() Owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner
}

func randomAttempt() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// Outage returns how long the group has left this VM without an answer; 0 while it answers.
func (l *Ledger) Outage() time.Duration { return l.outage.Length(l.opts.Clock()) }

// HashRequest returns the RequestHash of a request made of parts such as path and body.
func HashRequest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Create makes a program, or finds the one made with equal arguments.
func (l *Ledger) Create(ctx context.Context, c Create) (*View, error) {
	if l.opts.Home != MajorityHome {
		c.Token = newToken()
	}
	ctx, cancel := l.limitWait(ctx)
	defer cancel()
	res, err := l.propose(ctx, &Envelope{Create: &c})
	if err != nil {
		return nil, err
	}
	return res.Program, nil
}

// Revoke takes back an attempt of which no byte was written. It reports whether an earlier
// attempt of the same turn may have run.
func (l *Ledger) Revoke(ctx context.Context, c Revoke) (mayHaveRun bool, err error) {
	res, err := l.propose(ctx, &Envelope{Revoke: &c})
	if err != nil {
		return true, err
	}
	return res.MayHaveRun, nil
}

// Complete records an answer. Only after it returned without error is the answer complete
// towards the caller.
func (l *Ledger) Complete(ctx context.Context, c Complete) (*SettledBudget, error) {
	canonical, err := canonicalMessages(c.Messages)
	if err != nil {
		return nil, err
	}
	c.Messages = canonical
	res, err := l.propose(ctx, &Envelope{Complete: &c})
	if err != nil {
		return nil, err
	}
	if res.Settled.OverrunTokens > 0 {
		l.opts.Events.Emit(events.ProgramOverrun, zap.String("account", c.Account), zap.String("program", c.Program),
			zap.Int64("tokens", res.Settled.OverrunTokens))
	}
	return res.Settled, nil
}

// Fail settles an attempt without an answer.
func (l *Ledger) Fail(ctx context.Context, c Fail) error {
	_, err := l.propose(ctx, &Envelope{Fail: &c})
	return err
}

// Renew extends the leases of attempts of this VM and returns those no longer current.
func (l *Ledger) Renew(ctx context.Context, attempts []string) (lost []string, err error) {
	res, err := l.propose(ctx, &Envelope{Renew: &Renew{Owner: l.currentOwner(), Attempts: attempts}})
	if err != nil {
		return nil, err
	}
	if len(res.Renewed.Lost) > 0 {
		l.opts.Events.Emit(events.ProgramLeaseLost, zap.Strings("attempts", res.Renewed.Lost))
	}
	return res.Renewed.Lost, nil
}

// OwnerLost fences the attempts of another VM's incarnation, and of those before it.
func (l *Ledger) OwnerLost(ctx context.Context, owner Owner) error {
	_, err := l.propose(ctx, &Envelope{OwnerLost: &OwnerLost{Owner: owner}})
	return err
}

// Cancel ends a turn under way on the caller's word.
func (l *Ledger) Cancel(ctx context.Context, c Cancel) error {
	_, err := l.propose(ctx, &Envelope{Cancel: &c})
	return err
}

// End ends a program and its sub-agents.
func (l *Ledger) End(ctx context.Context, c End) (*View, error) {
	ctx, cancel := l.limitWait(ctx)
	defer cancel()
	res, err := l.propose(ctx, &Envelope{End: &c})
	if err != nil {
		return nil, err
	}
	return res.Program, nil
}

// Tick moves the group's time on; the VM that leads the group calls it every TickEvery.
func (l *Ledger) Tick(ctx context.Context) (*TickAnswer, error) {
	res, err := l.propose(ctx, &Envelope{Tick: &Tick{}})
	if err != nil {
		return nil, err
	}
	return res.Tick, nil
}

// Read reads a program.
func (l *Ledger) Read(ctx context.Context, q ProgramQuery) (*View, error) {
	res, err := l.query(ctx, &Query{Program: &q})
	if err != nil {
		return nil, err
	}
	return res.Program, nil
}

// List lists an account's programs.
func (l *Ledger) List(ctx context.Context, q ListQuery) (*ListPage, error) {
	res, err := l.query(ctx, &Query{List: &q})
	if err != nil {
		return nil, err
	}
	return res.List, nil
}

// PendingReleases lists sessions to release.
func (l *Ledger) PendingReleases(ctx context.Context, q ReleasesQuery) ([]Release, error) {
	res, err := l.query(ctx, &Query{Releases: &q})
	if err != nil {
		return nil, err
	}
	return res.Releases, nil
}

// ReleaseDone notes that an engine acknowledged a release.
func (l *Ledger) ReleaseDone(ctx context.Context, c ReleaseDone) error {
	_, err := l.propose(ctx, &Envelope{ReleaseDone: &c})
	return err
}

// Report compares an engine's sessions with the record. With a Reader it proposes a command
// only if there is something to note.
func (l *Ledger) Report(ctx context.Context, c Report) error {
	if l.opts.Reader != nil {
		res, err := l.query(ctx, &Query{Report: &c})
		if err != nil {
			return err
		}
		if len(res.Report.Orphans) == 0 && !res.Report.NewIncarnation {
			return nil
		}
		c.Sessions = res.Report.Orphans
	}
	res, err := l.propose(ctx, &Envelope{Report: &c})
	if err != nil {
		return err
	}
	if len(res.Report.Orphans) > 0 {
		l.opts.Events.Emit(events.ProgramOrphanSessions, zap.String("engine", c.Engine),
			zap.Int("sessions", len(res.Report.Orphans)))
	}
	return nil
}

// EngineGone notes that an engine's process is gone with all its memory.
func (l *Ledger) EngineGone(ctx context.Context, c EngineGone) error {
	_, err := l.propose(ctx, &Envelope{EngineGone: &c})
	return err
}

// query reads by the Reader, or by a command if there is none.
func (l *Ledger) query(ctx context.Context, q *Query) (*Result, error) {
	ctx, cancel := l.limitWait(ctx)
	defer cancel()
	if l.opts.Reader == nil {
		return l.propose(ctx, &Envelope{Query: q})
	}
	data, err := json.Marshal(q)
	if err != nil {
		return nil, errors.Wrap(err, "program: cannot encode a query")
	}
	return l.sendWithRetry(ctx, func() ([]byte, error) {
		answer, err := l.opts.Reader.Read(ctx, data)
		if err != nil {
			return nil, errors.Mark(err, ErrNotProposed)
		}
		return answer, nil
	})
}

// limitWait bounds the wait for a group that is out of sight, so that callers who can't be served
// learn it at once. Commands that settle what is under way are sent without it.
func (l *Ledger) limitWait(ctx context.Context) (context.Context, context.CancelFunc) {
	if l.opts.InSight() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, disconnectedWait)
}

// propose sends one command until it is answered. The bytes are the same each time: the
// machine recognises a command that it has applied by them.
func (l *Ledger) propose(ctx context.Context, env *Envelope) (*Result, error) {
	env.TimeMS = l.opts.Now().UnixMilli()
	data, err := json.Marshal(env)
	if err != nil {
		return nil, errors.Wrap(err, "program: cannot encode a command")
	}
	return l.sendWithRetry(ctx, func() ([]byte, error) { return l.opts.Proposer.Propose(ctx, data) })
}

// sendWithRetry calls send until it succeeds or the context ends.
func (l *Ledger) sendWithRetry(ctx context.Context, send func() ([]byte, error)) (*Result, error) {
	applied := false
	for delay := retryMin; ; delay = min(2*delay, retryMax) {
		l.outage.Sent(l.opts.Clock())
		answer, err := send()
		if err == nil {
			l.outage.Answered()
			return decodeResult(answer, applied)
		}
		applied = applied || !errors.Is(err, ErrNotProposed)
		if !sleep(ctx, delay) {
			if applied {
				l.opts.Events.Emit(events.ProgramOutcomeUnknown, zap.Error(err))
			}
			return nil, &UnavailableError{Applied: applied, cause: err}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func decodeResult(answer []byte, repeated bool) (*Result, error) {
	var res Result
	if err := json.Unmarshal(answer, &res); err != nil {
		return nil, errors.Wrap(err, "program: cannot read the group's answer")
	}
	if res.Code != CodeOK {
		return nil, &RefusedError{Result: res, Repeated: repeated}
	}
	return &res, nil
}
