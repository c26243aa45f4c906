package fakes

import (
	"context"
	"math/rand"
	"sync"
	"time"
)

// crossTimeout limits how long a call waits for another one to swap answers with.
const crossTimeout = 500 * time.Millisecond

// faults holds the current fault switches.
type faults struct {
	mu     sync.Mutex
	now    Faults
	random *rand.Rand
	cross  *crossing // the call that waits for a partner, if any
}

// crossing is a call that waits to swap its answer.
type crossing struct {
	answer  any
	partner chan any
}

func newFaults(f Faults, seed int64) *faults {
	return &faults{now: f, random: rand.New(rand.NewSource(seed))}
}

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *faults) set(now Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now.Silence = false
	f.now = now
}

// fails randomly decides, by ErrorRate, whether a request fails.
func (f *faults) fails() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.ErrorRate > 0 && f.random.Float64() < f.now.ErrorRate
}

// delay blocks for the configured answer delay. It returns false if no answer may be sent,
// because of Hang or because ctx is done.
func (f *faults) delay(ctx context.Context) bool {
	now := f.get()
	if now.Hang {
		<-ctx.Done()
		return false
	}
	if now.LateMS == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(now.LateMS) * time.Millisecond):
		return true
	}
}

// swap returns the answer to send in place of answer: if Crossed is set and another call arrives
// within crossTimeout, that call's answer, otherwise answer itself.
func (f *faults) swap(ctx context.Context, answer any) any {
	f.mu.Lock()
	if !f.now.Crossed {
		f.mu.Unlock()
		return answer
	}
	if other := f.cross; other != nil {
		f.cross = nil
		f.mu.Unlock()
		other.partner <- answer
		return other.answer
	}
	mine := &crossing{answer: answer, partner: make(chan any, 1)}
	f.cross = mine
	f.mu.Unlock()
	select {
	case partner := <-mine.partner:
		return partner
	case <-ctx.Done():
	case <-time.After(crossTimeout):
	}
	return f.withdraw(mine)
}

// withdraw stops waiting for a partner. A partner that has already taken the crossing always
// sends its answer, so that receiving it cannot block for long.
func (f *faults) withdraw(mine *crossing) any {
	f.mu.Lock()
	waiting := f.cross == mine
	if waiting {
		f.cross = nil
	}
	f.mu.Unlock()
	if waiting {
		return mine.answer
	}
	return <-mine.partner
}
