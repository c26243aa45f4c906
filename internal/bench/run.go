package bench

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretramp/internal/schedule"
)

// Faults of a run: their start times, as fractions of its duration, and how long they last.
const (
	slowEngineAt = 0.1
	engineLossAt = 0.35
	zoneLossAt   = 0.65
	lossTime     = 20 * time.Second
	// slowTime is how long the slow engine's steps take slowdown times their usual time.
	slowTime = 30 * time.Second
	slowdown = 5
)

// Behaviour of the callers.
const (
	maxAttempts = 3
	retryPause  = time.Second // before a call is sent again after maxAttempts failures
	noisyBurst  = 20.0        // requests
)

// graceTime is how long a run continues after the end of arrivals so that running programs finish.
const graceTime = 5 * time.Minute

// call is the model call of a turn that is in progress.
type call struct {
	id          string
	program     *programRun
	turn        *turn
	prompt      int64
	attempts    int
	avoid       []string
	arrivalZone string // zone where it arrived
	tried       map[*zone]bool
	// retryAfter is the shortest retry delay among the zones' refusals.
	retryAfter time.Duration
	// work is the service that the call needs; it is the same under all policies.
	work float64
}

// programRun is the state of a running program.
type programRun struct {
	spec                *programSpec
	parent              *programRun
	turn                int
	tokens              int64 // of the conversation so far
	computed            int64 // tokens that any engine has computed for it
	resident            *engine
	residentIncarnation int64 // incarnation of resident
	// open counts the parts that must end before the next turn: the call and a sub-agent.
	open  int
	ended func()
}

// run is the simulation of one policy under one load.
type run struct {
	sim    *sim
	load   *load
	fleet  *fleet
	random *rand.Rand

	measures
	serial    int
	limiter   time.Duration // when the noisy account's latest token is available
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

// partEnded records that the call or the sub-agent of a turn ended, and starts the next turn after
// the last of them.
func (r *run) partEnded(p *programRun) {
	p.open--
	if p.open == 0 {
		r.nextTurn(p)
	}
}

// limit delays the noisy account's calls to its rate, as an ideal limiter does.
func (r *run) limit(c *call) {
	if !c.program.spec.noisy {
		r.send(c)
		return
	}
	interval := time.Duration(float64(time.Second) / r.load.requestRate)
	r.limiter = max(r.limiter, r.sim.now-time.Duration(noisyBurst)*interval) + interval
	r.sim.at(r.limiter, func() { r.send(c) })
}

// send counts a call as a request and dispatches it.
func (r *run) send(c *call) {
	r.requests++
	r.wait(c)
	r.dispatch(c)
}

// dispatch enqueues a call in the best zone that has not refused it yet. If there is none, it is
// retried after a delay.
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

// refuseToCaller returns the delay before the caller retries a call that no zone accepted. The call
// counts as refused if a zone refused it.
func (r *run) refuseToCaller(c *call) time.Duration {
	pause := max(c.retryAfter, minPause)
	if c.retryAfter > 0 {
		r.refusals++
	}
	c.tried, c.retryAfter = nil, 0
	return pause
}

// minPause is the shortest delay before a refused call is retried.
const minPause = 250 * time.Millisecond

// refused dispatches a call that a zone refused to the next zone.
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

// ended records the end of an attempt.
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

// failed retries a call on another engine. After every maxAttempts failures it waits for
// retryPause and allows all engines again.
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

// request returns the call as a request to the scheduler.
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

// newRun prepares the run of a policy: its arrivals, faults and fairness windows.
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

// newHistogram returns a histogram of durations from 1 ns to 10 s with 3 significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Second).Nanoseconds(), 3)
}

// planFaults schedules the slowdown of one engine, the loss of another and the loss of a zone.
func (r *run) planFaults(duration time.Duration) {
	part := func(p float64) time.Duration { return time.Duration(p * float64(duration)) }
	slow, lost := r.fleet.engines[4], r.fleet.engines[1]
	r.sim.at(part(slowEngineAt), func() { slow.slowdown = slowdown })
	r.sim.at(part(slowEngineAt)+slowTime, func() { slow.slowdown = 1 })
	r.sim.at(part(engineLossAt), func() { r.fleet.loseEngine(lost, lossTime) })
	r.sim.at(part(zoneLossAt), func() { r.fleet.loseZone("zone3", lossTime) })
}
