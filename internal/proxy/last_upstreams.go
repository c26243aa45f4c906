package proxy

import (
	"sync"
	"time"
)

// homeAge is for how long the upstream of a program is remembered after its last turn: longer
// than pauses and tools, shorter than engines keep what nobody asks for.
const lastUpstreamTTL = 10 * time.Second

// homes remembers which upstream holds what a program said before. It is safe for concurrent use.
type lastUpstreams struct {
	mu        sync.Mutex
	byProgram map[string]lastUpstream
}

type lastUpstream struct {
	upstream string
	lastUsed time.Time
}

func newLastUpstreams() *lastUpstreams { return &lastUpstreams{byProgram: map[string]lastUpstream{}} }

func (h *lastUpstreams) get(program string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byProgram[program].upstream
}

func (h *lastUpstreams) set(program, upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byProgram[program] = lastUpstream{upstream: upstream, lastUsed: time.Now()}
}

func (h *lastUpstreams) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for program, entry := range h.byProgram {
		if time.Since(entry.lastUsed) > lastUpstreamTTL {
			delete(h.byProgram, program)
		}
	}
}
