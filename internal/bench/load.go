package bench

import (
	"math"
	"math/rand"
	"strings"
	"time"

	"egretramp/internal/workload"
)

// Sizes of the programs, which have the shape of package workload's deployments.
const (
	systemTokens  = 500 // tokens of a program's first message
	tokensPerWord = 10  // tokens for each word of the workload's messages
	toolTokens    = 100 // tokens of a tool's result
	medianAnswer  = 80.0
	answerSpread  = 0.6 // sigma of the log-normal length
	maxAnswer     = 256 // tokens; the largest answer that callers request
	toolTime      = 50 * time.Millisecond
	pauseScale    = 10 // median tool pause 200 ms
	// quotePart is the fraction of programs that consist of one call.
	quotePart = 0.2
	// latePart is the fraction of turns delayed by a further latePause, as if the caller had been
	// away.
	latePart  = 0.02
	latePause = 30 * time.Second
)

// Shares of the accounts: largeCount are large, the others small. The last small account sends
// noisyFactor times its usual load and is limited to noisyRate times its usual load.
const (
	noisyFactor = 6.0
	noisyRate   = 1.5
	largeWeight = 3.0
	largeShare  = 6.0
	largeCount  = 2
)

// programSpec is a program, which is the same under all policies.
type programSpec struct {
	name, account string
	weight        float64
	noisy         bool
	arrival       time.Duration
	turns         []turn
}

// turn is a model call, the pause before it and the sub-agent that starts with it.
type turn struct {
	pause  time.Duration
	prompt int64 // tokens that the turn adds to the prompt
	answer int64
	child  *programSpec // starts with the call and ends before the next turn
}

// load holds the programs of a run.
type load struct {
	programs []*programSpec
	accounts []string
	weights  map[string]float64
	// requestRate is the rate limit of the noisy account, in requests per second.
	requestRate float64
	noisy       string
}

// generate draws the programs that arrive within a duration. part is the load as a fraction of
// the fleet's capacity if each prefix were computed once.
func generate(seed int64, d workload.Deployment, part float64, duration time.Duration, m EngineModel, replicas int) *load {
	random := rand.New(rand.NewSource(seed))
	last := len(d.Accounts) - 1
	l := &load{weights: map[string]float64{}, noisy: d.Accounts[last].ID}
	d.Accounts[last].Share *= noisyFactor
	sent, admitted := 0.0, 0.0
	for i := range d.Accounts {
		a := &d.Accounts[i]
		l.accounts = append(l.accounts, a.ID)
		l.weights[a.ID] = 1
		if i < largeCount {
			l.weights[a.ID] = largeWeight
		}
		sent += a.Share
		admitted += a.Share
	}
	admitted += d.Accounts[last].Share * (noisyRate/noisyFactor - 1)
	g := workload.NewGenerator(seed, d)
	g.PauseScale = pauseScale
	work, turns := meanWork(seed, d, m)
	perShare := part * float64(replicas) / work / admitted
	l.requestRate = perShare * d.Accounts[last].Share / noisyFactor * noisyRate * turns
	for t := 0.0; ; {
		t += random.ExpFloat64() / (perShare * sent)
		at := time.Duration(t * float64(time.Second))
		if at >= duration {
			return l
		}
		p := l.spec(random, g.Next())
		p.arrival = at
		l.programs = append(l.programs, p)
	}
}

// meanWork returns a program's mean work, in seconds of one engine with a full batch, and its
// mean number of requests.
func meanWork(seed int64, d workload.Deployment, m EngineModel) (seconds, requests float64) {
	const sample = 4000
	random := rand.New(rand.NewSource(seed + 1))
	g := workload.NewGenerator(seed+1, d)
	l := &load{weights: map[string]float64{}}
	for range sample {
		w, n := l.spec(random, g.Next()).work(m)
		seconds += w.Seconds() / sample
		requests += float64(n) / sample
	}
	return seconds, requests
}

func (s *programSpec) work(m EngineModel) (time.Duration, int) {
	total, requests := time.Duration(0), 0
	for _, t := range s.turns {
		total += time.Duration(t.prompt)*m.PrefillPerToken + time.Duration(t.answer)*m.fullStep()/time.Duration(m.Slots)
		requests++
		if t.child != nil {
			w, n := t.child.work(m)
			total += w
			requests += n
		}
	}
	return total, requests
}

// spec converts a workload program to its model calls.
func (l *load) spec(random *rand.Rand, p *workload.Program) *programSpec {
	s := &programSpec{name: p.Name, account: p.Account, weight: l.weights[p.Account], noisy: p.Account == l.noisy}
	quote := p.Parent == "" && random.Float64() < quotePart
	next := turn{prompt: systemTokens}
	for _, step := range p.Steps {
		next.pause += step.Pause
		if step.Child != nil {
			next.child = l.spec(random, step.Child)
		}
		if step.Kind == workload.Service {
			next.pause += toolTime
			next.prompt += toolTokens
			continue
		}
		if random.Float64() < latePart {
			next.pause += latePause
		}
		next.prompt += int64(tokensPerWord * len(strings.Fields(step.Text)))
		next.answer = drawAnswer(random)
		s.turns = append(s.turns, next)
		next = turn{}
		if quote {
			return s
		}
	}
	return s
}

// quote reports whether the program consists of one call.
func (s *programSpec) quote() bool { return len(s.turns) == 1 && s.turns[0].child == nil }

func drawAnswer(random *rand.Rand) int64 {
	n := medianAnswer * math.Exp(random.NormFloat64()*answerSpread)
	return int64(min(max(n, 1), maxAnswer))
}
