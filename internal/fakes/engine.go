package fakes

import (
	"context"
	"slices"
	"sync"
	"time"
)

// expiryInterval is the minimum time between scans for abandoned and expired calls.
const expiryInterval = 10 * time.Millisecond

// idlePoll is how often an idle engine scans for calls without a reader.
const idlePoll = 50 * time.Millisecond

// engine simulates a model engine with continuous batching. It runs a loop of steps, each of
// which generates one token for every call in the batch. A step takes longer with the size of the
// batch and with the number of uncached prompt tokens of newly admitted calls. Calls are admitted
// in order of arrival, as long as there are free slots and enough KV memory.
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
	calls      map[string]*call // by attempt; finished calls are kept for Retention
	serial     int
	lastExpiry time.Time // time of the last scan
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

// run executes steps until ctx is done.
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

// beginStep cancels abandoned calls, admits waiting calls, and returns the duration of the step.
// busy is false if the batch is empty.
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

// admit moves waiting calls into the batch and returns the number of uncached prompt tokens.
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

// endStep generates one token for every call in the batch.
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

// expire cancels calls without a reader after ResumeGrace and removes calls that ended more than
// Retention ago.
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

// end removes a call from the batch or the queue and records its outcome. The caller holds mu.
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

// submit queues a call. It returns false if the attempt ID is already in use.
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

// removeReader unregisters a reader of a call.
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
