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
	// storeTry bounds one try at one store VM: a few syncs and crossings, and a busy processor.
	storeTry = 400 * time.Millisecond
	// beginTime bounds the begin of a turn: an election and a few tries.
	beginTime = 1200 * time.Millisecond
	// outageTime is the time without an answer after which turns get only probeTime: one turn has
	// waited for an election in vain, and some more.
	outageTime = beginTime + 300*time.Millisecond
	probeTime  = 45 * time.Millisecond
	// silenceTime is the time without an answer after which the store counts as out of reach
	// beside a partition: about an election.
	silenceTime = 700 * time.Millisecond
	// formedPoll is the time between two looks for the store's groups, at the start of a fleet.
	formedPoll = 40 * time.Millisecond
	// settleTime is for how long the settlement of a turn is tried.
	settleTime = 20 * time.Second
	// settleQueue is the number of settlements that wait; further ones are dropped, and their
	// reservations count whole.
	settleQueue = 4096
	// settleWorkers is the number of settlements under way.
	settleWorkers = 8
)

// firstStore is the number of the store's first group; the others follow.
const firstStore uint64 = 2

func storeGroup(i int) uint64 { return firstStore + uint64(i) }

var errNotFormed = errors.New("node: the store isn't formed, or not known yet")

// ledger is an entry VM's access to the store group.
type ledger struct {
	groups *groups.Client
	// shards returns the number of groups that the store has, 0 if it isn't known.
	shards func() int
	events *events.Logger
	later  chan settlement
	outage groups.Outage
}

// settlement is a turn's end that nobody waits for.
type settlement struct {
	end  turns.End
	done func(turns.Result) // nil for nobody
}

func newLedger(client *groups.Client, shards func() int, log *events.Logger) *ledger {
	return &ledger{groups: client, shards: shards, events: log, later: make(chan settlement, settleQueue)}
}

// Begin implements proxy.Ledger. Once the store group was out of reach for a while, a turn gets
// one short try: its caller is better off to come back than to wait.
func (l *ledger) Begin(ctx context.Context, b turns.Begin) (turns.Result, error) {
	limit := beginTime
	if l.outage.Duration(clock.Now()) > outageTime {
		limit = probeTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return l.run(ctx, b.Account, turns.Command{Begin: &b})
}

// silent reports whether the store group has given no answer for silenceTime.
func (l *ledger) silent() bool { return l.outage.Duration(clock.Now()) >= silenceTime }

// End implements proxy.Ledger.
func (l *ledger) End(ctx context.Context, e turns.End) (turns.Result, error) {
	return l.run(ctx, e.Account, turns.Command{End: &e})
}

// EndLater implements proxy.Ledger.
func (l *ledger) EndLater(e turns.End, done func(turns.Result)) {
	select {
	case l.later <- settlement{e, done}:
	default:
		l.events.Emit(events.NodeEndFailed, zap.String("request", e.Request), zap.String("reason", "queue full"))
	}
}

// run brings a command to the group that keeps the account.
func (l *ledger) run(ctx context.Context, account string, c turns.Command) (turns.Result, error) {
	c.Now = time.Now().UnixMilli()
	data, err := c.Encode()
	if err != nil {
		return turns.Result{}, err
	}
	l.outage.RequestSent(clock.Now())
	count, err := l.formed(ctx)
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

// formed returns the number of groups, once it is known.
func (l *ledger) formed(ctx context.Context) (int, error) {
	for {
		if count := l.shards(); count > 0 {
			return count, nil
		}
		select {
		case <-ctx.Done():
			return 0, errNotFormed
		case <-time.After(formedPoll):
		}
	}
}

// settle works through the queue until ctx ends; what is left then is tried once more.
func (l *ledger) settle(ctx context.Context) {
	for {
		select {
		case s := <-l.later:
			l.settleOne(s)
		case <-ctx.Done():
			return
		}
	}
}

func (l *ledger) settleOne(s settlement) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
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
