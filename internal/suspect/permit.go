package suspect

import (
	"context"
	"crypto/rand"
	"encoding/json"
	mathrand "math/rand/v2"
	"time"

	"egretramp/internal/message"
)

// Permit lets one run go. End must follow, once.
type Permit struct {
	guard       *Guard
	request     RunRequest
	owner       string
	verdict     Verdict
	requestedAt time.Duration // when the owner was asked
	subject     string
}

// Alone reports whether the run should have an upstream to itself.
func (p *Permit) Alone() bool { return p.verdict.Alone }

// Valid reports whether a run that waited in a queue may still start.
func (p *Permit) Valid() bool {
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arbiter.IsValid(g.opts.Clock(), p.requestedAt, p.request.Fingerprint, p.verdict)
}

// Enter waits for leave to run a request. subject tells operators what it is. Errors:
// ErrQuarantined, ErrCutOff, ErrWaited.
func (g *Guard) Enter(ctx context.Context, f Fingerprint, subject string) (*Permit, error) {
	p := &Permit{guard: g, request: RunRequest{Fingerprint: f, VM: g.opts.VM, Start: g.start}, subject: subject}
	g.stats.Asked.Add(1)
	for wait := minBackoff; ; wait = min(2*wait, maxBackoff) {
		if g.rejects(f) {
			g.stats.Quarantined.Add(1)
			return nil, ErrQuarantined
		}
		p.requestFromOwner(ctx)
		switch p.verdict.State {
		case Go:
			if p.accept() {
				return p, nil
			}
		case Quarantined:
			g.stats.Quarantined.Add(1)
			return nil, ErrQuarantined
		case CutOff:
			g.stats.CutOff.Add(1)
			return nil, ErrCutOff
		}
		if wait == minBackoff {
			g.stats.Waited.Add(1)
		}
		select {
		case <-ctx.Done():
			p.withdraw()
			return nil, ErrWaited
		case <-time.After(jitter(wait)):
		}
	}
}

// jitter keeps VMs from asking in step.
func jitter(d time.Duration) time.Duration { return d/2 + mathrand.N(d/2) }

func (g *Guard) rejects(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arbiter.Rejects(g.opts.Clock(), f)
}

// requestFromOwner asks the VM that owns the fingerprint now. One that cannot be reached is not replaced
// before it counts as dead: until then, it may let runs go.
func (p *Permit) requestFromOwner(ctx context.Context) {
	g := p.guard
	g.mu.Lock()
	now := g.observe()
	owner := g.arbiter.Owner(p.request.Fingerprint)
	p.requestedAt = now
	p.request.Known = g.arbiter.Known(now, p.request.Fingerprint)
	g.mu.Unlock()
	if p.request.Run != "" && p.owner != owner {
		p.withdraw()
	}
	if p.request.Run == "" {
		p.request.Run = rand.Text()
	}
	p.owner = owner
	if owner == g.opts.VM {
		p.setVerdict(g.decide(ctx, p.request))
		return
	}
	p.verdict = Verdict{State: Wait}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	data, err := g.opts.Network.Call(ctx, owner, MethodAsk, message.Encode(p.request))
	var v Verdict
	if err == nil && json.Unmarshal(data, &v) == nil {
		p.setVerdict(v)
	}
}

// setVerdict takes the owner's verdict. Only an ask whose answer was lost is repeated under the
// same run: what the owner sends to forget a run must not meet a later one.
func (p *Permit) setVerdict(v Verdict) {
	p.verdict = v
	if v.State != Go {
		p.request.Run = ""
	}
}

// accept starts to hold the run, or gives the leave back.
func (p *Permit) accept() bool {
	g := p.guard
	g.mu.Lock()
	g.observe()
	ok := g.arbiter.Accept(p.requestedAt, p.request, p.verdict)
	g.mu.Unlock()
	if !ok {
		p.withdraw()
	}
	return ok
}

// withdraw tells the owner that the run does not go, also if its answer to the ask was lost.
func (p *Permit) withdraw() {
	if p.request.Run != "" {
		p.End(Unproven, "")
	}
	p.request.Run = ""
}

// End reports the run's end. For a lost upstream it returns once the owner knows or cannot be
// reached: the next run of the request must not ask before.
func (p *Permit) End(outcome Outcome, upstream string) {
	g := p.guard
	end := End{
		Fingerprint: p.request.Fingerprint, Run: p.request.Run, Outcome: outcome,
		Upstream: upstream, Subject: p.subject, Strikes: p.verdict.Strikes,
	}
	if outcome == Lost || p.owner == g.opts.VM {
		g.recordEnd(end) // a strike on this VM too, so that it outlives the owner
	} else {
		g.forget(end)
	}
	switch payload := message.Encode(end); {
	case p.owner == g.opts.VM:
	case outcome == Lost:
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		_, _ = g.opts.Network.Call(ctx, p.owner, MethodEnd, payload)
	default:
		g.opts.Network.Send(p.owner, KindEnd, payload)
	}
}

// forget ends a run of this VM whose owner is another.
func (g *Guard) forget(end End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arbiter.Forget(end)
}
