// Package catalog implements the replicated state machine of the control group in a fleet that
// discovers its VMs through seeds: the operators' active configuration document, the VMs that form
// each group of the store, the store VMs that are being emptied, and the availability zones that are
// out of service.
package catalog

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// PutDocument activates a document if its version is higher than that of the active one.
type PutDocument struct {
	Version uint64 `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"`
}

// FormStore sets the VMs that form each group of the store. Only the first FormStore takes effect.
type FormStore struct {
	Groups [][]string `cbor:"1,keyasint"`
}

// EmptyVM requests that a store VM gives up the replicas that it holds.
type EmptyVM struct {
	VM string `cbor:"1,keyasint"`
}

// Command is one log entry; exactly one of its fields is set.
type Command struct {
	PutDocument   *PutDocument   `cbor:"1,keyasint,omitempty"`
	FormStore     *FormStore     `cbor:"2,keyasint,omitempty"`
	EmptyVM       *EmptyVM       `cbor:"3,keyasint,omitempty"`
	SetEvacuation *SetEvacuation `cbor:"4,keyasint,omitempty"`
}

// Outcome is the outcome of a PutDocument or SetEvacuation.
type Outcome int

// Outcomes.
const (
	InForce    Outcome = iota // the document is active, now or already before
	Superseded                // a higher version is active, or another order was applied since After; nothing changed
	Conflict                  // the active document has this version and other content; nothing changed
)

// Result is the result of applying a command.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// InForce is the version of the active document.
	InForce uint64 `cbor:"2,keyasint"`
}

// Document is the operators' configuration as it was submitted.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"`
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	document    Document
	storeGroups [][]string
	emptying    []string
	evacuated   []string // sorted
	// evacuationVersion is the number of changes of evacuated, evacuationOrders that of the orders that were applied.
	evacuationVersion, evacuationOrders uint64
	// onChange is called with each new state unless it is nil.
	onChange func(State)
}

// State is the machine's state. It shares memory with the machine and must not be modified.
type State struct {
	Document Document `cbor:"1,keyasint"`
	// StoreGroups are the VMs that form each group of the store.
	StoreGroups [][]string `cbor:"2,keyasint"`
	Emptying    []string   `cbor:"3,keyasint"`
	// Evacuated are the zones that are out of service, sorted, and EvacuationVersion is the number of changes of that
	// list.
	Evacuated         []string `cbor:"4,keyasint,omitempty"`
	EvacuationVersion uint64   `cbor:"5,keyasint,omitempty"`
	// EvacuationOrders is the number of SetEvacuation commands that were applied, including those that changed nothing.
	EvacuationOrders uint64 `cbor:"6,keyasint,omitempty"`
}

// New returns an empty machine that passes each new state to onChange, if that is not nil.
func New(onChange func(State)) *Machine { return &Machine{onChange: onChange} }

// Encode returns the command as a log entry.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "catalog: encode a command")
}

// DecodeResult decodes a Result that Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "catalog: decode a result")
}

// Apply executes one committed command and returns its encoded Result. A command that cannot be
// decoded changes nothing and has the outcome Conflict.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	var c Command
	result := Result{Outcome: Conflict}
	if err := cbor.Unmarshal(data, &c); err == nil {
		result.Outcome = m.execute(c)
	}
	result.InForce = m.document.Version
	encoded, err := cbor.Marshal(result)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "catalog: cannot encode a result"))
	}
	return encoded
}

func (m *Machine) execute(c Command) Outcome {
	switch {
	case c.PutDocument != nil:
		return m.putDocument(c.PutDocument)
	case c.FormStore != nil:
		if len(m.storeGroups) == 0 {
			m.storeGroups = c.FormStore.Groups
			m.publish()
		}
	case c.EmptyVM != nil:
		if !slices.Contains(m.emptying, c.EmptyVM.VM) {
			m.emptying = append(slices.Clone(m.emptying), c.EmptyVM.VM)
			m.publish()
		}
	case c.SetEvacuation != nil:
		return m.setEvacuation(c.SetEvacuation)
	}
	return InForce
}

func (m *Machine) putDocument(p *PutDocument) Outcome {
	switch {
	case p.Version > m.document.Version:
		m.document = Document{Version: p.Version, Data: p.Data}
		m.publish()
		return InForce
	case p.Version < m.document.Version:
		return Superseded
	case bytes.Equal(p.Data, m.document.Data):
		return InForce
	}
	return Conflict
}

// State returns the current state.
func (m *Machine) State() State {
	return State{
		Document: m.document, StoreGroups: m.storeGroups, Emptying: m.emptying,
		Evacuated: m.evacuated, EvacuationVersion: m.evacuationVersion, EvacuationOrders: m.evacuationOrders,
	}
}

func (m *Machine) publish() {
	if m.onChange != nil {
		m.onChange(m.State())
	}
}

// Snapshot returns the complete state, CBOR-encoded.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(m.State())
	return data, errors.Wrap(err, "catalog: encode a snapshot")
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	var s State
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "catalog: decode a snapshot")
	}
	m.document, m.storeGroups, m.emptying = s.Document, s.StoreGroups, s.Emptying
	m.evacuated, m.evacuationVersion, m.evacuationOrders = s.Evacuated, s.EvacuationVersion, s.EvacuationOrders
	m.publish()
	return nil
}

// WithoutDocument is the argument of a Query for the state without the document's content, which may have megabytes. A
// replica of an earlier release returns the complete state all the same.
var WithoutDocument = []byte("without document")

// Query returns the state, CBOR-encoded: the complete one, or that for WithoutDocument.
func (m *Machine) Query(argument []byte) []byte {
	state := m.State()
	if bytes.Equal(argument, WithoutDocument) {
		state.Document.Data = nil
	}
	data, err := cbor.Marshal(state)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "catalog: cannot encode the state"))
	}
	return data
}

// DecodeState decodes the result of Query.
func DecodeState(data []byte) (State, error) {
	var s State
	err := cbor.Unmarshal(data, &s)
	return s, errors.Wrap(err, "catalog: decode the state")
}
