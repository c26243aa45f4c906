package bench

import (
	"fmt"
	"sort"
	"time"

	"egretramp/internal/dispatch"
	"egretramp/internal/schedule"
)

// Size of the modelled fleet.
const (
	zoneCount      = 3
	enginesPerZone = 3
	replicaCount   = zoneCount * enginesPerZone
)

// Timing of the modelled fleet.
const (
	reportInterval  = 500 * time.Millisecond
	reportLag       = 300 * time.Millisecond
	summaryInterval = dispatch.SummaryInterval
	summaryAge      = dispatch.SummaryAge
	removalDelay    = 2500 * time.Millisecond // from an engine's loss to its removal from the pool
	unreachable     = time.Millisecond        // from a call to a lost engine to its failure
	zoneTimeout     = 2 * time.Second         // until a call that waits in a lost zone is sent elsewhere
	tickInterval    = 100 * time.Millisecond
	checkInterval   = time.Second
)

// zone is a queue with its engines; a fleet-wide policy has one zone for all engines.
type zone struct {
	name    string
	pool    pool
	alive   bool
	engines []*engine
	queued  map[string]*call
	// summary is the load that other zones see, summarised the time at which it was taken.
	summary    schedule.Load
	summarised time.Duration
}

// fleet holds the zones and engines of a run under one policy.
type fleet struct {
	run     *run
	policy  Policy
	zones   []*zone
	engines []*engine
}

func newFleet(r *run, p Policy, m EngineModel) *fleet {
	f := &fleet{run: r, policy: p}
	for z := range zoneCount {
		name := fmt.Sprintf("zone%d", z+1)
		if z == 0 || !p.fleetWide {
			f.zones = append(f.zones, &zone{name: name, pool: p.make(), alive: true, queued: map[string]*call{}})
		}
		home := f.zones[len(f.zones)-1]
		for i := range enginesPerZone {
			e := newEngine(r.sim, m, fmt.Sprintf("%s-engine%d", name, i+1), name)
			home.engines = append(home.engines, e)
			f.engines = append(f.engines, e)
		}
	}
	for _, z := range f.zones {
		for _, e := range z.engines {
			f.startReporting(z, e)
		}
		f.every(tickInterval, func() { f.plan(z) })
		f.every(summaryInterval, func() { f.summarise(z) })
		f.every(checkInterval, func() { f.check(z) })
	}
	return f
}

// every runs an action at once and again after each interval.
func (f *fleet) every(interval time.Duration, action func()) {
	action()
	f.run.sim.after(interval, func() { f.every(interval, action) })
}

// startReporting delivers an engine's load at once, and after each reportInterval with a lag.
func (f *fleet) startReporting(z *zone, e *engine) {
	f.deliver(z, e, f.report(e))
	f.every(reportInterval, func() {
		if !e.up {
			return
		}
		sample := f.report(e)
		f.run.sim.after(reportLag, func() { f.deliver(z, e, sample) })
	})
}

func (f *fleet) report(e *engine) schedule.Replica {
	return schedule.Replica{
		Name: e.name, Incarnation: e.incarnation, Slots: e.model.Slots, KVTokens: e.model.KVTokens,
		Running: len(e.running), Waiting: len(e.waiting), KVTokensUsed: e.reserved + e.idleTokens,
	}
}

func (f *fleet) deliver(z *zone, e *engine, r schedule.Replica) {
	if !z.alive || !e.up || r.Incarnation != e.incarnation {
		return
	}
	r.ReportedAt = f.run.sim.now
	f.timed(func() { z.pool.SetReplica(f.run.sim.now, r) })
	f.plan(z)
}

func (f *fleet) summarise(z *zone) {
	if z.alive {
		z.summary, z.summarised = z.pool.Load(), f.run.sim.now
	}
}

func (f *fleet) check(z *zone) {
	if !z.alive || f.run.violation != nil {
		return
	}
	f.run.violation = z.pool.CheckInvariants()
}

// timed runs a pool's work and records the time that it takes.
func (f *fleet) timed(work func()) {
	start := time.Now()
	work()
	f.run.spend(time.Since(start))
}

// choose returns the candidate zones for a call by ascending cost; from is the zone where the
// call arrived. Zones without replicas or with an outdated summary are left out.
func (f *fleet) choose(from string, c *call) []*zone {
	if f.policy.fleetWide {
		return f.zones
	}
	r := c.request()
	cost := map[*zone]time.Duration{}
	var list []*zone
	for _, z := range f.zones {
		if z.summary.Replicas == 0 || f.run.sim.now-z.summarised > summaryAge {
			continue
		}
		holds := c.program.resident != nil && c.program.resident.zone == z.name
		cost[z] = dispatch.ZoneCost(z.summary, z.name == from, holds, &r)
		list = append(list, z)
	}
	sort.SliceStable(list, func(i, j int) bool { return cost[list[i]] < cost[list[j]] })
	return list
}

// enqueue adds a call to a zone's queue. In a lost zone the call is sent again after zoneTimeout.
func (f *fleet) enqueue(z *zone, c *call) {
	if !z.alive {
		f.run.sim.after(zoneTimeout, func() { f.run.dispatch(c) })
		return
	}
	z.queued[c.id] = c
	f.timed(func() { z.pool.Enqueue(f.run.sim.now, c.request()) })
	f.plan(z)
}

// plan carries out the grants and refusals of a zone's pool.
func (f *fleet) plan(z *zone) {
	if !z.alive {
		return
	}
	var plan schedule.Plan
	f.timed(func() { plan = z.pool.Plan(f.run.sim.now) })
	f.run.decisions += len(plan.Grants) + len(plan.Refused)
	for _, g := range plan.Grants {
		c := z.queued[g.Request.ID]
		delete(z.queued, g.Request.ID)
		f.start(z, c, f.engine(g.Replica))
	}
	for _, refused := range plan.Refused {
		c := z.queued[refused.Request.ID]
		delete(z.queued, refused.Request.ID)
		f.run.refused(z, c, refused)
	}
}

func (f *fleet) engine(name string) *engine {
	for _, e := range f.engines {
		if e.name == name {
			return e
		}
	}
	panic("bench: a grant names an unknown upstream: " + name)
}

func (f *fleet) start(z *zone, c *call, e *engine) {
	f.run.granted(c)
	pool := z.pool
	e.submit(&job{
		call: c, session: c.program.spec.name, prompt: c.prompt, answer: c.turn.answer,
		done: func(j *job, failed bool) {
			outcome := schedule.Outcome{Failed: true}
			if !failed {
				outcome = schedule.Outcome{ServedTokens: j.need(), CachedTokens: j.cached, CompletionTokens: j.answer}
			}
			f.timed(func() { pool.Finish(f.run.sim.now, c.id, outcome) })
			if pool == z.pool {
				f.plan(z)
			}
			f.run.ended(c, e, j, failed)
		},
	})
}

// loseEngine crashes an engine and restarts it, without cached prefixes, after the time back.
func (f *fleet) loseEngine(e *engine, back time.Duration) {
	f.crash(f.home(e), e)
	f.run.sim.after(back, e.start)
}

func (f *fleet) home(e *engine) *zone {
	for _, z := range f.zones {
		if f.policy.fleetWide || z.name == e.zone {
			return z
		}
	}
	return nil
}

func (f *fleet) crash(z *zone, e *engine) {
	e.crash()
	f.run.sim.after(removalDelay, func() {
		if !e.up && z.alive {
			f.timed(func() { z.pool.RemoveReplica(f.run.sim.now, e.name) })
			f.plan(z)
		}
	})
}

// loseZone crashes a zone's engines and drops the zone's queue if it has its own.
func (f *fleet) loseZone(name string, back time.Duration) {
	for _, e := range f.engines {
		if e.zone == name {
			f.loseEngine(e, back)
		}
	}
	if f.policy.fleetWide {
		return
	}
	for _, z := range f.zones {
		if z.name == name {
			f.loseQueue(z, back)
		}
	}
}

func (f *fleet) loseQueue(z *zone, back time.Duration) {
	z.alive = false
	lost := make([]*call, 0, len(z.queued))
	for _, c := range z.queued {
		lost = append(lost, c)
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].id < lost[j].id })
	clear(z.queued)
	for _, c := range lost {
		f.run.sim.after(zoneTimeout, func() { f.run.dispatch(c) })
	}
	f.run.sim.after(back, func() {
		z.pool = f.policy.make()
		z.alive = true
	})
}
