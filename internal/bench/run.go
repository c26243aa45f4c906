package bench

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretramp/internal/schedule"
)

// Faults of a run: when they come, as parts of its duration, and how long they last.
const (
	slowEngineAt = 0.1
	engineLossAt = 0.35
	zoneLossAt   = 0.65
	lossTime     = 20 * time.Second
	// slowTime is how long an engine's steps take slowdown times as long.
	slowTime = 30 * time.Second
	slowdown = 5
)

// Callers' habits.
const (
	maxAttempts = 3
	retryPause  = time.Second // before a call that failed on all attempts is sent again
	noisyBurst  = 20.0        // requests
)

// graceTime is how long after the last arrival a run goes on for programs under way.
const graceTime = 5 * time.Minute

// call is one turn of a program on its way.
type call struct {
	id          string
	program     *programRun
	turn        *turn
	prompt      int64
	attempts    int
	avoid       []string
	arrivalZone string // zone where it arrived
	tried       map[*zone]bool
	// retryAfter is the shortest that a zone named when it refused.
	retryAfter time.Duration
	// work is the service that it needs under any policy.
	work float64
}

// programRun is a program under way.
type programRun struct {
	spec                *programSpec
	parent              *programRun
	turn                int
	tokens              int64 // history
	computed            int64 // tokens that some engine computed for it
	resident            *engine
	residentIncarnation int64 // on's incarnation
	// open is what must end before the next turn: the call and a sub-agent.
	open  int
	ended func()
}

// run is one policy under one load.
type run struct {
	sim    *sim
	load   *load
	fleet  *fleet
	random *rand.Rand

	measures
	serial    int
	limiter   time.Duration // when the noisy account's next token is there
	violation error
}

func (r *run) arrive(s *programSpec) {
	start := r.sim.now
	p := &programRun{spec: s}
	r.underWay[p] = start
	p.ended = func() {
		delete(r.underWay, p)
		r.finished(s, r.sim.now-start)
	}
	r.nextTurn(p)
}

func (r *run) nextTurn(p *programRun) {
	if p.turn == len(p.spec.turns) {
		for _, e := range r.fleet.engines {
			e.release(p.spec.name)
		}
		p.ended()
		return
	}
	t := &p.spec.turns[p.turn]
	p.turn++
	r.sim.after(t.pause, func() { r.begin(p, t) })
}

// begin starts a turn's sub-agent and sends its call.
func (r *run) begin(p *programRun, t *turn) {
	p.open = 1
	if t.child != nil {
		p.open++
		child := &programRun{spec: t.child, parent: p, ended: func() { r.partEnded(p) }}
		r.nextTurn(child)
	}
	r.serial++
	c := &call{id: fmt.Sprintf("call%08d", r.serial), program: p, turn: t, prompt: p.tokens + t.prompt}
	c.work = float64(t.prompt) + answerWeight*float64(t.answer)
	r.limit(c)
}

// partEnded notes that the call or the sub-agent of a turn ended.
func (r *run) partEnded(p *programRun) {
	p.open--
	if p.open == 0 {
		r.nextTurn(p)
	}
}

// limit holds the noisy account to its rate, as an ideal limiter does.
func (r *run) limit(c *call) {
	if !c.program.spec.noisy {
		r.send(c)
		return
	}
	interval := time.Duration(float64(time.Second) / r.load.requestRate)
	r.limiter = max(r.limiter, r.sim.now-time.Duration(noisyBurst)*interval) + interval
	r.sim.at(r.limiter, func() { r.send(c) })
}

// send brings a call to some VM.
func (r *run) send(c *call) {
	r.requests++
	r.wait(c)
	r.dispatch(c)
}

// dispatch lets a call wait in the best zone that has not refused it yet.
func (r *run) dispatch(c *call) {
	c.arrivalZone = fmt.Sprintf("zone%d", r.random.Intn(zoneCount)+1)
	for _, z := range r.fleet.choose(c.arrivalZone, c) {
		if !c.tried[z] {
			r.fleet.enqueue(z, c)
			return
		}
	}
	r.sim.after(r.refuseToCaller(c), func() { r.dispatch(c) })
}

// refuseToCaller tells the caller that all zones refused, and returns when it comes back.
func (r *run) refuseToCaller(c *call) time.Duration {
	pause := max(c.retryAfter, minPause)
	if c.retryAfter > 0 {
		r.refusals++
	}
	c.tried, c.retryAfter = nil, 0
	return pause
}

const minPause = 250 * time.Millisecond

// refused sends a call that a zone refused to the next one.
func (r *run) refused(z *zone, c *call, refused schedule.Refused) {
	if c.tried == nil {
		c.tried = map[*zone]bool{}
	}
	c.tried[z] = true
	if c.retryAfter == 0 || refused.RetryAfter < c.retryAfter {
		c.retryAfter = max(refused.RetryAfter, minPause)
	}
	r.dispatch(c)
}

// ended takes an attempt's end.
func (r *run) ended(c *call, e *engine, j *job, failed bool) {
	if failed {
		r.failed(c, e)
		return
	}
	p := c.program
	r.served(c, j)
	p.computed = max(p.computed, j.need())
	p.tokens = j.need()
	p.resident, p.residentIncarnation = e, e.incarnation
	r.partEnded(p)
}

// failed sends a call again, elsewhere.
func (r *run) failed(c *call, e *engine) {
	c.attempts++
	c.avoid = append(c.avoid, e.name)
	c.tried = nil
	r.serial++
	c.id = fmt.Sprintf("call%08d", r.serial)
	pause := time.Duration(0)
	if c.attempts%maxAttempts == 0 {
		c.avoid = nil
		pause = retryPause
	}
	r.wait(c)
	r.sim.after(pause, func() { r.dispatch(c) })
}

// request is the call as the scheduler sees it.
func (c *call) request() schedule.Request {
	p := c.program
	r := schedule.Request{
		ID: c.id, Account: p.spec.account, Weight: p.spec.weight, Program: p.spec.name,
		PromptTokens: c.prompt, MaxTokens: maxAnswer, Avoid: c.avoid,
	}
	if p.parent != nil {
		r.Root = p.parent.spec.name
	}
	if p.resident != nil {
		r.Resident, r.ResidentIncarnation, r.PrefixTokens = p.resident.name, p.residentIncarnation, p.tokens
	}
	return r
}

// newRun prepares a policy's run.
func newRun(o Options, l *load, p Policy) *run {
	r := &run{
		sim:      &sim{},
		load:     l,
		random:   rand.New(rand.NewSource(o.Seed)),
		measures: newMeasures(l, o.Duration),
	}
	r.fleet = newFleet(r, p, o.Engine)
	for _, s := range l.programs {
		r.sim.at(s.arrival, func() { r.arrive(s) })
	}
	if !o.NoFaults {
		r.planFaults(o.Duration)
	}
	for t := fairWindow; t <= o.Duration; t += fairWindow {
		r.sim.at(t, r.closeWindow)
	}
	return r
}

// newHistogram holds times from 1 ns to 10 s.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Second).Nanoseconds(), 3)
}

// planFaults slows an engine down, then loses another one, then a zone.
func (r *run) planFaults(duration time.Duration) {
	part := func(p float64) time.Duration { return time.Duration(p * float64(duration)) }
	slow, lost := r.fleet.engines[4], r.fleet.engines[1]
	r.sim.at(part(slowEngineAt), func() { slow.slowdown = slowdown })
	r.sim.at(part(slowEngineAt)+slowTime, func() { slow.slowdown = 1 })
	r.sim.at(part(engineLossAt), func() { r.fleet.loseEngine(lost, lossTime) })
	r.sim.at(part(zoneLossAt), func() { r.fleet.loseZone("zone3", lossTime) })
}
