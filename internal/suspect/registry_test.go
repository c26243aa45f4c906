package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const print1 = Fingerprint("f1")

func ask(run string) Ask { return Ask{Fingerprint: print1, Run: run, VM: "vm1"} }

func counted(Fingerprint, *run) lapse { return lapseCounted }

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
		require.Equal(t, Verdict{State: Go, Proven: true}, r.Ask(1, ask(run)), "it is proven")
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
	r.Tick(3*Memory+1, counted)
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
	require.Equal(t, Verdict{State: Go, Proven: true}, r.Ask(0, ask("e")))

	old := Record{Fingerprint: print1, Version: 0, Struck: []Strike{{Run: "a", Upstream: "e1@1"}}, Remaining: Memory}
	r.Merge(0, old)
	require.Equal(t, Verdict{State: Go, Proven: true}, r.Ask(0, ask("f")), "a cleared strike does not come back")
}

func TestRegistry_MergeOfTwoSidesQuarantines(t *testing.T) {
	r := NewRegistry()
	r.Merge(0, Record{Fingerprint: print1, Struck: []Strike{{Run: "a", Upstream: "e1@1"}}, Remaining: Memory})
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, r.Ask(0, ask("a")))
	r.Merge(0, Record{Fingerprint: print1, Struck: []Strike{{Run: "b", Upstream: "e7@1"}}, Remaining: Memory})
	require.Equal(t, Quarantined, r.Ask(0, ask("a")).State)
}

func TestRegistry_RunOfALostVMLapses(t *testing.T) {
	r := NewRegistry()
	r.Ask(0, ask("a"))
	r.Hold(RunLapse, []Ask{ask("a")})
	r.Tick(2*RunLapse, counted)
	require.Equal(t, Wait, r.Ask(2*RunLapse, ask("b")).State)
	r.Tick(2*RunLapse+1, counted)
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, r.Ask(2*RunLapse+1, ask("b")), "it counts as a strike")
	r.End(2*RunLapse+1, ended("b", Succeeded, "e1", 1))
	require.Equal(t, Verdict{State: Go, Proven: true}, r.Ask(2*RunLapse+1, ask("c")))
	r.Merge(2*RunLapse+1, Record{Fingerprint: "f2", Struck: []Strike{{Run: "d"}}, Remaining: Memory})
	r.End(2*RunLapse+1, End{Fingerprint: "f2", Run: "d", Outcome: Lost, Upstream: "e1@1"})
	require.Equal(t, []Strike{{Run: "d", Upstream: "e1@1"}}, r.Record(2*RunLapse+1, "f2").Struck, "the end of a lapsed run is no second strike")
}

func TestRegistry_MemoryIsBounded(t *testing.T) {
	r := NewRegistry()
	for i := range maxProven + 100 {
		r.End(1, End{Fingerprint: Fingerprint(fmt.Sprint("p", i)), Outcome: Succeeded})
	}
	require.LessOrEqual(t, len(r.entries), maxProven)
	r.Tick(ProvenFor+sweepInterval, counted)
	require.Empty(t, r.entries)
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
