package replica

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"egretramp/internal/events"
	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/wal"
	"egretramp/internal/turns"
)

const (
	// refillTurnBytes is the size of a recorded turn, input and output together.
	refillTurnBytes = 2 << 10
	// refillTurns is the rate of turns while a replica is filled, each with a begin and an end.
	refillTurns = 200 // a second
	// maxCommandTime is the time within which a command must be applied while a replica is filled.
	maxCommandTime = 1200 * time.Millisecond
	// maxRefillTime is the shortest catch_up time of the deployments served.
	maxRefillTime = 4300 * time.Millisecond
)

// refill is a group of store VMs with the state machine of turns, under traffic.
type refill struct {
	*testCluster
	stop    context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	slowest time.Duration // of the commands that succeeded
	recent  []time.Duration
	errors  atomic.Int64
	turns   atomic.Int64
}

func newRefill(t testing.TB, snapshotEvery uint64) *refill {
	f := newTestCluster(t, "a", "b", "c")
	f.snapshotEvery = snapshotEvery
	f.tick, f.electionTicks = DefaultTickInterval, DefaultElectionTicks
	f.newMachine = func() StateMachine { return turns.New() }
	f.openStore = func(folder string, fresh *raftpb.Identity) (Store, raft.State, error) { return wal.Open(folder, fresh) }
	for _, vm := range f.vms {
		f.start(vm)
	}
	return &refill{testCluster: f}
}

// leader waits for the leader.
func (f *refill) leader() *runningReplica {
	var leader *runningReplica
	require.Eventually(f.t, func() bool {
		for _, run := range f.runningReplicas() {
			if run.Status().Role == raft.Leader.String() {
				leader = run
			}
		}
		return leader != nil
	}, waitTimeout, time.Millisecond)
	return leader
}

// proposeToLeader proposes a command until it is applied, as entry VMs do, for as long as a turn's begin may take there.
func (f *refill) proposeToLeader(data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), maxCommandTime)
	defer cancel()
	for {
		err := error(ErrNotFormed)
		for _, run := range f.runningReplicas() {
			if run.Status().Role == raft.Leader.String() {
				_, err = run.Propose(ctx, data)
			}
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// turn begins and records a turn.
func (f *refill) turn() error {
	i := f.turns.Add(1)
	request := fmt.Sprint("r", i)
	for _, c := range []turns.Command{
		{Now: 1, Begin: &turns.Begin{Account: "a", Program: fmt.Sprint(i / 5), Request: request, HasBudget: true, Budget: 1 << 30, MaxTokens: 9, Timeout: time.Second}},
		{Now: 1, End: &turns.End{
			Account: "a", Program: fmt.Sprint(i / 5), Request: request, Record: true, Retention: time.Minute,
			Input: make([]byte, refillTurnBytes/2), Output: make([]byte, refillTurnBytes/2),
		}},
	} {
		data, err := c.Encode()
		if err != nil {
			return err
		}
		started := time.Now()
		if err := f.proposeToLeader(data); err != nil {
			return err
		}
		f.mu.Lock()
		f.slowest = max(f.slowest, time.Since(started))
		f.recent = append(f.recent, time.Since(started))
		f.mu.Unlock()
	}
	return nil
}

// fill records turns until the state has the given size.
func (f *refill) fill(bytes int) {
	f.leader()
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			for f.turns.Load() < int64(bytes/refillTurnBytes) {
				_ = f.turn() // counted by its number; the state's size is checked by the tests
			}
		})
	}
	wg.Wait()
}

// startTraffic records refillTurns turns a second until stopTraffic.
func (f *refill) startTraffic() {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.slowest, f.recent = 0, nil
	f.wg.Go(func() {
		ticker := time.NewTicker(time.Second / refillTurns)
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			f.wg.Go(func() {
				if f.turn() != nil {
					f.errors.Add(1)
				}
			})
		}
	})
}

func (f *refill) stopTraffic() {
	f.stop()
	f.wg.Wait()
}

// lose stops a VM's replica, empties its disk and starts it again. It returns the time until the group has a new voter
// there that holds all entries.
func (f *refill) lose(vm string) time.Duration {
	before := f.running[vm].Status().Replica
	f.testCluster.stop(vm)
	f.folders[vm] = f.t.TempDir()
	started := time.Now()
	f.start(vm)
	require.Eventually(f.t, func() bool {
		return slices.ContainsFunc(f.leader().Status().Members, func(m MemberStatus) bool {
			return m.VM == vm && m.Replica != before && !m.Learner
		})
	}, waitTimeout, 5*time.Millisecond)
	return time.Since(started)
}

// follower returns a VM that isn't the leader.
func (f *refill) follower() string {
	leader := f.leader().Status().VM
	return f.vms[slices.IndexFunc(f.vms, func(vm string) bool { return vm != leader })]
}

// TestReplica_IsFilledAgainAfterLogsWereCut guards against store VMs that are never filled again after the loss of their
// disk, since the state that replaces the log is larger than a message. Each VM loses its disk in turn, under traffic.
func TestReplica_IsFilledAgainAfterLogsWereCut(t *testing.T) {
	const state = 8 << 20
	f := newRefill(t, 2000)
	f.fill(state)
	require.Greater(t, f.leader().Status().Snapshot, uint64(4000), "the logs were cut")
	f.startTraffic()
	for range 3 {
		vm := f.follower()
		require.Less(t, f.lose(vm), maxRefillTime)
		machine := f.running[vm].options.Machine.(*turns.Machine)
		var held int
		require.NoError(t, f.running[vm].Query(context.Background(), func(StateMachine) { _, held = machine.Size() }))
		require.GreaterOrEqual(t, held, state/refillTurnBytes)
	}
	f.stopTraffic()
	require.Zero(t, f.errors.Load())
	require.LessOrEqual(t, f.largest.Load(), int64(raft.DefaultMaxMessageBytes+16<<10))
	f.stopAll()
}

// TestReplica_ReportsThatAReplicaIsNotFilled guards against a group that has a copy less than it should, and nobody knows.
func TestReplica_ReportsThatAReplicaIsNotFilled(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c")
	var logs syncedBuffer
	f.events = events.NewTo("vm", zapcore.InfoLevel, &logs)
	var blocked atomic.Bool
	var lostVM atomic.Value
	lostVM.Store("")
	f.lost = func(vm string, m *raftpb.Message) bool {
		return blocked.Load() && vm == lostVM.Load() && (m.Type == raftpb.MessageType_MESSAGE_TYPE_APPEND || m.Snapshot != nil)
	}
	for _, vm := range f.vms {
		f.start(vm)
	}
	for i := range uint64(300) {
		f.propose(i)
	}
	r := refill{testCluster: f}
	vm := r.follower()
	lostVM.Store(vm)
	blocked.Store(true)
	f.stop(vm)
	f.folders[vm] = t.TempDir()
	f.start(vm)
	behind := func() bool {
		return slices.ContainsFunc(r.leader().Status().Members, func(m MemberStatus) bool { return m.VM == vm && m.Behind })
	}
	require.Eventually(t, behind, waitTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(logs.String(), "has not caught up") }, waitTimeout, 10*time.Millisecond)
	require.Contains(t, logs.String(), `"peer":"`+vm+`"`)
	blocked.Store(false)
	require.Eventually(t, func() bool { return !behind() }, waitTimeout, 10*time.Millisecond)
	f.stopAll()
}

// syncedBuffer is a log that several goroutines write to. It implements zapcore.WriteSyncer.
type syncedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncedBuffer) Sync() error { return nil }

func (b *syncedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestReplica_IsFilledAgainWhateverTheLogHolds guards against a time of refilling that grows with the age of the group:
// the log holds many commands and the state that they lead to is small.
func TestReplica_IsFilledAgainWhateverTheLogHolds(t *testing.T) {
	f := newRefill(t, 8000)
	f.fill(30_000 * refillTurnBytes / 4) // 15,000 commands
	f.startTraffic()
	require.Less(t, f.lose(f.follower()), maxRefillTime)
	f.stopTraffic()
	f.stopAll()
}

// BenchmarkRefill measures the time until a VM that lost its disk is a voter again by the size of the state, and how long
// commands of the group take meanwhile, the slowest and the one in a hundred.
func BenchmarkRefill(b *testing.B) {
	for _, megabytes := range []int{1, 10, 40} {
		b.Run(fmt.Sprintf("%dMB", megabytes), func(b *testing.B) {
			for range b.N {
				f := newRefill(b, 8000)
				f.fill(megabytes << 20)
				f.startTraffic()
				took := f.lose(f.follower())
				f.stopTraffic()
				slices.Sort(f.recent)
				b.ReportMetric(took.Seconds(), "s-to-voter")
				b.ReportMetric(float64(f.slowest.Milliseconds()), "ms-slowest")
				b.ReportMetric(float64(f.recent[len(f.recent)*99/100].Microseconds())/1000, "ms-p99")
				b.ReportMetric(float64(f.errors.Load()), "errors")
				f.stopAll()
			}
		})
	}
}
