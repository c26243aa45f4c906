package workload

import (
	"encoding/json"
	"net/http"
	"strings"

	"egretramp/internal/fakes"
	"egretramp/internal/refusal"
)

// CheckFinished checks that every program finished.
func CheckFinished(e *Evidence) Result {
	r := Result{Name: "programs finished"}
	for _, o := range e.Outcomes {
		r.Tried++
		if !o.Finished {
			r.violate("%s/%s: %s", o.Program.Account, o.Program.Name, o.Reason)
		}
	}
	return r
}

// CheckAnswers checks that every answer is complete and the correct one for its request.
func CheckAnswers(e *Evidence) Result {
	r := Result{Name: "whole and own answers"}
	for _, c := range e.Calls {
		for _, a := range c.Attempts {
			if !a.Answered() || c.Kind == Resource {
				continue
			}
			r.Tried++
			if !c.isCorrect(a) {
				r.violate("%s through %s: answer %.80q", c, a.VM, a.Text)
			}
		}
	}
	return r
}

// isCorrect reports whether an answer is the one expected for the call.
func (c *Call) isCorrect(a Attempt) bool {
	if c.Kind == Chat {
		return a.Text == strings.Join(fakes.Answer(c.Model, c.Messages, c.MaxTokens), " ")
	}
	var reply fakes.ServiceReply
	if json.Unmarshal([]byte(a.Raw), &reply) != nil {
		return false
	}
	return reply.BodySHA256 == c.BodyHash && reply.Path == c.Path && reply.Method == http.MethodPost
}

// CheckResent checks that an answered turn gets the same answer when it is sent again.
func CheckResent(e *Evidence) Result {
	r := Result{Name: "answered turns answered from the record"}
	for _, c := range e.Calls {
		first := c.Answer()
		for _, a := range c.Attempts {
			if a.Probe != ProbeResend || first == nil || !a.Answered() {
				continue
			}
			r.Tried++
			if a.Text != first.Text || a.Raw != first.Raw {
				r.violate("%s: %.60q, then %.60q through %s", c, first.Raw+first.Text, a.Raw+a.Text, a.VM)
			}
		}
	}
	return r
}

// CheckAhead checks that a turn that is not due is refused as not run.
func CheckAhead(e *Evidence) Result {
	r := Result{Name: "turns ahead refused"}
	for _, c := range e.Calls {
		for _, a := range c.Attempts {
			if a.Probe != ProbeAhead || a.Status == 0 {
				continue
			}
			r.Tried++
			if a.Status == 200 || a.NotRun != refusal.True {
				r.violate("%s: status %d, not_run %q", c, a.Status, a.NotRun)
			}
		}
	}
	return r
}

// CheckRefusals checks that every refusal has a code and states whether the call ran.
func CheckRefusals(e *Evidence) Result {
	r := Result{Name: "refusals are explicit"}
	for _, c := range e.Calls {
		for _, a := range c.Attempts {
			if a.Status == 0 || a.Status/100 == 2 {
				continue
			}
			r.Tried++
			said := a.NotRun == refusal.True || a.NotRun == refusal.False || a.NotRun == refusal.Unknown
			if a.Code == "" || !said {
				r.violate("%s: status %d, code %q, not_run %q", c, a.Status, a.Code, a.NotRun)
			}
		}
	}
	return r
}

// CheckKeys checks that no upstream received a caller's key. A search that does not cover
// everything received, or a control search that finds nothing, proves nothing and counts as a
// violation.
func CheckKeys(e *Evidence) Result {
	r := Result{Name: "no key at upstreams"}
	for _, s := range e.Searches {
		r.Tried++
		switch {
		case s.Control && !s.Contains:
			r.violate("%s: the search misses what arrived", s.Upstream)
		case !s.Control && s.Contains:
			r.violate("%s received a key", s.Upstream)
		case !s.Control && !s.Complete:
			r.violate("%s: the search does not cover all that arrived", s.Upstream)
		}
	}
	return r
}
