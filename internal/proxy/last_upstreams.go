package proxy

import (
	"sync"
	"time"
)

// lastUpstreamTTL is how long a program's upstream is remembered after its last turn: longer than
// pauses and tool calls between turns, shorter than engines keep unused cache entries.
const lastUpstreamTTL = 10 * time.Second

// lastUpstreams maps each program to the upstream that served its last turn and may still hold its
// prompt in cache. It is safe for concurrent use.
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
