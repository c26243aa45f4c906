package workload

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"
)

// StepKind is the kind of call that a step makes.
type StepKind string

// The kinds of steps.
const (
	Chat    StepKind = "chat"
	Service StepKind = "service"
	// Resource marks records of calls to the programs resource; no step has this kind.
	Resource StepKind = "resource"
)

// Program is a chain of dependent calls that one caller makes.
type Program struct {
	Account    string // canonical ID
	Name       string
	Parent     string // name of the program that it is a sub-agent of
	Deployment string
	Model      string // canonical ID
	// System is the first message of its conversation.
	System string
	Tokens int64 // budget
	Calls  int64 // budget
	// Deadline is the program's time limit from its creation; 0: none is requested.
	Deadline time.Duration
	Steps    []Step
	// Abandon is the index of the step before which the caller leaves without ending the program;
	// 0: none.
	Abandon int
}

// Step is one call of a program.
type Step struct {
	Kind StepKind
	// Pause is the time that the caller's own tools take before the call.
	Pause time.Duration
	// Name is the model or service, under any of its names.
	Name string

	Text      string // chat: the user's next message
	MaxTokens int    // chat; 0: none is requested
	Stream    bool   // chat

	ServiceID string // service: canonical ID
	Path      string // service
	Body      []byte // service: unique to the call

	// Child is a sub-agent that starts before the call and must end before the next step.
	Child *Program
}

// Generator generates random programs. The same seed gives the same programs.
type Generator struct {
	random     *rand.Rand
	deployment Deployment
	names      map[string][]string
	serial     int
	// PauseScale multiplies the tool pauses. Default 1, with a median pause of 20 ms.
	PauseScale float64
	// MaxTurns limits a program's chat turns; 0: only the deployment's limit applies.
	MaxTurns int
}

// Budgets of generated programs, large enough that none is refused for its budget.
const (
	programTokens   = 500_000
	programCalls    = 400
	programDeadline = 10 * time.Minute
)

const (
	medianPause    = 20 * time.Millisecond
	pauseSpread    = 0.8 // sigma of the log-normal pause
	maxPauseFactor = 25  // longest pause as a multiple of the median
)

var textWords = strings.Fields(`wig lace fitting opera opening deposit quote carnival gate tally
	mall beach hotel count desk morning evening counter ledger queue seat row colour curl`)

// NewGenerator returns a generator of a deployment's programs.
func NewGenerator(seed int64, d Deployment) *Generator {
	g := &Generator{random: rand.New(rand.NewSource(seed)), deployment: d, names: map[string][]string{}, PauseScale: 1}
	g.names[d.Model.ID] = AllNames(d.Model.Named)
	for _, s := range d.Services {
		g.names[s.ID] = AllNames(s.Named)
	}
	return g
}

// Next generates a program.
func (g *Generator) Next() *Program {
	a := g.account()
	g.serial++
	p := g.program(a, fmt.Sprintf("%s-%d", g.deployment.Name, g.serial), g.turns(g.deployment.shape.minTurns))
	if g.random.Float64() < g.deployment.shape.childPart {
		p.Steps[g.random.Intn(len(p.Steps))].Child = g.child(p)
	}
	return p
}

func (g *Generator) child(p *Program) *Program {
	c := g.program(p.Account, p.Name+"-sub", g.turns(1))
	c.Parent = p.Name
	// A part of the parent's budget; the parent's own calls need the rest.
	c.Tokens, c.Calls = programTokens/4, programCalls/4
	return c
}

func (g *Generator) account() string {
	total := 0.0
	for _, a := range g.deployment.Accounts {
		total += a.Share
	}
	at := g.random.Float64() * total
	for _, a := range g.deployment.Accounts {
		at -= a.Share
		if at < 0 {
			return a.ID
		}
	}
	return g.deployment.Accounts[0].ID
}

// turns draws the number of chat turns from a Pareto distribution.
func (g *Generator) turns(least int) int {
	s := g.deployment.shape
	limit := s.maxTurns
	if g.MaxTurns > 0 {
		limit = min(limit, g.MaxTurns)
	}
	n := float64(least) / math.Pow(1-g.random.Float64(), 1/s.turnsTail)
	return min(int(n), limit)
}

func (g *Generator) program(account, name string, turns int) *Program {
	p := &Program{
		Account:    account,
		Name:       name,
		Deployment: g.deployment.Name,
		Model:      g.deployment.Model.ID,
		System:     fmt.Sprintf("program %s of %s", name, account),
		Tokens:     programTokens,
		Calls:      programCalls,
		Deadline:   programDeadline,
	}
	tools := 0
	for i := range max(turns, 1) {
		p.Steps = append(p.Steps, g.chat())
		if g.random.Float64() < g.deployment.shape.toolPart {
			p.Steps = append(p.Steps, g.tool(p))
			tools++
		}
		if i == 0 && tools == 0 {
			p.Steps = append(p.Steps, g.tool(p))
			tools++
		}
	}
	return p
}

func (g *Generator) chat() Step {
	return Step{
		Kind:   Chat,
		Pause:  g.pause(),
		Name:   g.anyName(g.deployment.Model.ID),
		Text:   g.text(),
		Stream: g.random.Float64() < g.deployment.shape.streamPart,
	}
}

// toolBody makes each call's body unique to account, program and step.
type toolBody struct {
	Account string `json:"account"`
	Program string `json:"program"`
	Step    int    `json:"step"`
	Amount  int    `json:"amount"`
}

func (g *Generator) tool(p *Program) Step {
	s := g.deployment.Services[g.random.Intn(len(g.deployment.Services))]
	paths := g.deployment.Tools[s.ID]
	body := mustJSON(toolBody{p.Account, p.Name, len(p.Steps) + 1, g.random.Intn(1000)})
	return Step{
		Kind:      Service,
		Pause:     g.pause(),
		Name:      g.anyName(s.ID),
		ServiceID: s.ID,
		Path:      paths[g.random.Intn(len(paths))],
		Body:      body,
	}
}

func (g *Generator) anyName(id string) string {
	names := g.names[id]
	return names[g.random.Intn(len(names))]
}

func (g *Generator) pause() time.Duration {
	factor := min(math.Exp(g.random.NormFloat64()*pauseSpread), maxPauseFactor)
	return time.Duration(factor * g.PauseScale * float64(medianPause))
}

func (g *Generator) text() string {
	typical := float64(g.deployment.shape.messageWords)
	n := max(1, int(typical*math.Exp(g.random.NormFloat64()*pauseSpread)))
	words := make([]string, n)
	for i := range words {
		words[i] = textWords[g.random.Intn(len(textWords))]
	}
	return strings.Join(words, " ")
}

// Mix generates n programs with each generator and returns them shuffled by the seed.
func Mix(seed int64, n int, generators ...*Generator) []*Program {
	var all []*Program
	for _, g := range generators {
		for range n {
			all = append(all, g.Next())
		}
	}
	random := rand.New(rand.NewSource(seed))
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return slices.Clip(all)
}

// Rename changes the name of a program that has not run yet and renames its sub-agents after it.
func (p *Program) Rename(name string) {
	p.Name = name
	p.System = fmt.Sprintf("program %s of %s", name, p.Account)
	for i := range p.Steps {
		s := &p.Steps[i]
		if s.Kind == Service {
			s.Body = renamedBody(s.Body, name)
		}
		if s.Child != nil {
			s.Child.Parent = name
			s.Child.Rename(name + "-sub")
		}
	}
}

func renamedBody(body []byte, program string) []byte {
	var b toolBody
	if err := json.Unmarshal(body, &b); err != nil {
		panic(err)
	}
	b.Program = program
	return mustJSON(b)
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("workload: cannot encode: " + err.Error())
	}
	return data
}
