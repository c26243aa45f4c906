package fakes

import (
	"context"
	"slices"
	"sync"
	"time"
)

// expiryInterval is how often calls are looked through for those to cancel or forget.
const expiryInterval = 10 * time.Millisecond

// idlePoll is how often an idle engine looks for calls without a reader.
const idlePoll = 50 * time.Millisecond

// engine is a model engine with continuous batching: a loop of steps, each of which gives one
// token to every call in the batch. A step takes longer the larger the batch is, and by the
// prompt tokens that new calls must compute. Calls are admitted in the order in which they
// arrive, as long as there are slots and KV memory.
type engine struct {
	opts   Options
	faults *faults
	runs   *runs
	orders orders
	wake   chan struct{}

	mu         sync.Mutex
	kv         kvCache
	models     []string
	waiting    []*call
	running    []*call
	calls      map[string]*call // by attempt, finished ones included until Retention
	serial     int
	lastExpiry time.Time // when calls were last looked through
}

func newEngine(opts Options, f *faults, r *runs) *engine {
	e := &engine{
		opts:   opts,
		faults: f,
		runs:   r,
		wake:   make(chan struct{}, 1),
		kv:     kvCache{capacity: opts.Engine.KVTokens, gap: opts.Engine.CacheEventGap},
		models: slices.Clone(opts.Serves),
		calls:  map[string]*call{},
	}
	return e
}

func (e *engine) load() loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return loadReport{
		running:    len(e.running),
		waiting:    len(e.waiting),
		kvTokens:   e.kv.used(),
		kvLimit:    e.kv.capacity,
		slots:      e.opts.Engine.Slots,
		canResume:  !e.opts.Engine.NoResume,
		hasFencing: !e.faults.get().IgnoreFencing,
	}
}

func (e *engine) serves() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models)
}

// run is the loop of steps.
func (e *engine) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, busy := e.beginStep(time.Now())
		if !busy {
			e.idleWait(ctx)
			continue
		}
		sleep(ctx, pause)
		e.endStep(time.Now())
	}
}

func (e *engine) idleWait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.wake:
	case <-time.After(idlePoll):
	}
}

// beginStep ends abandoned calls, admits waiting ones, and returns how long the step takes.
func (e *engine) beginStep(now time.Time) (pause time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	prefill := e.admit(now)
	if len(e.running) == 0 {
		return 0, false
	}
	o := e.opts.Engine
	pause = o.StepTime + time.Duration(len(e.running))*o.StepPerCall + time.Duration(prefill)*o.PrefillPerToken
	return pause, true
}

// admit moves waiting calls into the batch and returns the prompt tokens to compute.
func (e *engine) admit(now time.Time) (prefill int) {
	for len(e.waiting) > 0 && len(e.running) < e.opts.Engine.Slots {
		c := e.waiting[0]
		cached, ok := e.kv.reserve(c.session, c.prompt, c.kvTokens(), now)
		if !ok {
			return prefill
		}
		c.cached = cached
		prefill += len(c.prompt) - cached
		e.waiting = e.waiting[1:]
		e.running = append(e.running, c)
		e.runs.update(c.run, func(r *Run) { r.CachedTokens = cached })
	}
	return prefill
}

// endStep gives one token to every call in the batch.
func (e *engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range slices.Clone(e.running) {
		complete := c.emit()
		if complete {
			e.end(c, Finished, now)
			continue
		}
		c.advance()
	}
}

// expire cancels calls that nobody reads and forgets calls that ended long ago.
func (e *engine) expire(now time.Time) {
	if now.Sub(e.lastExpiry) < expiryInterval {
		return
	}
	e.lastExpiry = now
	for attempt, c := range e.calls {
		if c.ended && now.Sub(c.endedAt) > e.opts.Engine.Retention {
			delete(e.calls, attempt)
		}
		if !c.ended && c.readers == 0 && now.Sub(c.lastReaderLeft) > e.opts.Engine.ResumeGrace {
			e.end(c, Cancelled, now)
		}
	}
}

// end takes a call out of the batch or the queue. The caller holds mu.
func (e *engine) end(c *call, outcome Outcome, now time.Time) {
	if c.ended {
		return
	}
	c.ended = true
	c.outcome = outcome
	c.endedAt = now
	if i := slices.Index(e.running, c); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.kv.release(c.session, slices.Concat(c.prompt, c.answer[:c.emitted]), c.kvTokens(), c.keep, now)
	}
	if i := slices.Index(e.waiting, c); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	e.runs.update(c.run, func(r *Run) {
		r.CompletionTokens = c.emitted
		r.Outcome = outcome
		r.EndedNS = now.UnixNano()
	})
	c.advance()
}

// submit queues a call. It returns false if its attempt is in use.
func (e *engine) submit(c *call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[c.attempt] != nil {
		return false
	}
	c.readers = 1
	e.calls[c.attempt] = c
	e.waiting = append(e.waiting, c)
	e.signalWake()
	return true
}

// removeReader notes that a reader of a call went.
func (e *engine) removeReader(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.readers--
	c.lastReaderLeft = time.Now()
}

func (e *engine) signalWake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
