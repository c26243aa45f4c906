package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func machineWithKeys(t *testing.T) *Machine {
	t.Helper()
	m := New()
	apply(t, m, fileText(1, "a", "b"), "ana")
	applyNext(t, m, Command{RegisterVM: &RegisterVM{VM: "a1", Zone: "a", Incarnation: 1}})
	applyNext(t, m, Command{WithdrawKeys: &WithdrawKeys{IDs: []string{"b"}}})
	apply(t, m, fileText(2, "a"), "ana")
	return m
}

func TestFollower_WithdrawalArrivesBeforeTheConfiguration(t *testing.T) {
	m := machineWithKeys(t)
	f := NewFollower()
	change := f.Merge(Delta{Withdrawn: m.View().Withdrawn})
	require.Len(t, change.Withdrawn, 1)
	require.True(t, f.KeyWithdrawn("b", ""))
	require.True(t, f.KeyWithdrawn("", m.View().Withdrawn[0].Hash))

	old := Config{Acceptance: Acceptance{Generation: 1, Hash: HashText(fileText(1, "a", "b"))}, Text: fileText(1, "a", "b")}
	require.True(t, f.Merge(Delta{Config: &old}).Config)
	require.True(t, f.KeyWithdrawn("b", ""), "an older file must not restore the key")
}

func TestFollower_IgnoresOlderState(t *testing.T) {
	m := machineWithKeys(t)
	older := New()
	apply(t, older, fileText(1, "a", "b"), "ana")
	f := NewFollower()
	f.Merge(m.View().Delta())
	change := f.Merge(older.View().Delta())
	require.Equal(t, Change{}, change)
	require.Equal(t, m.Digest(), f.Digest())
}

func TestFollower_ConflictsAreReportedAndIgnored(t *testing.T) {
	m := machineWithKeys(t)
	f := NewFollower()
	f.Merge(m.View().Delta())
	other := Config{Acceptance: Acceptance{Generation: 2, Hash: HashText("x")}, Text: "x"}
	damaged := Config{Acceptance: Acceptance{Generation: 9, Hash: HashText("x")}, Text: "y"}
	for _, d := range []Delta{{Config: &other}, {Config: &damaged}, {Members: &Members{Epoch: 1}}} {
		change := f.Merge(d)
		require.Len(t, change.Conflicts, 1)
	}
	require.Equal(t, m.Digest(), f.Digest())
}

func TestFollower_DeltaContainsMissingState(t *testing.T) {
	m := machineWithKeys(t)
	f := NewFollower()
	f.Merge(m.DeltaFor(f.Digest()))
	require.True(t, m.DeltaFor(f.Digest()).Empty())
	apply(t, m, fileText(3), "ana")
	delta := m.DeltaFor(f.Digest())
	require.Len(t, delta.Withdrawn, 1)
	require.Nil(t, delta.Members)
	f.Merge(delta)
	require.Equal(t, m.Digest(), f.Digest())
}

func TestFollower_MergesUnrelatedHistories(t *testing.T) {
	last := WithdrawnKey{ID: "c", Hash: "3", Sequence: 2}
	f := NewFollower()
	f.Merge(Delta{Withdrawn: []WithdrawnKey{{ID: "a", Hash: "1", Sequence: 1}, last}})
	g := NewFollower()
	g.Merge(Delta{Withdrawn: []WithdrawnKey{{ID: "b", Hash: "2", Sequence: 1}, last}})
	f.Merge(g.DeltaFor(f.Digest()))
	require.True(t, f.KeyWithdrawn("a", ""))
	require.True(t, f.KeyWithdrawn("b", ""))
}

func TestFollower_InvariantsDetectRegression(t *testing.T) {
	f := NewFollower()
	f.Merge(machineWithKeys(t).View().Delta())
	f.config.Generation--
	require.Panics(t, func() { f.Merge(Delta{}) })
}

func TestFollower_PendingWithdrawalTakesEffectImmediately(t *testing.T) {
	m := New()
	apply(t, m, fileText(1, "a", "b"), "ana")
	isolated, near, far := NewFollower(), NewFollower(), NewFollower()
	for _, f := range []*Follower{isolated, near, far} {
		f.Merge(m.View().Delta())
	}
	hash := m.keys["b"]
	require.Len(t, isolated.Withdraw([]WithdrawnKey{{ID: "b", Hash: hash}}).Withdrawn, 1)
	require.True(t, isolated.KeyWithdrawn("b", "") && isolated.KeyWithdrawn("", hash))

	require.True(t, isolated.Digest().Ahead(near.Digest()))
	require.False(t, near.Digest().Ahead(isolated.Digest()))
	require.Len(t, near.Merge(isolated.DeltaFor(near.Digest())).Withdrawn, 1)
	require.True(t, near.KeyWithdrawn("b", hash))
	require.Equal(t, isolated.Digest(), near.Digest())
	far.Withdraw([]WithdrawnKey{{ID: "a", Hash: m.keys["a"]}})
	far.Merge(isolated.DeltaFor(far.Digest()))
	isolated.Merge(far.DeltaFor(isolated.Digest()))
	require.Equal(t, []string{"a", "b"}, isolated.Pending(), "pending withdrawals must be merged")

	applyNext(t, m, Command{WithdrawKeys: &WithdrawKeys{IDs: isolated.Pending()}})
	for _, f := range []*Follower{isolated, near, far} {
		f.Merge(m.DeltaFor(f.Digest()))
		require.Empty(t, f.Pending())
		require.Equal(t, m.Digest(), f.Digest())
		require.False(t, m.Digest().Ahead(f.Digest()))
		f.Withdraw([]WithdrawnKey{{ID: "b", Hash: hash, Sequence: 9}})
		require.Empty(t, f.Pending(), "the withdrawal is in the log already")
	}
}
