package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/groups"
	"egretramp/internal/shard"
	"egretramp/internal/turns"
)

const (
	// storeAttemptTimeout bounds one attempt at one store VM: a few disk syncs and round trips between
	// zones, with a busy processor.
	storeAttemptTimeout = 400 * time.Millisecond
	// beginTimeout bounds the begin of a turn: an election and a few attempts.
	beginTimeout = 1200 * time.Millisecond
	// outageThreshold is the time without a response after which the begin of a turn gets only
	// probeTimeout. It exceeds beginTimeout, so that one turn has waited in vain for an election.
	outageThreshold = beginTimeout + 300*time.Millisecond
	probeTimeout    = 45 * time.Millisecond
	// unreachableThreshold is the time without a response after which the store counts as unreachable
	// when zones are partitioned: about the duration of an election.
	unreachableThreshold = 700 * time.Millisecond
	// formedPollInterval is the time between two checks whether the store's groups are known, when a
	// fleet starts.
	formedPollInterval = 40 * time.Millisecond
	// settleTimeout is how long the settlement of a turn is retried.
	settleTimeout = 20 * time.Second
	// settleQueueLength is the capacity of the settlement queue. Settlements beyond it are dropped, and
	// their reservations are charged in full.
	settleQueueLength = 4096
	// settleWorkers is the number of concurrent settlements.
	settleWorkers = 8
)

// firstStoreGroup is the ID of the store's first group; the others have consecutive IDs.
const firstStoreGroup uint64 = 2

func storeGroup(i int) uint64 { return firstStoreGroup + uint64(i) }

var errNotFormed = errors.New("node: the store isn't formed, or not known yet")

// ledger is an entry VM's client of the store groups. It implements proxy.Ledger.
type ledger struct {
	groups *groups.Client
	// groupCount returns the number of the store's groups, 0 if it isn't known.
	groupCount  func() int
	events      *events.Logger
	settlements chan settlement
	outage      groups.Outage
}

// settlement is the end of a turn that is recorded in the background.
type settlement struct {
	end  turns.End
	done func(turns.Result) // called with the result unless nil
}

func newLedger(client *groups.Client, groupCount func() int, log *events.Logger) *ledger {
	return &ledger{groups: client, groupCount: groupCount, events: log, settlements: make(chan settlement, settleQueueLength)}
}

// Begin implements proxy.Ledger.Begin. When the store hasn't responded for outageThreshold, a turn gets
// one short attempt: retrying later is better for its caller than waiting.
func (l *ledger) Begin(ctx context.Context, b turns.Begin) (turns.Result, error) {
	limit := beginTimeout
	if l.outage.Duration(clock.Now()) > outageThreshold {
		limit = probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return l.propose(ctx, b.Account, turns.Command{Begin: &b})
}

// RecordStream implements proxy.Ledger.RecordStream. When the store hasn't responded for outageThreshold, there is
// one short attempt.
func (l *ledger) RecordStream(ctx context.Context, s turns.Stream) (bool, error) {
	if l.outage.Duration(clock.Now()) > outageThreshold {
		limited, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		ctx = limited
	}
	result, err := l.propose(ctx, s.Account, turns.Command{Stream: &s})
	return result.Recorded, err
}

// unreachable reports whether the store has not responded for unreachableThreshold.
func (l *ledger) unreachable() bool { return l.outage.Duration(clock.Now()) >= unreachableThreshold }

// End implements proxy.Ledger.End.
func (l *ledger) End(ctx context.Context, e turns.End) (turns.Result, error) {
	return l.propose(ctx, e.Account, turns.Command{End: &e})
}

// EndLater implements proxy.Ledger.EndLater. It drops the settlement if the queue is full.
func (l *ledger) EndLater(e turns.End, done func(turns.Result)) {
	select {
	case l.settlements <- settlement{e, done}:
	default:
		l.events.Emit(events.NodeSettlementFailed, zap.String("request", e.Request), zap.String("reason", "queue full"))
	}
}

// propose replicates a command in the group that stores the account and returns its result.
func (l *ledger) propose(ctx context.Context, account string, c turns.Command) (turns.Result, error) {
	c.Now = time.Now().UnixMilli()
	data, err := c.Encode()
	if err != nil {
		return turns.Result{}, err
	}
	l.outage.RequestSent(clock.Now())
	count, err := l.awaitFormed(ctx)
	if err != nil {
		return turns.Result{}, err
	}
	answer, err := l.groups.ProposeWithRetry(ctx, storeGroup(shard.Of(account, count)), data)
	if err != nil {
		return turns.Result{}, err
	}
	l.outage.ReplyReceived()
	return turns.DecodeResult(answer)
}

// awaitFormed waits until the number of groups is known and returns it.
func (l *ledger) awaitFormed(ctx context.Context) (int, error) {
	for {
		if count := l.groupCount(); count > 0 {
			return count, nil
		}
		select {
		case <-ctx.Done():
			return 0, errNotFormed
		case <-time.After(formedPollInterval):
		}
	}
}

// settle processes the queue until ctx ends. The settlement in progress is then still completed.
func (l *ledger) settle(ctx context.Context) {
	for {
		select {
		case s := <-l.settlements:
			l.settleOne(s)
		case <-ctx.Done():
			return
		}
	}
}

func (l *ledger) settleOne(s settlement) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	result, err := l.End(ctx, s.end)
	if err != nil {
		l.events.Emit(events.NodeSettlementFailed, zap.String("request", s.end.Request), zap.Error(err))
		return
	}
	if s.done != nil {
		s.done(result)
	}
}
