package reach

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulation feeds simulated rounds to the detector of a VM in zone a.
type simulation struct {
	detector *Detector
	now      time.Duration
	rounds   int
	zones    []string
	silent   map[string]bool // zones that send no heartbeats
	// links is the number of connections into each zone, default 2.
	links map[string]int
	// traffic marks zones whose upstreams send data in each round.
	traffic map[string]bool
	phase   map[string]int // offset of a zone's heartbeats, in rounds
}

func newSimulation(zones ...string) *simulation {
	return &simulation{detector: New("a"), zones: zones, silent: map[string]bool{}, links: map[string]int{}, traffic: map[string]bool{}, phase: map[string]int{}}
}

// run simulates rounds, with a heartbeat in every fifth one, and returns the changes.
func (w *simulation) run(rounds int) []Change {
	var changes []Change
	for range rounds {
		w.now += Interval
		w.rounds++
		var observations []Observation
		for _, z := range w.zones {
			links, set := w.links[z]
			if !set {
				links = 2
			}
			beat := (w.rounds+w.phase[z])%5 == 0 && !w.silent[z]
			observations = append(observations, Observation{Zone: z, Received: beat || w.traffic[z], Heartbeat: beat, Expected: links})
		}
		changes = append(changes, w.detector.Round(w.now, observations)...)
	}
	return changes
}

func TestDetector_SilentZoneBecomesUnreachable(t *testing.T) {
	w := newSimulation("a", "b", "c")
	require.Empty(t, w.run(50))
	w.silent["c"] = true
	changes := w.run(12)
	require.Len(t, changes, 1)
	require.Equal(t, "c", changes[0].Zone)
	require.False(t, changes[0].Reachable)
	require.True(t, w.detector.Unreachable("c"))

	w.links["c"] = 0 // the connections were closed
	require.Empty(t, w.run(40))
	w.silent["c"], w.links["c"] = false, 2
	changes = w.run(5)
	require.Len(t, changes, 1)
	require.True(t, changes[0].Reachable)
}

// TestDetector_IsolatedWithoutStore checks that during a partition a VM is isolated exactly if the
// store does not answer, whatever the number of zones on its side.
func TestDetector_IsolatedWithoutStore(t *testing.T) {
	for _, cut := range [][]string{{"c"}, {"b", "c"}, {"b", "c", "d"}} {
		w := newSimulation("a", "b", "c", "d")
		w.run(20)
		require.False(t, w.detector.Isolated(false), "no partition: the store only elects a leader")
		for _, z := range cut {
			w.silent[z] = true
		}
		w.run(12)
		require.True(t, w.detector.Isolated(false))
		require.False(t, w.detector.Isolated(true))
		for _, z := range cut {
			w.silent[z] = false
		}
		w.run(5)
		require.False(t, w.detector.Isolated(false))
	}
}

func TestDetector_NoChangeOnLocalSilence(t *testing.T) {
	for name, disturb := range map[string]func(w *simulation){
		"this VM alone is isolated": func(w *simulation) { w.silent["a"], w.silent["b"], w.silent["c"] = true, true, true },
		"this VM is frozen":         func(w *simulation) { w.now += 5 * time.Second; w.rounds = 0 },
		"all VMs lose power while upstreams of the own zone keep sending": func(w *simulation) {
			w.run(3)
			for _, z := range w.zones {
				w.silent[z] = true
			}
			w.traffic["a"] = true
		},
		"the VMs of a zone shut down": func(w *simulation) {
			w.silent["c"] = true
			w.links["c"] = 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			for phase := range 25 {
				w := newSimulation("a", "b", "c")
				w.phase["b"], w.phase["c"] = phase%5, phase/5
				w.run(20)
				disturb(w)
				require.Empty(t, w.run(40))
				require.False(t, w.detector.Isolated(false))
			}
		})
	}
}

// TestDetector_FewerConnectionsNeedLongerSilence checks the silence limits: the fewer connections are
// silent, the likelier it is that the zone is still reachable.
func TestDetector_FewerConnectionsNeedLongerSilence(t *testing.T) {
	for expected, silent := range map[int]time.Duration{1: 12 * Interval, 2: 9 * Interval, 3: 7 * Interval, 10: 7 * Interval} {
		w := newSimulation("a", "b")
		w.phase["a"] = 4
		w.run(20) // ends with b's heartbeat; a's next one comes six rounds later
		w.silent["b"], w.links["b"] = true, expected
		require.Empty(t, w.run(int(silent/Interval)-1))
		changes := w.run(1)
		require.Len(t, changes, 1)
		require.Equal(t, silent, changes[0].Silent)
	}
}

func TestDetector_ForgetsRemovedZones(t *testing.T) {
	w := newSimulation("a", "b", "c")
	w.run(20)
	w.silent["c"] = true
	w.run(12)
	require.True(t, w.detector.Unreachable("c"))
	w.zones = []string{"a", "b"}
	w.run(1)
	require.False(t, w.detector.Unreachable("c"))
	require.False(t, w.detector.Isolated(false))
}

// TestDetector_RandomRuns silences and restores zones at random and checks that a zone that sends
// data is reachable, and that a silent one is detected within a second while others send.
func TestDetector_RandomRuns(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newSimulation("a", "b", "c", "d")
		w.run(20)
		for range 20 {
			z := w.zones[1+random.IntN(3)]
			w.silent[z] = !w.silent[z]
			w.run(10 + random.IntN(20))
			w.run((5 - w.rounds%5) % 5) // until the next heartbeats
			for _, name := range w.zones {
				require.Equal(t, w.silent[name], w.detector.Unreachable(name), "seed %d, zone %s", seed, name)
			}
		}
	}
}
