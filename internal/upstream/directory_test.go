package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretramp/internal/config"
	"egretramp/internal/upstream/wire"
)

func said(incarnation int64, sequence uint64, serves ...string) wire.Announcement {
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
		{said(2, 5), nil},
		{said(2, 5), ErrNotNewer},
		{said(2, 4), ErrNotNewer},
		{said(1, 9), ErrNotNewer},
		{goodbye(said(1, 99)), ErrNotNewer},
		{said(3, 1), nil},
		{goodbye(said(3, 2)), nil},
		{said(3, 1), ErrNotNewer}, // delayed
		{said(3, 2), ErrNotNewer},
		{said(2, 99), ErrNotNewer},
		{said(4, 1), nil}, // back
	} {
		_, err := d.Offer(0, step.a)
		require.ErrorIs(t, err, step.err, "%+v", step.a)
	}
	r, ok := d.Get("e1")
	require.True(t, ok)
	require.Equal(t, int64(4), r.Incarnation)
}

func TestDirectory_SilenceThenReplay(t *testing.T) {
	d := NewDirectory()
	_, err := d.Offer(0, said(1, 7))
	require.NoError(t, err)
	require.Empty(t, d.Expire(SilenceLimit))
	gone := d.Expire(SilenceLimit + 1)
	require.Len(t, gone, 1)
	require.True(t, gone[0].Removed)
	require.NotNil(t, gone[0].Previous)
	// An announcement can be played back as long as its time of sending is plausible.
	d.Expire(2 * maxClockSkew)
	_, err = d.Offer(2*maxClockSkew, said(1, 7))
	require.ErrorIs(t, err, ErrNotNewer)
	_, err = d.Offer(2*maxClockSkew, said(1, 8))
	require.NoError(t, err, "it was only silent")
}

func TestDirectory_NameBelongsToItsClass(t *testing.T) {
	d := NewDirectory()
	_, err := d.Offer(0, said(1, 1))
	require.NoError(t, err)
	forged := goodbye(said(99, 1))
	forged.Class = "services"
	_, err = d.Offer(0, forged)
	require.ErrorIs(t, err, ErrNameTaken)
	d.Expire(time.Minute)
	_, err = d.Offer(time.Minute, forged)
	require.ErrorIs(t, err, ErrNameTaken, "also while it is silent")
}

func TestDirectory_GoodbyeNamesThePoolsItLeft(t *testing.T) {
	d := NewDirectory()
	_, err := d.Offer(0, said(1, 1, "m1", "m2"))
	require.NoError(t, err)
	change, err := d.Offer(0, goodbye(said(1, 2)))
	require.NoError(t, err)
	require.True(t, change.Removed)
	require.Len(t, change.Previous.Pools(), 2, "the goodbye itself names none")
}

// TestDirectory_AnyOrderEndsAtTheNewest delivers announcements in any order, repeated.
func TestDirectory_AnyOrderEndsAtTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory()
		newest := wire.Announcement{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			a := said(rapid.Int64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 5).Draw(t, "sequence"))
			a.Goodbye = a.Sequence == 5
			_, err := d.Offer(0, a)
			if (err == nil) != newer(a, newest) {
				t.Fatalf("after %+v: %+v gave %v", newest, a, err)
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
