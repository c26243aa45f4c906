package soak

import (
	"math/rand"
	"slices"
	"time"
)

// Kind is the type of a fault.
type Kind string

// The faults of VMs.
const (
	KillVM       Kind = "kill"          // SIGKILL, restarted after the fault's duration
	FreezeVM     Kind = "freeze"        // SIGSTOP, SIGCONT after the fault's duration
	RestartVM    Kind = "restart"       // SIGTERM, restarted once it has exited
	IsolateVM    Kind = "isolate"       // all its links to other VMs are cut
	LoseDisk     Kind = "lose disk"     // killed, its data erased; a second VM is killed after the repair
	LoseMajority Kind = "lose majority" // two control VMs are killed
)

// The faults of links between VMs.
const (
	CutZone   Kind = "cut zone"    // a zone is cut off from the others
	CutPair   Kind = "cut pair"    // two VMs are cut off from each other; both reach all others
	CutOneWay Kind = "cut one way" // one VM no longer reaches another, which still reaches it
)

// The faults of upstreams.
const (
	Silence  Kind = "silent connections" // open connections go silent without a FIN
	Crash    Kind = "crash"              // SIGKILL, restarted after the fault's duration
	Hang     Kind = "hang"               // runs calls but never answers
	Truncate Kind = "truncated answers"  // breaks the connection during an answer
	Late     Kind = "late answers"       // delays each answer
	Cross    Kind = "crossed answers"    // swaps the answers of two concurrent calls
	Depart   Kind = "depart"             // sends a goodbye, then returns as a new incarnation
)

// Actions of operators and callers.
const (
	ChangeRate  Kind = "change a rate"                  // applies a new rate and burst of a flooding account
	Race        Kind = "race with equal generations"    // two operators apply different files
	Resend      Kind = "resend an apply"                // applies accepted files again
	WithdrawKey Kind = "withdraw a key"                 // applies a file without the key of an account
	Poison      Kind = "request that crashes upstreams" // sends it repeatedly through all VMs
)

// Fault is one entry of a plan.
type Fault struct {
	At   time.Duration // after the start of the run
	For  time.Duration // duration, unless the kind of fault determines it
	Kind Kind
	// Target and Other are VMs, upstreams or zones.
	Target string
	Other  string
}

// Shape lists the possible targets of a plan's faults.
type Shape struct {
	ControlVMs []string
	EntryVMs   []string // without the control role
	Zones      []string
	Engines    []string
	Services   []string
	// Keys is the number of keys that can be withdrawn.
	Keys int
}

// Plan holds a run's faults. The faults of a lane run one after another; lanes run in parallel.
type Plan struct {
	Seed  int64
	Lanes [][]Fault
}

// lane describes how a lane's faults are generated.
type lane struct {
	kinds               []Kind
	targets             []string
	minLength, maxPause time.Duration // shortest duration; longest pause before a fault
	maxExtra            time.Duration // upper bound of the random time added to minLength
}

var upstreamFaults = []Kind{Silence, Crash, Hang, Truncate, Late, Cross, Depart}

// firstFault is when the first faults begin.
const firstFault = time.Second

// diskLossPause is the minimum time between two disk losses. Losing the second disk before the
// first is repaired would lose replicated state that no system could keep.
const diskLossPause = 25 * time.Second

// NewPlan generates the faults of a run. The same arguments give the same plan.
func NewPlan(seed int64, duration time.Duration, s Shape) Plan {
	p := Plan{Seed: seed}
	lanes := []lane{
		{[]Kind{KillVM, FreezeVM, RestartVM, IsolateVM, LoseDisk, LoseMajority}, s.ControlVMs, 3 * time.Second, 2 * time.Second, 3 * time.Second},
		{[]Kind{KillVM, FreezeVM, RestartVM, RestartVM, IsolateVM}, s.EntryVMs, 3 * time.Second, 2 * time.Second, 3 * time.Second},
		{[]Kind{CutZone, CutPair, CutPair, CutOneWay}, s.Zones, 3 * time.Second, 5 * time.Second, 4 * time.Second},
		{upstreamFaults, s.Engines, time.Second, time.Second, 2 * time.Second},
		{upstreamFaults, s.Services, time.Second, time.Second, 2 * time.Second},
		{[]Kind{ChangeRate, Race, Resend}, []string{""}, 0, 3 * time.Second, 0},
	}
	for i, l := range lanes {
		random := rand.New(rand.NewSource(seed*int64(len(lanes)) + int64(i)))
		p.Lanes = append(p.Lanes, l.draw(random, duration, s))
	}
	p.Lanes = append(p.Lanes, evenlySpaced(WithdrawKey, s.Keys, duration), evenlySpaced(Poison, poisons, duration))
	return p
}

// poisons is the number of requests in a run that crash upstreams.
const poisons = 2

// evenlySpaced spreads n faults evenly over the run.
func evenlySpaced(k Kind, n int, duration time.Duration) []Fault {
	var list []Fault
	for i := range n {
		list = append(list, Fault{At: duration * time.Duration(i+1) / time.Duration(n+1), Kind: k})
	}
	return list
}

// draw generates the lane's faults. It goes through all kinds in random order before it repeats
// one, so that a short run covers as many kinds as possible.
func (l lane) draw(random *rand.Rand, duration time.Duration, s Shape) []Fault {
	var list []Fault
	var kinds []Kind
	lostDisk := -diskLossPause
	for at := firstFault; ; {
		if len(kinds) == 0 {
			kinds = slices.Clone(l.kinds)
			random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		}
		f := Fault{Kind: kinds[0], For: l.minLength + upTo(random, l.maxExtra)}
		kinds = kinds[1:]
		f.pickTargets(random, l.targets, s)
		f.At = at + upTo(random, l.maxPause)
		if f.At+f.For > duration {
			return list
		}
		at = f.At + f.For
		if f.Kind == LoseDisk && f.At-lostDisk < diskLossPause {
			continue
		}
		if f.Kind == LoseDisk {
			lostDisk = f.At
		}
		list = append(list, f)
	}
}

// pickTargets chooses the targets of a fault at random.
func (f *Fault) pickTargets(random *rand.Rand, targets []string, s Shape) {
	from := targets
	if f.Kind == CutPair || f.Kind == CutOneWay {
		from = slices.Concat(s.ControlVMs, s.EntryVMs)
	}
	order := random.Perm(len(from))
	f.Target = from[order[0]]
	if len(from) > 1 {
		f.Other = from[order[1]]
	}
}

func upTo(random *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(random.Int63n(int64(d)))
}
