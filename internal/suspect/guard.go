package suspect

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/events"
)

// Methods and kinds of messages between VMs.
const (
	MethodAsk   = "suspect.ask"
	MethodEnd   = "suspect.end" // of a run whose upstream was lost
	KindEnd     = "suspect.ended"
	KindHold    = "suspect.hold"
	KindRecords = "suspect.records"
)

// Timing of a guard.
const (
	callTimeout = time.Second
	// ownerTries is how many VMs are asked before this VM decides by itself.
	ownerTries = 3
	waitFirst  = 20 * time.Millisecond
	waitMax    = 500 * time.Millisecond
	interval   = time.Second
)

// Network carries messages and calls between VMs.
type Network interface {
	Send(vm, kind string, payload []byte)
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}

// Options configure a Guard.
type Options struct {
	VM      string
	Network Network
	// Others returns the other VMs that are alive.
	Others func() []string
	// Rank orders VMs for a key by rendezvous hashing.
	Rank   func(key string, vms []string) []string
	Events *events.Logger
	Clock  func() time.Duration // default clock.Now
}

// Errors of Enter. No byte went towards an upstream.
var (
	ErrQuarantined = errors.New("the request is quarantined")
	ErrWaited      = errors.New("the same request was under way for too long")
)

// Stats count what the guard decided.
type Stats struct {
	Asked       atomic.Int64
	Waited      atomic.Int64
	Quarantined atomic.Int64
	Strikes     atomic.Int64
}

// Guard is a VM's part in the fleet-wide watch.
type Guard struct {
	opts  Options
	stats Stats

	mu       sync.Mutex
	registry *Registry
	held     map[string]Ask // by run
	rounds   int
}

// NewGuard returns a guard; Run repeats its soft state.
func NewGuard(opts Options) *Guard {
	if opts.Clock == nil {
		opts.Clock = clock.Now
	}
	return &Guard{opts: opts, registry: NewRegistry(), held: map[string]Ask{}}
}

// Stats returns the counters.
func (g *Guard) Stats() *Stats { return &g.stats }

// Leave lets one run go. End must follow, once.
type Leave struct {
	guard   *Guard
	ask     Ask
	owner   string
	verdict Verdict
	subject string
}

// Alone reports whether the run should have an upstream to itself.
func (l *Leave) Alone() bool { return l.verdict.Alone }

// Enter waits for leave to run a request. subject tells operators what it is. Errors:
// ErrQuarantined, ErrWaited.
func (g *Guard) Enter(ctx context.Context, f Fingerprint, subject string) (*Leave, error) {
	l := &Leave{guard: g, ask: Ask{Fingerprint: f, Run: rand.Text(), VM: g.opts.VM}, subject: subject}
	g.stats.Asked.Add(1)
	for wait := waitFirst; ; wait = min(2*wait, waitMax) {
		if g.turnsAway(f) {
			g.stats.Quarantined.Add(1)
			return nil, ErrQuarantined
		}
		l.owner, l.verdict = g.ask(ctx, l.ask)
		switch l.verdict.State {
		case Go:
			g.hold(l.ask)
			return l, nil
		case Quarantined:
			g.stats.Quarantined.Add(1)
			return nil, ErrQuarantined
		}
		if wait == waitFirst {
			g.stats.Waited.Add(1)
		}
		select {
		case <-ctx.Done():
			// The owner may have let it go in an answer that was lost.
			l.End(Unproven, "")
			return nil, ErrWaited
		case <-time.After(wait):
		}
	}
}

func (g *Guard) turnsAway(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.TurnsAway(g.opts.Clock(), f)
}

func (g *Guard) hold(a Ask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[a.Run] = a
}

// owners returns the VMs to ask about a fingerprint, its owner first.
func (g *Guard) owners(f Fingerprint) []string {
	vms := append([]string{g.opts.VM}, g.opts.Others()...)
	return g.opts.Rank(string(f), vms)
}

// ask asks the owner, or the next VMs in its order, and returns which one decided.
func (g *Guard) ask(ctx context.Context, a Ask) (owner string, v Verdict) {
	payload := mustMarshal(a)
	owners := g.owners(a.Fingerprint)
	for _, vm := range owners[:min(len(owners), ownerTries)] {
		if vm == g.opts.VM {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		data, err := g.opts.Network.Call(callCtx, vm, MethodAsk, payload)
		cancel()
		if err == nil && json.Unmarshal(data, &v) == nil {
			return vm, v
		}
		if ctx.Err() != nil {
			return vm, Verdict{State: Wait}
		}
	}
	return g.opts.VM, g.decide(a)
}

func (g *Guard) decide(a Ask) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Ask(g.opts.Clock(), a)
}

// End reports the run's end. For a lost upstream it returns once the owner knows or cannot be
// reached: the next run of the request must not ask before.
func (l *Leave) End(outcome Outcome, upstream string) {
	g := l.guard
	g.mu.Lock()
	delete(g.held, l.ask.Run)
	g.mu.Unlock()
	end := End{
		Fingerprint: l.ask.Fingerprint, Run: l.ask.Run, Outcome: outcome,
		Upstream: upstream, Subject: l.subject, Strikes: l.verdict.Strikes,
	}
	payload := mustMarshal(end)
	switch {
	case outcome == Lost:
		g.take(end) // on this VM too, so that the strike outlives the owner
		if l.owner != g.opts.VM {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_, _ = g.opts.Network.Call(ctx, l.owner, MethodEnd, payload)
		}
	case l.owner == g.opts.VM:
		g.take(end)
	default:
		g.opts.Network.Send(l.owner, KindEnd, payload)
	}
}

// take enters the end of a run and tells all VMs of a changed record.
func (g *Guard) take(end End) {
	now := g.opts.Clock()
	g.mu.Lock()
	rec, changed := g.registry.End(now, end)
	g.mu.Unlock()
	if !changed {
		return
	}
	if len(rec.Struck) > 0 {
		g.stats.Strikes.Add(1)
		event := events.RequestStruck
		if rec.Quarantined() {
			event = events.RequestQuarantined
		}
		g.opts.Events.Emit(event, zap.String("request", rec.Subject),
			zap.String("fingerprint", string(rec.Fingerprint)), zap.Strings("upstreams", rec.Struck))
	}
	payload := mustMarshal([]Record{rec})
	for _, vm := range g.opts.Others() {
		g.opts.Network.Send(vm, KindRecords, payload)
	}
}

// HandleAsk serves MethodAsk.
func (g *Guard) HandleAsk(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var a Ask
	if err := json.Unmarshal(payload, &a); err != nil {
		return nil, err
	}
	return json.Marshal(g.decide(a))
}

// HandleLost serves MethodEnd.
func (g *Guard) HandleLost(_ context.Context, from string, payload []byte) ([]byte, error) {
	g.HandleEnd(from, payload)
	return nil, nil
}

// HandleEnd takes KindEnd.
func (g *Guard) HandleEnd(_ string, payload []byte) {
	var end End
	if json.Unmarshal(payload, &end) == nil {
		g.take(end)
	}
}

// HandleHold takes KindHold.
func (g *Guard) HandleHold(_ string, payload []byte) {
	var held []Ask
	if json.Unmarshal(payload, &held) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.Hold(g.opts.Clock(), held)
}

// HandleRecords takes KindRecords.
func (g *Guard) HandleRecords(_ string, payload []byte) {
	var records []Record
	if json.Unmarshal(payload, &records) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, rec := range records {
		g.registry.Merge(g.opts.Clock(), rec)
	}
}

// Run repeats the runs under way to their owners and the records to one VM after another, until
// ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.round()
		}
	}
}

func (g *Guard) round() {
	now := g.opts.Clock()
	others := g.opts.Others()
	byOwner := map[string][]Ask{}
	g.mu.Lock()
	g.registry.Tick(now)
	records := g.registry.Records(now)
	for _, a := range g.held {
		owner := g.owners(a.Fingerprint)[0]
		byOwner[owner] = append(byOwner[owner], a)
	}
	g.registry.Hold(now, byOwner[g.opts.VM])
	g.rounds++
	round := g.rounds
	g.mu.Unlock()
	delete(byOwner, g.opts.VM)
	for vm, held := range byOwner {
		g.opts.Network.Send(vm, KindHold, mustMarshal(held))
	}
	if len(records) > 0 && len(others) > 0 {
		sorted := slices.Sorted(slices.Values(others))
		g.opts.Network.Send(sorted[round%len(sorted)], KindRecords, mustMarshal(records))
	}
}

// Records returns the fingerprints with strikes, for the state dump.
func (g *Guard) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Records(g.opts.Clock())
}

// mustMarshal encodes this package's own messages, which cannot fail.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("suspect: cannot encode a message: " + err.Error())
	}
	return data
}
