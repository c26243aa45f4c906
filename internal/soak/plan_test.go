package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testShape() Shape {
	return Shape{
		ControlVMs: []string{"c1", "c2", "c3"}, EntryVMs: []string{"e1", "e2"}, Zones: []string{"z1", "z2", "z3"},
		Engines: []string{"u1", "u2"}, Services: []string{"s1", "s2"}, Keys: 3,
	}
}

func TestPlan_SameSeedSameFaults(t *testing.T) {
	p := NewPlan(7, time.Minute, testShape())
	require.Equal(t, p, NewPlan(7, time.Minute, testShape()))
	require.NotEqual(t, p.Lanes, NewPlan(8, time.Minute, testShape()).Lanes)
}

// TestPlan_Bounds checks that the faults of a lane do not overlap and end in time, that the two
// targets of a fault differ, that no second disk is lost before the first can be repaired, and that
// every kind occurs.
func TestPlan_Bounds(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range int64(200) {
		for _, lane := range NewPlan(seed, 90*time.Second, testShape()).Lanes {
			end, lost := time.Duration(0), -diskLossPause
			for _, f := range lane {
				seen[f.Kind] = true
				require.GreaterOrEqual(t, f.At, end)
				end = f.At + f.For
				require.LessOrEqual(t, end, 90*time.Second)
				if f.Other != "" {
					require.NotEqual(t, f.Target, f.Other)
				}
				if f.Kind == LoseDisk {
					require.GreaterOrEqual(t, f.At-lost, diskLossPause)
					require.Contains(t, testShape().ControlVMs, f.Target)
					lost = f.At
				}
			}
		}
	}
	require.Len(t, seen, 21)
}

func TestOutages_VMIsReachableWhenAllItsFaultsAreOver(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	o := newOutages()
	o.begin(at(10), "a")
	o.begin(at(12), "a", "b")
	o.end(at(14), "a")
	require.True(t, o.during("a", at(15), at(16)))
	_, reachable := o.lastEnd("a", at(0), at(15))
	require.False(t, reachable)
	o.end(at(20), "a", "b")
	since, reachable := o.lastEnd("a", at(0), at(25))
	require.True(t, reachable)
	require.Equal(t, at(20), since)
	since, _ = o.lastEnd("a", at(22), at(25))
	require.Equal(t, at(22), since)
	require.False(t, o.during("b", at(0), at(12)))
	require.Equal(t, at(20).Add(inForceLimit), o.inForceBy(at(11), at(15)))
	require.Equal(t, at(9), o.inForceBy(at(5), at(9)))
}

func TestLinks_CutsOfSeveralFaultsAddUp(t *testing.T) {
	l := newLinks(newVMs("a", "b", "c"))
	pair := between([]string{"a"}, []string{"a", "b"})
	l.cut(pair)
	l.cut(between([]string{"a"}, []string{"b", "c"}))
	l.heal(pair)
	require.Equal(t, []string{"b", "c"}, l.wanted("a").Cut)
	l.heal(between([]string{"a"}, []string{"b", "c"}))
	l.cut([]linkCut{{"a", "b"}})
	require.Equal(t, []string{"b"}, l.wanted("a").CutTo)
	require.Empty(t, l.wanted("a").Cut)
	require.Empty(t, append(l.wanted("b").Cut, l.wanted("b").CutTo...))
}
