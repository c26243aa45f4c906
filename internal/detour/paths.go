// Package detour decides how an entry VM reaches upstreams: directly, or through another entry VM while a partition
// separates it from upstreams that the other one reaches. What fails for both isn't a partition of this VM: the
// upstream is down, or silent for a moment.
//
// Paths is the decision without input and output; Dialer opens connections by it.
package detour

import (
	"sync"
	"time"
)

// Result is the outcome of opening a connection.
type Result int

// The values of a Result.
const (
	NotTried  Result = iota
	Connected        // the connection is open
	Refused          // the host, or something on the way, refused at once
	Silent           // nothing came back in time
)

const (
	// retryDirectAfter is how long an upstream is reached by detours only, since the direct path last failed.
	retryDirectAfter = time.Second
	// evidenceLifetime is how long a direct path that failed while a detour worked is evidence of a partition.
	evidenceLifetime = 2 * time.Second
	// surveySize is the number of upstreams that a survey dials.
	surveySize = 4
)

// Attempt is what is known of one upstream at about the same moment.
type Attempt struct {
	Address string
	Direct  Result
	Detour  Result
}

// disagrees reports whether another VM reached an upstream that this VM failed to reach.
func (a Attempt) disagrees() bool {
	return (a.Direct == Refused || a.Direct == Silent) && a.Detour == Connected
}

// Change is the consequence of an observation.
type Change int

// The changes.
const (
	None      Change = iota
	Suspected        // other upstreams should be surveyed
	CutOff           // this VM reaches no upstream itself
	Healed           // this VM reaches upstreams again
)

// Paths holds which upstreams this VM can't reach itself. It is safe for concurrent use; now is a monotonic time.
type Paths struct {
	mu     sync.Mutex
	failed map[string]failure // by address; direct paths that failed while a detour worked
	cut    bool
	silent bool // packets are dropped, rather than connections refused; meaningful while cut
}

// failure is the last failure of a direct path.
type failure struct {
	at     time.Duration
	silent bool
}

// NewPaths returns a Paths for a VM that reaches all upstreams.
func NewPaths() *Paths { return &Paths{failed: map[string]failure{}} }

// Detoured reports whether connections to an upstream should be opened through another VM.
func (p *Paths) Detoured(now time.Duration, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, failed := p.failed[address]
	return p.cut || failed && now-f.at < retryDirectAfter
}

// Cut reports whether this VM reaches no upstream itself, and whether packets are dropped.
func (p *Paths) Cut() (cut, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.cut && p.silent
}

// Observe records an attempt to reach an upstream.
func (p *Paths) Observe(now time.Duration, a Attempt) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case a.Direct == Connected:
		delete(p.failed, a.Address)
		if p.cut {
			p.cut = false
			clear(p.failed)
			return Healed
		}
	case a.disagrees():
		p.failed[a.Address] = failure{at: now, silent: a.Direct == Silent}
		if !p.cut {
			return Suspected
		}
	case a.Direct != NotTried && a.Detour != NotTried:
		delete(p.failed, a.Address) // the other VM doesn't reach it either
	}
	return None
}

// Survey records attempts to reach other upstreams than the one that raised a suspicion, at most surveySize. The VM is
// cut off if none was reached directly, and if detours reached at least two upstreams, or the only one.
func (p *Paths) Survey(now time.Duration, attempts []Attempt) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return None
	}
	direct := false
	for _, a := range attempts {
		switch {
		case a.Direct == Connected:
			direct = true
			delete(p.failed, a.Address)
		case a.disagrees():
			p.failed[a.Address] = failure{at: now, silent: a.Direct == Silent}
		}
	}
	evidence, silent := 0, 0
	for address, f := range p.failed {
		if now-f.at > evidenceLifetime {
			delete(p.failed, address)
			continue
		}
		evidence++
		if f.silent {
			silent++
		}
	}
	if direct || evidence == 0 || evidence < min(2, len(attempts)+1) {
		return None
	}
	p.cut, p.silent = true, 2*silent > evidence
	return CutOff
}
