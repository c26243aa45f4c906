package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

func upstreamEntry(id string, born, sequence int64, state State) Upstream {
	return Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", Born: born, Sequence: sequence, State: state}
}

func TestRegistrar_IgnoresLateRegistrations(t *testing.T) {
	clock := &fakeClock{}
	r := NewRegistrar(4*time.Second, clock.Now)
	require.True(t, r.Register(upstreamEntry("a", 1, 5, Ready)))
	require.False(t, r.Register(upstreamEntry("a", 1, 5, Draining)), "same sequence")
	require.False(t, r.Register(upstreamEntry("a", 1, 6, Ready)), "no change for callers")
	require.True(t, r.Register(upstreamEntry("a", 1, 8, Draining)))
	require.False(t, r.Register(upstreamEntry("a", 1, 7, Ready)), "late registration")
	r.Leave("a")
	require.False(t, r.Register(upstreamEntry("a", 1, 9, Ready)), "this incarnation left")
	require.True(t, r.Register(upstreamEntry("a", 2, 1, Ready)), "new incarnation with the same ID")
}

func TestRegistrar_ExpiresSilentUpstreams(t *testing.T) {
	clock := &fakeClock{}
	r := NewRegistrar(4*time.Second, clock.Now)
	r.Register(upstreamEntry("a", 1, 1, Ready))
	clock.now = 3 * time.Second
	require.Empty(t, r.Expire())
	clock.now = 5 * time.Second
	require.Equal(t, []string{"a"}, r.Expire())
	require.Empty(t, r.Expire())
	require.True(t, r.Register(upstreamEntry("a", 1, 2, Ready)), "it was only unreachable")
	clock.now += 2 * goneRetention
	r.Expire()
	clock.now += 2 * goneRetention
	r.Expire()
	changes, _, _ := r.Since(0)
	require.Empty(t, changes, "removed after goneRetention")
}

func TestRegistrar_NotifiesWatchers(t *testing.T) {
	r := NewRegistrar(time.Second, (&fakeClock{}).Now)
	_, version, changed := r.Since(0)
	r.Register(upstreamEntry("a", 1, 1, Ready))
	<-changed
	changes, next, _ := r.Since(version)
	require.Len(t, changes, 1)
	changes, _, _ = r.Since(next)
	require.Empty(t, changes)
}

func TestDirectory_OnlyItsSourceExpiresAnUpstream(t *testing.T) {
	d := NewDirectory(nil)
	d.Merge("c1", []Upstream{upstreamEntry("a", 1, 4, Ready)})
	d.Merge("c2", []Upstream{upstreamEntry("a", 1, 21, Ready)})
	gone := upstreamEntry("a", 1, 20, Gone)
	gone.Expired = true
	d.Merge("c1", []Upstream{gone})
	require.Len(t, d.View().Services["s"], 1, "c2 receives its registrations")
	require.Equal(t, Ready, d.View().Services["s"][0].State)
	gone.Sequence = 25
	d.Merge("c2", []Upstream{gone})
	require.Equal(t, Gone, d.View().Services["s"][0].State, "kept as a last resort")
	d.Merge("c1", []Upstream{upstreamEntry("a", 1, 26, Ready)})
	require.Equal(t, Ready, d.View().Services["s"][0].State, "it was only unreachable")
}

func TestDirectory_ReportsRemovedUpstreams(t *testing.T) {
	var removed []string
	d := NewDirectory(func(u Upstream) { removed = append(removed, fmt.Sprint(u.ID, u.Born)) })
	d.Merge("c1", []Upstream{upstreamEntry("a", 1, 1, Ready)})
	d.Merge("c1", []Upstream{upstreamEntry("a", 1, 2, Draining)})
	d.Merge("c1", []Upstream{upstreamEntry("a", 1, 3, Draining)})
	d.Merge("c1", []Upstream{upstreamEntry("b", 1, 1, Ready)})
	d.Merge("c1", []Upstream{upstreamEntry("b", 2, 1, Ready)})
	require.Equal(t, []string{"a1", "b1"}, removed)
}

func TestDirectory_LatestUpstreamOwnsItsAddress(t *testing.T) {
	d := NewDirectory(nil)
	d.Merge("c1", []Upstream{upstreamEntry("new", 9, 1, Ready)})
	d.Merge("c2", []Upstream{upstreamEntry("old", 1, 50, Ready)}) // delayed by a partition
	list := d.View().Services["s"]
	require.Len(t, list, 1)
	require.Equal(t, "new", list[0].ID)
}

// TestDirectory_IndependentOfDeliveryOrder delivers the registrations of one upstream through several
// control VMs in random order: the newest one wins, and the end of an incarnation is final.
func TestDirectory_IndependentOfDeliveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Upstream
		last := Upstream{}
		for born := int64(1); born <= int64(rapid.IntRange(1, 3).Draw(t, "incarnations")); born++ {
			for sequence := int64(1); sequence <= int64(rapid.IntRange(1, 5).Draw(t, "registrations")); sequence++ {
				last = upstreamEntry("a", born, sequence, State(rapid.IntRange(0, 1).Draw(t, "state")))
				reports = append(reports, last)
			}
		}
		d := NewDirectory(nil)
		for _, u := range rapid.Permutation(reports).Draw(t, "order") {
			d.Merge(rapid.SampledFrom([]string{"c1", "c2", "c3"}).Draw(t, "via"), []Upstream{u})
		}
		require.Equal(t, last.State == Ready, len(d.View().Services["s"]) == 1)
		goodbye := last
		goodbye.State = Gone
		d.Merge("c1", []Upstream{goodbye})
		for _, u := range reports {
			d.Merge("c2", []Upstream{u})
		}
		require.Empty(t, d.View().Services["s"])
	})
}

// TestRegistry_UpstreamThatReturnsToAControlVMStays guards against losing an upstream that registers
// with a second control VM while the first one is frozen, then with the first one again, after which
// the second one expires it. Found by seed 9 of the platform soak test, where the directories of all
// entry VMs became empty.
func TestRegistry_UpstreamThatReturnsToAControlVMStays(t *testing.T) {
	clock := &fakeClock{}
	first, second := NewRegistrar(4*time.Second, clock.Now), NewRegistrar(4*time.Second, clock.Now)
	d := NewDirectory(nil)
	versions := map[*Registrar]uint64{}
	watch := func(name string, r *Registrar) {
		changes, version, _ := r.Since(versions[r])
		versions[r] = version
		d.Merge(name, changes)
	}
	for sequence := int64(1); sequence <= 20; sequence++ {
		at, name := first, "first"
		if sequence >= 8 && sequence <= 10 {
			at, name = second, "second"
		}
		at.Register(upstreamEntry("a", 1, sequence, Ready))
		watch(name, at)
		clock.now += time.Second
		for _, r := range []*Registrar{first, second} {
			r.Expire()
		}
		watch("second", second)
		watch("first", first)
		require.Len(t, d.View().Services["s"], 1, "at registration %d", sequence)
	}
}

// TestRegistry_UpstreamOfAFrozenControlVMStays guards against an upstream that is used no more because the control VM to which
// it registers was frozen: meanwhile it registered at another VM, whose entry expires later, and the registrations that had
// waited for the frozen VM leave no gap in the sequence there.
func TestRegistry_UpstreamOfAFrozenControlVMStays(t *testing.T) {
	const (
		lifetime  = 3500 * time.Millisecond
		heartbeat = time.Second
	)
	for frozen := 600 * time.Millisecond; frozen < 8*time.Second; frozen += 100 * time.Millisecond {
		now := time.Second
		registrars := map[string]*Registrar{}
		versions := map[string]uint64{}
		for _, vm := range []string{"a", "b"} {
			registrars[vm] = NewRegistrar(lifetime, func() time.Duration { return now })
		}
		directory := NewDirectory(nil)
		const step = 100 * time.Millisecond
		thaw := 5*time.Second + frozen
		var waiting []Upstream
		sequence := int64(0)
		for ; now < 25*time.Second; now += step {
			isFrozen := now >= 5*time.Second && now < thaw
			if now%heartbeat == 0 {
				sequence++
				u := upstreamEntry("i", 1, sequence, Ready)
				if isFrozen {
					waiting = append(waiting, u) // in the frozen VM's connections, and sent to the other VM after a second
					registrars["b"].Register(u)
				} else {
					registrars["a"].Register(u)
				}
			}
			for vm, r := range registrars {
				if vm == "a" && isFrozen {
					continue
				}
				if vm == "a" {
					for _, u := range waiting {
						r.Register(u)
					}
					waiting = nil
				}
				r.Expire()
				changes, version, _ := r.Since(versions[vm])
				versions[vm] = version
				directory.Merge(vm, changes)
			}
		}
		require.Equal(t, Ready, directory.entries["i"].upstream.State, "frozen for %v", frozen)
	}
}

// TestRegistrar_AnnouncesOnlyChanges guards against registrations that are all spread to all VMs: they cost the most at size.
func TestRegistrar_AnnouncesOnlyChanges(t *testing.T) {
	const lifetime = 3500 * time.Millisecond
	now := time.Second
	r := NewRegistrar(lifetime, func() time.Duration { return now })
	changes := 0
	for i := range int64(100) {
		if r.Register(upstreamEntry("i", 1, i+1, Ready)) {
			changes++
		}
		now += time.Second + time.Duration(i%7)*50*time.Millisecond
	}
	require.Equal(t, 1, changes)
	now += lifetime
	for i := range int64(100) {
		if r.Register(upstreamEntry("i", 1, i+101, Ready)) {
			changes++
		}
		now += time.Second
	}
	require.LessOrEqual(t, changes, 1+4, "for one lifetime after a late one")
}

func TestDirectory_ExpiredUpstreamsAreALastResort(t *testing.T) {
	d := NewDirectory(nil)
	d.Merge("c1", []Upstream{upstreamEntry("a", 1, 1, Ready)})
	gone := upstreamEntry("a", 1, 2, Gone)
	gone.Expired = true
	d.Merge("c1", []Upstream{gone})
	list := d.View().Services["s"]
	require.Len(t, list, 1, "it may only be unreachable from the control VMs")
	require.Equal(t, Gone, list[0].State)
	other := upstreamEntry("b", 1, 1, Ready)
	other.Address = "10.0.0.2:80"
	d.Merge("c1", []Upstream{other})
	list = d.View().Services["s"]
	require.Len(t, list, 1)
	require.Equal(t, "b", list[0].ID)
	gone.Expired = false
	other.State, other.Sequence = Gone, 2
	d.Merge("c1", []Upstream{gone, other})
	require.Empty(t, d.View().Services["s"], "they announced their shutdown")
}

// TestRegistrar_AgeOfAnnouncements checks that only a control VM that saw the change of state states its age:
// another one may learn of it seconds after it was acknowledged.
func TestRegistrar_AgeOfAnnouncements(t *testing.T) {
	now := time.Second
	leavingAt := func(r *Registrar) time.Duration {
		changes, _, _ := r.Since(0)
		require.Len(t, changes, 1)
		return changes[0].Leaving
	}
	u := Upstream{ID: "u", Service: "s", Address: "a", Born: 1, Sequence: 1}
	seen, late := NewRegistrar(time.Minute, func() time.Duration { return now }), NewRegistrar(time.Minute, func() time.Duration { return now })
	seen.Register(u)
	require.Zero(t, leavingAt(seen))
	u.State, u.Sequence = Draining, 2
	seen.Register(u)
	now += 300 * time.Millisecond
	u.Sequence = 4 // the one between went to another control VM
	seen.Register(u)
	late.Register(u)
	require.Equal(t, 300*time.Millisecond, leavingAt(seen))
	require.Zero(t, leavingAt(late))
}

func TestDirectory_LeavingFor(t *testing.T) {
	d := NewDirectory(nil)
	u := Upstream{ID: "u", Service: "s", Address: "a", Born: 1, Sequence: 2, State: Draining, Leaving: 400 * time.Millisecond}
	unknown := Upstream{ID: "v", Service: "s", Address: "b", Born: 1, Sequence: 2, State: Draining}
	d.Merge("c1", []Upstream{u, unknown, {ID: "w", Service: "s", Address: "c", Born: 1, Sequence: 1}})
	ids := func(limit time.Duration) []string {
		var all []string
		for _, u := range d.LeavingFor("s", limit) {
			all = append(all, u.ID)
		}
		return all
	}
	require.Equal(t, []string{"u"}, ids(time.Minute), "the others are ready, or left at an unknown time")
	require.Empty(t, ids(300*time.Millisecond))
	u.Sequence, u.Leaving = 3, 1
	d.Merge("c2", []Upstream{u})
	require.Empty(t, ids(300*time.Millisecond), "a later registration doesn't renew the announcement")
	d.Merge("c1", []Upstream{{ID: "u", State: Gone}})
	require.Empty(t, ids(time.Minute))
}
