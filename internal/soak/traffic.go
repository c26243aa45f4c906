package soak

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"egretramp/internal/harness"
	"egretramp/internal/workload"
)

// Parameters of the callers' traffic.
const (
	workers     = 20 // concurrent programs
	maxTurns    = 10 // chat turns of the longest program
	pauseScale  = 2  // factor for the programs' tool pauses
	probeShare  = 0.1
	attempts    = 400 // per turn, so that no turn is given up during a long fault
	callTimeout = 15 * time.Second
	// floodFactor is the ratio of a flooding account's request rate to floodRate.
	floodFactor = 4
	// withdrawnKeyPause is the pause between two calls through a VM with a key that will be
	// withdrawn.
	withdrawnKeyPause = 400 * time.Millisecond
	// longCallTime is the duration of long calls with such a key; they are in progress when it is
	// withdrawn.
	longCallTime = 8 * time.Second
	// unauthorizedPause is the pause between two rounds of calls that must be rejected.
	unauthorizedPause = time.Second
)

// Special kinds of programs: one in every everyLoop and one in every everyAbandon programs.
const (
	everyLoop    = 9  // loops until its budget ends it
	everyAbandon = 11 // its caller abandons it
	loopCalls    = 6  // budget of a looping program
	abandonAfter = 8 * time.Second
)

// Name prefixes of special programs.
const (
	loopPrefix    = "loop-"
	abandonPrefix = "left-"
)

// traffic generates all calls of a run.
type traffic struct {
	participants *participants
	vms          []*harness.VM
	seed         int64
	recorder     workload.Recorder
	caller       *workload.Caller

	mu         sync.Mutex
	generators []*workload.Generator
	generated  int
	serial     atomic.Int64
}

func newTraffic(c *participants, f *harness.Fleet, seed int64) *traffic {
	t := &traffic{participants: c, vms: f.VMs, seed: seed}
	t.caller = workload.NewCaller(workload.CallerOptions{
		VMs: f.CallerAddresses(), Keys: c.keys(), Seed: seed, Attempts: attempts,
		CallTimeout: callTimeout, ProbePart: probeShare, Persistent: true,
	}, &t.recorder)
	for i, d := range c.deployments {
		g := workload.NewGenerator(seed+int64(i), d)
		g.MaxTurns, g.PauseScale = maxTurns, pauseScale
		t.generators = append(t.generators, g)
	}
	return t
}

// next generates a program. Both deployments use the same program names.
func (t *traffic) next() *workload.Program {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.generators[t.generated%len(t.generators)].Next()
	name := fmt.Sprintf("program-%d", t.generated/len(t.generators))
	t.generated++
	switch {
	case t.generated%everyLoop == 0:
		p.Rename(loopPrefix + name)
		p.Calls = loopCalls
		for len(p.Steps) <= loopCalls {
			p.Steps = append(p.Steps, workload.Step{Kind: workload.Chat, Name: p.Model, Text: "again"})
		}
		dropChildren(p)
	case t.generated%everyAbandon == 0:
		p.Rename(abandonPrefix + name)
		p.Deadline, p.Abandon = abandonAfter, 2
		dropChildren(p)
	default:
		p.Rename(name)
	}
	return p
}

func dropChildren(p *workload.Program) {
	for i := range p.Steps {
		p.Steps[i].Child = nil
	}
}

// runPrograms runs programs one after another in each worker, and starts none once until ends.
func (t *traffic) runPrograms(ctx, until context.Context) {
	var wg conc.WaitGroup
	for range workers {
		wg.Go(func() {
			for until.Err() == nil {
				t.caller.Run(ctx, t.next())
			}
		})
	}
	wg.Wait()
}

// sendFloods sends calls of the flooding accounts at several times their rate until ctx ends.
func (t *traffic) sendFloods(ctx context.Context) {
	var wg conc.WaitGroup
	for i, a := range t.participants.flooders {
		random := rand.New(rand.NewSource(t.seed + int64(i)))
		service := t.participants.deployments[1].Services[0].ID
		wg.Go(func() {
			var calls conc.WaitGroup
			defer calls.Wait()
			for ctx.Err() == nil {
				vm := t.vms[random.Intn(len(t.vms))]
				calls.Go(func() { t.service(ctx, vm, a, service, "flood", 0) })
				sleep(ctx, time.Second/(floodFactor*floodRate))
			}
		})
	}
	wg.Wait()
}

// serviceBody is the body of a single service call; Call makes it unique.
type serviceBody struct {
	Call   string `json:"call"`
	WorkMS int64  `json:"work_ms,omitempty"`
}

// service makes one service call. A call in progress is not canceled when ctx ends.
func (t *traffic) service(ctx context.Context, vm *harness.VM, a workload.Account, service, what string, work time.Duration) workload.Attempt {
	name := fmt.Sprintf("%s-%s-%d", what, a.ID, t.serial.Add(1))
	return t.caller.Once(context.WithoutCancel(ctx), workload.Single{
		Account: a.ID, Key: a.Key, VM: vm.Settings.Listen.Callers, Name: name,
		Service: service, Path: "/single", Body: mustMarshal(serviceBody{name, work.Milliseconds()}),
	})
}

// useWithdrawnKeys makes calls with the keys that are withdrawn during the run until ctx ends:
// short calls through every VM, and long calls and long streams through two VMs.
func (t *traffic) useWithdrawnKeys(ctx context.Context) {
	d := t.participants.deployments[0]
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, a := range t.participants.withdrawnAccounts {
		for _, vm := range t.vms {
			wg.Go(func() {
				for ctx.Err() == nil {
					t.service(ctx, vm, a, d.Services[0].ID, "leaver", 0)
					sleep(ctx, withdrawnKeyPause)
				}
			})
		}
		for i := range 2 {
			vm := t.vms[i*3]
			wg.Go(func() {
				for ctx.Err() == nil {
					t.service(ctx, vm, a, d.Services[0].ID, "leaver-long", longCallTime)
					sleep(ctx, withdrawnKeyPause)
				}
			})
			wg.Go(func() {
				for ctx.Err() == nil {
					t.stream(ctx, vm, a, d)
					sleep(ctx, withdrawnKeyPause)
				}
			})
		}
	}
}

// stream makes one long streamed call. The number of words requested from the stand-in determines
// its length.
func (t *traffic) stream(ctx context.Context, vm *harness.VM, a workload.Account, d workload.Deployment) {
	name := fmt.Sprintf("stream-%s-%d", a.ID, t.serial.Add(1))
	words := int(longCallTime / stepTime)
	t.caller.Once(context.WithoutCancel(ctx), workload.Single{
		Account: a.ID, Key: a.Key, VM: vm.Settings.Listen.Callers, Name: name,
		Model: d.Model.ID, Text: fmt.Sprintf("words:%d", words), Stream: true, MaxTokens: words,
	})
}

// sendUnauthorized makes calls without a key, with an unknown key and with a key of another
// deployment until ctx ends. None of these calls may be answered or run.
func (t *traffic) sendUnauthorized(ctx context.Context) {
	random := rand.New(rand.NewSource(t.seed))
	a, b := t.participants.deployments[0], t.participants.deployments[1]
	intruders := []workload.Account{
		intruder("nobody", ""), intruder("wrong", "egk_wrong_key_55aa"), intruder("stranger", b.Accounts[0].Key),
	}
	for ctx.Err() == nil {
		for _, who := range intruders {
			vm := t.vms[random.Intn(len(t.vms))]
			t.service(ctx, vm, who, a.Services[0].ID, intruderPrefix, 0)
		}
		sleep(ctx, unauthorizedPause)
	}
}

const intruderPrefix = "intruder"

func intruder(id, key string) workload.Account {
	a := workload.Account{Key: key}
	a.ID = intruderPrefix + "-" + id
	return a
}

// poison sends one request that crashes each upstream that runs it, repeatedly and through all VMs
// in parallel, with varying white space.
func (t *traffic) poison(ctx context.Context, name string) {
	d := t.participants.deployments[0]
	a := d.Accounts[0]
	var wg conc.WaitGroup
	for i, vm := range t.vms {
		wg.Go(func() {
			for round := range poisonRounds {
				t.caller.Once(ctx, workload.Single{
					Account: a.ID, Key: a.Key, VM: vm.Settings.Listen.Callers, Name: name,
					Model: d.Model.ID, Text: crashMark, Prefix: strings.Repeat(" ", i+round),
				})
				sleep(ctx, poisonPause)
			}
		})
	}
	wg.Wait()
}

// Number of times that each VM receives a marked request, and the pause after each.
const (
	poisonRounds = 3
	poisonPause  = 300 * time.Millisecond
)
