package suspect

import (
	"context"
	"crypto/rand"
	"encoding/json"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/events"
)

// Methods and kinds of messages between VMs.
const (
	MethodAsk   = "suspect.ask"
	MethodEnd   = "suspect.end" // of a run whose upstream was lost
	MethodPoll  = "suspect.poll"
	KindEnd     = "suspect.ended"
	KindHold    = "suspect.hold"
	KindRelease = "suspect.release"
	KindRecords = "suspect.records"
	KindHello   = "suspect.hello"
	KindState   = "suspect.state" // answers a hello
)

// Timing of a guard.
const (
	// askTimeout has room for the owner's poll.
	askTimeout  = time.Second
	pollTimeout = 600 * time.Millisecond
	endTimeout  = time.Second
	waitFirst   = 20 * time.Millisecond
	waitMax     = 500 * time.Millisecond
	interval    = time.Second
	// maxPolls bounds the polls of a VM that are under way.
	maxPolls = 64
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
	// Members returns the membership: the VMs that may act.
	Members func() []Member
	Rank    RankFunc
	Events  *events.Logger
	Clock   func() time.Duration // default clock.Now
}

// Errors of Enter. No byte went towards an upstream.
var (
	ErrQuarantined = errors.New("the request is quarantined")
	ErrWaited      = errors.New("the same request was under way for too long")
	ErrCutOff      = errors.New("an upstream was lost to the request, and zones that may have lost another one are out of reach")
)

// Stats count what the guard decided.
type Stats struct {
	Asked       atomic.Int64
	Waited      atomic.Int64
	Quarantined atomic.Int64
	CutOff      atomic.Int64
	Polls       atomic.Int64
	Strikes     atomic.Int64
}

// Guard is a VM's part in the fleet-wide watch.
type Guard struct {
	opts  Options
	stats Stats

	start string // of this process

	mu      sync.Mutex
	arbiter *Arbiter
	polls   int // under way
	rounds  int
}

// NewGuard returns a guard; Run repeats its soft state.
func NewGuard(opts Options) *Guard {
	if opts.Clock == nil {
		opts.Clock = clock.Now
	}
	g := &Guard{opts: opts, start: rand.Text(), arbiter: NewArbiter(opts.Clock(), opts.VM, opts.Rank)}
	g.observe()
	g.arbiter.SetMembers(opts.Members())
	return g
}

// observe brings the arbiter's view up to date and returns the time. g.mu is held.
func (g *Guard) observe() time.Duration {
	now := g.opts.Clock()
	g.arbiter.Observe(now, g.opts.Others())
	return now
}

// Stats returns the counters.
func (g *Guard) Stats() *Stats { return &g.stats }

// Leave lets one run go. End must follow, once.
type Leave struct {
	guard   *Guard
	ask     Ask
	owner   string
	verdict Verdict
	given   time.Duration
	subject string
}

// Alone reports whether the run should have an upstream to itself.
func (l *Leave) Alone() bool { return l.verdict.Alone }

// Valid reports whether a run that waited in a queue may still start.
func (l *Leave) Valid() bool {
	g := l.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arbiter.IsValid(g.opts.Clock(), l.given, l.ask.Fingerprint, l.verdict)
}

// Enter waits for leave to run a request. subject tells operators what it is. Errors:
// ErrQuarantined, ErrCutOff, ErrWaited.
func (g *Guard) Enter(ctx context.Context, f Fingerprint, subject string) (*Leave, error) {
	l := &Leave{guard: g, ask: Ask{Fingerprint: f, VM: g.opts.VM, Start: g.start}, subject: subject}
	g.stats.Asked.Add(1)
	for wait := waitFirst; ; wait = min(2*wait, waitMax) {
		if g.turnsAway(f) {
			g.stats.Quarantined.Add(1)
			return nil, ErrQuarantined
		}
		l.askOwner(ctx)
		switch l.verdict.State {
		case Go:
			if l.accept() {
				return l, nil
			}
		case Quarantined:
			g.stats.Quarantined.Add(1)
			return nil, ErrQuarantined
		case CutOff:
			g.stats.CutOff.Add(1)
			return nil, ErrCutOff
		}
		if wait == waitFirst {
			g.stats.Waited.Add(1)
		}
		select {
		case <-ctx.Done():
			l.withdraw()
			return nil, ErrWaited
		case <-time.After(jitter(wait)):
		}
	}
}

// jitter keeps VMs from asking in step.
func jitter(d time.Duration) time.Duration { return d/2 + mathrand.N(d/2) }

func (g *Guard) turnsAway(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arbiter.TurnsAway(g.opts.Clock(), f)
}

// askOwner asks the VM that owns the fingerprint now. One that cannot be reached is not replaced
// before it counts as dead: until then, it may let runs go.
func (l *Leave) askOwner(ctx context.Context) {
	g := l.guard
	g.mu.Lock()
	now := g.observe()
	owner := g.arbiter.Owner(l.ask.Fingerprint)
	l.ask.Known = g.arbiter.Known(now, l.ask.Fingerprint)
	g.mu.Unlock()
	if l.ask.Run != "" && l.owner != owner {
		l.withdraw()
	}
	if l.ask.Run == "" {
		l.ask.Run = rand.Text()
	}
	l.owner = owner
	if owner == g.opts.VM {
		l.answered(g.decide(ctx, l.ask))
		return
	}
	l.verdict = Verdict{State: Wait}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	data, err := g.opts.Network.Call(ctx, owner, MethodAsk, mustMarshal(l.ask))
	var v Verdict
	if err == nil && json.Unmarshal(data, &v) == nil {
		l.answered(v)
	}
}

// answered takes the owner's verdict. Only an ask whose answer was lost is repeated under the
// same run: what the owner sends to forget a run must not meet a later one.
func (l *Leave) answered(v Verdict) {
	l.verdict = v
	if v.State != Go {
		l.ask.Run = ""
	}
}

// accept starts to hold the run, or gives the leave back.
func (l *Leave) accept() bool {
	g := l.guard
	g.mu.Lock()
	l.given = g.observe()
	ok := g.arbiter.Accept(l.ask, l.verdict)
	g.mu.Unlock()
	if !ok {
		l.withdraw()
	}
	return ok
}

// withdraw tells the owner that the run does not go, also if its answer to the ask was lost.
func (l *Leave) withdraw() {
	if l.ask.Run != "" {
		l.End(Unproven, "")
	}
	l.ask.Run = ""
}

// decide answers an ask as the fingerprint's owner, after a poll where one is needed.
func (g *Guard) decide(ctx context.Context, ask Ask) Verdict {
	g.mu.Lock()
	now := g.observe()
	if g.polls >= maxPolls {
		g.mu.Unlock()
		return Verdict{State: Wait}
	}
	v, poll := g.arbiter.Ask(now, ask)
	if poll == nil {
		g.mu.Unlock()
		return v
	}
	g.polls++
	g.mu.Unlock()
	ballots := g.poll(ctx, *poll)
	g.mu.Lock()
	g.polls--
	v = g.arbiter.Conclude(g.observe(), *poll, ballots)
	g.mu.Unlock()
	if v.State != Go {
		g.sendTo(poll.Voters, KindRelease, ask)
	}
	return v
}

// poll returns the ballots of the VMs that answer in time.
func (g *Guard) poll(ctx context.Context, p Poll) map[string]Ballot {
	g.stats.Polls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	payload := mustMarshal(p)
	var mu sync.Mutex
	ballots := map[string]Ballot{}
	var wg conc.WaitGroup
	for _, vm := range p.Voters {
		wg.Go(func() {
			var b Ballot
			data, err := g.opts.Network.Call(ctx, vm, MethodPoll, payload)
			if err != nil || json.Unmarshal(data, &b) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ballots[vm] = b
		})
	}
	wg.Wait()
	return ballots
}

func (g *Guard) sendTo(vms []string, kind string, message any) {
	payload := mustMarshal(message)
	for _, vm := range vms {
		g.opts.Network.Send(vm, kind, payload)
	}
}

// End reports the run's end. For a lost upstream it returns once the owner knows or cannot be
// reached: the next run of the request must not ask before.
func (l *Leave) End(outcome Outcome, upstream string) {
	g := l.guard
	end := End{
		Fingerprint: l.ask.Fingerprint, Run: l.ask.Run, Outcome: outcome,
		Upstream: upstream, Subject: l.subject, Strikes: l.verdict.Strikes,
	}
	if outcome == Lost || l.owner == g.opts.VM {
		g.take(end) // a strike on this VM too, so that it outlives the owner
	} else {
		g.forget(end)
	}
	switch payload := mustMarshal(end); {
	case l.owner == g.opts.VM:
	case outcome == Lost:
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		_, _ = g.opts.Network.Call(ctx, l.owner, MethodEnd, payload)
	default:
		g.opts.Network.Send(l.owner, KindEnd, payload)
	}
}

// forget ends a run of this VM whose owner is another.
func (g *Guard) forget(end End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arbiter.Forget(end)
}

// take enters the end of a run and tells all VMs of a changed record.
func (g *Guard) take(end End) {
	g.mu.Lock()
	ended := g.arbiter.End(g.opts.Clock(), end)
	g.mu.Unlock()
	g.sendTo(ended.Voters, KindRelease, Ask{Fingerprint: end.Fingerprint, Run: end.Run})
	if !ended.Changed {
		return
	}
	if len(ended.Record.Struck) > 0 {
		g.reportStrike(ended.Record)
	}
	g.sendTo(g.opts.Others(), KindRecords, []Record{ended.Record})
}

func (g *Guard) reportStrike(rec Record) {
	g.stats.Strikes.Add(1)
	event := events.RequestStruck
	if rec.Quarantined() {
		event = events.RequestQuarantined
	}
	var upstreams []string
	for _, s := range rec.Struck {
		upstreams = append(upstreams, s.Upstream)
	}
	g.opts.Events.Emit(event, zap.String("request", rec.Subject),
		zap.String("fingerprint", string(rec.Fingerprint)), zap.Strings("upstreams", upstreams))
}

// HandleAsk serves MethodAsk.
func (g *Guard) HandleAsk(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var a Ask
	if err := json.Unmarshal(payload, &a); err != nil {
		return nil, err
	}
	return json.Marshal(g.decide(ctx, a))
}

// HandlePoll serves MethodPoll.
func (g *Guard) HandlePoll(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var p Poll
	if err := json.Unmarshal(payload, &p); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return json.Marshal(g.arbiter.Vote(g.observe(), p))
}

// HandleRelease takes KindRelease.
func (g *Guard) HandleRelease(_ string, payload []byte) {
	var a Ask
	if json.Unmarshal(payload, &a) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arbiter.Release(a)
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
	g.arbiter.Hold(g.opts.Clock(), held)
}

// hello is what a VM says that was started or frozen.
type hello struct {
	Start string `json:"start"`
}

// HandleHello takes KindHello.
func (g *Guard) HandleHello(from string, payload []byte) {
	var h hello
	if json.Unmarshal(payload, &h) != nil {
		return
	}
	g.mu.Lock()
	g.arbiter.Greet(from, h.Start)
	state := g.arbiter.Snapshot(g.opts.Clock())
	g.mu.Unlock()
	if len(state.Records)+len(state.Runs) > 0 {
		g.opts.Network.Send(from, KindState, mustMarshal(state))
	}
}

// HandleState takes KindState.
func (g *Guard) HandleState(_ string, payload []byte) {
	var state Snapshot
	if json.Unmarshal(payload, &state) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arbiter.Learn(g.opts.Clock(), state)
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
		g.arbiter.Merge(g.opts.Clock(), rec)
	}
}

// Run repeats the runs under way to their owners and the records to one VM after another, until
// ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	g.round()
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
	g.mu.Lock()
	now := g.observe()
	g.arbiter.SetMembers(g.opts.Members())
	sends := g.arbiter.Tick(now)
	records := g.arbiter.Records(now)
	g.rounds++
	round := g.rounds
	g.mu.Unlock()
	for _, rec := range sends.Struck {
		g.reportStrike(rec)
		g.sendTo(g.opts.Others(), KindRecords, []Record{rec})
	}
	if sends.Hello {
		g.sendTo(g.opts.Others(), KindHello, hello{Start: g.start})
	}
	for vm, held := range sends.Holds {
		g.opts.Network.Send(vm, KindHold, mustMarshal(held))
	}
	others := slices.Sorted(slices.Values(g.opts.Others()))
	if len(records) > 0 && len(others) > 0 {
		g.opts.Network.Send(others[round%len(others)], KindRecords, mustMarshal(records))
	}
}

// Records returns the fingerprints with strikes, for the state dump.
func (g *Guard) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arbiter.Records(g.opts.Clock())
}

// mustMarshal encodes this package's own messages, which cannot fail.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("suspect: cannot encode a message: " + err.Error())
	}
	return data
}
