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

// Proposer appends a command to the group's log and returns the machine's result.
type Proposer interface {
	// Propose returns an error wrapping ErrNotProposed if it is certain that the command has not
	// been and will not be applied; after any other error its outcome is unknown. One call appends
	// the command to the log at most once.
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Reader answers a Query (in JSON, by Machine.Query) from a state that includes all commands
// acknowledged before the call. It adds no log entry.
type Reader interface {
	Read(ctx context.Context, query []byte) ([]byte, error)
}

// LedgerOptions configures a Ledger.
type LedgerOptions struct {
	Proposer Proposer
	// Reader may be nil; queries are then proposed as commands.
	Reader Reader
	// Home is the home that the group serves.
	Home Home
	// InSight reports whether enough of the group's VMs are connected to this VM to make waiting
	// for an answer worthwhile. Nil: always.
	InSight func() bool
	// Owner identifies the current run of this VM's process; see SetOwner.
	Owner Owner
	// Now returns the wall time. Default time.Now.
	Now func() time.Time
	// NewAttempt returns an attempt ID that is unique across all VMs. Default: 128 random bits.
	NewAttempt func() string
	// Clock returns the time since boot. Default clock.Now.
	Clock  func() time.Duration
	Events *events.Logger
}

// Ledger is an entry VM's client of one program group. Its methods are safe for concurrent use.
// Each blocks until the group answers or the context ends; a proposal with an unknown outcome is
// retried with the same bytes. Errors are *RefusedError, *UnavailableError, or other errors for
// invalid input.
type Ledger struct {
	opts   LedgerOptions
	outage groups.Outage

	mu              sync.Mutex
	owner           Owner
	recordedLengths map[programKey]int // last known lengths of histories
	abandoned       []Revoke
}

type programKey struct {
	account, name string
}

const (
	// retryMin and retryMax bound the delay before a proposal is sent again.
	retryMin = 20 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// disconnectedWait bounds the wait for a group of which no majority is connected to this VM. It
	// leaves time to try one path through other VMs.
	disconnectedWait = 100 * time.Millisecond
	// maxRecordedLengths bounds the number of history lengths that a ledger caches.
	maxRecordedLengths = 50_000
	// maxAbandoned bounds the attempts queued for revocation. Attempts beyond it are fenced when
	// their leases expire.
	maxAbandoned = 10_000
)

// NewLedger returns a client of the program group that opts describe.
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

// SetOwner continues with a new incarnation of this VM, after the previous one was declared lost.
// The attempts begun by the previous one are lost.
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

// Outage returns for how long the group has not answered this VM; 0 while it answers.
func (l *Ledger) Outage() time.Duration { return l.outage.Duration(l.opts.Clock()) }

// HashRequest returns the RequestHash of a request that consists of parts such as path and body.
func HashRequest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Create creates a program, or returns the existing one that was created with the same arguments.
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

// Revoke cancels an attempt of which no byte was written. It reports whether an earlier attempt of
// the same turn may have run.
func (l *Ledger) Revoke(ctx context.Context, c Revoke) (mayHaveRun bool, err error) {
	res, err := l.propose(ctx, &Envelope{Revoke: &c})
	if err != nil {
		return true, err
	}
	return res.MayHaveRun, nil
}

// Complete records an answer. The answer to the caller may be completed only after Complete returns
// without an error.
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

// Renew extends the leases of attempts of this VM and returns those that are no longer current.
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

// OwnerLost fences the attempts of an incarnation of another VM, and of earlier incarnations.
func (l *Ledger) OwnerLost(ctx context.Context, owner Owner) error {
	_, err := l.propose(ctx, &Envelope{OwnerLost: &OwnerLost{Owner: owner}})
	return err
}

// Cancel ends a turn under way at the caller's request.
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

// Tick advances the group's time; the VM that leads the group calls it every TickEvery.
func (l *Ledger) Tick(ctx context.Context) (*TickAnswer, error) {
	res, err := l.propose(ctx, &Envelope{Tick: &Tick{}})
	if err != nil {
		return nil, err
	}
	return res.Tick, nil
}

// Read returns a program.
func (l *Ledger) Read(ctx context.Context, q ProgramQuery) (*View, error) {
	res, err := l.query(ctx, &Query{Program: &q})
	if err != nil {
		return nil, err
	}
	return res.Program, nil
}

// List returns a page of an account's programs.
func (l *Ledger) List(ctx context.Context, q ListQuery) (*ListPage, error) {
	res, err := l.query(ctx, &Query{List: &q})
	if err != nil {
		return nil, err
	}
	return res.List, nil
}

// PendingReleases returns the sessions to release.
func (l *Ledger) PendingReleases(ctx context.Context, q ReleasesQuery) ([]Release, error) {
	res, err := l.query(ctx, &Query{Releases: &q})
	if err != nil {
		return nil, err
	}
	return res.Releases, nil
}

// ReleaseDone records that an engine acknowledged a release.
func (l *Ledger) ReleaseDone(ctx context.Context, c ReleaseDone) error {
	_, err := l.propose(ctx, &Envelope{ReleaseDone: &c})
	return err
}

// Report compares an engine's sessions with the record. With a Reader it proposes a command only if
// the record has to change.
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

// EngineGone records that an engine's process is gone with all its memory.
func (l *Ledger) EngineGone(ctx context.Context, c EngineGone) error {
	_, err := l.propose(ctx, &Envelope{EngineGone: &c})
	return err
}

// query reads through the Reader, or with a proposed command if there is none.
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

// limitWait bounds the wait for a group that is not in sight, so that callers that can't be served
// are refused at once. Commands that settle attempts under way are sent without this bound.
func (l *Ledger) limitWait(ctx context.Context) (context.Context, context.CancelFunc) {
	if l.opts.InSight() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, disconnectedWait)
}

// propose sends a command until it is answered. All retries have the same bytes, by which the
// machine recognises a command that it has already applied.
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
		l.outage.RequestSent(l.opts.Clock())
		answer, err := send()
		if err == nil {
			l.outage.ReplyReceived()
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
