package replica

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/events"
	"egretramp/internal/raft"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

// waitTimeout limits every wait of these tests, far above the expected durations.
const waitTimeout = 30 * time.Second

// testCluster runs replicas with real files in one process and is their Transport.
type testCluster struct {
	t             testing.TB
	vms           []string
	folders       map[string]string
	snapshotEvery uint64 // in entries
	snapshotBytes func() int64
	tick          time.Duration
	bytes         atomic.Int64        // sent by all replicas
	largest       atomic.Int64        // bytes of the largest message
	newMachine    func() StateMachine // nil for recorders
	openStore     func(folder string, fresh *raftpb.Identity) (Store, raft.State, error)
	electionTicks int // default 20
	events        *events.Logger
	lost          func(vm string, m *raftpb.Message) bool // messages that don't arrive; nil: none
	mu            sync.Mutex
	running       map[string]*runningReplica
}

type runningReplica struct {
	*Replica
	app    *recorder
	cancel context.CancelFunc
	ended  chan error
}

func newTestCluster(t testing.TB, vms ...string) *testCluster {
	f := &testCluster{t: t, vms: vms, folders: map[string]string{}, snapshotEvery: 100, tick: 10 * time.Millisecond, running: map[string]*runningReplica{}}
	for _, vm := range vms {
		f.folders[vm] = t.TempDir()
	}
	return f
}

// Send encodes and decodes the message, as a network would, and delivers it.
func (f *testCluster) Send(vm string, m *raftpb.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		return
	}
	if f.lost != nil && f.lost(vm, m) {
		return
	}
	f.bytes.Add(int64(len(data)))
	for size := int64(len(data)); ; {
		if largest := f.largest.Load(); size <= largest || f.largest.CompareAndSwap(largest, size) {
			break
		}
	}
	f.mu.Lock()
	to := f.running[vm]
	f.mu.Unlock()
	if decoded, err := raft.DecodeMessage(data); err == nil && to != nil {
		to.Step(decoded)
	}
}

func (f *testCluster) start(vm string) {
	app := &recorder{}
	var machine StateMachine = app
	if f.newMachine != nil {
		machine = f.newMachine()
	}
	r, err := New(Options{
		Group: 1, VM: vm, Folder: f.folders[vm], InitialVMs: f.vms, Machine: machine, Transport: f, OpenStore: f.openStore, Events: f.events,
		TickInterval: f.tick, ElectionTicks: cmp.Or(f.electionTicks, 20), HeartbeatTicks: 3, SnapshotEvery: f.snapshotEvery, SnapshotBytes: f.snapshotBytes,
	})
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	run := &runningReplica{Replica: r, app: app, cancel: cancel, ended: make(chan error, 1)}
	f.mu.Lock()
	f.running[vm] = run
	f.mu.Unlock()
	go func() { run.ended <- r.Run(ctx) }()
}

func (f *testCluster) stop(vm string) {
	f.mu.Lock()
	run := f.running[vm]
	delete(f.running, vm)
	f.mu.Unlock()
	run.cancel()
	require.NoError(f.t, <-run.ended)
}

func (f *testCluster) stopAll() {
	for _, vm := range f.vms {
		f.stop(vm)
	}
}

// propose retries on all replicas until one of them commits the command.
func (f *testCluster) propose(command uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, run := range f.runningReplicas() {
			_, err := run.Propose(ctx, binary.BigEndian.AppendUint64(nil, command))
			var notLeader *NotLeaderError
			if err == nil {
				return
			}
			require.True(f.t, errors.As(err, &notLeader) || errors.Is(err, ErrNotFormed) || errors.Is(err, ErrUnknownOutcome), "%v", err)
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Fatal("no replica accepted the command")
}

func (f *testCluster) runningReplicas() []*runningReplica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*runningReplica
	for _, vm := range f.vms {
		if run := f.running[vm]; run != nil {
			all = append(all, run)
		}
	}
	return all
}

// requireSameLogs waits until every running replica has applied the commands up to last, and checks
// that all applied the same ones at the same indexes.
func (f *testCluster) requireSameLogs(last uint64) []recorded {
	var logs [][]recorded
	require.Eventually(f.t, func() bool {
		logs = nil
		for _, run := range f.runningReplicas() {
			var log []recorded
			err := run.Query(context.Background(), func(m StateMachine) { log = append(log, m.(*recorder).log...) })
			require.NoError(f.t, err)
			if len(log) == 0 || log[len(log)-1].command != last {
				return false
			}
			logs = append(logs, log)
		}
		return true
	}, waitTimeout, 5*time.Millisecond)
	for _, log := range logs {
		require.Equal(f.t, logs[0], log)
	}
	return logs[0]
}

func TestReplica_KeepsHundredsOfEntriesOverRestarts(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c")
	for _, vm := range f.vms {
		f.start(vm)
	}
	for i := uint64(1); i <= 450; i++ {
		f.propose(i)
	}
	before := f.requireSameLogs(450)
	f.stopAll()
	for _, vm := range f.vms {
		f.start(vm)
	}
	f.propose(451)
	after := f.requireSameLogs(451)
	require.Equal(t, before, after[:len(before)])

	var leader *runningReplica
	for _, run := range f.runningReplicas() {
		if run.Status().Role == "leader" {
			leader = run
		}
	}
	require.NotNil(t, leader)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(t, leader.LinearizableQuery(ctx, func(m StateMachine) {
		require.Equal(t, uint64(451), m.(*recorder).log[len(after)-1].command)
	}))
	require.NoError(t, leader.Transfer(ctx))
	_, err := leader.Propose(ctx, []byte("12345678"))
	var notLeader *NotLeaderError
	require.ErrorAs(t, err, &notLeader)
	f.stopAll()
	require.ErrorIs(t, leader.ReadIndex(ctx), ErrStopped)
}

func TestReplica_RepairsLostDisksOneAfterTheOther(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c")
	for _, vm := range f.vms {
		f.start(vm)
	}
	last := uint64(0)
	for _, vm := range f.vms {
		for range 120 {
			last++
			f.propose(last)
		}
		lost := f.running[vm].Status().Replica
		f.stop(vm)
		require.NoError(t, os.Remove(storage.Path(f.folders[vm], 1)))
		f.start(vm)
		f.waitReplaced(vm, lost)
	}
	log := f.requireSameLogs(last)
	require.Len(t, log, int(last))
	f.stopAll()
}

// waitReplaced waits until the group has its full number of members, all voters, without the lost
// replica, and the leader has replicated entries to the VM's new one.
func (f *testCluster) waitReplaced(vm string, lost uint64) {
	require.Eventually(f.t, func() bool {
		for _, run := range f.runningReplicas() {
			status := run.Status()
			if status.Role != "leader" || len(status.Members) != len(f.vms) {
				continue
			}
			for _, m := range status.Members {
				if m.Learner || m.Replica == lost || (m.VM == vm && m.Match == 0) {
					return false
				}
			}
			return true
		}
		return false
	}, waitTimeout, 5*time.Millisecond)
}

func TestReplica_RefusesDamagedFile(t *testing.T) {
	f := newTestCluster(t, "a")
	f.start("a")
	f.propose(1)
	require.NoError(t, f.running["a"].Transfer(context.Background()), "the only voter must not wait for a transfer")
	f.stop("a")
	path := storage.Path(f.folders["a"], 1)
	require.NoError(t, os.Truncate(path, 8192))
	_, err := New(Options{Group: 1, VM: "a", Folder: f.folders["a"], InitialVMs: f.vms, Machine: &recorder{}, Transport: f})
	var damaged *storage.DamagedError
	require.ErrorAs(t, err, &damaged)
	require.ErrorContains(t, err, path)
}

func TestReplica_DoesNotFormWhileAnInitialVMIsDown(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c")
	f.start("a")
	f.start("b")
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		_, err := f.running["a"].Propose(ctx, []byte("12345678"))
		require.True(t, errors.Is(err, ErrNotFormed) || ctx.Err() != nil, "%v", err)
	}
	f.start("c")
	f.propose(1)
	f.requireSameLogs(1)
	f.stopAll()
}

// TestReplica_FormsGroupsOfAnySize guards against a replica, for example one of two, that abandons
// the formation because it holds no entry yet.
func TestReplica_FormsGroupsOfAnySize(t *testing.T) {
	for size := 1; size <= 5; size++ {
		f := newTestCluster(t, []string{"a", "b", "c", "d", "e"}[:size]...)
		for _, vm := range f.vms {
			f.start(vm)
		}
		f.propose(1)
		f.requireSameLogs(1)
		f.stopAll()
	}
}

func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(map[int]string{1: "one caller", 64: "64 callers"}[callers], func(b *testing.B) {
			f := newTestCluster(b, "a", "b", "c")
			for _, vm := range f.vms {
				f.start(vm)
			}
			f.propose(1)
			var leader *runningReplica
			for _, run := range f.runningReplicas() {
				if run.Status().Role == "leader" {
					leader = run
				}
			}
			b.ResetTimer()
			var group sync.WaitGroup
			for c := range callers {
				group.Go(func() {
					for i := c; i < b.N; i += callers {
						if _, err := leader.Propose(context.Background(), make([]byte, 256)); err != nil {
							b.Error(err)
						}
					}
				})
			}
			group.Wait()
			b.StopTimer()
			f.stopAll()
		})
	}
}

// BenchmarkRestart measures the time from New until 1,000 commands, all still in the log, are applied.
func BenchmarkRestart(b *testing.B) {
	f := newTestCluster(b, "a")
	f.snapshotEvery = 5000
	f.start("a")
	for i := range uint64(1000) {
		f.propose(i)
	}
	f.stop("a")
	b.ResetTimer()
	for range b.N {
		f.start("a")
		for f.running["a"].Status().Applied < 1000 {
			time.Sleep(100 * time.Microsecond)
		}
		b.StopTimer()
		f.stop("a")
		b.StartTimer()
	}
}

// BenchmarkIdle reports the cost of three idle replicas with the default tick interval: CPU time
// and bytes sent, per replica and second.
func BenchmarkIdle(b *testing.B) {
	f := newTestCluster(b, "a", "b", "c")
	f.tick = DefaultTickInterval
	for _, vm := range f.vms {
		f.start(vm)
	}
	f.propose(1)
	const seconds = 3
	for range b.N {
		cpu, sent := processorTime(b), f.bytes.Load()
		time.Sleep(seconds * time.Second)
		replicas := float64(len(f.vms))
		b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/seconds/replicas, "cpu-us/s")
		b.ReportMetric(float64(f.bytes.Load()-sent)/seconds/replicas, "B/s")
	}
	f.stopAll()
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
