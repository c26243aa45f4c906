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
	// storeAttemptTimeout bounds one try at one store VM: a few syncs and crossings, and a busy processor.
	storeAttemptTimeout = 400 * time.Millisecond
	// beginTimeout bounds the begin of a turn: an election and a few tries.
	beginTimeout = 1200 * time.Millisecond
	// outageThreshold is the time without an answer after which turns get only probeTimeout: one turn has
	// waited for an election in vain, and some more.
	outageThreshold = beginTimeout + 300*time.Millisecond
	probeTimeout    = 45 * time.Millisecond
	// unreachableThreshold is the time without an answer after which the store counts as out of reach
	// beside a partition: about an election.
	unreachableThreshold = 700 * time.Millisecond
	// formedPollInterval is the time between two looks for the store's groups, at the start of a fleet.
	formedPollInterval = 40 * time.Millisecond
	// settleTimeout is for how long the settlement of a turn is tried.
	settleTimeout = 20 * time.Second
	// settleQueueLength is the number of settlements that wait; further ones are dropped, and their
	// reservations count whole.
	settleQueueLength = 4096
	// settleWorkers is the number of settlements under way.
	settleWorkers = 8
)

// firstStoreGroup is the number of the store's first group; the others follow.
const firstStoreGroup uint64 = 2

func storeGroup(i int) uint64 { return firstStoreGroup + uint64(i) }

var errNotFormed = errors.New("node: the store isn't formed, or not known yet")

// ledger is an entry VM's access to the store group.
type ledger struct {
	groups *groups.Client
	// groupCount returns the number of groups that the store has, 0 if it isn't known.
	groupCount  func() int
	events      *events.Logger
	settlements chan settlement
	outage      groups.Outage
}

// settlement is a turn's end that nobody waits for.
type settlement struct {
	end  turns.End
	done func(turns.Result) // nil for nobody
}

func newLedger(client *groups.Client, groupCount func() int, log *events.Logger) *ledger {
	return &ledger{groups: client, groupCount: groupCount, events: log, settlements: make(chan settlement, settleQueueLength)}
}

// Begin implements proxy.Ledger. Once the store group was out of reach for a while, a turn gets
// one short try: its caller is better off to come back than to wait.
func (l *ledger) Begin(ctx context.Context, b turns.Begin) (turns.Result, error) {
	limit := beginTimeout
	if l.outage.Length(clock.Now()) > outageThreshold {
		limit = probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return l.propose(ctx, b.Account, turns.Command{Begin: &b})
}

// unreachable reports whether the store group has given no answer for unreachableThreshold.
func (l *ledger) unreachable() bool { return l.outage.Length(clock.Now()) >= unreachableThreshold }

// End implements proxy.Ledger.
func (l *ledger) End(ctx context.Context, e turns.End) (turns.Result, error) {
	return l.propose(ctx, e.Account, turns.Command{End: &e})
}

// EndLater implements proxy.Ledger.
func (l *ledger) EndLater(e turns.End, done func(turns.Result)) {
	select {
	case l.settlements <- settlement{e, done}:
	default:
		l.events.Emit(events.NodeEndFailed, zap.String("request", e.Request), zap.String("reason", "queue full"))
	}
}

// propose brings a command to the group that keeps the account.
func (l *ledger) propose(ctx context.Context, account string, c turns.Command) (turns.Result, error) {
	c.Now = time.Now().UnixMilli()
	data, err := c.Encode()
	if err != nil {
		return turns.Result{}, err
	}
	l.outage.Sent(clock.Now())
	count, err := l.awaitFormed(ctx)
	if err != nil {
		return turns.Result{}, err
	}
	answer, err := l.groups.ProposeRepeatedly(ctx, storeGroup(shard.Of(account, count)), data)
	if err != nil {
		return turns.Result{}, err
	}
	l.outage.Answered()
	return turns.DecodeResult(answer)
}

// awaitFormed returns the number of groups, once it is known.
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

// settle works through the queue until ctx ends; what is left then is tried once more.
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
		l.events.Emit(events.NodeEndFailed, zap.String("request", s.end.Request), zap.Error(err))
		return
	}
	if s.done != nil {
		s.done(result)
	}
}
