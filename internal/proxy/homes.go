package proxy

import (
	"sync"
	"time"
)

// homeAge is for how long the upstream of a program is remembered after its last turn: longer
// than pauses and tools, shorter than engines keep what nobody asks for.
const homeAge = 10 * time.Second

// homes remembers which upstream holds what a program said before. It is safe for concurrent use.
type homes struct {
	mu       sync.Mutex
	programs map[string]home
}

type home struct {
	upstream string
	at       time.Time
}

func newHomes() *homes { return &homes{programs: map[string]home{}} }

func (h *homes) of(program string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.programs[program].upstream
}

func (h *homes) set(program, upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.programs[program] = home{upstream: upstream, at: time.Now()}
}

func (h *homes) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for program, known := range h.programs {
		if time.Since(known.at) > homeAge {
			delete(h.programs, program)
		}
	}
}
