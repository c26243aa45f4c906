package program

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/events"
)

// Call describes a call that an entry VM begins.
type Call struct {
	Account     string
	Program     string
	Turn        uint64 // 0: the next one
	Kind        Kind
	RequestHash string
	// Conversation holds the messages of a chat call that was sent with the whole conversation,
	// NewMessages those of a call that was sent with its new messages only. Each message is a JSON
	// object. At most one of the two is set.
	Conversation   [][]byte
	NewMessages    [][]byte
	Repeatable     bool
	ReserveTokens  int64
	IdempotencyKey string
	Implicit       *Implicit
}

// Turn is the result of Begin: exactly one of Started and Answered is set.
type Turn struct {
	Started  *Started
	Answered *Answered
	// Messages is the whole conversation to send; set for a started chat turn.
	Messages [][]byte
}

// Begin starts a new attempt of a call, or returns the recorded answer. After any error this VM
// must not send the call: the attempt was not started, or Flush revokes it.
func (l *Ledger) Begin(ctx context.Context, call Call) (*Turn, error) {
	if call.Conversation != nil && call.NewMessages != nil {
		return nil, errors.New("program: a call has either the whole conversation or new messages")
	}
	turn, err := l.beginCall(ctx, &call)
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		unavailable.Identified = call.Turn > 0 || call.IdempotencyKey != ""
	}
	return turn, err
}

func (l *Ledger) beginCall(ctx context.Context, call *Call) (*Turn, error) {
	cmd := Begin{
		Account:        call.Account,
		Program:        call.Program,
		Turn:           call.Turn,
		Kind:           call.Kind,
		RequestHash:    call.RequestHash,
		Repeatable:     call.Repeatable,
		ReserveTokens:  call.ReserveTokens,
		Owner:          l.currentOwner(),
		IdempotencyKey: call.IdempotencyKey,
		Implicit:       call.Implicit,
	}
	if call.Conversation != nil {
		return l.beginConversation(ctx, cmd, call.Conversation)
	}
	var err error
	if cmd.Messages, err = canonicalMessages(call.NewMessages); err != nil {
		return nil, err
	}
	res, err := l.begin(ctx, &cmd)
	if err != nil {
		return nil, err
	}
	if res.Answered != nil || call.Kind != KindChat {
		return &Turn{Started: res.Started, Answered: res.Answered}, nil
	}
	return l.readConversation(ctx, &cmd, res.Started)
}

// readConversation reads the conversation of a turn that was begun with its new messages only.
func (l *Ledger) readConversation(ctx context.Context, cmd *Begin, started *Started) (*Turn, error) {
	q := ProgramQuery{Account: cmd.Account, Program: cmd.Program, History: true, Attempt: cmd.Attempt}
	view, err := l.Read(ctx, q)
	if err != nil {
		l.abandon(cmd)
		return nil, err
	}
	if len(view.Messages) != started.RecordedMessages+len(cmd.Messages) {
		l.abandon(cmd) // fenced since Begin
		return nil, &RefusedError{Result: Result{
			Code:       CodeSuperseded,
			Detail:     "the attempt is not under way",
			MayHaveRun: true,
		}}
	}
	return &Turn{Started: started, Messages: view.Messages}, nil
}

// beginConversation begins a turn that was sent with the whole conversation. Only the messages
// beyond the record are proposed, based on the last known length of the record. If that length is
// wrong, the refusal contains the actual one.
func (l *Ledger) beginConversation(ctx context.Context, cmd Begin, conversation [][]byte) (*Turn, error) {
	messages, err := canonicalMessages(conversation)
	if err != nil {
		return nil, err
	}
	key := programKey{account: cmd.Account, name: cmd.Program}
	recorded, err := l.recordedLength(ctx, key)
	if err != nil {
		return nil, err
	}
	for {
		n := min(recorded, len(messages))
		cmd.Prefix = &Prefix{Messages: n, Hash: HashMessages(messages[:n])}
		cmd.Messages = messages[n:]
		res, err := l.begin(ctx, &cmd)
		if err == nil {
			if res.Started != nil {
				l.setRecordedLength(key, res.Started.RecordedMessages)
			}
			return &Turn{Started: res.Started, Answered: res.Answered, Messages: messages}, nil
		}
		actual, mismatch := mismatchLength(err)
		if !mismatch || actual == recorded || actual > len(messages) {
			return nil, err
		}
		recorded = actual
		l.setRecordedLength(key, actual)
	}
}

// mismatchLength returns the length of the record from a refusal with CodeHistoryMismatch.
func mismatchLength(err error) (int, bool) {
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Result.Code != CodeHistoryMismatch {
		return 0, false
	}
	return refused.Result.RecordedMessages, true
}

// begin proposes a Begin with a new attempt. If its outcome stays unknown, or if it was refused
// while a copy of it may still arrive, the attempt is queued for revocation.
func (l *Ledger) begin(ctx context.Context, cmd *Begin) (*Result, error) {
	cmd.Attempt = l.opts.Home.withHomePrefix(l.opts.NewAttempt())
	ctx, cancel := l.limitWait(ctx)
	defer cancel()
	res, err := l.propose(ctx, &Envelope{Begin: cmd})
	var unavailable *UnavailableError
	var refused *RefusedError
	unknown := errors.As(err, &unavailable) && unavailable.Applied
	if unknown || errors.As(err, &refused) && refused.Repeated {
		l.abandon(cmd)
	}
	return res, err
}

// recordedLength returns the last known length of a program's history, and reads the program if
// none is known.
func (l *Ledger) recordedLength(ctx context.Context, key programKey) (int, error) {
	l.mu.Lock()
	n, known := l.recordedLengths[key]
	l.mu.Unlock()
	if known {
		return n, nil
	}
	view, err := l.Read(ctx, ProgramQuery{Account: key.account, Program: key.name})
	var refused *RefusedError
	if errors.As(err, &refused) {
		return 0, nil // Begin returns the refusal
	}
	if err != nil {
		return 0, err
	}
	return view.RecordedMessages, nil
}

func (l *Ledger) setRecordedLength(key programKey, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.recordedLengths) >= maxRecordedLengths {
		clear(l.recordedLengths)
	}
	l.recordedLengths[key] = n
}

// abandon queues an attempt that this VM will not run for revocation.
func (l *Ledger) abandon(cmd *Begin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.abandoned) < maxAbandoned {
		l.abandoned = append(l.abandoned, Revoke{Account: cmd.Account, Program: cmd.Program, Attempt: cmd.Attempt})
	}
}

// Flush revokes the attempts that this VM abandoned, for example because the outcome of their Begin
// is unknown. It is called about once a second. It stops at the first UnavailableError and returns
// it; the remaining attempts are retried by the next call.
func (l *Ledger) Flush(ctx context.Context) error {
	l.mu.Lock()
	queue := l.abandoned
	l.abandoned = nil
	l.mu.Unlock()
	for i, c := range queue {
		_, err := l.Revoke(ctx, c)
		var unavailable *UnavailableError
		if errors.As(err, &unavailable) {
			l.mu.Lock()
			l.abandoned = append(queue[i:], l.abandoned...)
			l.mu.Unlock()
			return err
		}
		if err != nil {
			l.opts.Events.Emit(events.ProgramRevokeRefused, zap.String("attempt", c.Attempt), zap.Error(err))
		}
	}
	return nil
}

func canonicalMessages(messages [][]byte) ([][]byte, error) {
	if messages == nil {
		return nil, nil
	}
	all := make([][]byte, 0, len(messages))
	for _, message := range messages {
		canonical, err := CanonicalMessage(message)
		if err != nil {
			return nil, err
		}
		all = append(all, canonical)
	}
	return all, nil
}
