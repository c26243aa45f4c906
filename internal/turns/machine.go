// Package turns is the state machine of the store group: the token budgets of programs, and the
// turns of conversations that the system keeps. A turn names the turn that it continues, so
// conversations are trees; several turns may continue the same one.
//
// A VM that runs a turn begins it first, which reserves the most tokens that it may generate,
// and ends it when its answer is complete, which settles the reservation and records the turn.
// Both may be repeated. A reservation whose VM is lost stays until the program is forgotten,
// so a budget is never exceeded.
package turns

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// retentionSlack is added to how long turns and programs are kept: the clocks of the VMs that
// send commands may differ by seconds.
const retentionSlack = 8 * time.Second

// maxChainLength bounds the turns of one chain, against a loop in damaged state.
const maxChainLength = 4096

// Outcome of Begin.
type Outcome int

// Outcomes.
const (
	Begun       Outcome = iota // the tokens are reserved
	BudgetSpent                // the program's budget doesn't hold the turn
	UnknownTurn                // the account has no such previous turn
)

// Begin reserves tokens for a turn.
type Begin struct {
	Account  string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
	Request  string `cbor:"3,keyasint"`           // ID of the client attempt
	Previous string `cbor:"4,keyasint,omitempty"` // the turn that it continues
	Budget   int64  `cbor:"5,keyasint,omitempty"` // tokens
	// HasBudget tells a budget of 0 from none.
	HasBudget bool  `cbor:"7,keyasint,omitempty"`
	MaxTokens int64 `cbor:"6,keyasint,omitempty"` // tokens that the turn may generate
}

// End settles a turn's reservation and may record the turn.
type End struct {
	Account  string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
	Request  string `cbor:"3,keyasint"`
	Tokens   int64  `cbor:"4,keyasint"` // tokens that were handed to the caller
	Record   bool   `cbor:"5,keyasint,omitempty"`
	Previous string `cbor:"6,keyasint,omitempty"`
	// Input and Output follow the encoded command, so that a decoded one shares their bytes with
	// the log entry: the log and the state then hold them once.
	Input     []byte        `cbor:"-"`
	Output    []byte        `cbor:"-"`
	Retention time.Duration `cbor:"9,keyasint,omitempty"`
	// Reservation names the reservation to settle, if it isn't that of Request.
	Reservation string `cbor:"10,keyasint,omitempty"`
	// NextMaxTokens asks for a reservation of so many tokens for the turn that will follow, under the
	// name NextReservation(Request). Budget is the program's, as in Begin.
	NextMaxTokens int64 `cbor:"11,keyasint,omitempty"`
	Budget        int64 `cbor:"12,keyasint,omitempty"`
}

// NextReservation names the reservation that the end of a turn made for the one that follows.
func NextReservation(request string) string { return "next:" + request }

// nextHeadroom is how many turns a budget must hold for one to be reserved ahead: near its end a
// reservation that another VM holds would stop a program too early.
const nextHeadroom = 3

// Command is one log entry: one of its fields is set.
type Command struct {
	// Now is the sender's wall clock, in Unix milliseconds.
	Now   int64  `cbor:"1,keyasint"`
	Begin *Begin `cbor:"2,keyasint,omitempty"`
	End   *End   `cbor:"3,keyasint,omitempty"`
}

// Result is the answer to a command.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	// NextReserved tells that the reservation for the following turn was made.
	NextReserved bool `cbor:"6,keyasint,omitempty"`
	// Chain is the conversation that a begun turn continues: inputs and outputs by turns, the
	// oldest first. The leader adds it; it is no part of the applied result.
	Chain [][]byte `cbor:"2,keyasint,omitempty"`
	// Known tells that the program had a turn before.
	Known bool `cbor:"5,keyasint,omitempty"`
	// Used and Reserved are the program's tokens when BudgetSpent was decided.
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
	// Settled are the requests that ended, so that a repeated Begin doesn't reserve again.
	Settled map[string]bool `cbor:"3,keyasint,omitempty"`
	Expires int64           `cbor:"4,keyasint"`
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

// Machine is the state machine. Its owner calls it from one goroutine.
type Machine struct {
	programs  map[programKey]*program
	turns     map[turnKey]*turn
	clock     int64 // the highest clock seen, in Unix milliseconds
	lastSweep int64
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{programs: map[programKey]*program{}, turns: map[turnKey]*turn{}}
}

// headerSize is the size of the two lengths that begin a log entry: those of the encoded
// command and of the input. The rest is the output.
const headerSize = 8

var errTruncatedCommand = errors.New("turns: a command is cut short")

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

// decodeCommand reads a log entry. The command shares the entry's bytes.
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

// DecodeResult reads what Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "turns: decode a result")
}

// Encode returns the result's encoding.
func (r Result) Encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "turns: cannot encode a result"))
	}
	return data
}

// Apply runs one committed command.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	c, err := decodeCommand(data)
	if err != nil {
		// Every replica skips it alike.
		return Result{Outcome: UnknownTurn}.Encode()
	}
	m.clock = max(m.clock, c.Now)
	m.sweep()
	switch {
	case c.Begin != nil:
		return m.begin(c.Begin).Encode()
	case c.End != nil:
		return m.end(c.End).Encode()
	}
	return Result{}.Encode()
}

func (m *Machine) begin(b *Begin) Result {
	if b.Previous != "" && m.turns[turnKey{b.Account, b.Previous}] == nil {
		return Result{Outcome: UnknownTurn}
	}
	if !b.HasBudget {
		return Result{Known: b.Previous != ""}
	}
	p := m.program(b.Account, b.Program)
	known := len(p.Reserved) > 0 || p.Used > 0
	if _, reserved := p.Reserved[b.Request]; reserved || p.Settled[b.Request] {
		return Result{Known: known}
	}
	reserved := p.totalReserved()
	if p.Used+reserved+b.MaxTokens > b.Budget {
		return Result{Outcome: BudgetSpent, Used: p.Used, Reserved: reserved}
	}
	p.Reserved[b.Request] = b.MaxTokens
	return Result{Known: known}
}

func (p *program) totalReserved() int64 {
	var sum int64
	for _, n := range p.Reserved {
		sum += n
	}
	return sum
}

func (m *Machine) program(account, name string) *program {
	key := programKey{account, name}
	p := m.programs[key]
	if p == nil {
		p = &program{Reserved: map[string]int64{}, Settled: map[string]bool{}}
		m.programs[key] = p
	}
	p.Expires = max(p.Expires, m.clock+retentionSlack.Milliseconds())
	return p
}

func (m *Machine) end(e *End) Result {
	var r Result
	if e.Program != "" {
		r.NextReserved = m.settle(e)
	}
	key := turnKey{e.Account, e.Request}
	if e.Record && m.turns[key] == nil {
		expires := m.clock + (e.Retention + retentionSlack).Milliseconds()
		m.turns[key] = &turn{Previous: e.Previous, Input: e.Input, Output: e.Output, Expires: expires}
		m.extendChain(e.Account, e.Previous, expires)
	}
	return r
}

// settle replaces a reservation by what was used, and reserves for the next turn if asked to.
func (m *Machine) settle(e *End) (next bool) {
	p := m.program(e.Account, e.Program)
	p.Expires = max(p.Expires, m.clock+(e.Retention+retentionSlack).Milliseconds())
	reservation := e.Reservation
	if reservation == "" {
		reservation = e.Request
	}
	following := NextReservation(e.Request)
	if !p.Settled[reservation] {
		p.Settled[reservation] = true
		delete(p.Reserved, reservation)
		p.Used += e.Tokens
		if e.NextMaxTokens > 0 && p.Used+p.totalReserved()+nextHeadroom*e.NextMaxTokens <= e.Budget {
			p.Reserved[following] = e.NextMaxTokens
		}
	}
	_, next = p.Reserved[following]
	return next && e.NextMaxTokens > 0
}

// extendChain keeps a turn's chain for as long as the turn.
func (m *Machine) extendChain(account, request string, expires int64) {
	for range maxChainLength {
		t := m.turns[turnKey{account, request}]
		if request == "" || t == nil || t.Expires >= expires {
			return
		}
		t.Expires = expires
		request = t.Previous
	}
}

// Chain returns the inputs and outputs of a turn and all turns before it, the oldest first; nil
// if the account has no such turn. The slices must not be changed.
func (m *Machine) Chain(account, request string) [][]byte {
	var backwards [][]byte
	for range maxChainLength {
		if request == "" {
			break
		}
		t := m.turns[turnKey{account, request}]
		if t == nil {
			return nil
		}
		backwards = append(backwards, t.Output, t.Input)
		request = t.Previous
	}
	chain := make([][]byte, len(backwards))
	for i, part := range backwards {
		chain[len(backwards)-1-i] = part
	}
	return chain
}

// sweepInterval is how often expired entries are looked for, in milliseconds of the log's clock.
const sweepInterval = 5000

func (m *Machine) sweep() {
	if m.clock-m.lastSweep < sweepInterval {
		return
	}
	m.lastSweep = m.clock
	for key, p := range m.programs {
		if p.Expires < m.clock {
			delete(m.programs, key)
		}
	}
	for key, t := range m.turns {
		if t.Expires < m.clock {
			delete(m.turns, key)
		}
	}
}

// Size returns the number of programs and turns that are kept.
func (m *Machine) Size() (programs, turns int) { return len(m.programs), len(m.turns) }

// Finish adds the conversation to the result of a turn that was begun.
func (m *Machine) Finish(command, result []byte) []byte {
	c, err := decodeCommand(command)
	if err != nil || c.Begin == nil || c.Begin.Previous == "" {
		return result
	}
	r, err := DecodeResult(result)
	if err != nil || r.Outcome != Begun {
		return result
	}
	r.Chain = m.Chain(c.Begin.Account, c.Begin.Previous)
	return r.Encode()
}
