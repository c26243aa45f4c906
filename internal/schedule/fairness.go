package schedule

import "time"

// Service is counted in tokens: a token that a call adds to its program's prompt counts 1, an
// answer token answerWeight, and each call callCost on top. Recomputing a prefix does not count,
// since it results from the scheduler's choices and from faults.
const (
	answerWeight = 4.0
	callCost     = 1.0
)

// maxLag bounds how far the counter of an account with waiting requests may fall behind the
// virtual time while its requests are held for an upstream. Service per unit of weight.
const maxLag = 20_000.0

// account is the fair-queueing state of a client account.
type account struct {
	name   string
	weight float64
	// counter is the service granted to the account, divided by its weight. It never decreases.
	counter float64
	// credit is service that was charged at grants but not used; it offsets later charges.
	credit  float64
	waiting int
	running int
	flows   []*flow // lanes in which the account has requests
	// inBacklog is the position in Pool.backlog.
	inBacklog int
	// checkedCounter is the counter at the last check of the invariants.
	checkedCounter float64
}

func (a *account) before(b *account) bool {
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	return a.name < b.name
}

func (a *account) dropFlow(f *flow) {
	for i := range a.flows {
		if a.flows[i] == f {
			last := len(a.flows) - 1
			a.flows[i] = a.flows[last]
			a.flows = a.flows[:last]
			return
		}
	}
}

// account returns the account of a request. A new account starts at the virtual time, so it is not
// compensated for service that it did not request earlier.
func (p *Pool) account(r *Request) *account {
	name, weight := r.Account, r.Weight
	if p.opts.Without.Fairness {
		name, weight = "", 1
	}
	a, ok := p.accounts[name]
	if !ok {
		a = &account{name: name, weight: 1, counter: p.virtualTime, inBacklog: notQueued}
		p.accounts[name] = a
	}
	if weight > 0 && weight != a.weight {
		p.setWeight(a, weight)
	}
	return a
}

// setWeight changes an account's weight for all later charges.
func (p *Pool) setWeight(a *account, weight float64) {
	if a.waiting > 0 {
		p.backlogWeight += weight - a.weight
	}
	a.weight = weight
}

// addWaiting increments the account's number of waiting requests.
func (p *Pool) addWaiting(a *account) {
	a.waiting++
	if a.waiting > 1 {
		return
	}
	// While the account had no waiting requests, it had no claim on the service that was granted.
	a.counter = max(a.counter, p.virtualTime)
	p.backlog.add(a)
	p.backlogWeight += a.weight
}

func (p *Pool) dropWaiting(a *account) {
	a.waiting--
	if a.waiting > 0 {
		return
	}
	p.backlog.remove(a)
	p.backlogWeight -= a.weight
	if p.backlog.Len() == 0 {
		p.backlogWeight = 0
	}
}

// charge adds service to an account's counter, after deducting its credit.
func (p *Pool) charge(a *account, service float64) {
	used := min(a.credit, service)
	a.credit -= used
	a.counter += (service - used) / a.weight
	for _, f := range a.flows {
		f.lane.flows.fix(f)
	}
	p.backlog.fix(a)
}

// settle corrects the charge of a call that ended. An overcharge becomes a credit, so that the
// counter never decreases.
func (p *Pool) settle(now time.Duration, c *call, o Outcome) {
	actual := c.charged
	switch {
	case o.ServedTokens > 0:
		answer := c.request.answerTokens(o)
		actual = serviceCost(max(o.ServedTokens-answer-c.priorTokens, 0), answer)
	case c.request.usesKV():
		// The engine's work on an aborted call is not known, so the charge is scaled by the call's
		// duration relative to the mean.
		actual *= p.estimate.fractionOfMean(now - c.startedAt)
	}
	if actual > c.charged {
		p.charge(c.account, actual-c.charged)
		return
	}
	c.account.credit += c.charged - actual
}

// serviceCost returns the service of a call, from the tokens that it adds to its program's prompt
// and the tokens of its answer.
func serviceCost(added, answer int64) float64 {
	return callCost + float64(added) + answerWeight*float64(answer)
}

// answerTokens returns the length of the answer. Tokens.
func (r *Request) answerTokens(o Outcome) int64 {
	if o.CompletionTokens > 0 {
		return o.CompletionTokens
	}
	return min(max(o.ServedTokens-r.PromptTokens, 0), r.MaxTokens)
}

// uncachedTokens returns the part of the prompt that the engine computed. Tokens.
func (r *Request) uncachedTokens(o Outcome) int64 {
	return max(o.ServedTokens-r.answerTokens(o)-o.CachedTokens, 0)
}

// maxSweptAccounts bounds the number of accounts that one sweep visits.
const maxSweptAccounts = 64

// sweep removes accounts that the pool no longer needs. An account whose counter is at or behind
// the virtual time would start again at the virtual time, so removing it changes nothing.
func (p *Pool) sweep() {
	looked := 0
	for name, a := range p.accounts {
		if looked++; looked > maxSweptAccounts {
			return
		}
		if a.waiting == 0 && a.running == 0 && (a.counter <= p.virtualTime || p.idle()) {
			delete(p.accounts, name)
		}
	}
}

// idle reports whether no request waits and no call runs.
func (p *Pool) idle() bool { return len(p.queue) == 0 && len(p.running) == 0 }
