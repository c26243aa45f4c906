package placement

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testModels = []Model{{ID: "m0", MemoryMB: 30}, {ID: "m1", MemoryMB: 50}, {ID: "m2", KeepIn: []string{"y"}}, {ID: "a0", AdapterOf: "m0", MemoryMB: 5}}

func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{Zone: "z", Models: testModels, Zones: map[string]ZoneDemand{"y": {}, "z": {}}, PressedFor: 1, IdleFor: 1, MaxChanges: rapid.IntRange(0, 4).Draw(t, "changes")}
	s.Pressed, s.Idle = map[string]time.Duration{}, map[string]time.Duration{}
	var ids []string
	for _, m := range testModels {
		ids = append(ids, m.ID)
		s.Pressed[m.ID] = time.Duration(rapid.IntRange(0, 1).Draw(t, "pressed"))
		s.Idle[m.ID] = time.Duration(rapid.IntRange(0, 1).Draw(t, "idle"))
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
		e := Engine{
			Name: fmt.Sprint("e", i), Slots: 4, MaxModels: rapid.IntRange(0, 3).Draw(t, "models"),
			MemoryMB: rapid.SampledFrom([]int64{0, 60, 100}).Draw(t, "memory"), Blocked: rapid.IntRange(0, 3).Draw(t, "blocked") == 0,
		}
		e.AllowedModels = rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(t, "permits")
		e.Serves = rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 0, max(1, e.MaxModels), rapid.ID[string]).Draw(t, "serves")
		s.Engines = append(s.Engines, e)
		for _, m := range e.Serves {
			s.Zones["z"][m] = s.Zones["z"][m].add(Demand{Replicas: 1, Slots: 4})
		}
	}
	for _, id := range ids {
		n := rapid.IntRange(0, 2).Draw(t, "elsewhere")
		s.Zones["y"][id] = Demand{Replicas: n, Slots: 4 * n, Running: rapid.IntRange(0, 8).Draw(t, "running"), Spare: rapid.IntRange(0, 2).Draw(t, "spare")}
		s.Zones["z"][id] = s.Zones["z"][id].add(Demand{Running: rapid.IntRange(0, 8).Draw(t, "running"), Unserved: rapid.IntRange(0, 2).Draw(t, "unserved")})
	}
	for id, n := range Spares(s) {
		s.Zones["z"][id] = s.Zones["z"][id].add(Demand{Spare: n})
	}
	return s
}

// TestMakePlan_RespectsBounds applies random plans and checks each change and the replicas that remain.
func TestMakePlan_RespectsBounds(t *testing.T) {
	changes := 0
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		p := MakePlan(s)
		require.Equal(t, p, MakePlan(s), "plan differs for the same snapshot")
		require.LessOrEqual(t, len(p.Changes), s.MaxChanges)
		changes += len(p.Changes)
		left := map[string]int{}
		for _, e := range s.Engines {
			i := slices.IndexFunc(p.Changes, func(c Change) bool { return c.Engine == e.Name })
			if i >= 0 {
				e = applyChange(t, s, e, p.Changes[i])
			}
			for _, m := range e.Serves {
				left[m]++
			}
		}
		checkLastReplicas(t, s, left)
	})
	require.Positive(t, changes)
}

// applyChange checks a change and returns the engine as it is afterwards.
func applyChange(t *rapid.T, s Snapshot, e Engine, c Change) Engine {
	require.False(t, e.Blocked)
	require.Contains(t, e.AllowedModels, c.Load)
	require.NotContains(t, e.Serves, c.Load)
	most, memory := max(1, len(e.Serves)), int64(0)
	if e.MaxModels > 0 {
		most = e.MaxModels
	}
	serves := slices.DeleteFunc(slices.Clone(e.Serves), func(m string) bool { return slices.Contains(c.Unload, m) })
	serves = append(serves, c.Load)
	require.LessOrEqual(t, len(serves), most)
	for _, m := range testModels {
		if !slices.Contains(serves, m.ID) {
			continue
		}
		memory += m.MemoryMB
		if m.AdapterOf != "" && (m.ID == c.Load || slices.Contains(c.Unload, m.AdapterOf)) {
			require.Contains(t, serves, m.AdapterOf, "adapter on an engine without its base model")
		}
	}
	if e.MemoryMB > 0 {
		require.LessOrEqual(t, memory, e.MemoryMB)
	}
	for _, m := range c.Unload {
		require.GreaterOrEqual(t, s.Idle[m], s.IdleFor)
	}
	e.Serves = serves
	return e
}

func checkLastReplicas(t *rapid.T, s Snapshot, left map[string]int) {
	for _, m := range testModels {
		d := s.Zones["z"][m.ID]
		if d.Replicas == 0 || left[m.ID] > 0 {
			continue
		}
		require.Equal(t, "m2", m.ID, "last replica of a model unloaded")
		require.Zero(t, d.calls(), "last replica unloaded in a zone that has calls for it")
		require.Positive(t, s.Zones["y"]["m2"].Replicas, "last replica unloaded without one in the zone that must keep it")
	}
}

// TestMakePlan_ZonesSplitMissingReplicas makes the plans of two zones from the same demand. Together they
// must add all missing replicas for which there are spare engines, and no more.
func TestMakePlan_ZonesSplitMissingReplicas(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		d := func(zone string) Demand {
			return Demand{Replicas: 1, Slots: 4, Running: rapid.IntRange(0, 30).Draw(t, zone), Spare: rapid.IntRange(0, 4).Draw(t, zone+" spare")}
		}
		zones := map[string]ZoneDemand{"y": {"m0": d("y")}, "z": {"m0": d("z")}}
		pressed := map[string]time.Duration{"m0": 0}
		sum, want := 0, 0
		for _, zone := range []string{"y", "z"} {
			p := MakePlan(Snapshot{Zone: zone, Models: testModels[:1], Zones: zones, Pressed: pressed})
			sum += p.Targets[0].Zone
			want = wantedReplicas(p.Targets[0].Demand, 4) - 2
		}
		require.Equal(t, min(max(0, want), zones["y"]["m0"].Spare+zones["z"]["m0"].Spare), sum)
	})
}

func TestMakePlan_UnservedCallsAddReplica(t *testing.T) {
	free := Engine{Name: "e0", Slots: 2, AllowedModels: []string{"m0"}}
	s := Snapshot{
		Zone: "z", Models: testModels[:1], Engines: []Engine{free}, Pressed: map[string]time.Duration{"m0": 0}, MaxChanges: 1,
		Zones: map[string]ZoneDemand{"z": {"m0": {Unserved: 50, Spare: 1}}},
	}
	require.Equal(t, []Change{{Engine: "e0", Load: "m0"}}, MakePlan(s).Changes)
	s.Zones["z"]["m0"] = Demand{Unserved: 50, Spare: 1, Replicas: 1, Slots: 2}
	require.Empty(t, MakePlan(s).Changes, "unserved calls count although there is a replica")
	trend := NewTrend()
	trend.Observe(0, s.Models, s.Zones)
	require.Empty(t, trend.Pressed(0))
}

func TestMakePlan_NothingChangesBetweenTheThresholds(t *testing.T) {
	trend := NewTrend()
	models := []Model{{ID: "m0"}, {ID: "m1"}}
	engines := []Engine{
		{Name: "e0", Serves: []string{"m0"}, Slots: 10, AllowedModels: []string{"m0", "m1"}},
		{Name: "e1", Serves: []string{"m0"}, Slots: 10, AllowedModels: []string{"m0", "m1"}},
		{Name: "e2", Serves: []string{"m1"}, Slots: 10, AllowedModels: []string{"m0", "m1"}},
	}
	plan := func(now time.Duration, calls0, calls1 int) Plan {
		zones := map[string]ZoneDemand{"z": {
			"m0": {Replicas: 2, Slots: 20, Running: calls0, Spare: 1}, "m1": {Replicas: 1, Slots: 10, Running: calls1, Spare: 1},
		}}
		trend.Observe(now, models, zones)
		return MakePlan(Snapshot{
			Zone: "z", Models: models, Zones: zones, Engines: engines, Pressed: trend.Pressed(now), Idle: trend.Idle(now),
			PressedFor: 3 * time.Second, IdleFor: 30 * time.Second, MaxChanges: 1,
		})
	}
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	for s := range 120 {
		require.Empty(t, plan(at(s), 6+s%8, 4+s%5).Changes, "second %d: change although m0 can't spare a replica for long and m1 is not short of replicas", s)
	}
	for s := range 30 {
		require.Empty(t, plan(at(200+s), 2, 10).Changes, "second %d: change although m0 has not been idle for IdleFor", s)
	}
	require.Equal(t, []Change{{Engine: "e0", Unload: []string{"m0"}, Load: "m1"}}, plan(at(231), 2, 10).Changes)
}

// fixSeed makes every run draw the same values, unless -rapid.seed is set.
func fixSeed(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "1"))
	}
}
