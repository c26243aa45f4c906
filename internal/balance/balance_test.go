package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func fleet(n int) []Candidate {
	var cs []Candidate
	for i := range n {
		cs = append(cs, Candidate{ID: fmt.Sprint("u", i), Local: i < n/2, Slots: 10, Slowness: 1})
	}
	return cs
}

func turn(program string) Request {
	return Request{Affinity: program, AffinityGain: 200 * time.Millisecond, Service: 150 * time.Millisecond}
}

func TestPick_VMsAgreeOnHome(t *testing.T) {
	homes := map[string]int{}
	for i := range 300 {
		cs := fleet(6)
		a := Pick(cs, turn(fmt.Sprint("p", i)))
		for j := range cs {
			cs[j].Inflight = (i + j) % 3 // as on a VM with different load
		}
		require.Equal(t, a, Pick(cs, turn(fmt.Sprint("p", i))))
		require.True(t, cs[a].Local)
		homes[cs[a].ID]++
	}
	require.Len(t, homes, 3)
	for id, n := range homes {
		require.InDelta(t, 100, n, 35, id)
	}
}

func TestPick_LeavesSlowOrFullHome(t *testing.T) {
	cs := fleet(6)
	home := Pick(cs, turn("p"))
	cs[home].Slowness = 4
	require.NotEqual(t, home, Pick(cs, turn("p")), "four times slower")
	cs[home].Slowness = 1
	cs[home].Inflight = 40
	require.NotEqual(t, home, Pick(cs, turn("p")), "a queue of three times the slots")
	cs[home].Inflight = 5
	require.Equal(t, home, Pick(cs, turn("p")), "the home saves more than its load costs")
	cs[home].Failing = true
	require.NotEqual(t, home, Pick(cs, turn("p")))
}

// TestPick_LimitedUpstreamsCostOnlyTheRequestItself: what the others there would lose doesn't keep a request from an
// upstream at its rate limit.
func TestPick_LimitedUpstreamsCostOnlyTheRequestItself(t *testing.T) {
	cs := fleet(2)
	r := turn("p")
	r.Home, r.OwnGain = cs[0].ID, 20*time.Millisecond
	cs[0].Inflight, cs[1].Local = 5, true
	require.Equal(t, 0, Pick(cs, r))
	cs[1].Limited = true
	require.Equal(t, 1, Pick(cs, r))
	cs[0].Inflight = 0
	require.Equal(t, 0, Pick(cs, r))
}

func TestPick_PrefersKnownHome(t *testing.T) {
	cs := fleet(6)
	r := turn("p")
	r.Home = cs[5].ID
	require.Equal(t, 5, Pick(cs, r), "even in another zone")
	r.Home = "gone"
	require.Equal(t, Pick(cs, turn("p")), Pick(cs, r))
}

func TestPick_NewProgramsPreferLessLoadedUpstreams(t *testing.T) {
	cs := fleet(6)
	r := turn("p")
	home := Pick(cs, r)
	cs[home].Inflight = 4
	require.Equal(t, home, Pick(cs, r))
	r.New = true
	require.NotEqual(t, home, Pick(cs, r))
}

func TestPick_FallsBackToUnhealthyUpstream(t *testing.T) {
	cs := fleet(2)
	cs[0].Tried = true
	cs[1].Failing, cs[1].Unconfirmed = true, true
	require.Equal(t, 1, Pick(cs, Request{}), "a failing and unconfirmed upstream is better than none")
	cs[1].Tried = true
	require.Equal(t, -1, Pick(cs, Request{}))
	require.Equal(t, -1, Pick(nil, turn("p")))
}

func TestPick_SpreadsPlainRequests(t *testing.T) {
	counts := map[int]int{}
	for i := range 300 {
		counts[Pick(fleet(6), Request{Service: 20 * time.Millisecond, Draw: float64(i) / 300})]++
	}
	require.Len(t, counts, 3, "only the upstreams of the zone are used")
	for i, n := range counts {
		require.InDelta(t, 100, n, 40, i)
	}
}
