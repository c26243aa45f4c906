package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const print1 = Fingerprint("f1")

func ask(run string) Ask { return Ask{Fingerprint: print1, Run: run, VM: "vm1"} }

func ended(run string, o Outcome, upstream string, strikes int) End {
	return End{Fingerprint: print1, Run: run, Outcome: o, Upstream: upstream, Strikes: strikes}
}

func TestRegistry_OneUnprovenRunAtATime(t *testing.T) {
	r := NewRegistry()
	require.Equal(t, Verdict{State: Go}, r.Ask(1, ask("a")))
	require.Equal(t, Verdict{State: Go}, r.Ask(1, ask("a")), "asked again")
	require.Equal(t, Wait, r.Ask(1, ask("b")).State)
	r.End(1, ended("a", Unproven, "", 0))
	require.Equal(t, Go, r.Ask(1, ask("b")).State)
	require.Equal(t, Wait, r.Ask(1, ask("c")).State)
	r.End(1, ended("b", Succeeded, "e1", 0))
	for _, run := range []string{"c", "d", "e"} {
		require.Equal(t, Verdict{State: Go}, r.Ask(1, ask(run)), "it is proven")
	}
	require.Equal(t, Go, r.Ask(2+ProvenFor, ask("f")).State)
	require.Equal(t, Wait, r.Ask(2+ProvenFor, ask("g")).State, "the proof is old")
}

func TestRegistry_TwoLossesQuarantine(t *testing.T) {
	r := NewRegistry()
	r.Ask(0, ask("a"))
	r.End(0, ended("a", Lost, "e1@1", 0))
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, r.Ask(0, ask("b")))
	r.End(0, ended("b", Lost, "e1@1", 1))
	require.Equal(t, Go, r.Ask(0, ask("c")).State, "the same loss counts once")
	rec, changed := r.End(0, ended("c", Lost, "e1@2", 1))
	require.True(t, changed && rec.Quarantined())
	require.Equal(t, Quarantined, r.Ask(Memory, ask("d")).State)
	require.Equal(t, Quarantined, r.Ask(2*Memory, ask("d")).State, "asking prolongs it")
	r.Tick(3*Memory + 1)
	require.Equal(t, Go, r.Ask(3*Memory+1, ask("d")).State)
}

func TestRegistry_SuccessClearsOnlyOlderStrikes(t *testing.T) {
	r := NewRegistry()
	r.Ask(0, ask("a"))
	r.End(0, ended("a", Succeeded, "e1", 0))
	r.Ask(0, ask("b"))
	r.Ask(0, ask("c"))
	r.End(0, ended("b", Lost, "e1@1", 0))
	r.End(0, ended("c", Succeeded, "e2", 0))
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, r.Ask(0, ask("d")), "c began before the strike")
	rec, changed := r.End(0, ended("d", Succeeded, "e2", 1))
	require.True(t, changed)
	require.Empty(t, rec.Struck)
	require.Equal(t, Verdict{State: Go}, r.Ask(0, ask("e")))

	old := Record{Fingerprint: print1, Version: 0, Struck: []string{"e1@1"}, Remaining: Memory}
	r.Merge(0, old)
	require.Equal(t, Verdict{State: Go}, r.Ask(0, ask("f")), "a cleared strike does not come back")
}

func TestRegistry_MergeOfTwoSidesQuarantines(t *testing.T) {
	r := NewRegistry()
	r.Merge(0, Record{Fingerprint: print1, Struck: []string{"e1@1"}, Remaining: Memory})
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, r.Ask(0, ask("a")))
	r.Merge(0, Record{Fingerprint: print1, Struck: []string{"e7@1"}, Remaining: Memory})
	require.Equal(t, Quarantined, r.Ask(0, ask("a")).State)
}

func TestRegistry_RunOfALostVMLapses(t *testing.T) {
	r := NewRegistry()
	r.Ask(0, ask("a"))
	r.Hold(RunLapse, []Ask{ask("a")})
	r.Tick(2 * RunLapse)
	require.Equal(t, Wait, r.Ask(2*RunLapse, ask("b")).State)
	r.Tick(2*RunLapse + 1)
	require.Equal(t, Verdict{State: Go, Alone: true}, r.Ask(2*RunLapse+1, ask("b")))
	r.End(2*RunLapse+1, ended("b", Succeeded, "e1", 0))
	require.Equal(t, Verdict{State: Go}, r.Ask(2*RunLapse+1, ask("c")))
}

func TestRegistry_MemoryIsBounded(t *testing.T) {
	r := NewRegistry()
	for i := range maxProven + 100 {
		r.End(1, End{Fingerprint: Fingerprint(fmt.Sprint("p", i)), Outcome: Succeeded})
	}
	require.LessOrEqual(t, len(r.entries), maxProven)
	r.Tick(ProvenFor + sweepInterval)
	require.Empty(t, r.entries)
}

// fleet is a set of registries with messages between them that may be late or lost.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	vms      []*Registry
	alive    []bool
	lost     map[string]bool // upstreams that the bad request crashed
	running  map[string]int  // runs under way: the VM that made them
	inFlight []func()
	runs     int
}

func (f *fleet) owner() int {
	for i, up := range f.alive {
		if up {
			return i
		}
	}
	return -1
}

func (f *fleet) spread(from int) {
	for i := range f.vms {
		for _, rec := range f.vms[from].Records(f.now) {
			if f.random.IntN(4) > 0 {
				f.inFlight = append(f.inFlight, func() { f.vms[i].Merge(f.now, rec) })
			}
		}
	}
}

// crash ends a run of the bad request, as its VM sees it.
func (f *fleet) crash(run string, vm int) {
	delete(f.running, run)
	f.runs++
	upstream := fmt.Sprint("e", f.runs)
	f.lost[upstream] = true
	f.vms[vm].End(f.now, ended(run, Lost, upstream, 0))
	f.vms[f.owner()].End(f.now, ended(run, Lost, upstream, 0))
	f.spread(vm)
	f.spread(f.owner())
}

// TestFleet_BadRequestThroughEveryVM sends one bad request through all VMs again and again, with
// lost and delayed records. A VM that may own the request dies between runs, after its records
// have spread.
func TestFleet_BadRequestThroughEveryVM(t *testing.T) {
	for seed := range uint64(1000) {
		f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), lost: map[string]bool{}, running: map[string]int{}}
		for range 5 {
			f.vms = append(f.vms, NewRegistry())
			f.alive = append(f.alive, true)
		}
		for step := range 300 {
			f.now += time.Duration(f.random.IntN(1000)) * time.Millisecond
			f.step(fmt.Sprint("run", step))
			require.LessOrEqual(t, len(f.lost), MaxLost, "seed %d", seed)
		}
		require.Len(t, f.lost, MaxLost, "seed %d: the request was tried", seed)
	}
}

func (f *fleet) step(run string) {
	for _, r := range f.vms {
		r.Tick(f.now)
	}
	for held, vm := range f.running {
		f.vms[f.owner()].Hold(f.now, []Ask{{Fingerprint: print1, Run: held, VM: fmt.Sprint(vm)}})
	}
	switch owner := f.owner(); f.random.IntN(6) {
	case 0, 1, 2:
		vm := f.random.IntN(len(f.vms))
		if f.vms[owner].Ask(f.now, ask(run)).State == Go {
			f.running[run] = vm
		}
	case 3:
		for held, vm := range f.running {
			f.crash(held, vm)
			break
		}
	case 4:
		for len(f.inFlight) > 0 {
			i := f.random.IntN(len(f.inFlight))
			f.inFlight[i]()
			f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
		}
	case 5:
		// The next owner has heard of the runs under way and of the strikes.
		if owner < 2 && f.random.IntN(10) == 0 {
			for _, rec := range f.vms[owner].Records(f.now) {
				f.vms[owner+1].Merge(f.now, rec)
			}
			f.alive[owner] = false
			for held, vm := range f.running {
				f.vms[f.owner()].Hold(f.now, []Ask{{Fingerprint: print1, Run: held, VM: fmt.Sprint(vm)}})
			}
		}
	}
}

func TestPrinter_SpacingAndCaseDoNotCount(t *testing.T) {
	of := func(body string) Fingerprint {
		p := NewPrinter()
		p.Body([]byte(body))
		return p.Fingerprint()
	}
	same := of(`{"role":"user","content":"Crash me now"}`)
	for _, body := range []string{
		`{ "content" : "crash  me\nnow ", "role":"user" }`,
		`{"content":"CRASH\u00a0me\u200b now","role":"User"}`,
	} {
		require.Equal(t, same, of(body), body)
	}
	for _, body := range []string{
		`{"role":"user","content":"crash you now"}`, `{"role":"user","content":["Crash me now"]}`, `["role","user","content","Crash me now"]`,
	} {
		require.NotEqual(t, same, of(body), body)
	}
	require.Equal(t, of("plain  TEXT"), of("plain text"))
}

func BenchmarkPrinter(b *testing.B) {
	body := make([]byte, 0, 1<<20)
	body = append(body, `{"role":"user","content":"`...)
	for len(body) < 1<<20 {
		body = append(body, "a word and Another "...)
	}
	body = append(body, `"}`...)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		p := NewPrinter()
		p.Body(body)
		p.Fingerprint()
	}
}

func BenchmarkRegistry_AskEnd(b *testing.B) {
	r := NewRegistry()
	i := 0
	for b.Loop() {
		i++
		f := Fingerprint(fmt.Sprintf("%032d", i%100_000))
		r.Ask(time.Duration(i), Ask{Fingerprint: f, Run: "r"})
		r.End(time.Duration(i), End{Fingerprint: f, Run: "r", Outcome: Succeeded})
	}
}
