package suspect

import (
	"context"
	"crypto/rand"
	"encoding/json"
	mathrand "math/rand/v2"
	"time"

	"egretramp/internal/message"
)

// Permit allows one run. End must be called exactly once.
type Permit struct {
	guard       *Guard
	request     RunRequest
	owner       string
	verdict     Verdict
	requestedAt time.Duration // when the owner was sent the request
	subject     string
}

// Alone reports whether the run should have exclusive use of an upstream.
func (p *Permit) Alone() bool { return p.verdict.Alone }

// Valid reports whether a run that has waited in a queue may still start.
func (p *Permit) Valid() bool {
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arbiter.IsValid(g.opts.Clock(), p.requestedAt, p.request.Fingerprint, p.verdict)
}

// Enter waits for permission to run a request. subject describes the request to operators. It returns
// ErrQuarantined, ErrCutOff or, if ctx ends first, ErrWaited.
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

// jitter randomizes a backoff, so that VMs do not send their requests simultaneously.
func jitter(d time.Duration) time.Duration { return d/2 + mathrand.N(d/2) }

func (g *Guard) rejects(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arbiter.Rejects(g.opts.Clock(), f)
}

// requestFromOwner sends the request to the current owner of the fingerprint. An unreachable owner is
// not replaced before it counts as dead, because until then it may admit runs.
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

// setVerdict stores the owner's verdict. A request is repeated with the same run ID only if its response
// was lost; otherwise a release that the owner sends for the earlier run could drop the later one.
func (p *Permit) setVerdict(v Verdict) {
	p.verdict = v
	if v.State != Go {
		p.request.Run = ""
	}
}

// accept records the run as in progress, or withdraws it if it must not start.
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

// withdraw reports to the owner that the run does not start, also if the owner's response was lost.
func (p *Permit) withdraw() {
	if p.request.Run != "" {
		p.End(Unproven, "")
	}
	p.request.Run = ""
}

// End reports the end of the run. If the upstream was lost, it returns only after the owner has
// recorded that or could not be reached, because the next run of the request must not be requested
// earlier.
func (p *Permit) End(outcome Outcome, upstream string) {
	g := p.guard
	end := End{
		Fingerprint: p.request.Fingerprint, Run: p.request.Run, Outcome: outcome,
		Upstream: upstream, Subject: p.subject, Strikes: p.verdict.Strikes,
	}
	if outcome == Lost || p.owner == g.opts.VM {
		g.recordEnd(end) // record a strike on this VM too, in case the owner is lost
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

// forget drops a run of this VM whose owner is another VM.
func (g *Guard) forget(end End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arbiter.Forget(end)
}
