package program

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// simulation is a seeded run: two replicas, entry VMs that own attempts, callers that send again
// through other VMs, upstreams that count what ran, and a log that loses and repeats.
type simulation struct {
	t                  *testing.T
	random             *rand.Rand
	seed               uint64
	home               Home
	step               int
	nowMS              int64
	index              uint64
	replicaA, replicaB *Machine
	vms                []*simVM
	pending            []*proposal // proposed, not answered
	delayed            [][]byte    // copies that may still arrive
	callers            []*caller
	engines            []*simEngine
	attempts           int
	startedAt          map[string]int    // attempt -> step it was started in by the machine
	runs               map[string]int    // request -> times an upstream ran it
	notRunClaims       map[string]int    // request -> step of the last claim that it did not run
	revoked            map[string]bool   // attempts whose revocation was acknowledged
	generated          map[string]string // answer made by an upstream -> request
	firstAnswers       map[string][]byte // request -> first answer that a caller saw
	tokens             map[string]int64  // root program -> tokens that upstreams used
	counts             map[string]int    // what the run came across
}

type simVM struct {
	owner Owner
	skew  int64
	calls []*simCall
}

// simCall is a call on an entry VM.
type simCall struct {
	vm       *simVM
	from     *caller
	begin    Begin
	request  string
	started  *Started
	written  bool
	settling bool
	engine   *simEngine
	used     *Residency
}

type proposal struct {
	vm    *simVM
	call  *simCall // of a Begin
	data  []byte
	reply func(*Result)
}

// caller drives one program, one turn after the other.
type caller struct {
	requestedName      string // the name it asked for
	name, root, parent string
	depth              int
	sentMS             int64 // when the turn was first sent; 0: not yet
	answeredMS         int64 // when it last was answered; 0: never
	turn               uint64
	waiting            *simCall
	ended              bool
	nonRepeatable      bool // the turn is not repeatable
	chat               bool
	keyed              bool // names the turn by an idempotency key
	oneCall            bool // each turn is a program of its own
	variant            int
	unreliable         bool              // it sent a wrong number, or dropped an unnumbered request: its own history says nothing
	answers            map[uint64][]byte // answers by turn
	history            [][]byte
}

type simEngine struct {
	name        string
	incarnation int64
	sessions    map[string]bool
}

const (
	simTokens      = 500
	simStartMS     = 1_000_000
	simReserve     = 100
	simRetentionMS = 600_000
	// simRetryWindowMS is how long a turn may be sent again: the retention less the age of commands.
	simRetryWindowMS = simRetentionMS - 120_000 - 10_000
)

var simLimits = Limits{
	Lease: 15e9, MaxCommandAge: 120e9, IdleRelease: 60e9, IdleExpire: 600e9, Retention: simRetentionMS * 1e6,
	ReportAge: 15e9, MaxPrograms: 7, MaxBytes: 1 << 20, MaxDepth: 4,
}

// simHomes are the homes that runs are made for in turn; simToken is that of a zone's group.
var simHomes = []Home{MajorityHome, "z1"}

const simToken = "0123456789abcdef"

func (w *simulation) machine() *Machine {
	if w.home == MajorityHome {
		return New(simLimits)
	}
	return NewForZone(w.home, simLimits)
}

// programName returns a program's name as callers know it.
func (w *simulation) programName(name string) string {
	if w.home == MajorityHome {
		return name
	}
	return qualifiedName{zone: w.home, token: simToken, name: name}.String()
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), nowMS: simStartMS,
		home:      simHomes[seed%uint64(len(simHomes))],
		startedAt: map[string]int{}, runs: map[string]int{}, notRunClaims: map[string]int{},
		revoked: map[string]bool{}, generated: map[string]string{}, firstAnswers: map[string][]byte{}, tokens: map[string]int64{}, counts: map[string]int{},
	}
	w.replicaA, w.replicaB = w.machine(), w.machine()
	w.replicaA.EnableChecks()
	for i := range 3 {
		w.vms = append(w.vms, &simVM{owner: Owner{VM: fmt.Sprint("vm", i), Incarnation: 1}, skew: w.random.Int64N(4000) - 2000})
		w.engines = append(w.engines, &simEngine{name: fmt.Sprint("engine", i), incarnation: 1, sessions: map[string]bool{}})
	}
	for i := range 3 {
		w.addCaller(fmt.Sprint("p", i), "")
	}
	if w.home != MajorityHome {
		return w // one-call programs live in the majority group
	}
	single := &caller{name: "single", turn: 1, oneCall: true, unreliable: true, answers: map[uint64][]byte{}}
	single.nextTurn(w)
	w.callers = append(w.callers, single)
	return w
}

func (w *simulation) failf(format string, args ...any) {
	w.t.Fatalf("seed %d step %d: %s", w.seed, w.step, fmt.Sprintf(format, args...))
}

func (w *simulation) chance(percent int) bool { return w.random.IntN(100) < percent }

func pick[T any](w *simulation, list []T) T { return list[w.random.IntN(len(list))] }

// apply applies one entry to both replicas, which must answer alike.
func (w *simulation) apply(data []byte) *Result {
	w.index++
	one := w.replicaA.Apply(w.index, data)
	two := w.replicaB.Apply(w.index, data)
	if !bytes.Equal(one, two) {
		w.failf("replicas differ: %s and %s", one, two)
	}
	var res Result
	require.NoError(w.t, json.Unmarshal(one, &res))
	if res.Code == CodeBadCommand {
		w.failf("bad command: %s", res.Detail)
	}
	w.counts[string(res.Code)]++
	if res.Started != nil && w.revoked[res.Started.Attempt] {
		w.failf("%s was started after it was revoked", res.Started.Attempt)
	}
	if res.Started != nil && w.startedAt[res.Started.Attempt] == 0 {
		w.startedAt[res.Started.Attempt] = w.step + 1
	}
	return &res
}

func (w *simulation) encode(vm *simVM, env Envelope) []byte {
	env.TimeMS = w.nowMS + vm.skew
	data, err := json.Marshal(env)
	require.NoError(w.t, err)
	return data
}

func (w *simulation) propose(vm *simVM, env Envelope, reply func(*Result)) {
	w.pending = append(w.pending, &proposal{vm: vm, data: w.encode(vm, env), reply: reply})
}

// deliver lets one proposal through, loses it or its answer, or repeats it.
func (w *simulation) deliver() {
	if len(w.pending) == 0 {
		return
	}
	i := w.random.IntN(len(w.pending))
	p := w.pending[i]
	if w.chance(10) {
		w.delayed = append(w.delayed, p.data)
	}
	if w.chance(10) {
		return // lost; proposed again
	}
	res := w.apply(p.data)
	if w.chance(10) {
		return // the answer is lost; proposed again
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	p.reply(res)
}

func (w *simulation) deliverDelayed() {
	if len(w.delayed) == 0 {
		return
	}
	i := w.random.IntN(len(w.delayed))
	w.apply(w.delayed[i])
	if w.chance(60) {
		w.delayed = slices.Delete(w.delayed, i, i+1)
	}
}

// crashVM loses a VM with all that it knows; its proposals may still arrive.
func (w *simulation) crashVM() {
	i := w.random.IntN(len(w.vms))
	old := w.vms[i]
	for _, c := range old.calls {
		if c.from.waiting == c {
			c.from.waiting = nil
		}
	}
	keep := w.pending[:0:0]
	for _, p := range w.pending {
		if p.vm != old {
			keep = append(keep, p)
		} else if w.chance(50) {
			w.delayed = append(w.delayed, p.data)
		}
	}
	w.pending = keep
	fresh := &simVM{owner: Owner{VM: old.owner.VM, Incarnation: old.owner.Incarnation + 1}, skew: w.random.Int64N(4000) - 2000}
	w.vms[i] = fresh
	w.counts["died"]++
	if w.chance(50) {
		w.propose(fresh, Envelope{OwnerLost: &OwnerLost{Owner: old.owner}}, func(*Result) {})
	}
}

func (w *simulation) advanceTime() {
	switch w.random.IntN(20) {
	case 0:
		w.nowMS += pick(w, []int64{130_000, 130_000, 130_000, 650_000})
	case 1, 2, 3:
		w.nowMS += 16_000
	default:
		w.nowMS += w.random.Int64N(3000)
	}
	vm := pick(w, w.vms)
	w.apply(w.encode(vm, Envelope{Tick: &Tick{}}))
}

func (w *simulation) renew() {
	vm := pick(w, w.vms)
	ids := []string{}
	for _, c := range vm.calls {
		if c.started != nil {
			ids = append(ids, c.begin.Attempt)
		}
	}
	w.propose(vm, Envelope{Renew: &Renew{Owner: vm.owner, Attempts: ids}}, func(*Result) {})
}

// restoreReplica replaces a replica's state by a snapshot of either.
func (w *simulation) restoreReplica() {
	one, err := w.replicaA.Snapshot()
	require.NoError(w.t, err)
	two, err := w.replicaB.Snapshot()
	require.NoError(w.t, err)
	if !bytes.Equal(one, two) {
		w.failf("snapshots differ:\n%s\n%s", one, two)
	}
	fresh := w.machine()
	require.NoError(w.t, fresh.Restore(one))
	if w.chance(50) {
		fresh.EnableChecks()
		w.replicaA = fresh
		return
	}
	w.replicaB = fresh
}

func (w *simulation) run(steps int) {
	for w.step = range steps {
		switch n := w.random.IntN(100); {
		case n < 25:
			w.callerStep()
		case n < 60:
			w.deliver()
		case n < 80:
			w.ownerStep()
		case n < 83:
			w.deliverDelayed()
		case n < 88:
			w.advanceTime()
		case n < 91:
			w.renew()
		case n < 96:
			w.engineStep()
		case n < 97:
			w.crashVM()
		case n < 98:
			w.restoreReplica()
		default:
			w.controlStep()
		}
	}
	w.finish()
}

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the random runs")
	seedCount = flag.Uint64("seeds", 1000, "number of random runs")
)

func runSeeds(t *testing.T, from, to uint64) map[string]int {
	counts := map[string]int{}
	for seed := from; seed < to; seed++ {
		w := newSimulation(t, seed)
		w.run(250)
		for what, n := range w.counts {
			counts[what] += n
		}
	}
	return counts
}

// TestMachine_RandomRuns checks the rules of the package over seeded runs. Each outcome that
// the rules are about has to come up, or the run proves nothing.
func TestMachine_RandomRuns(t *testing.T) {
	counts := runSeeds(t, *firstSeed, *firstSeed+*seedCount)
	t.Log(counts)
	if *seedCount < 1000 {
		return // too few for each outcome to come up
	}
	for _, code := range []Code{
		CodeOK, CodeBusy, CodeOutOfOrder, CodeTurnConflict, CodeBudgetExceeded, CodeHistoryMismatch, CodeUnknownOutcome,
		CodeEnded, CodeExpired, CodeNoProgram, CodeTooMany, CodeSuperseded, CodeOwnerFenced, CodeStale,
	} {
		require.NotZero(t, counts[string(code)], "%s never came up", code)
	}
	for _, what := range []string{"ran", "ran again", "not run", "answered", "released", "late run", "died", "abandoned"} {
		require.NotZero(t, counts[what], "%q never came up", what)
	}
}
