// Package turns implements the replicated state machine of the store group: the token budgets of
// programs, the recorded turns of conversations, and the origins of streams that may be resumed. A turn refers to the turn that it continues,
// so conversations are trees; several turns may continue the same one.
//
// The VM that runs a turn sends Begin first, which reserves the largest number of tokens that the
// turn may generate, and End when the answer is complete, which settles the reservation and
// records the turn. Both are idempotent.
//
// Invariants:
//   - Tokens delivered to callers never exceed a program's budget. A reservation is removed only by the End that
//     settles it, or together with its program. A program is kept for its retention after the last moment at which
//     a turn that began may still run, whether or not the VM that runs it still exists.
//   - A conversation is whole or not available. A turn is recorded only if the turn that it continues is stored,
//     a turn expires no earlier than one that continues it, and a turn that has begun keeps the chain that it
//     continues until it must have ended.
package turns

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"egretramp/internal/clock"
)

// retentionSlack extends the retention of turns and programs: leaders of releases without Stamp let the senders' clocks
// decide, which may differ by seconds.
const retentionSlack = 8 * time.Second

// minProgramRetention is how long a program is kept at least. A VM may begin turns under a configuration that the operator
// replaces by one with a longer retention, and releases before ProgramRetention state none.
const minProgramRetention = time.Minute

// maxReservations bounds the open reservations of one group, and thereby their memory: some 150 bytes each.
const maxReservations = 1 << 16

// maxHomes bounds the lines of a program whose homes are stored: its main line and the latest others, which are
// short. A store VM holds the programs of a minute in memory.
const maxHomes = 6

// Outcome is the result code of Begin.
type Outcome int

// The outcomes of Begin.
const (
	Begun         Outcome = iota // the tokens are reserved, if the program has a budget
	BudgetSpent                  // the program's remaining budget is smaller than the turn's reservation
	UnknownTurn                  // the account has no turn with the ID in Previous, or it has expired
	UnknownStream                // the account has no stream with the ID in Resumes, or its origin isn't certain
	// The outcomes below are returned only to senders that state a Timeout; earlier releases don't know them.

	LostChain       // the turn in Previous is stored, but not all turns that it continues
	TooManyReserved // the group holds maxReservations reservations
)

// Begin reserves tokens for a turn.
type Begin struct {
	Account  string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
	Request  string `cbor:"3,keyasint"`           // ID of the client attempt
	Previous string `cbor:"4,keyasint,omitempty"` // request ID of the turn that it continues
	Budget   int64  `cbor:"5,keyasint,omitempty"` // tokens
	// HasBudget distinguishes a budget of 0 from no budget.
	HasBudget bool  `cbor:"7,keyasint,omitempty"`
	MaxTokens int64 `cbor:"6,keyasint,omitempty"` // the most tokens that the turn may generate
	// Line is the line of turns within the program. The main line has the program's name.
	Line string `cbor:"8,keyasint,omitempty"`
	// Resumes is the ID of the client attempt that began the stream to resume, empty for a new stream. Retention
	// is how long the stream's origin is kept from now on.
	Resumes   string        `cbor:"9,keyasint,omitempty"`
	Retention time.Duration `cbor:"10,keyasint,omitempty"`
	// ResumesUnnamed is set if the request resumes a stream and doesn't say which.
	ResumesUnnamed bool `cbor:"11,keyasint,omitempty"`
	// Timeout is the longest time that the turn may still run. ProgramRetention is how long its program may return
	// after that. Releases that don't know them send neither.
	Timeout          time.Duration `cbor:"12,keyasint,omitempty"`
	ProgramRetention time.Duration `cbor:"13,keyasint,omitempty"`
}

// End settles a turn's reservation and may record the turn.
type End struct {
	Account  string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
	Request  string `cbor:"3,keyasint"`
	Tokens   int64  `cbor:"4,keyasint"` // tokens delivered to the caller
	Record   bool   `cbor:"5,keyasint,omitempty"`
	Previous string `cbor:"6,keyasint,omitempty"`
	// Input and Output are appended to the encoded command, so that a decoded command aliases the
	// bytes of the log entry and the log and the state share one copy.
	Input     []byte        `cbor:"-"`
	Output    []byte        `cbor:"-"`
	Retention time.Duration `cbor:"9,keyasint,omitempty"`
	// Reservation is the name of the reservation to settle; empty means Request.
	Reservation string `cbor:"10,keyasint,omitempty"`
	// NextMaxTokens, if positive, requests a reservation of that many tokens for the following
	// turn, under the name NextReservation(Request). Budget is the program's, as in Begin.
	NextMaxTokens int64 `cbor:"11,keyasint,omitempty"`
	Budget        int64 `cbor:"12,keyasint,omitempty"`
	// Line is the line of turns within the program, and Home the ID of the upstream that holds its prompt in
	// cache, empty if the turn hasn't changed it.
	Line string `cbor:"13,keyasint,omitempty"`
	Home string `cbor:"14,keyasint,omitempty"`
	// Timeout is the longest time from now to the end of a turn that begins with the reservation for the following
	// turn, and so without a Begin.
	Timeout time.Duration `cbor:"15,keyasint,omitempty"`
}

// NextReservation returns the name of the reservation that End makes for the turn that follows
// the given request.
func NextReservation(request string) string { return "next:" + request }

// nextHeadroom is the number of turns that must still fit in the budget before End reserves for
// the next one. When little budget is left, a reservation held by another VM would make the
// program fail with BudgetSpent too early.
const nextHeadroom = 3

// Command is the content of one log entry. One of Begin, End and Stream is set.
type Command struct {
	// Now is the group's time in Unix milliseconds, which the leader sets; see Machine.Stamp. From the sender it is the
	// sender's wall clock, which starts the group's time.
	Now   int64  `cbor:"1,keyasint"`
	Begin *Begin `cbor:"2,keyasint,omitempty"`
	End   *End   `cbor:"3,keyasint,omitempty"`
	// Stream is ignored by releases that don't know it: their Result has no Recorded.
	Stream *Stream `cbor:"4,keyasint,omitempty"`
}

// Result is the result of applying a command.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	// NextReserved reports that the reservation for the following turn exists.
	NextReserved bool `cbor:"6,keyasint,omitempty"`
	// Chain is the conversation that a begun turn continues: the input and output of each turn,
	// oldest first. The leader adds it in Finish; Apply doesn't return it.
	Chain [][]byte `cbor:"2,keyasint,omitempty"`
	// Known reports that the program had a turn before.
	Known bool `cbor:"5,keyasint,omitempty"`
	// Home is the upstream that holds the line's prompt in cache, or for a line's first turn that of the
	// program's main line; empty if unknown.
	Home string `cbor:"7,keyasint,omitempty"`
	// Origin is that of the stream that the request resumes.
	Origin string `cbor:"8,keyasint,omitempty"`
	// Origins are those of all streams of the account, if the request doesn't say which it resumes.
	Origins []string `cbor:"10,keyasint,omitempty"`
	// Recorded reports that the origin of a Stream is stored.
	Recorded bool `cbor:"9,keyasint,omitempty"`
	// Used and Reserved are the program's used and reserved tokens, set with BudgetSpent.
	Used     int64 `cbor:"3,keyasint,omitempty"`
	Reserved int64 `cbor:"4,keyasint,omitempty"`
}

type programKey struct {
	Account string `cbor:"1,keyasint"`
	Program string `cbor:"2,keyasint"`
}

type program struct {
	Used     int64            `cbor:"1,keyasint"`
	Reserved map[string]int64 `cbor:"2,keyasint"` // by request
	// Settled is the set of settled reservations, so that a repeated Begin doesn't reserve again.
	Settled map[string]bool `cbor:"3,keyasint,omitempty"`
	Expires int64           `cbor:"4,keyasint"`
	// Homes are the upstreams that hold the prompts of lines in cache, the latest last, at most maxHomes.
	Homes []lineHome `cbor:"5,keyasint,omitempty"`
}

// lineHome is the upstream that holds a line's prompt in cache.
type lineHome struct {
	Line     uint32 `cbor:"1,keyasint"` // hash of the line's name
	Upstream string `cbor:"2,keyasint"`
}

type turnKey struct {
	Account string `cbor:"1,keyasint"`
	Request string `cbor:"2,keyasint"`
}

type turn struct {
	Previous string `cbor:"1,keyasint,omitempty"`
	Input    []byte `cbor:"2,keyasint"`
	Output   []byte `cbor:"3,keyasint"`
	Expires  int64  `cbor:"4,keyasint"`
}

// Machine is the state machine of the store group. It isn't safe for concurrent use.
type Machine struct {
	programs  map[programKey]*program
	turns     map[turnKey]*turn
	streams   map[streamKey]stream
	clock     int64 // the highest Command.Now applied so far, in Unix milliseconds
	lastSweep int64
	time      groupTime // not part of the state
	// reservations is the number of open reservations of all programs. It isn't part of the snapshot.
	reservations int
	// names holds one copy of each upstream's ID and of each origin since the last sweep. It isn't part of the state.
	names map[string]string
}

// New returns a Machine without programs and turns.
func New() *Machine { return newMachine(clock.Now) }

// newMachine returns a Machine that measures durations by a monotonic clock.
func newMachine(monotonic func() time.Duration) *Machine {
	return &Machine{
		programs: map[programKey]*program{}, turns: map[turnKey]*turn{}, streams: map[streamKey]stream{}, names: map[string]string{},
		time: groupTime{monotonic: monotonic},
	}
}

// headerSize is the size in bytes of a log entry's header: the lengths of the encoded command and
// of the input, four bytes each. The output takes the rest of the entry.
const headerSize = 8

var errTruncatedCommand = errors.New("turns: log entry is shorter than its header says")

// Encode returns the command as a log entry.
func (c Command) Encode() ([]byte, error) {
	head, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "turns: encode a command")
	}
	var input, output []byte
	if c.End != nil {
		input, output = c.End.Input, c.End.Output
	}
	data := make([]byte, 0, headerSize+len(head)+len(input)+len(output))
	data = binary.BigEndian.AppendUint32(data, uint32(len(head)))
	data = binary.BigEndian.AppendUint32(data, uint32(len(input)))
	return append(append(append(data, head...), input...), output...), nil
}

// decodeCommand decodes a log entry. The command aliases the entry's bytes.
func decodeCommand(data []byte) (Command, error) {
	var c Command
	if len(data) < headerSize {
		return c, errTruncatedCommand
	}
	head, input := uint64(binary.BigEndian.Uint32(data)), uint64(binary.BigEndian.Uint32(data[4:]))
	body := data[headerSize:]
	if head+input > uint64(len(body)) {
		return c, errTruncatedCommand
	}
	if err := cbor.Unmarshal(body[:head], &c); err != nil {
		return c, errors.Wrap(err, "turns: decode a command")
	}
	if c.End != nil {
		c.End.Input = body[head : head+input : head+input]
		c.End.Output = body[head+input:]
	}
	return c, nil
}

// DecodeResult decodes a result that Apply or Finish returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "turns: decode a result")
}

// Encode returns the result in CBOR.
func (r Result) Encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "turns: cannot encode a result"))
	}
	return data
}

// Apply applies a committed log entry and returns the encoded Result.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	c, err := decodeCommand(data)
	if err != nil {
		// Decoding is deterministic, so every replica rejects the same entries.
		return Result{Outcome: UnknownTurn}.Encode()
	}
	m.clock = max(m.clock, c.Now)
	m.time.observe(m.clock)
	m.sweep()
	switch {
	case c.Begin != nil:
		return m.begin(c.Begin).Encode()
	case c.End != nil:
		return m.end(c.End).Encode()
	case c.Stream != nil:
		return Result{Recorded: m.recordStream(c.Stream)}.Encode()
	}
	return Result{}.Encode()
}

func (m *Machine) begin(b *Begin) Result {
	// A turn that is refused shows as well that its program is active.
	if p := m.programs[programKey{b.Account, b.Program}]; p != nil {
		p.Expires = max(p.Expires, m.after(b.programKeep()))
	}
	if b.Previous != "" {
		if outcome := m.chainOutcome(b.Account, b.Previous); outcome != Begun {
			return Result{Outcome: b.knownOutcome(outcome)}
		}
	}
	origin := ""
	if b.Resumes != "" {
		if origin = m.resumeStream(b); origin == "" {
			return Result{Outcome: UnknownStream}
		}
	}
	var origins []string
	if b.ResumesUnnamed {
		origins = m.accountOrigins(b.Account)
	}
	// The chain must outlast the turn: its End would otherwise refer to a turn that has expired meanwhile.
	m.extendChain(b.Account, b.Previous, m.after(b.Timeout))
	if !b.HasBudget {
		return Result{Known: b.Previous != "" || b.Resumes != "", Origin: origin, Origins: origins}
	}
	p := m.program(b.Account, b.Program, b.programKeep())
	known := len(p.Reserved) > 0 || p.Used > 0
	begun := Result{Known: known, Home: p.home(b), Origin: origin, Origins: origins}
	if _, reserved := p.Reserved[b.Request]; reserved || p.Settled[b.Request] {
		return begun
	}
	reserved := p.totalReserved()
	if p.Used+reserved+b.MaxTokens > b.Budget {
		return Result{Outcome: BudgetSpent, Used: p.Used, Reserved: reserved}
	}
	if m.reservations >= maxReservations {
		return Result{Outcome: b.knownOutcome(TooManyReserved)}
	}
	m.reserve(p, b.Request, b.MaxTokens)
	return begun
}

// programKeep returns how long the turn's program is kept from now on.
func (b *Begin) programKeep() time.Duration {
	return b.Timeout + max(b.ProgramRetention, minProgramRetention)
}

// knownOutcome returns the outcome, or one that refuses the turn as well if the sender's release doesn't know it.
func (b *Begin) knownOutcome(o Outcome) Outcome {
	switch {
	case b.Timeout > 0:
		return o
	case o == LostChain:
		return UnknownTurn
	case o == TooManyReserved:
		return BudgetSpent
	}
	return o
}

// chainOutcome returns whether a turn may be continued: Begun if the turn and all its predecessors are stored.
func (m *Machine) chainOutcome(account, request string) Outcome {
	if m.turns[turnKey{account, request}] == nil {
		return UnknownTurn
	}
	for range len(m.turns) {
		t := m.turns[turnKey{account, request}]
		if t == nil {
			return LostChain
		}
		if request = t.Previous; request == "" {
			return Begun
		}
	}
	return LostChain // a cycle in damaged state
}

// after returns the time at which what must outlast a duration from now on expires, in Unix milliseconds.
func (m *Machine) after(d time.Duration) int64 {
	return m.clock + (d + retentionSlack).Milliseconds()
}

func (m *Machine) reserve(p *program, name string, tokens int64) {
	if _, exists := p.Reserved[name]; !exists {
		m.reservations++
	}
	p.Reserved[name] = tokens
}

func (m *Machine) release(p *program, name string) {
	if _, exists := p.Reserved[name]; exists {
		m.reservations--
		delete(p.Reserved, name)
	}
}

// home returns the home of a turn's line, or that of the program's main line, which has the program's name.
func (p *program) home(b *Begin) string {
	if i := p.homeIndex(b.Line); i >= 0 {
		return p.Homes[i].Upstream
	}
	if i := p.homeIndex(b.Program); i >= 0 {
		return p.Homes[i].Upstream
	}
	return ""
}

// homeIndex returns the index of a line's home, -1 if it isn't stored.
func (p *program) homeIndex(line string) int {
	hash := lineHash(line)
	return slices.IndexFunc(p.Homes, func(h lineHome) bool { return h.Line == hash })
}

// setHome stores the home of a turn's line. If there are too many, the oldest but the main line's is dropped.
func (p *program) setHome(e *End, upstream string) {
	if i := p.homeIndex(e.Line); i >= 0 {
		p.Homes = slices.Delete(p.Homes, i, i+1)
	} else if len(p.Homes) == maxHomes {
		oldest := 0
		if p.Homes[0].Line == lineHash(e.Program) {
			oldest = 1
		}
		p.Homes = slices.Delete(p.Homes, oldest, oldest+1)
	}
	p.Homes = append(p.Homes, lineHome{lineHash(e.Line), upstream})
}

// lineHash returns the hash by which a line is stored. Two lines with the same hash share a home, which costs time
// only.
func lineHash(line string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(line)) // never fails
	return h.Sum32()
}

func (p *program) totalReserved() int64 {
	var sum int64
	for _, n := range p.Reserved {
		sum += n
	}
	return sum
}

// program returns a program's record, which is created if needed and kept at least for the given time.
func (m *Machine) program(account, name string, keep time.Duration) *program {
	key := programKey{account, name}
	p := m.programs[key]
	if p == nil {
		p = &program{Reserved: map[string]int64{}, Settled: map[string]bool{}}
		m.programs[key] = p
	}
	p.Expires = max(p.Expires, m.after(keep))
	return p
}

func (m *Machine) end(e *End) Result {
	var r Result
	if e.Record && e.Previous != "" && m.turns[turnKey{e.Account, e.Request}] == nil {
		// The response is not completed, so what was delivered of it is settled by a later End.
		if outcome := m.chainOutcome(e.Account, e.Previous); outcome != Begun {
			return Result{Outcome: outcome}
		}
	}
	if e.Program != "" {
		r.NextReserved = m.settle(e)
	}
	key := turnKey{e.Account, e.Request}
	if e.Record && m.turns[key] == nil {
		expires := m.after(e.keep(r.NextReserved))
		m.turns[key] = &turn{Previous: e.Previous, Input: e.Input, Output: e.Output, Expires: expires}
		m.extendChain(e.Account, e.Previous, expires)
	}
	return r
}

// keep returns how long the turn is kept from now on.
func (e *End) keep(next bool) time.Duration {
	if next {
		return e.Timeout + e.Retention
	}
	return e.Retention
}

// programKeep returns how long the turn's program is kept from now on.
func (e *End) programKeep(next bool) time.Duration {
	return max(e.keep(next), e.Timeout+minProgramRetention)
}

// settle replaces a reservation by the tokens used, and reserves tokens for the next turn if
// requested. It reports whether that reservation exists.
func (m *Machine) settle(e *End) (next bool) {
	p := m.program(e.Account, e.Program, e.Retention)
	reservation := e.Reservation
	if reservation == "" {
		reservation = e.Request
	}
	following := NextReservation(e.Request)
	if !p.Settled[reservation] {
		p.Settled[reservation] = true
		m.release(p, reservation)
		p.Used += e.Tokens
		if e.Home != "" {
			p.setHome(e, m.intern(e.Home))
		}
		fits := p.Used+p.totalReserved()+nextHeadroom*e.NextMaxTokens <= e.Budget
		if e.NextMaxTokens > 0 && fits && m.reservations < maxReservations {
			m.reserve(p, following, e.NextMaxTokens)
		}
	}
	_, next = p.Reserved[following]
	next = next && e.NextMaxTokens > 0
	p.Expires = max(p.Expires, m.after(e.programKeep(next)))
	return next
}

// extendChain postpones the expiry of a turn and its predecessors to at least expires, so that a
// chain is kept as long as its last turn.
func (m *Machine) extendChain(account, request string, expires int64) {
	for range len(m.turns) {
		t := m.turns[turnKey{account, request}]
		if request == "" || t == nil || t.Expires >= expires {
			return
		}
		t.Expires = expires
		request = t.Previous
	}
}

// Chain returns the inputs and outputs of a turn and all its predecessors, oldest first. It reports
// whether all of them are stored. The caller must not modify the slices.
func (m *Machine) Chain(account, request string) (chain [][]byte, whole bool) {
	// Damaged state could contain a cycle, in which no turn is the first.
	for range len(m.turns) {
		t := m.turns[turnKey{account, request}]
		if t == nil {
			return nil, false
		}
		chain = append(chain, t.Output, t.Input)
		request = t.Previous
		if request == "" {
			slices.Reverse(chain)
			return chain, true
		}
	}
	return nil, false
}

// sweepInterval is the time between two removals of expired entries, in milliseconds of the log's
// clock.
const sweepInterval = 5000

// intern returns the copy of an upstream's ID or an origin that all programs and streams share.
func (m *Machine) intern(name string) string {
	if shared, ok := m.names[name]; ok {
		return shared
	}
	m.names[name] = name
	return name
}

func (m *Machine) sweep() {
	if m.clock-m.lastSweep < sweepInterval {
		return
	}
	m.lastSweep = m.clock
	clear(m.names)
	m.sweepStreams()
	for key, p := range m.programs {
		if p.Expires < m.clock {
			m.reservations -= len(p.Reserved)
			delete(m.programs, key)
		}
	}
	for key, t := range m.turns {
		if t.Expires < m.clock {
			delete(m.turns, key)
		}
	}
}

// Size returns the number of stored programs and turns.
func (m *Machine) Size() (programs, turns int) { return len(m.programs), len(m.turns) }

// Reservations returns the number of open reservations.
func (m *Machine) Reservations() int { return m.reservations }

// Finish adds the conversation to the result of a successful Begin that continues a turn, and
// returns any other result unchanged.
func (m *Machine) Finish(command, result []byte) []byte {
	c, err := decodeCommand(command)
	if err != nil || c.Begin == nil || c.Begin.Previous == "" {
		return result
	}
	r, err := DecodeResult(result)
	if err != nil || r.Outcome != Begun {
		return result
	}
	chain, whole := m.Chain(c.Begin.Account, c.Begin.Previous)
	if !whole {
		return Result{Outcome: c.Begin.knownOutcome(LostChain)}.Encode()
	}
	r.Chain = chain
	return r.Encode()
}
