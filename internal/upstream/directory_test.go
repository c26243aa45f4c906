package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretramp/internal/config"
	"egretramp/internal/upstream/wire"
)

func announcement(incarnation int64, sequence uint64, serves ...string) wire.Announcement {
	return wire.Announcement{
		Upstream: "e1", Class: "engines", Zone: "z1", Kind: config.KindEngine,
		Incarnation: incarnation, Sequence: sequence, Serves: serves,
	}
}

func goodbye(a wire.Announcement) wire.Announcement {
	a.Goodbye = true
	return a
}

func TestDirectory_OrdersByIncarnationThenSequence(t *testing.T) {
	d := NewDirectory()
	for _, step := range []struct {
		a   wire.Announcement
		err error
	}{
		{announcement(2, 5), nil},
		{announcement(2, 5), ErrNotNewer},
		{announcement(2, 4), ErrNotNewer},
		{announcement(1, 9), ErrNotNewer},
		{goodbye(announcement(1, 99)), ErrNotNewer},
		{announcement(3, 1), nil},
		{goodbye(announcement(3, 2)), nil},
		{announcement(3, 1), ErrNotNewer}, // delivered late
		{announcement(3, 2), ErrNotNewer},
		{announcement(2, 99), ErrNotNewer},
		{announcement(4, 1), nil}, // restarted
	} {
		_, err := d.Update(0, step.a)
		require.ErrorIs(t, err, step.err, "%+v", step.a)
	}
	r, ok := d.Get("e1")
	require.True(t, ok)
	require.Equal(t, int64(4), r.Incarnation)
}

func TestDirectory_ReplayAfterExpiry(t *testing.T) {
	d := NewDirectory()
	_, err := d.Update(0, announcement(1, 7))
	require.NoError(t, err)
	require.Empty(t, d.Expire(AnnouncementTimeout))
	gone := d.Expire(AnnouncementTimeout + 1)
	require.Len(t, gone, 1)
	require.True(t, gone[0].Removed)
	require.NotNil(t, gone[0].Previous)
	// An announcement can be replayed as long as its send time is within maxClockSkew.
	d.Expire(2 * maxClockSkew)
	_, err = d.Update(2*maxClockSkew, announcement(1, 7))
	require.ErrorIs(t, err, ErrNotNewer)
	_, err = d.Update(2*maxClockSkew, announcement(1, 8))
	require.NoError(t, err, "the same incarnation may return after it expired")
}

func TestDirectory_NameBelongsToItsClass(t *testing.T) {
	d := NewDirectory()
	_, err := d.Update(0, announcement(1, 1))
	require.NoError(t, err)
	forged := goodbye(announcement(99, 1))
	forged.Class = "services"
	_, err = d.Update(0, forged)
	require.ErrorIs(t, err, ErrNameTaken)
	d.Expire(time.Minute)
	_, err = d.Update(time.Minute, forged)
	require.ErrorIs(t, err, ErrNameTaken, "the name is still reserved after expiry")
}

func TestDirectory_GoodbyeReportsPreviousPools(t *testing.T) {
	d := NewDirectory()
	_, err := d.Update(0, announcement(1, 1, "m1", "m2"))
	require.NoError(t, err)
	change, err := d.Update(0, goodbye(announcement(1, 2)))
	require.NoError(t, err)
	require.True(t, change.Removed)
	require.Len(t, change.Previous.Pools(), 2, "the goodbye itself lists no pools")
}

// TestDirectory_ConvergesToNewestInAnyOrder delivers announcements in random order and repeatedly.
func TestDirectory_ConvergesToNewestInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory()
		newest := wire.Announcement{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			a := announcement(rapid.Int64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 5).Draw(t, "sequence"))
			a.Goodbye = a.Sequence == 5
			_, err := d.Update(0, a)
			if (err == nil) != newer(a, newest) {
				t.Fatalf("after %+v: Update(%+v) returned %v", newest, a, err)
			}
			if err == nil {
				newest = a
			}
			if _, listed := d.Get("e1"); listed == newest.Goodbye {
				t.Fatalf("newest is %+v, listed %v", newest, listed)
			}
		}
	})
}
