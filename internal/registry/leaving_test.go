package registry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// ids returns the IDs of the ready upstreams of service s.
func (d *Directory) ids() []string {
	var ids []string
	for _, u := range d.View().Services["s"] {
		ids = append(ids, u.ID)
	}
	return ids
}

func entryAt(id, address string, born, sequence int64, state State) Upstream {
	return Upstream{ID: id, Service: "s", Address: address, Born: born, Sequence: sequence, State: state}
}

// TestDirectory_ResponseSaysThatAnUpstreamLeaves guards against requests to an upstream whose shutdown no control VM
// has reported: its registrations go on, come late, or expire.
func TestDirectory_ResponseSaysThatAnUpstreamLeaves(t *testing.T) {
	var removed []string
	d := NewDirectory(func(u Upstream) { removed = append(removed, u.ID) })
	a := entryAt("a", "10.0.0.1:80", 5, 1, Ready)
	d.Merge("c1", []Upstream{a, entryAt("b", "10.0.0.2:80", 5, 1, Ready)})
	require.True(t, d.RecordLeaving(a))
	require.False(t, d.RecordLeaving(a), "known already")
	require.Equal(t, []string{"a"}, removed, "idle connections are closed")
	require.Equal(t, []string{"b"}, d.ids())
	require.True(t, d.Leaving(a))

	late := a
	late.Sequence = 7
	d.Merge("c2", []Upstream{late})
	require.Equal(t, []string{"b"}, d.ids(), "a registration of the same process that was sent before")

	expired := late
	expired.State, expired.Expired = Gone, true
	gone := entryAt("b", "10.0.0.2:80", 5, 2, Gone)
	d.Merge("c2", []Upstream{expired})
	d.Merge("c1", []Upstream{gone})
	require.Empty(t, d.ids(), "an expired upstream that said that it leaves is no last resort")

	d.Merge("c2", []Upstream{entryAt("a", "10.0.0.1:80", 5, 9, Ready)})
	require.Empty(t, d.ids(), "the same process registers again")
	d.Merge("c2", []Upstream{entryAt("a", "10.0.0.1:80", 6, 1, Ready)})
	require.Equal(t, []string{"a"}, d.ids(), "another process under the same ID")
}

// TestDirectory_NoticeOfAnotherProcessChangesNothing: an address, or an ID, may belong to another process by now.
func TestDirectory_NoticeOfAnotherProcessChangesNothing(t *testing.T) {
	d := NewDirectory(nil)
	old := entryAt("a", "10.0.0.1:80", 5, 1, Ready)
	d.Merge("c1", []Upstream{old, entryAt("a", "10.0.0.1:80", 6, 1, Ready)})
	require.False(t, d.RecordLeaving(old))
	require.False(t, d.RecordLeaving(entryAt("unknown", "10.0.0.9:80", 1, 1, Ready)))
	require.Equal(t, []string{"a"}, d.ids())
}

// TestDirectory_ExpiredAfterItsAnnouncement: an upstream that registered as draining and then expired is no last resort
// of its service.
func TestDirectory_ExpiredAfterItsAnnouncement(t *testing.T) {
	d := NewDirectory(nil)
	d.Merge("c1", []Upstream{entryAt("a", "10.0.0.1:80", 5, 1, Ready)})
	d.Merge("c1", []Upstream{entryAt("a", "10.0.0.1:80", 5, 2, Draining)})
	expired := entryAt("a", "10.0.0.1:80", 5, 2, Gone)
	expired.Expired = true
	d.Merge("c1", []Upstream{expired})
	require.Empty(t, d.ids())
}

// TestDirectory_LeavingForIsBounded: an upstream that leaves may be used for a time that begins with the first news.
func TestDirectory_LeavingForIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDirectory(nil)
		a := entryAt("a", "10.0.0.1:80", 5, 1, Ready)
		d.Merge("c1", []Upstream{a})
		require.True(t, d.MayServe("10.0.0.1:80", time.Second))
		d.RecordLeaving(a)
		time.Sleep(600 * time.Millisecond)
		require.Len(t, d.LeavingFor("s", time.Second), 1)
		draining := entryAt("a", "10.0.0.1:80", 5, 2, Draining)
		draining.Leaving = time.Millisecond // the announcement followed the response
		d.Merge("c1", []Upstream{draining})
		require.True(t, d.MayServe("10.0.0.1:80", time.Second))
		time.Sleep(600 * time.Millisecond)
		require.Empty(t, d.LeavingFor("s", time.Second))
		require.False(t, d.MayServe("10.0.0.1:80", time.Second))
		require.False(t, d.MayServe("10.0.0.9:80", time.Second), "unknown")
	})
}

// TestRegistry_NoticeReachesOtherDirectories sends what one entry VM heard through control VMs to another one. It must
// not depend on which control VM receives the upstream's registrations.
func TestRegistry_NoticeReachesOtherDirectories(t *testing.T) {
	clock := &fakeClock{}
	first, second := NewRegistrar(4*time.Second, clock.Now), NewRegistrar(4*time.Second, clock.Now)
	a := entryAt("a", "10.0.0.1:80", 5, 1, Ready)
	first.Register(a)
	heard, other := NewDirectory(nil), NewDirectory(nil)
	merge := func(d *Directory, since uint64, r *Registrar, name string) {
		changes, _, _ := r.Since(since)
		d.Merge(name, changes)
	}
	merge(heard, 0, first, "c1")
	merge(other, 0, first, "c1")
	require.True(t, heard.RecordLeaving(heard.View().Services["s"][0]))
	notices, version := heard.LeavingSince(0)
	require.Len(t, notices, 1)
	again, _ := heard.LeavingSince(version)
	require.Empty(t, again, "each is sent once")

	second.RecordLeaving(notices) // receives none of its registrations
	merge(other, 0, second, "c2")
	require.Empty(t, other.ids())

	late := NewDirectory(nil) // a VM that has just started learns it in any order
	merge(late, 0, second, "c2")
	require.Empty(t, late.ids())
	first.RecordLeaving(notices)
	first.Register(entryAt("a", "10.0.0.1:80", 5, 2, Ready))
	merge(late, 0, first, "c1")
	require.Empty(t, late.ids())

	second.Register(entryAt("a", "10.0.0.1:80", 6, 1, Ready))
	merge(late, 0, second, "c2")
	require.Equal(t, []string{"a"}, late.ids(), "a new process")
}

// TestRegistrar_BoundsNotices: the notices of unknown upstreams take bounded memory.
func TestRegistrar_BoundsNotices(t *testing.T) {
	clock := &fakeClock{}
	r := NewRegistrar(4*time.Second, clock.Now)
	for i := range 4 * maxNotices {
		r.RecordLeaving([]LeavingNotice{{ID: fmt.Sprint(i % 26), Born: int64(i)}})
	}
	var many []LeavingNotice
	for i := range 4 * maxNotices {
		many = append(many, LeavingNotice{ID: fmt.Sprint("upstream ", i), Born: 1})
	}
	r.RecordLeaving(many)
	changes, _, _ := r.Since(0)
	require.LessOrEqual(t, len(changes), maxNotices)
}
