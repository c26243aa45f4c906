package bench

import (
	"time"

	"egretramp/internal/schedule"
)

// pool is a queue with its upstreams. *schedule.Pool implements it.
type pool interface {
	SetReplica(now time.Duration, r schedule.Replica)
	RemoveReplica(now time.Duration, name string)
	Enqueue(now time.Duration, r schedule.Request)
	Cancel(now time.Duration, id string)
	Finish(now time.Duration, id string, o schedule.Outcome)
	Plan(now time.Duration) schedule.Plan
	Load() schedule.Load
	CheckInvariants() error
}

// Policy is a scheduling policy that a run compares with others.
type Policy struct {
	Name string
	// fleetWide policies have one queue for all zones and see all upstreams without the delay of
	// summaries. The others have one queue for each zone, chosen by summaries that lag behind.
	fleetWide bool
	make      func() pool
}

// Policies returns the policies that a run compares, the baselines first.
func Policies() []Policy {
	ours := func(name string, without schedule.Parts) Policy {
		return Policy{Name: name, make: func() pool {
			return schedule.New(schedule.Options{Without: without})
		}}
	}
	return []Policy{
		{Name: "round-robin", fleetWide: true, make: newRoundRobin},
		{Name: "least-outstanding", fleetWide: true, make: newLeastOutstanding},
		ours("egretramp", schedule.Parts{}),
		ours("without fairness", schedule.Parts{Fairness: true}),
		ours("without order", schedule.Parts{Order: true}),
		ours("without affinity", schedule.Parts{Affinity: true}),
		ours("without give-up", schedule.Parts{GiveUp: true}),
		ours("without kv-admission", schedule.Parts{KVAdmission: true}),
	}
}

// baseline is the common part of the two baselines: first in, first out, limited only by slots.
type baseline struct {
	replicas []*baselineReplica
	running  map[string]*baselineReplica
}

type baselineReplica struct {
	schedule.Replica
	outstanding int
	queue       []schedule.Request // round robin only
}

func (b *baseline) find(name string) int {
	for i, s := range b.replicas {
		if s.Name == name {
			return i
		}
	}
	return -1
}

func (b *baseline) SetReplica(_ time.Duration, r schedule.Replica) {
	if i := b.find(r.Name); i >= 0 {
		b.replicas[i].Replica = r
		return
	}
	b.replicas = append(b.replicas, &baselineReplica{Replica: r})
}

func (b *baseline) Finish(_ time.Duration, id string, _ schedule.Outcome) {
	if s := b.running[id]; s != nil {
		s.outstanding--
		delete(b.running, id)
	}
}

func (b *baseline) grant(plan *schedule.Plan, r schedule.Request, s *baselineReplica) {
	s.outstanding++
	b.running[r.ID] = s
	plan.Grants = append(plan.Grants, schedule.Grant{Request: r, Replica: s.Name})
}

func (b *baseline) CheckInvariants() error { return nil }

func (b *baseline) Load() schedule.Load { return schedule.Load{Replicas: len(b.replicas)} }

func avoids(r schedule.Request, name string) bool {
	for _, avoided := range r.Avoid {
		if avoided == name {
			return true
		}
	}
	return false
}

// leastOutstanding has one queue and grants its first request to the upstream with the fewest
// running calls.
type leastOutstanding struct {
	baseline
	queue []schedule.Request
}

func newLeastOutstanding() pool {
	return &leastOutstanding{baseline: baseline{running: map[string]*baselineReplica{}}}
}

func (l *leastOutstanding) RemoveReplica(_ time.Duration, name string) {
	if i := l.find(name); i >= 0 {
		l.replicas = append(l.replicas[:i], l.replicas[i+1:]...)
	}
}

func (l *leastOutstanding) Enqueue(_ time.Duration, r schedule.Request) {
	l.queue = append(l.queue, r)
}

func (l *leastOutstanding) Cancel(_ time.Duration, id string) { l.queue = without(l.queue, id) }

func (l *leastOutstanding) Plan(time.Duration) schedule.Plan {
	var plan schedule.Plan
	for len(l.queue) > 0 {
		var best *baselineReplica
		for _, s := range l.replicas {
			if s.outstanding < s.Slots && !avoids(l.queue[0], s.Name) && (best == nil || s.outstanding < best.outstanding) {
				best = s
			}
		}
		if best == nil {
			return plan
		}
		l.grant(&plan, l.queue[0], best)
		l.queue = l.queue[1:]
	}
	return plan
}

func without(queue []schedule.Request, id string) []schedule.Request {
	for i, r := range queue {
		if r.ID == id {
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}

// roundRobin has one queue for each upstream and assigns requests to them in turn.
type roundRobin struct {
	baseline
	turn int
}

func newRoundRobin() pool {
	return &roundRobin{baseline: baseline{running: map[string]*baselineReplica{}}}
}

func (l *roundRobin) Enqueue(_ time.Duration, r schedule.Request) {
	for range l.replicas {
		l.turn++
		s := l.replicas[l.turn%len(l.replicas)]
		if !avoids(r, s.Name) || len(l.replicas) == 1 {
			s.queue = append(s.queue, r)
			return
		}
	}
}

func (l *roundRobin) RemoveReplica(now time.Duration, name string) {
	i := l.find(name)
	if i < 0 {
		return
	}
	left := l.replicas[i].queue
	l.replicas = append(l.replicas[:i], l.replicas[i+1:]...)
	for _, r := range left {
		l.Enqueue(now, r)
	}
}

func (l *roundRobin) Cancel(_ time.Duration, id string) {
	for _, s := range l.replicas {
		s.queue = without(s.queue, id)
	}
}

func (l *roundRobin) Plan(time.Duration) schedule.Plan {
	var plan schedule.Plan
	for _, s := range l.replicas {
		for len(s.queue) > 0 && s.outstanding < s.Slots {
			l.grant(&plan, s.queue[0], s)
			s.queue = s.queue[1:]
		}
	}
	return plan
}
