package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const fp1 = Fingerprint("f1")

func request(run string) RunRequest { return RunRequest{Fingerprint: fp1, Run: run, VM: "vm1"} }

func countAsStrike(Fingerprint, *run) expiry { return expiryCounted }

func endOf(run string, o Outcome, upstream string, strikes int) End {
	return End{Fingerprint: fp1, Run: run, Outcome: o, Upstream: upstream, Strikes: strikes}
}

func TestRegistry_OneUnprovenRunAtATime(t *testing.T) {
	r := NewRegistry()
	require.Equal(t, Verdict{State: Go}, r.Admit(1, request("a")))
	require.Equal(t, Verdict{State: Go}, r.Admit(1, request("a")), "the same run again")
	require.Equal(t, Wait, r.Admit(1, request("b")).State)
	r.End(1, endOf("a", Unproven, "", 0))
	require.Equal(t, Go, r.Admit(1, request("b")).State)
	require.Equal(t, Wait, r.Admit(1, request("c")).State)
	r.End(1, endOf("b", Succeeded, "e1", 0))
	for _, run := range []string{"c", "d", "e"} {
		require.Equal(t, Verdict{State: Go, Proven: true}, r.Admit(1, request(run)), "the fingerprint is proven")
	}
	require.Equal(t, Go, r.Admit(2+ProvenFor, request("f")).State)
	require.Equal(t, Wait, r.Admit(2+ProvenFor, request("g")).State, "the proof has expired")
}

func TestRegistry_QuarantinesAfterTwoLosses(t *testing.T) {
	r := NewRegistry()
	r.Admit(0, request("a"))
	r.End(0, endOf("a", Lost, "e1@1", 0))
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, r.Admit(0, request("b")))
	r.End(0, endOf("b", Lost, "e1@1", 1))
	require.Equal(t, Go, r.Admit(0, request("c")).State, "the same loss counts once")
	rec, changed := r.End(0, endOf("c", Lost, "e1@2", 1))
	require.True(t, changed && rec.Quarantined())
	require.Equal(t, Quarantined, r.Admit(StrikeRetention, request("d")).State)
	require.Equal(t, Quarantined, r.Admit(2*StrikeRetention, request("d")).State, "a request extends the quarantine")
	r.Tick(3*StrikeRetention+1, countAsStrike)
	require.Equal(t, Go, r.Admit(3*StrikeRetention+1, request("d")).State)
}

func TestRegistry_SuccessClearsOnlyOlderStrikes(t *testing.T) {
	r := NewRegistry()
	r.Admit(0, request("a"))
	r.End(0, endOf("a", Succeeded, "e1", 0))
	r.Admit(0, request("b"))
	r.Admit(0, request("c"))
	r.End(0, endOf("b", Lost, "e1@1", 0))
	r.End(0, endOf("c", Succeeded, "e2", 0))
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, r.Admit(0, request("d")), "c started before the strike")
	rec, changed := r.End(0, endOf("d", Succeeded, "e2", 1))
	require.True(t, changed)
	require.Empty(t, rec.Struck)
	require.Equal(t, Verdict{State: Go, Proven: true}, r.Admit(0, request("e")))

	old := Record{Fingerprint: fp1, Version: 0, Struck: []Strike{{Run: "a", Upstream: "e1@1"}}, Remaining: StrikeRetention}
	r.Merge(0, old)
	require.Equal(t, Verdict{State: Go, Proven: true}, r.Admit(0, request("f")), "a cleared strike does not reappear")
}

func TestRegistry_MergingTwoPartitionsQuarantines(t *testing.T) {
	r := NewRegistry()
	r.Merge(0, Record{Fingerprint: fp1, Struck: []Strike{{Run: "a", Upstream: "e1@1"}}, Remaining: StrikeRetention})
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, r.Admit(0, request("a")))
	r.Merge(0, Record{Fingerprint: fp1, Struck: []Strike{{Run: "b", Upstream: "e7@1"}}, Remaining: StrikeRetention})
	require.Equal(t, Quarantined, r.Admit(0, request("a")).State)
}

func TestRegistry_RunOfLostVMExpires(t *testing.T) {
	r := NewRegistry()
	r.Admit(0, request("a"))
	r.Hold(RunTimeout, []RunRequest{request("a")})
	r.Tick(2*RunTimeout, countAsStrike)
	require.Equal(t, Wait, r.Admit(2*RunTimeout, request("b")).State)
	r.Tick(2*RunTimeout+1, countAsStrike)
	require.Equal(t, Verdict{State: Go, Alone: true, Strikes: 1}, r.Admit(2*RunTimeout+1, request("b")), "the expired run counts as a strike")
	r.End(2*RunTimeout+1, endOf("b", Succeeded, "e1", 1))
	require.Equal(t, Verdict{State: Go, Proven: true}, r.Admit(2*RunTimeout+1, request("c")))
	r.Merge(2*RunTimeout+1, Record{Fingerprint: "f2", Struck: []Strike{{Run: "d"}}, Remaining: StrikeRetention})
	r.End(2*RunTimeout+1, End{Fingerprint: "f2", Run: "d", Outcome: Lost, Upstream: "e1@1"})
	require.Equal(t, []Strike{{Run: "d", Upstream: "e1@1"}}, r.Record(2*RunTimeout+1, "f2").Struck, "the end of an expired run is not a second strike")
}

func TestRegistry_MemoryIsBounded(t *testing.T) {
	r := NewRegistry()
	for i := range maxProven + 100 {
		r.End(1, End{Fingerprint: Fingerprint(fmt.Sprint("p", i)), Outcome: Succeeded})
	}
	require.LessOrEqual(t, len(r.entries), maxProven)
	r.Tick(ProvenFor+sweepInterval, countAsStrike)
	require.Empty(t, r.entries)
}

func TestFingerprinter_IgnoresSpacingAndCase(t *testing.T) {
	fingerprintOf := func(body string) Fingerprint {
		p := NewFingerprinter()
		p.AddBody([]byte(body))
		return p.Fingerprint()
	}
	same := fingerprintOf(`{"role":"user","content":"Crash me now"}`)
	for _, body := range []string{
		`{ "content" : "crash  me\nnow ", "role":"user" }`,
		`{"content":"CRASH\u00a0me\u200b now","role":"User"}`,
	} {
		require.Equal(t, same, fingerprintOf(body), body)
	}
	for _, body := range []string{
		`{"role":"user","content":"crash you now"}`, `{"role":"user","content":["Crash me now"]}`, `["role","user","content","Crash me now"]`,
	} {
		require.NotEqual(t, same, fingerprintOf(body), body)
	}
	require.Equal(t, fingerprintOf("plain  TEXT"), fingerprintOf("plain text"))
}

func BenchmarkFingerprinter(b *testing.B) {
	body := make([]byte, 0, 1<<20)
	body = append(body, `{"role":"user","content":"`...)
	for len(body) < 1<<20 {
		body = append(body, "a word and Another "...)
	}
	body = append(body, `"}`...)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		p := NewFingerprinter()
		p.AddBody(body)
		p.Fingerprint()
	}
}

func BenchmarkRegistry_AskEnd(b *testing.B) {
	r := NewRegistry()
	i := 0
	for b.Loop() {
		i++
		f := Fingerprint(fmt.Sprintf("%032d", i%100_000))
		r.Admit(time.Duration(i), RunRequest{Fingerprint: f, Run: "r"})
		r.End(time.Duration(i), End{Fingerprint: f, Run: "r", Outcome: Succeeded})
	}
}
