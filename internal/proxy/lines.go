package proxy

import (
	"sync"
	"time"

	"egretramp/internal/turns"
)

const (
	// lineAge is for how long the reservation for a line's next turn is held: pauses and tools lie
	// between, but other VMs may need the tokens.
	lineAge = 1500 * time.Millisecond
	// maxLines bounds the lines that are kept, and with them the conversations in memory.
	maxLines = 400
)

// lines keeps, for each line of turns that this VM served last, the reservation that its last
// turn made for the next, and the conversation up to there. The next turn then begins without
// the store. A VM that is lost leaves its reservations behind, at most one turn for each line.
// It is safe for concurrent use.
type lines struct {
	mu   sync.Mutex
	kept map[lineKey]line
}

type lineKey struct{ account, program, line string }

type line struct {
	turn  string // the last turn
	most  int64  // tokens that are reserved
	chain []byte // the conversation up to the end of that turn, of stateful routes
	route string
	at    time.Time
}

func newLines() *lines { return &lines{kept: map[lineKey]line{}} }

func (l *lines) put(key lineKey, kept line) (fits bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, replaced := l.kept[key]; !replaced && len(l.kept) >= maxLines {
		return false
	}
	l.kept[key] = kept
	return true
}

func (l *lines) take(key lineKey) (line, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept, ok := l.kept[key]
	delete(l.kept, key)
	return kept, ok
}

// sweep returns how to give back the reservations that were not used.
func (l *lines) sweep() []turns.End {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unused []turns.End
	for key, kept := range l.kept {
		if time.Since(kept.at) > lineAge {
			delete(l.kept, key)
			unused = append(unused, kept.giveBack(key))
		}
	}
	return unused
}

// giveBack settles an unused reservation.
func (l line) giveBack(key lineKey) turns.End {
	name := turns.NextReservation(l.turn)
	return turns.End{Account: key.account, Program: key.program, Request: name, Reservation: name}
}

func (x *exchange) lineKey() lineKey {
	return lineKey{x.accountName(), x.call.Program, x.call.Line}
}

// continueLine begins the turn with what its predecessor left on this VM, if that fits.
func (x *exchange) continueLine() bool {
	key := x.lineKey()
	kept, ok := x.server.lines.take(key)
	if !ok {
		return false
	}
	fits := kept.most >= x.call.MostTokens && kept.route == x.route.Name && x.call.HasBudget
	if x.route.Stateful {
		fits = fits && kept.turn == x.call.Previous
	}
	if !fits {
		x.server.opts.Ledger.EndLater(kept.giveBack(key), nil)
		return false
	}
	x.reserved = true
	x.reservation = turns.NextReservation(kept.turn)
	if x.route.Stateful {
		x.body = append(kept.chain, x.request.Body...)
	}
	return true
}

// reserveNext makes a turn's end ask for the tokens of the turn that will follow.
func (x *exchange) reserveNext(e turns.End) turns.End {
	if x.call.HasBudget {
		e.NextMaxTokens, e.Budget = x.call.MostTokens, x.call.Budget
	}
	return e
}

// keepLine keeps what the next turn of the line needs.
func (x *exchange) keepLine(r turns.Result) {
	if !r.NextReserved {
		return
	}
	kept := line{turn: x.call.RequestID, most: x.call.MostTokens, route: x.route.Name, at: time.Now()}
	if x.route.Stateful {
		kept.chain = make([]byte, 0, len(x.body)+len(x.output))
		kept.chain = append(append(kept.chain, x.body...), x.output...)
	}
	key := x.lineKey()
	if !x.server.lines.put(key, kept) {
		x.server.opts.Ledger.EndLater(kept.giveBack(key), nil)
	}
}
