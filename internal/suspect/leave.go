package suspect

import (
	"context"
	"crypto/rand"
	"encoding/json"
	mathrand "math/rand/v2"
	"time"

	"egretramp/internal/message"
)

// Leave lets one run go. End must follow, once.
type Leave struct {
	guard   *Guard
	ask     Ask
	owner   string
	verdict Verdict
	asked   time.Duration // when the owner was asked
	subject string
}

// Alone reports whether the run should have an upstream to itself.
func (l *Leave) Alone() bool { return l.verdict.Alone }

// Valid reports whether a run that waited in a queue may still start.
func (l *Leave) Valid() bool {
	g := l.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arbiter.IsValid(g.opts.Clock(), l.asked, l.ask.Fingerprint, l.verdict)
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
	l.asked = now
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
	data, err := g.opts.Network.Call(ctx, owner, MethodAsk, message.Encode(l.ask))
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
	g.observe()
	ok := g.arbiter.Accept(l.asked, l.ask, l.verdict)
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
	switch payload := message.Encode(end); {
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
