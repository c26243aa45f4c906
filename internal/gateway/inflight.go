package gateway

import (
	"context"
	"sync"
)

// inflight tracks the requests under way, so that they can be counted while the server drains and
// cancelled when their key is withdrawn.
type inflight struct {
	mu      sync.Mutex
	nextID  uint64
	entries map[uint64]inflightEntry
}

type inflightEntry struct {
	keyID, hash string
	cancel      context.CancelCauseFunc
}

func newInflight() *inflight {
	return &inflight{entries: map[uint64]inflightEntry{}}
}

// add registers a request. The returned context is cancelled with errKeyWithdrawn as its cause if
// the caller's key is withdrawn. done must be called when the request ends.
func (f *inflight) add(ctx context.Context, c *caller) (_ context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	f.nextID++
	id := f.nextID
	f.entries[id] = inflightEntry{keyID: c.keyID, hash: c.hash, cancel: cancel}
	f.mu.Unlock()
	return ctx, func() {
		f.mu.Lock()
		delete(f.entries, id)
		f.mu.Unlock()
		cancel(nil)
	}
}

func (f *inflight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.entries)
}

func (f *inflight) cancelWithdrawn(withdrawn func(keyID, hash string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		if e.keyID != "" && withdrawn(e.keyID, e.hash) {
			e.cancel(errKeyWithdrawn)
		}
	}
}
