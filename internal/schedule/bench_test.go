package schedule

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPool_Decision measures the scheduling of one call (enqueue, grant and finish) in a pool
// of 38 upstreams with waiting calls of 1,000 accounts, by the number of programs on record.
func BenchmarkPool_Decision(b *testing.B) {
	for _, programs := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) { benchmarkDecision(b, programs) })
	}
}

func benchmarkDecision(b *testing.B, programs int) {
	const upstreams, slots, accounts, waiting = 38, 16, 1000, 2000
	p := New(Options{MaxPrograms: programs, MaxWait: time.Hour})
	for i := range upstreams {
		p.SetReplica(0, Replica{Name: fmt.Sprintf("r%d", i), Incarnation: 1, Slots: slots, KVTokens: 400_000})
	}
	serial := 0
	enqueue := func(now time.Duration) {
		account := serial % accounts
		program := serial * 7919 % programs
		p.Enqueue(now, Request{
			ID: fmt.Sprintf("q%d", serial), Account: fmt.Sprintf("a%d", account),
			Program: fmt.Sprintf("p%d", program), PromptTokens: 1000, MaxTokens: 256,
		})
		serial++
	}
	var running []string
	plan := func(now time.Duration) {
		for _, g := range p.Plan(now).Grants {
			running = append(running, g.Request.ID)
		}
	}
	now := time.Duration(0)
	for range upstreams*slots + waiting {
		enqueue(now)
	}
	plan(now)
	step := func() {
		now += time.Millisecond
		id := running[0]
		running = running[1:]
		p.Finish(now, id, Outcome{ServedTokens: 1080, CachedTokens: 500, CompletionTokens: 80})
		enqueue(now)
		plan(now)
	}
	for range programs {
		step()
	}
	for b.Loop() {
		step()
	}
}
