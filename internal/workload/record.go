package workload

import (
	"context"
	"strings"
	"sync"
	"time"

	"egretramp/internal/fakes"
	"egretramp/internal/refusal"
)

// Probe is the kind of an attempt that tests the system and is not part of the program.
type Probe string

// The kinds of probes.
const (
	// NoProbe marks the program's own attempts.
	NoProbe Probe = ""
	// ProbeResend repeats an answered turn: the answer must be the same.
	ProbeResend Probe = "resend"
	// ProbeAhead sends a turn that is not due: it must be refused as not run.
	ProbeAhead Probe = "ahead"
)

// Attempt is one HTTP request that a caller sent.
type Attempt struct {
	Probe  Probe
	VM     string
	Start  time.Time
	End    time.Time
	Status int    // 0 if there was no response
	Code   string // of a refusal
	// NotRun of a refusal; empty if there was none.
	NotRun refusal.NotRun `json:",omitempty"`
	// Retry is the delay that the refusal gives for a retry; 0: a retry does not help.
	Retry time.Duration
	// Whole reports whether the answer was complete.
	Whole bool
	// Text is the text of a chat's answer or the body of a service's.
	Text string
	// Raw is the body of an answer that was not streamed.
	Raw string
	// Err is a transport error or a response that could not be decoded.
	Err string
}

// Answered reports whether the attempt got a complete answer.
func (a Attempt) Answered() bool {
	return a.Status == 200 && a.Whole
}

// mayHaveRun reports whether the attempt was not refused as not run.
func (a Attempt) mayHaveRun() bool {
	return a.NotRun != refusal.True
}

// Call is a caller's record of one turn.
type Call struct {
	Account   string
	Program   string
	Turn      int
	Kind      StepKind
	Model     string          // chat: canonical ID
	Messages  []fakes.Message // chat: the whole conversation sent
	MaxTokens int             // chat
	Stream    bool            // chat
	Service   string          // service: canonical ID
	Path      string          // service: path below the service's name
	BodyHash  string          // service
	Attempts  []Attempt
}

// Answer returns the first answered attempt that is not a probe, or nil.
func (c *Call) Answer() *Attempt {
	for i := range c.Attempts {
		if c.Attempts[i].Probe == NoProbe && c.Attempts[i].Answered() {
			return &c.Attempts[i]
		}
	}
	return nil
}

// Outcome is the result of a program as its caller recorded it.
type Outcome struct {
	Program  *Program
	Start    time.Time
	End      time.Time
	Finished bool
	// Reason is why the program did not finish.
	Reason string
	// Refused is the attempt whose refusal ended the program, if one did.
	Refused *Attempt
	// Abandoned reports whether the caller left without ending the program, as planned.
	Abandoned bool
}

// Recorder stores the records of callers. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	calls    []*Call
	outcomes []Outcome
}

func (r *Recorder) addCall(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

func (r *Recorder) addOutcome(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// Calls returns the records of all turns that ended.
func (r *Recorder) Calls() []*Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Call(nil), r.calls...)
}

// Outcomes returns the outcomes of all programs that ended.
func (r *Recorder) Outcomes() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Outcome(nil), r.outcomes...)
}

// Cut reports whether the connection broke after the VM had accepted it. A caller's own
// timeout or cancellation does not count.
func (a Attempt) Cut() bool {
	if a.Err == "" || a.Code != "" {
		return false
	}
	for _, harmless := range []string{"connection refused", context.DeadlineExceeded.Error(), context.Canceled.Error()} {
		if strings.Contains(a.Err, harmless) {
			return false
		}
	}
	return true
}
