package suspect

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// inOrder makes the first VM by name the owner.
func inOrder(_ string, vms []string) []string {
	ranked := slices.Clone(vms)
	slices.Sort(ranked)
	return ranked
}

var threeZones = []Member{{"vm1", "a"}, {"vm2", "a"}, {"vm3", "b"}, {"vm4", "b"}, {"vm5", "c"}}

// settledArbiter is of vm1, which owns everything and sees all others until the time returned.
func settledArbiter() (*Arbiter, time.Duration) {
	a := NewArbiter(0, "vm1", inOrder)
	a.SetMembers(threeZones)
	now := time.Duration(0)
	for now <= SettleTime {
		a.Observe(now, []string{"vm2", "vm3", "vm4", "vm5"})
		now += interval
	}
	return a, now
}

func from(vm, run string) Ask { return Ask{Fingerprint: print1, Run: run, VM: vm, Start: "1"} }

func agree(vms ...string) map[string]Ballot {
	ballots := map[string]Ballot{}
	for _, vm := range vms {
		ballots[vm] = Ballot{Record: Record{Fingerprint: print1}}
	}
	return ballots
}

func TestArbiter_FreezeVoidsLeave(t *testing.T) {
	a, now := settledArbiter()
	v, _ := a.Ask(now, from("vm2", "r"))
	require.Equal(t, Go, v.State)
	a.Observe(now+10*time.Second, a.view.others)
	require.False(t, a.Accept(now, from("vm2", "r"), v), "the answer lay there during a freeze")

	b, now := settledArbiter()
	require.True(t, b.Accept(now, from("vm2", "r"), v))
	require.True(t, b.IsValid(now+time.Second, now, print1, v))
	require.False(t, b.IsValid(now+10*time.Second, now, print1, v))
}

func TestArbiter_OwnRunIsMadeKnownInTheZone(t *testing.T) {
	a, now := settledArbiter()
	_, poll := a.Ask(now, from("vm1", "r"))
	require.Equal(t, []string{"vm2"}, poll.Voters)
	require.Equal(t, Wait, a.Conclude(now, *poll, nil).State)
	_, poll = a.Ask(now, from("vm1", "r"))
	require.Equal(t, Go, a.Conclude(now, *poll, agree("vm2")).State)
	require.Equal(t, Wait, a.Conclude(now, Poll{Ask: from("vm1", "gone")}, nil).State, "its caller left")
}

func TestArbiter_RunAfterAStrikeNeedsTheFleet(t *testing.T) {
	a, now := settledArbiter()
	a.Ask(now, from("vm2", "r"))
	a.End(now, ended("r", Lost, "e1@1", 0))
	ask := from("vm2", "s")
	_, poll := a.Ask(now, ask)
	require.Equal(t, Wait, a.Conclude(now, *poll, agree("vm2", "vm3", "vm5")).State, "vm4 is visible and silent")

	a.Observe(now, []string{"vm2", "vm3", "vm5"})
	_, poll = a.Ask(now, ask)
	require.Equal(t, Wait, a.Conclude(now, *poll, agree(poll.Voters...)).State, "vm4 may not have stopped yet")
	for range 5 {
		now += interval
		a.Observe(now, []string{"vm2", "vm3", "vm5"})
	}
	_, poll = a.Ask(now, ask)
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, a.Conclude(now, *poll, agree(poll.Voters...)))
	a.Release(ask)

	a.Observe(now, []string{"vm2", "vm5"})
	v, poll := a.Ask(now, ask)
	require.Nil(t, poll)
	require.Equal(t, CutOff, v.State, "a zone is out of sight")
	v, _ = a.Ask(now, Ask{Fingerprint: "healthy", Run: "h", VM: "vm2"})
	require.Equal(t, Go, v.State)
	a.Observe(now, []string{"vm2", "vm3", "vm5"})
	_, poll = a.Ask(now, ask)
	require.Equal(t, Wait, a.Conclude(now, *poll, agree(poll.Voters...)).State, "vm4 served its side until its zone came back")
}

func TestArbiter_RunOfALostVM(t *testing.T) {
	for _, c := range []struct {
		name    string
		visible []string
		want    int
	}{
		{"dead", []string{"vm2", "vm3", "vm5"}, 1},
		{"its zone cut off", []string{"vm2", "vm5"}, 0},
		{"alive, and does not repeat it", []string{"vm2", "vm3", "vm4", "vm5"}, 0},
	} {
		a, now := settledArbiter()
		a.Ask(now, from("vm4", "r"))
		for range 20 {
			now += interval
			a.Observe(now, c.visible)
			a.Tick(now)
		}
		require.Equal(t, c.want, a.registry.strikes(print1), c.name)
		v, _ := a.Ask(now, from("vm2", "s"))
		require.Equal(t, c.want == 0, v.State == Go, c.name)
	}
}
