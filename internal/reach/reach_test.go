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
	// waiting is the number of requests that wait for a zone's upstreams, which are silent meanwhile.
	waiting map[string]int
	// cut are the zones in which no probe is answered. probes counts those under way by the rounds they have left.
	cut    map[string]bool
	probes map[string]int
	failed map[string]int // probes that have timed out
}

func newSimulation(zones ...string) *simulation {
	return &simulation{detector: New("a"), zones: zones, silent: map[string]bool{}, links: map[string]int{}, traffic: map[string]bool{}, phase: map[string]int{},
		waiting: map[string]int{}, cut: map[string]bool{}, probes: map[string]int{}, failed: map[string]int{}}
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
			received := beat || w.traffic[z] || w.probed(z)
			observations = append(observations, Observation{
				Zone: z, Received: received, Heartbeat: beat, Links: links, Waiting: w.waiting[z], FailedProbes: w.failed[z],
			})
		}
		changes = append(changes, w.detector.Round(w.now, observations)...)
		for _, z := range w.detector.Probes() {
			if w.probes[z] == 0 {
				w.probes[z] = 1
				if w.cut[z] {
					w.probes[z] = 3
				}
			}
		}
	}
	return changes
}

// probed reports whether a probe of a zone was answered in this round.
func (w *simulation) probed(zone string) bool {
	if w.probes[zone] == 0 {
		return false
	}
	w.probes[zone]--
	if w.probes[zone] > 0 {
		return false
	}
	if w.cut[zone] {
		w.failed[zone]++
	}
	return !w.cut[zone]
}

// TestDetector_SilentUpstreamsAreNoEvidence guards against streams that are cut because they pause while the VMs of their
// zone are silent for another reason.
func TestDetector_SilentUpstreamsAreNoEvidence(t *testing.T) {
	for name, links := range map[string]int{
		"the only control VM of the zone is restarted": 0,
		"the only linked VM of the zone is frozen":     1,
		"two linked VMs of the zone are frozen":        2,
		"many linked VMs of the zone are frozen":       5,
	} {
		t.Run(name, func(t *testing.T) {
			for phase := range 25 {
				w := newSimulation("a", "b", "c")
				w.phase["b"], w.phase["c"] = phase%5, phase/5
				w.waiting["c"] = 12
				w.run(20)
				w.silent["c"], w.links["c"] = true, links
				require.Empty(t, w.run(50))
				w.silent["c"] = false
				require.Empty(t, w.run(20))
			}
		})
	}
}

// TestDetector_RollingRestartOfControlVMs restarts the control VMs of all zones one after the other, each for two seconds,
// while streams pause for 1.4 s.
func TestDetector_RollingRestartOfControlVMs(t *testing.T) {
	w := newSimulation("a", "b", "c")
	for _, z := range w.zones {
		w.links[z], w.waiting[z] = 1, 12
	}
	w.run(20)
	for range 4 {
		for _, z := range w.zones {
			w.silent[z], w.links[z] = true, 0
			require.Empty(t, w.run(14))
			w.traffic[z] = true // the streams go on
			require.Empty(t, w.run(1))
			w.traffic[z] = false
			require.Empty(t, w.run(5))
			w.silent[z], w.links[z] = false, 1
			require.Empty(t, w.run(10))
		}
	}
}

// TestDetector_ProbeOfEarlierSilenceIsNoEvidence guards against streams that are cut at the second restart of a zone's control
// VM, because a probe was misjudged during the first one and only a heartbeat ended that silence.
func TestDetector_ProbeOfEarlierSilenceIsNoEvidence(t *testing.T) {
	w := newSimulation("a", "b", "c")
	w.phase["a"] = 3
	w.links["c"], w.waiting["c"] = 1, 12
	w.run(20)
	w.silent["c"], w.links["c"], w.cut["c"] = true, 0, true
	require.Empty(t, w.run(10)) // one probe times out
	require.Equal(t, 1, w.failed["c"])
	w.silent["c"], w.cut["c"] = false, false
	require.Empty(t, w.run(10)) // a link is open from the first heartbeat on
	w.links["c"] = 1
	w.silent["c"] = true // the link is open until the control VM's process ends
	require.Empty(t, w.run(11))
	w.links["c"] = 0
	require.Empty(t, w.run(10))
	// The result of a probe that began in the silence before this one may come late.
	w.silent["c"], w.links["c"] = false, 1
	w.run(10 - w.rounds%5) // ends with a heartbeat
	w.silent["c"], w.cut["c"] = true, true
	w.run(2)
	w.failed["c"]++
	require.Empty(t, w.run(6), "the probe of this silence has no result yet")
	require.Len(t, w.run(1), 1)
}

// TestDetector_LateRoundsMissNoHeartbeat guards against zones that count as unreachable although their VMs send
// heartbeats: this VM is busy, so its rounds are late by some milliseconds, and heartbeats arrive right after a round.
func TestDetector_LateRoundsMissNoHeartbeat(t *testing.T) {
	const period = 5 * Interval
	for _, latest := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond} {
		for phase := time.Duration(0); phase < Interval; phase += 500 * time.Microsecond {
			random := rand.New(rand.NewPCG(uint64(phase), uint64(latest)))
			d := New("a")
			for round := 1; round < 600; round++ {
				now := time.Duration(round)*Interval + time.Duration(random.Int64N(int64(latest)))
				var observations []Observation
				for i, zone := range []string{"a", "b", "c"} {
					age := (now - phase - time.Duration(i)*Interval) % period
					beat := d.Heard(now, age)
					observations = append(observations, Observation{Zone: zone, Received: beat, Heartbeat: beat, Links: 1})
				}
				require.Empty(t, d.Round(now, observations), "phase %v, rounds late by up to %v, round %d", phase, latest, round)
			}
		}
	}
}

// TestDetector_CutZoneEndsRequestsInTime guards against requests that hang in a zone that is cut off until their deadline,
// of 1.5 s for many calls, whatever links this VM has there.
func TestDetector_CutZoneEndsRequestsInTime(t *testing.T) {
	for links, limit := range map[int]time.Duration{0: 1400 * time.Millisecond, 1: time.Second, 2: time.Second, 3: time.Second} {
		for phase := range 25 {
			w := newSimulation("a", "b", "c")
			w.phase["b"], w.phase["c"] = phase%5, phase/5
			w.waiting["c"] = 12
			w.run(20)
			w.silent["c"], w.cut["c"], w.links["c"] = true, true, links
			took := time.Duration(0)
			for !w.detector.Unreachable("c") {
				w.run(1)
				took += Interval
				require.LessOrEqual(t, took, limit, "%d links", links)
			}
		}
	}
}

// TestDetector_ProbesOnlyForWaitingRequests guards against connections that are opened although nothing depends on their
// result: upstreams take few.
func TestDetector_ProbesOnlyForWaitingRequests(t *testing.T) {
	w := newSimulation("a", "b", "c")
	w.run(20)
	w.silent["c"], w.links["c"] = true, 0
	for range 50 {
		w.run(1)
		require.Empty(t, w.detector.Probes())
	}
	w.waiting["c"] = 1
	probes := 0
	for range 50 {
		w.run(1)
		probes += len(w.detector.Probes())
	}
	require.Positive(t, probes)
	require.LessOrEqual(t, probes, 10, "at most two a second while they are answered")
	w.silent["c"] = false
	w.run(5)
	w.run(20)
	require.Empty(t, w.detector.Probes())
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
