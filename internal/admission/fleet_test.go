package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFleet_LessUrgentProgramsAreRefusedFirst(t *testing.T) {
	f := Fleet{Slots: 270, Inflight: 220}
	require.True(t, f.Admits(0, false, true))
	require.False(t, f.Admits(1, false, true))
	require.False(t, f.Admits(0, true, true), "the account has more than its share")
	f.Inflight = 160
	require.True(t, f.Admits(1, true, true))
	f.Inflight = 240
	require.False(t, f.Admits(0, false, true))
	require.False(t, Fleet{}.Admits(0, false, false), "no upstream can be reached")
}

// TestFleet_SlowTurnsAndUsedSlots guards against programs that are refused although slots are free, because some upstreams
// are slower than others (44 engines with 50 to 118 requests at 264 slots), and against those that are refused at nearly full
// slots while all turns are in time.
func TestFleet_SlowTurnsAndUsedSlots(t *testing.T) {
	for _, inflight := range []int{50, 118, 200} {
		require.True(t, Fleet{Slots: 264, Inflight: inflight}.Admits(0, false, true), inflight)
	}
	busy := Fleet{Slots: 270, Inflight: 240}
	require.True(t, busy.Admits(1, false, false))
	require.True(t, busy.Admits(0, true, false))
	require.False(t, busy.Admits(0, false, true))
	require.False(t, Fleet{Slots: 270, Inflight: 340}.Admits(0, false, false), "the turns of this VM don't show the queue yet")
}

func equalWeights(string) float64 { return 0 }

// TestOverShare_LargeAccountsHaveLargeShares guards against large accounts that are refused for their usual programs: shares
// follow the rates that the operators gave the accounts.
func TestOverShare_LargeAccountsHaveLargeShares(t *testing.T) {
	rates := map[string]float64{"large": 100, "small": 10, "hot": 10}
	weight := func(account string) float64 { return rates[account] }
	require.Empty(t, OverShare([]AccountCount{{"large", 100, 5}, {"small", 10, 1}, {"hot", 10, 1}}, weight), "as their rates")
	require.Equal(t, []string{"hot"}, OverShare([]AccountCount{{"large", 90, 15}, {"small", 8, 2}, {"hot", 40, 60}}, weight))
	require.Equal(t, []string{"x"}, OverShare([]AccountCount{{"large", 100, 15}, {"x", 150, 60}}, weight), "without a rate: as the average")
}

func TestOverShare_OnlyWhileOthersAreRefused(t *testing.T) {
	require.Empty(t, OverShare(nil, equalWeights))
	require.Empty(t, OverShare([]AccountCount{{"a", 100, 0}, {"b", 3, 0}}, equalWeights), "unused shares are lent")
	require.Equal(t, []string{"a"}, OverShare([]AccountCount{{"a", 100, 50}, {"b", 3, 5}, {"c", 20, 0}}, equalWeights))
	require.Equal(t, []string{"a"}, OverShare([]AccountCount{{"a", 100, 0}, {"b", 3, 500}}, equalWeights))
	require.Empty(t, OverShare([]AccountCount{{"a", 10, 5}, {"b", 10, 50}}, equalWeights), "equal shares")
}

// TestOverShare_OneAccountAsksForFourTimes: one of ten accounts asks for more and more programs, and comes first, while the fleet
// holds 100. Refusing accounts above their share first brings the others most of what they ask for.
func TestOverShare_OneAccountAsksForFourTimes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	counts := make([]AccountCount, 10)
	for i := range counts {
		counts[i].Name = fmt.Sprint("a", i)
	}
	sum, rounds := 0, 300
	for range rounds {
		over := OverShare(counts, equalWeights)
		f := Fleet{Slots: 118}
		for i := range counts {
			for range counts[i].Active {
				if random.IntN(10) == 0 {
					counts[i].Active-- // a program ended
				}
			}
			f.Inflight += counts[i].Active
		}
		for i := range counts {
			demand := 8
			if i == 0 {
				demand = 200
			}
			counts[i].Refused = 0
			for range max(demand-counts[i].Active, 0) {
				if f.Admits(0, slices.Contains(over, counts[i].Name), true) {
					counts[i].Active++
					f.Inflight++
				} else {
					counts[i].Refused++
				}
			}
			if i > 0 {
				sum += counts[i].Active
			}
		}
	}
	require.Greater(t, float64(sum)/float64(9*rounds), 7.0, "of 8 programs of each other account")
}

func TestAccounts_CountsProgramsOnce(t *testing.T) {
	a := NewAccounts()
	a.MarkRefused(0, "x", "p")
	a.MarkRefused(time.Millisecond, "x", "q")
	a.MarkActive(2*time.Millisecond, "x", "p") // a retry
	a.MarkActive(3*time.Millisecond, "x", "p") // its next turn
	a.MarkActive(3*time.Millisecond, "w", "p")
	require.Equal(t, []AccountCount{{"w", 1, 0}, {"x", 1, 1}}, a.Counts(10*time.Millisecond))
	require.Empty(t, a.Counts(2*time.Second))
}
