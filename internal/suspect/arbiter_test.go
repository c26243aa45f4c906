package suspect

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rankByName ranks VMs by name, so that the first one is the owner.
func rankByName(_ string, vms []string) []string {
	ranked := slices.Clone(vms)
	slices.Sort(ranked)
	return ranked
}

var threeZones = []Member{{"vm1", "a"}, {"vm2", "a"}, {"vm3", "b"}, {"vm4", "b"}, {"vm5", "c"}}

// settledArbiter returns the arbiter of vm1, which owns all fingerprints and to which all other VMs have
// been visible for longer than SettleTime, and the current time.
func settledArbiter() (*Arbiter, time.Duration) {
	a := NewArbiter(0, "vm1", rankByName)
	a.SetMembers(threeZones)
	now := time.Duration(0)
	for now <= SettleTime {
		a.Observe(now, []string{"vm2", "vm3", "vm4", "vm5"})
		now += interval
	}
	return a, now
}

func from(vm, id string) RunRequest { return RunRequest{Fingerprint: fp1, Run: id, VM: vm, Start: "1"} }

func consentOf(vms ...string) map[string]Ballot {
	ballots := map[string]Ballot{}
	for _, vm := range vms {
		ballots[vm] = Ballot{Record: Record{Fingerprint: fp1}}
	}
	return ballots
}

func TestArbiter_FreezeInvalidatesPermit(t *testing.T) {
	a, now := settledArbiter()
	v, _ := a.Admit(now, from("vm2", "r"))
	require.Equal(t, Go, v.State)
	a.Observe(now+10*time.Second, a.view.others)
	require.False(t, a.Accept(now, from("vm2", "r"), v), "this VM was frozen after it requested the run")

	b, now := settledArbiter()
	require.True(t, b.Accept(now, from("vm2", "r"), v))
	require.True(t, b.IsValid(now+time.Second, now, fp1, v))
	require.False(t, b.IsValid(now+10*time.Second, now, fp1, v))
}

func TestArbiter_OwnRunIsReplicatedInZone(t *testing.T) {
	a, now := settledArbiter()
	_, poll := a.Admit(now, from("vm1", "r"))
	require.Equal(t, []string{"vm2"}, poll.Voters)
	require.Equal(t, Wait, a.Conclude(now, *poll, nil).State)
	_, poll = a.Admit(now, from("vm1", "r"))
	require.Equal(t, Go, a.Conclude(now, *poll, consentOf("vm2")).State)
	require.Equal(t, Wait, a.Conclude(now, Poll{Request: from("vm1", "gone")}, nil).State, "the run was withdrawn")
}

func TestArbiter_RunAfterStrikeNeedsFleetConsent(t *testing.T) {
	a, now := settledArbiter()
	a.Admit(now, from("vm2", "r"))
	a.End(now, endOf("r", Lost, "e1@1", 0))
	req := from("vm2", "s")
	_, poll := a.Admit(now, req)
	require.Equal(t, Wait, a.Conclude(now, *poll, consentOf("vm2", "vm3", "vm5")).State, "vm4 is visible and did not vote")

	a.Observe(now, []string{"vm2", "vm3", "vm5"})
	_, poll = a.Admit(now, req)
	require.Equal(t, Wait, a.Conclude(now, *poll, consentOf(poll.Voters...)).State, "vm4 may not have stopped yet")
	for range 5 {
		now += interval
		a.Observe(now, []string{"vm2", "vm3", "vm5"})
	}
	_, poll = a.Admit(now, req)
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, a.Conclude(now, *poll, consentOf(poll.Voters...)))
	a.Release(req)

	a.Observe(now, []string{"vm2", "vm5"})
	v, poll := a.Admit(now, req)
	require.Nil(t, poll)
	require.Equal(t, CutOff, v.State, "no VM of a zone is visible")
	v, _ = a.Admit(now, RunRequest{Fingerprint: "healthy", Run: "h", VM: "vm2"})
	require.Equal(t, Go, v.State)
	a.Observe(now, []string{"vm2", "vm3", "vm5"})
	_, poll = a.Admit(now, req)
	require.Equal(t, Wait, a.Conclude(now, *poll, consentOf(poll.Voters...)).State, "vm4 may have served its side until its zone was reachable again")
}

func TestArbiter_RunOfLostVM(t *testing.T) {
	for _, c := range []struct {
		name    string
		visible []string
		want    int
	}{
		{"dead", []string{"vm2", "vm3", "vm5"}, 1},
		{"its zone is unreachable", []string{"vm2", "vm5"}, 0},
		{"alive, but does not repeat the run", []string{"vm2", "vm3", "vm4", "vm5"}, 0},
	} {
		a, now := settledArbiter()
		a.Admit(now, from("vm4", "r"))
		for range 20 {
			now += interval
			a.Observe(now, c.visible)
			a.Tick(now)
		}
		require.Equal(t, c.want, a.registry.strikes(fp1), c.name)
		v, _ := a.Admit(now, from("vm2", "s"))
		require.Equal(t, c.want == 0, v.State == Go, c.name)
	}
}
