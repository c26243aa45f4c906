package proxy

import (
	"sync"
	"time"

	"egretramp/internal/turns"
)

const (
	// lineAge is for how long the reservation for a line's next turn is held: pauses and tools lie
	// between, but other VMs may need the tokens.
	lineTTL = 1500 * time.Millisecond
	// maxLines bounds the lines that are kept, and with them the conversations in memory.
	maxCachedLines = 400
)

// lines keeps, for each line of turns that this VM served last, the reservation that its last
// turn made for the next, and the conversation up to there. The next turn then begins without
// the store. A VM that is lost leaves its reservations behind, at most one turn for each line.
// It is safe for concurrent use.
type lineCache struct {
	mu      sync.Mutex
	entries map[lineKey]lineEntry
}

type lineKey struct{ account, program, line string }

type lineEntry struct {
	lastTurn       string // the last turn
	reservedTokens int64  // tokens that are reserved
	conversation   []byte // the conversation up to the end of that turn, of stateful routes
	route          string
	storedAt       time.Time
}

func newLineCache() *lineCache { return &lineCache{entries: map[lineKey]lineEntry{}} }

func (l *lineCache) put(key lineKey, entry lineEntry) (stored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, replaced := l.entries[key]; !replaced && len(l.entries) >= maxCachedLines {
		return false
	}
	l.entries[key] = entry
	return true
}

func (l *lineCache) take(key lineKey) (lineEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.entries[key]
	delete(l.entries, key)
	return entry, ok
}

// sweep returns how to give back the reservations that were not used.
func (l *lineCache) sweep() []turns.End {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unused []turns.End
	for key, entry := range l.entries {
		if time.Since(entry.storedAt) > lineTTL {
			delete(l.entries, key)
			unused = append(unused, entry.releaseReservation(key))
		}
	}
	return unused
}

// giveBack settles an unused reservation.
func (l lineEntry) releaseReservation(key lineKey) turns.End {
	name := turns.NextReservation(l.lastTurn)
	return turns.End{Account: key.account, Program: key.program, Request: name, Reservation: name}
}

func (x *exchange) lineKey() lineKey {
	return lineKey{x.accountName(), x.call.Program, x.call.Line}
}

// continueLine begins the turn with what its predecessor left on this VM, if that fits.
func (x *exchange) beginFromCache() bool {
	key := x.lineKey()
	entry, ok := x.server.lineCache.take(key)
	if !ok {
		return false
	}
	usable := entry.reservedTokens >= x.call.MaxTokens && entry.route == x.route.Name && x.call.HasBudget
	if x.route.Stateful {
		usable = usable && entry.lastTurn == x.call.Previous
	}
	if !usable {
		x.server.opts.Ledger.EndLater(entry.releaseReservation(key), nil)
		return false
	}
	x.reserved = true
	x.reservation = turns.NextReservation(entry.lastTurn)
	if x.route.Stateful {
		x.body = append(entry.conversation, x.request.Body...)
	}
	return true
}

// reserveNext makes a turn's end ask for the tokens of the turn that will follow.
func (x *exchange) reserveNext(e turns.End) turns.End {
	if x.call.HasBudget {
		e.NextMaxTokens, e.Budget = x.call.MaxTokens, x.call.Budget
	}
	return e
}

// keepLine keeps what the next turn of the line needs.
func (x *exchange) cacheLine(r turns.Result) {
	if !r.NextReserved {
		return
	}
	entry := lineEntry{lastTurn: x.call.RequestID, reservedTokens: x.call.MaxTokens, route: x.route.Name, storedAt: time.Now()}
	if x.route.Stateful {
		entry.conversation = make([]byte, 0, len(x.body)+len(x.output))
		entry.conversation = append(append(entry.conversation, x.body...), x.output...)
	}
	key := x.lineKey()
	if !x.server.lineCache.put(key, entry) {
		x.server.opts.Ledger.EndLater(entry.releaseReservation(key), nil)
	}
}
