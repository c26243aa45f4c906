package raft

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/raft/raftpb"
)

// TestRaft_TwoVotersReplaceLostLeader simulates two of three voters after the loss of the leader.
// Each advances two ticks at a time, as replicas that wake up once per heartbeat interval do, so
// one may treat the leader as active slightly longer than the other. Callers wait until a new
// leader is elected: detecting the loss and electing a leader must take at most two election
// timeouts in 95 of 100 cases.
func TestRaft_TwoVotersReplaceLostLeader(t *testing.T) {
	const electionTicks, batch = 6, 2
	var electionTimes []int
	for seed := range 1000 {
		random := rand.New(rand.NewPCG(uint64(seed), 7))
		voters := map[uint64]*Raft{}
		for id := uint64(1); id <= 2; id++ {
			r, err := New(Options{ID: id, ElectionTicks: electionTicks, HeartbeatTicks: batch, Seed: int64(seed)*2 + int64(id), State: State{
				Hard: &raftpb.HardState{Term: 1, Commit: 1}, Snapshot: &raftpb.Snapshot{Index: 1, Term: 1, Conf: conf(1, 2, 3)},
				Bounds: &raftpb.LogBounds{BaseIndex: 1, BaseTerm: 1, LastIndex: 1},
			}})
			require.NoError(t, err)
			r.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_HEARTBEAT, From: 3, To: id, Term: 1})
			flush(r)
			voters[id] = r
		}
		phase := map[uint64]int{1: random.IntN(batch), 2: random.IntN(batch)}
		deliver := func() {
			for again := true; again; {
				again = false
				for _, id := range []uint64{1, 2} {
					for _, m := range flush(voters[id]) {
						if to := voters[m.To]; to != nil {
							to.Step(m)
							again = true
						}
					}
				}
			}
		}
		tick := 0
		for voters[1].Role() != Leader && voters[2].Role() != Leader {
			tick++
			require.Less(t, tick, 1000, "seed %d", seed)
			for id, r := range voters {
				if (tick+phase[id])%batch == 0 {
					for range batch {
						r.Tick()
					}
					deliver()
				}
			}
		}
		electionTimes = append(electionTimes, tick)
	}
	slices.Sort(electionTimes)
	sum := 0
	for _, n := range electionTimes {
		sum += n
	}
	t.Logf("ticks: mean %.1f, p50 %d, p95 %d, max %d", float64(sum)/float64(len(electionTimes)), electionTimes[len(electionTimes)/2], electionTimes[len(electionTimes)*95/100], electionTimes[len(electionTimes)-1])
	require.LessOrEqual(t, electionTimes[len(electionTimes)*95/100], 2*electionTicks)
}
