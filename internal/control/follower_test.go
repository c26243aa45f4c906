package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func machineWithKeys(t *testing.T) *Machine {
	t.Helper()
	m := New()
	apply(t, m, fileText(1, "a", "b"), "ana")
	do(t, m, Command{RegisterVM: &RegisterVM{VM: "a1", Zone: "a", Incarnation: 1}})
	do(t, m, Command{WithdrawKeys: &WithdrawKeys{IDs: []string{"b"}}})
	apply(t, m, fileText(2, "a"), "ana")
	return m
}

func TestFollower_WithdrawalArrivesBeforeTheConfiguration(t *testing.T) {
	m := machineWithKeys(t)
	f := NewFollower()
	change := f.Offer(Delta{Withdrawn: m.View().Withdrawn})
	require.Len(t, change.Withdrawn, 1)
	require.True(t, f.KeyWithdrawn("b", ""))
	require.True(t, f.KeyWithdrawn("", m.View().Withdrawn[0].Hash))

	old := Config{Acceptance: Acceptance{Generation: 1, Hash: HashText(fileText(1, "a", "b"))}, Text: fileText(1, "a", "b")}
	require.True(t, f.Offer(Delta{Config: &old}).Config)
	require.True(t, f.KeyWithdrawn("b", ""), "an older file does not bring the key back")
}

func TestFollower_NeverGoesBack(t *testing.T) {
	m := machineWithKeys(t)
	older := New()
	apply(t, older, fileText(1, "a", "b"), "ana")
	f := NewFollower()
	f.Offer(m.View().Delta())
	change := f.Offer(older.View().Delta())
	require.Equal(t, Change{}, change)
	require.Equal(t, m.Digest(), f.Digest())
}

func TestFollower_ConflictsAreReportedAndLeftOut(t *testing.T) {
	m := machineWithKeys(t)
	f := NewFollower()
	f.Offer(m.View().Delta())
	other := Config{Acceptance: Acceptance{Generation: 2, Hash: HashText("x")}, Text: "x"}
	damaged := Config{Acceptance: Acceptance{Generation: 9, Hash: HashText("x")}, Text: "y"}
	for _, d := range []Delta{{Config: &other}, {Config: &damaged}, {Members: &Members{Epoch: 1}}} {
		change := f.Offer(d)
		require.Len(t, change.Conflicts, 1)
	}
	require.Equal(t, m.Digest(), f.Digest())
}

func TestFollower_DeltaBringsWhatIsMissing(t *testing.T) {
	m := machineWithKeys(t)
	f := NewFollower()
	f.Offer(m.DeltaFor(f.Digest()))
	require.True(t, m.DeltaFor(f.Digest()).Empty())
	apply(t, m, fileText(3), "ana")
	delta := m.DeltaFor(f.Digest())
	require.Len(t, delta.Withdrawn, 1)
	require.Nil(t, delta.Members)
	f.Offer(delta)
	require.Equal(t, m.Digest(), f.Digest())
}

func TestFollower_UnrelatedHistoriesUnite(t *testing.T) {
	f := NewFollower()
	f.Offer(Delta{Withdrawn: []WithdrawnKey{{ID: "a", Hash: "1", Sequence: 1}}})
	g := NewFollower()
	g.Offer(Delta{Withdrawn: []WithdrawnKey{{ID: "b", Hash: "2", Sequence: 1}}})
	f.Offer(g.DeltaFor(f.Digest()))
	require.True(t, f.KeyWithdrawn("a", ""))
	require.True(t, f.KeyWithdrawn("b", ""))
}

func TestFollower_InvariantsCatchAFall(t *testing.T) {
	f := NewFollower()
	f.Offer(machineWithKeys(t).View().Delta())
	f.config.Generation--
	require.Panics(t, func() { f.Offer(Delta{}) })
}
