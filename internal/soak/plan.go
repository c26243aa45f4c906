package soak

import (
	"math/rand"
	"slices"
	"time"
)

// Kind is what a fault does.
type Kind string

// The faults of VMs.
const (
	KillVM       Kind = "kill"          // SIGKILL, start again after the fault's time
	FreezeVM     Kind = "freeze"        // SIGSTOP, SIGCONT after the fault's time
	RestartVM    Kind = "restart"       // SIGTERM, start again when it has ended
	IsolateVM    Kind = "isolate"       // all its links to other VMs are cut
	LoseDisk     Kind = "lose disk"     // killed, its data erased; a second VM is killed after the repair
	LoseMajority Kind = "lose majority" // two control VMs are killed
)

// The faults of links between VMs.
const (
	CutZone   Kind = "cut zone"    // a zone from the others
	CutPair   Kind = "cut pair"    // two VMs from each other; both see all others
	CutOneWay Kind = "cut one way" // one VM no longer reaches another, which still reaches it
)

// The faults of upstreams.
const (
	Silence  Kind = "silent connections"
	Crash    Kind = "crash"
	Hang     Kind = "hang"
	Truncate Kind = "truncated answers"
	Late     Kind = "late answers"
	Cross    Kind = "crossed answers"
	Depart   Kind = "depart" // goodbye, then back with a new incarnation
)

// What operators and callers do.
const (
	ChangeRate  Kind = "change a rate"
	Race        Kind = "race with equal generations"
	Resend      Kind = "resend an apply"
	WithdrawKey Kind = "withdraw a key"
	Poison      Kind = "request that crashes upstreams"
)

// Fault is one entry of a plan.
type Fault struct {
	At   time.Duration // after the start of the run
	For  time.Duration // how long it lasts, where that is not the fault's own matter
	Kind Kind
	// Target and Other are VMs, upstreams or zones.
	Target string
	Other  string
}

// Shape is what a plan may aim at.
type Shape struct {
	ControlVMs []string
	EntryVMs   []string // without the control role
	Zones      []string
	Engines    []string
	Services   []string
	// Keys are how many keys can be withdrawn.
	Keys int
}

// Plan is a run's faults. The faults of a lane follow each other; lanes run side by side.
type Plan struct {
	Seed  int64
	Lanes [][]Fault
}

// lane describes how a lane's faults are drawn.
type lane struct {
	kinds               []Kind
	targets             []string
	minLength, maxPause time.Duration // shortest fault; longest pause before one
	maxExtra            time.Duration // a fault lasts up to this much longer
}

var upstreamFaults = []Kind{Silence, Crash, Hang, Truncate, Late, Cross, Depart}

// firstFault is when the first faults begin.
const firstFault = time.Second

// diskLossPause is the least time between two lost disks. Losing the second before the first
// is repaired would lose state that no system keeps.
const diskLossPause = 25 * time.Second

// NewPlan draws the faults of a run. The same arguments give the same plan.
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

// poisons are the requests of a run that crash upstreams.
const poisons = 2

// spaced spreads n faults evenly over the run.
func evenlySpaced(k Kind, n int, duration time.Duration) []Fault {
	var list []Fault
	for i := range n {
		list = append(list, Fault{At: duration * time.Duration(i+1) / time.Duration(n+1), Kind: k})
	}
	return list
}

// draw shuffles the kinds again and again, so that a short run meets as many as it can.
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

// aim chooses whom a fault hits.
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
