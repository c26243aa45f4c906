package proxy

import (
	"sync"
	"time"
)

// lastUpstreamTTL is how long the upstream of a line of turns is remembered after its last turn: longer than
// pauses and tool calls between turns, shorter than engines keep unused cache entries.
const lastUpstreamTTL = 10 * time.Second

// lastUpstreams maps each line of turns to the upstream that served its last turn and may still hold its
// prompt in cache. It is safe for concurrent use.
type lastUpstreams struct {
	mu     sync.Mutex
	byLine map[string]lastUpstream
}

type lastUpstream struct {
	upstream string
	lastUsed time.Time
}

func newLastUpstreams() *lastUpstreams { return &lastUpstreams{byLine: map[string]lastUpstream{}} }

func (h *lastUpstreams) get(line string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byLine[line].upstream
}

func (h *lastUpstreams) set(line, upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byLine[line] = lastUpstream{upstream: upstream, lastUsed: time.Now()}
}

func (h *lastUpstreams) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for line, entry := range h.byLine {
		if time.Since(entry.lastUsed) > lastUpstreamTTL {
			delete(h.byLine, line)
		}
	}
}
