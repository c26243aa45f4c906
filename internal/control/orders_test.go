package control

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// placementMachine is a machine whose configuration enables placement.
type placementMachine struct {
	t     require.TestingT
	m     *Machine
	index uint64
}

func newPlacementMachine(t require.TestingT, loads int) *placementMachine {
	p := &placementMachine{t: t, m: New()}
	text := fmt.Sprintf(`{"generation": 1, "schemes": [], "client_accounts": [], "models": [], "services": [], "routes": [], "upstreams": [],
		"placement": {"enabled": true, "loads_under_way": %d, "loads_per_second": 2, "load_timeout_seconds": 10}}`, loads)
	require.NotNil(t, p.apply(applyCommand(text, "o")).Applied)
	return p
}

func (p *placementMachine) apply(c Command) Result {
	data, err := c.Encode()
	require.NoError(p.t, err)
	p.index++
	result, err := DecodeResult(p.m.Apply(p.index, data))
	require.NoError(p.t, err)
	return result
}

func (p *placementMachine) register(vm string, incarnation int64) {
	p.apply(Command{RegisterVM: &RegisterVM{VM: vm, Zone: "z", Incarnation: incarnation}})
}

func (p *placementMachine) acquire(vm string, incarnation int64, refusedNumber uint64) Result {
	return p.apply(Command{AcquireOrderRight: &AcquireOrderRight{Zone: "z", VM: vm, Incarnation: incarnation, RefusedNumber: refusedNumber}})
}

func TestMachine_OrderRightIsReassignedOnlyAfterItEnds(t *testing.T) {
	p := newPlacementMachine(t, 1)
	require.Equal(t, CodeNotMember, p.acquire("v0", 1, 0).Refusal.Code)
	p.register("v0", 1)
	p.register("v1", 1)
	first := p.acquire("v0", 1, 0).OrderRight
	require.True(t, first.First)
	require.Equal(t, first, p.acquire("v0", 1, 0).OrderRight, "a resend must return the same right")
	require.Equal(t, CodeOrderRightHeld, p.acquire("v1", 1, 0).Refusal.Code)

	p.apply(Command{RemoveVM: &RemoveVM{VM: "v0", Incarnation: 1}})
	second := p.acquire("v1", 1, 0).OrderRight
	require.Greater(t, second.Number, first.Number)
	require.False(t, second.First)
	require.Equal(t, CodeOrderRightLost, p.apply(Command{AcquireLoadPermit: &AcquireLoadPermit{ID: "l", Zone: "z", Number: first.Number}}).Refusal.Code)

	p.register("v0", 2)
	require.Equal(t, CodeOrderRightHeld, p.acquire("v0", 2, 0).Refusal.Code)
	require.NotNil(t, p.apply(Command{ReleaseOrderRight: &ReleaseOrderRight{Zone: "z", Number: second.Number}}).OrderRight)
	third := p.acquire("v0", 2, 0).OrderRight
	require.Greater(t, third.Number, second.Number)
	p.register("v0", 3)
	require.Greater(t, p.acquire("v1", 1, 0).OrderRight.Number, third.Number, "the previous holder was restarted")
	fourth := p.acquire("v1", 1, 1000).OrderRight
	require.Greater(t, fourth.Number, uint64(1000), "the number must be above the one that an engine refused")
	require.Equal(t, fourth, p.acquire("v1", 1, 1000).OrderRight)

	restored := restored(t, p.m)
	want, _ := p.m.Snapshot()
	got, _ := restored.Snapshot()
	require.Equal(t, want, got)
}

// TestMachine_LoadPermits draws delayed and repeated permit requests from holders with outdated
// clock ticks. It checks the permit limit and the load rate against real time.
func TestMachine_LoadPermits(t *testing.T) {
	granted, refused := 0, 0
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		p := newPlacementMachine(t, limit)
		p.register("v0", 1)
		number := p.acquire("v0", 1, 0).OrderRight.Number
		now, grantTimes := int64(0), []int64{}
		grantedAt := map[string]int64{} // when each permit was granted, by ID
		seen := map[LoadPermit]bool{}
		lastTick := []struct{ tick, at int64 }{{}, {}, {}} // by sender
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 2000).Draw(t, "passes")
			sender := rapid.IntRange(0, 2).Draw(t, "who")
			id := fmt.Sprint("l", rapid.IntRange(0, 30).Draw(t, "id"))
			if rapid.IntRange(0, 3).Draw(t, "return") == 0 {
				p.apply(Command{ReleaseLoadPermit: &ReleaseLoadPermit{ID: id}})
				delete(grantedAt, id)
				continue
			}
			acquire := &AcquireLoadPermit{ID: id, Zone: "z", Number: number}
			if k := lastTick[sender]; k.tick > 0 {
				acquire.Tick, acquire.ElapsedMS = uint64(k.tick), now-k.at
			}
			a := p.apply(Command{AcquireLoadPermit: acquire}).Load
			if rapid.Bool().Draw(t, "heard") && int64(a.Tick) > lastTick[sender].tick {
				lastTick[sender].tick, lastTick[sender].at = int64(a.Tick), now
			}
			if !a.Granted {
				refused++
				continue
			}
			for other, since := range grantedAt {
				if now-since >= a.DurationMS {
					delete(grantedAt, other)
				}
			}
			permit := p.m.loads.Permits[p.m.loads.permitIndex(id)]
			if !seen[permit] {
				granted++
				seen[permit], grantedAt[id] = true, now
				grantTimes = append(grantTimes, now)
			}
			require.LessOrEqual(t, len(grantedAt), limit, "permits that have not expired in real time")
		}
		for i := range grantTimes {
			for j := i + 1; j < len(grantTimes); j++ {
				require.LessOrEqual(t, float64(j-i+1), 2+2*float64(grantTimes[j]-grantTimes[i])/1000+1e-6, "permits granted within %d ms", grantTimes[j]-grantTimes[i])
			}
		}
	})
	require.Positive(t, granted)
	require.Positive(t, refused)
}

func TestMachine_LoadPermitsNeedPlacement(t *testing.T) {
	p := newPlacementMachine(t, 1)
	p.register("v0", 1)
	number := p.acquire("v0", 1, 0).OrderRight.Number
	off := `{"generation": 2, "schemes": [], "client_accounts": [], "models": [], "services": [], "routes": [], "upstreams": []}`
	p.apply(applyCommand(off, "o"))
	require.False(t, p.apply(Command{AcquireLoadPermit: &AcquireLoadPermit{ID: "l", Zone: "z", Number: number}}).Load.Granted)
}

// fixSeed makes every run draw the same values, unless -rapid.seed selects another seed.
func fixSeed(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "1"))
	}
}
