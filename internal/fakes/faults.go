package fakes

import (
	"context"
	"math/rand"
	"sync"
	"time"
)

// crossTimeout bounds how long a crossed answer waits for another one to swap with.
const crossTimeout = 500 * time.Millisecond

// faults holds the switches in force.
type faults struct {
	mu     sync.Mutex
	now    Faults
	random *rand.Rand
	cross  *crossing // a call that waits for a partner
}

// crossing is a call that waits to be swapped.
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

// fails draws whether a request is answered with an error.
func (f *faults) fails() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.ErrorRate > 0 && f.random.Float64() < f.now.ErrorRate
}

// delay holds an answer back as the switches say. It returns false if none must be given.
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

// swap returns the answer to give in place of answer: that of another call under way at the
// same time if answers are crossed and one comes within crossTimeout, else answer itself.
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

// withdraw ends the wait of a crossing. A partner that has taken it surely sends.
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
