package proxy

import (
	"sync"
	"time"

	"egretramp/internal/callermem"
	"egretramp/internal/turns"
)

const (
	// lineTTL is how long the reservation for a line's next turn is held: it has to cover pauses and
	// tool calls between turns, but other VMs may need the tokens.
	lineTTL = 1500 * time.Millisecond
	// maxLineAge is the age up to which a cached line is used. The store keeps the conversation and the program for that
	// long. A VM that was frozen finds older lines before they are removed.
	maxLineAge = 2 * lineTTL
	// maxCachedLines bounds the cached lines, and thereby the conversations in memory.
	maxCachedLines = 400
)

// lineCache holds, for each line of turns whose last turn this VM served, the reservation that the
// last turn made for the next one, and the conversation so far. The next turn then begins without
// a call to the store. A VM that fails leaves its reservations unreleased, at most one turn for
// each line. It is safe for concurrent use.
type lineCache struct {
	memory  *callermem.Budget // of which the conversations are a part; nil for no limit
	mu      sync.Mutex
	entries map[lineKey]lineEntry
}

// lineKey identifies a line of turns within a program.
type lineKey struct{ account, program, line string }

// lineEntry is the state from which the next turn of a line can begin.
type lineEntry struct {
	lastTurn       string // request ID of the last turn
	reservedTokens int64  // reserved for the next turn
	conversation   []byte // up to the end of the last turn; stateful routes only
	route          string
	storedAt       time.Time
}

func newLineCache(memory *callermem.Budget) *lineCache {
	return &lineCache{memory: memory, entries: map[lineKey]lineEntry{}}
}

// put stores an entry unless the cache is full or there is no memory for its conversation.
func (l *lineCache) put(key lineKey, entry lineEntry) (stored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, replaced := l.entries[key]; !replaced && len(l.entries) >= maxCachedLines {
		return false
	}
	if !l.memory.Take(int64(len(entry.conversation))) {
		return false
	}
	l.remove(key)
	l.entries[key] = entry
	return true
}

// take removes and returns the entry of a line.
func (l *lineCache) take(key lineKey) (lineEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remove(key)
}

// remove removes and returns an entry and returns its memory. The caller holds mu.
func (l *lineCache) remove(key lineKey) (lineEntry, bool) {
	entry, ok := l.entries[key]
	if ok {
		delete(l.entries, key)
		l.memory.Return(int64(len(entry.conversation)))
	}
	return entry, ok
}

// sweep removes expired entries and returns the commands that release their reservations.
func (l *lineCache) sweep() []turns.End {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unused []turns.End
	for key, entry := range l.entries {
		if time.Since(entry.storedAt) > lineTTL {
			l.remove(key)
			unused = append(unused, entry.releaseReservation(key))
		}
	}
	return unused
}

// releaseReservation returns the command that releases the entry's unused reservation.
func (l lineEntry) releaseReservation(key lineKey) turns.End {
	name := turns.NextReservation(l.lastTurn)
	return turns.End{Account: key.account, Program: key.program, Request: name, Reservation: name}
}

func (x *exchange) lineKey() lineKey {
	return lineKey{x.accountName(), x.call.Program, x.call.Line}
}

// beginFromCache begins the turn from the line's cached entry and reports whether it could. An entry
// that doesn't fit the request is released.
func (x *exchange) beginFromCache() bool {
	key := x.lineKey()
	entry, ok := x.server.lineCache.take(key)
	if !ok {
		return false
	}
	usable := entry.reservedTokens >= x.call.MaxTokens && entry.route == x.route.Name && x.call.HasBudget &&
		time.Since(entry.storedAt) <= maxLineAge
	if x.route.Stateful {
		usable = usable && entry.lastTurn == x.call.Previous
	}
	if usable && x.route.Stateful {
		usable = x.prepend([][]byte{entry.conversation}) == nil // without memory, the request is refused later
	}
	if !usable {
		x.server.opts.Ledger.EndLater(entry.releaseReservation(key), nil)
		return false
	}
	x.reserved = true
	x.reservation = turns.NextReservation(entry.lastTurn)
	return true
}

// reserveNext extends the end of a turn by a reservation for the next turn of the line.
func (x *exchange) reserveNext(e turns.End) turns.End {
	if x.call.HasBudget {
		e.NextMaxTokens, e.Budget = x.call.MaxTokens, x.call.Budget
	}
	return e
}

// cacheLine caches the state that the next turn of the line needs, if its tokens were reserved.
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
