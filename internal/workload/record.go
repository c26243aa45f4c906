package workload

import (
	"context"
	"strings"
	"sync"
	"time"

	"egretramp/internal/fakes"
	"egretramp/internal/refusal"
)

// Probe says that an attempt was no part of the program but a test of the system.
type Probe string

// The probes.
const (
	// NoProbe marks the program's own attempts.
	NoProbe Probe = ""
	// ProbeResend sends a turn again that was answered: the same answer must come.
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
	Status int    // 0 if no answer came
	Code   string // of a refusal
	// NotRun of a refusal; empty if there was none.
	NotRun refusal.NotRun `json:",omitempty"`
	// Retry is how long the refusal says to wait; 0: trying again does not help.
	Retry time.Duration
	// Whole says that the answer was complete.
	Whole bool
	// Text is a chat's answer or a service's body.
	Text string
	// Raw is the body of an answer that was not streamed.
	Raw string
	// Err is a transport error.
	Err string
}

// Answered reports whether the attempt brought a whole answer.
func (a Attempt) Answered() bool {
	return a.Status == 200 && a.Whole
}

// mayHaveRun reports whether the system has not said that the attempt did not run.
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

// Answer returns the program's own attempt that was answered, or nil.
func (c *Call) Answer() *Attempt {
	for i := range c.Attempts {
		if c.Attempts[i].Probe == NoProbe && c.Attempts[i].Answered() {
			return &c.Attempts[i]
		}
	}
	return nil
}

// Outcome is how a program ended for its caller.
type Outcome struct {
	Program  *Program
	Start    time.Time
	End      time.Time
	Finished bool
	// Reason says why it did not finish.
	Reason string
	// Refused is the attempt whose refusal ended the program, if one did.
	Refused *Attempt
	// Abandoned says that its caller left without ending it, as planned.
	Abandoned bool
}

// Recorder keeps what callers saw. It is safe for concurrent use.
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

// Outcomes returns how the programs ended.
func (r *Recorder) Outcomes() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Outcome(nil), r.outcomes...)
}

// Cut reports whether the connection broke after the VM had accepted it. A caller's own
// timeout is none.
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
