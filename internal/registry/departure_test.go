package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// departureFleet has two control VMs whose registrars an entry VM's directory merges. A process sends its
// registrations to one of them and announces at the other that it leaves.
type departureFleet struct {
	now        time.Duration
	registrars map[string]*Registrar
}

func newDepartureFleet() *departureFleet {
	f := &departureFleet{now: time.Hour, registrars: map[string]*Registrar{}}
	for _, vm := range []string{"x", "y"} {
		f.registrars[vm] = NewRegistrar(2*time.Second, func() time.Duration { return f.now })
	}
	return f
}

func (f *departureFleet) register(vm string, born, sequence int64) {
	f.registrars[vm].Register(Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Born: born, Sequence: sequence})
}

// ready reports whether an entry VM that starts now and hears of the control VMs in the given order sends requests.
func (f *departureFleet) ready(order ...string) bool {
	d := NewDirectory(nil)
	for _, vm := range order {
		changes, _, _ := f.registrars[vm].Since(0)
		d.Merge(vm, changes)
	}
	return len(d.View().Services["s"]) == 1
}

// TestDirectory_DepartureAtAnotherControlVM guards against entry VMs that start late and take an upstream that has left
// for ready: its registrations are at one control VM, and another one that has none received the announcement.
func TestDirectory_DepartureAtAnotherControlVM(t *testing.T) {
	for _, order := range [][]string{{"x", "y"}, {"y", "x"}, {"y", "x", "y"}, {"x", "y", "x"}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			f := newDepartureFleet()
			f.register("x", 100, 1)
			f.now += 500 * time.Millisecond
			f.register("x", 100, 2)
			require.True(t, f.ready(order...))
			f.now += 10 * time.Millisecond
			f.registrars["y"].Leave("u")
			require.False(t, f.ready(order...))
			f.now += time.Second
			require.False(t, f.ready(order...))
			// The next process under its ID, whose registrations may go to either VM.
			f.now += 3 * time.Second
			f.register("x", 5000, 1)
			require.True(t, f.ready(order...))
			f.register("y", 5000, 2)
			require.True(t, f.ready(order...))
		})
	}
}

// TestRegistrar_LateRegistrationOfDepartedProcess guards against a registration that overtakes the announcement, or is
// delayed, and brings back a process that left.
func TestRegistrar_LateRegistrationOfDepartedProcess(t *testing.T) {
	f := newDepartureFleet()
	f.registrars["y"].Leave("u")
	f.now += 300 * time.Millisecond
	f.register("y", 100, 7)
	require.False(t, f.ready("y"))
	f.now += 5 * time.Second
	f.register("y", 100, 8)
	require.False(t, f.ready("y"), "the process is known by now")
	f.register("y", 9000, 1)
	require.True(t, f.ready("y"))
}

// TestDirectory_LateAnnouncementOfEarlierProcess guards against upstreams that an entry VM never uses, since it hears late
// of the departure of an earlier process.
func TestDirectory_LateAnnouncementOfEarlierProcess(t *testing.T) {
	f := newDepartureFleet()
	f.registrars["y"].Leave("u")
	f.now += 4 * time.Second
	f.register("x", 9000, 1)
	f.now += 100 * time.Millisecond
	require.True(t, f.ready("x", "y"))
	require.True(t, f.ready("y", "x"))
}

// TestDirectory_DepartureFromEarlierRelease plays control VMs that state no times.
func TestDirectory_DepartureFromEarlierRelease(t *testing.T) {
	d := NewDirectory(nil)
	d.Merge("x", []Upstream{{ID: "u", Service: "s", Address: "a", Born: 100, Sequence: 1}})
	d.Merge("y", []Upstream{{ID: "u", State: Gone}})
	require.Empty(t, d.View().Services)
	d.Merge("x", []Upstream{{ID: "u", Service: "s", Address: "a", Born: 900, Sequence: 1}})
	require.Len(t, d.View().Services["s"], 1)
}

// TestDirectory_RandomDepartures plays processes of one upstream one after the other, with each message to either control
// VM and some of them lost or late. An entry VM that starts at any moment takes the last process for ready exactly as
// long as it hasn't left.
func TestDirectory_RandomDepartures(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 3))
		f := newDepartureFleet()
		vm := func() string { return []string{"x", "y"}[random.IntN(2)] }
		order := func() []string {
			if random.IntN(2) == 0 {
				return []string{"x", "y"}
			}
			return []string{"y", "x"}
		}
		born := int64(1000)
		for process := range 6 {
			born += 10_000
			home := vm()
			for beat := range 1 + random.IntN(5) {
				f.register(home, born, int64(beat)+1)
				require.True(t, f.ready(order()...), "seed %d, process %d", seed, process)
				f.now += 500 * time.Millisecond
			}
			f.now += time.Duration(random.IntN(400)) * time.Millisecond
			f.registrars[vm()].Leave("u")
			if random.IntN(3) == 0 {
				f.registrars[vm()].Leave("u") // sent again
			}
			for range 4 {
				require.False(t, f.ready(order()...), "seed %d, process %d", seed, process)
				f.now += time.Duration(random.IntN(600)) * time.Millisecond
				f.registrars["x"].Expire()
				f.registrars["y"].Expire()
			}
			f.now += 2500 * time.Millisecond // it serves on, then another process starts
		}
	}
}
