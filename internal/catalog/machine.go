// Package catalog is the state machine of the control group of a fleet that finds its VMs by
// seeds: the operators' document in force, the VMs that form the groups of the store, and the store VMs
// that are being emptied.
package catalog

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// PutDocument puts a document in force if its version is higher than that of the one in force.
type PutDocument struct {
	Version uint64 `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"`
}

// FormStore names the VMs that form each group of the store. Only the first one counts.
type FormStore struct {
	Groups [][]string `cbor:"1,keyasint"`
}

// EmptyVM orders that a VM gives up what it stores.
type EmptyVM struct {
	VM string `cbor:"1,keyasint"`
}

// Command is one log entry: one of its fields is set.
type Command struct {
	PutDocument *PutDocument `cbor:"1,keyasint,omitempty"`
	FormStore   *FormStore   `cbor:"2,keyasint,omitempty"`
	EmptyVM     *EmptyVM     `cbor:"3,keyasint,omitempty"`
}

// Outcome of PutDocument.
type Outcome int

// Outcomes.
const (
	InForce    Outcome = iota // the document is in force, now or already
	Superseded                // a higher version is in force; nothing changed
	Conflict                  // other content has this version; nothing changed
)

// Result is the answer to a command.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// InForce is the version in force.
	InForce uint64 `cbor:"2,keyasint"`
}

// Document is the operators' configuration as it was sent.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"`
}

// Machine is the state machine. Its owner calls it from one goroutine.
type Machine struct {
	document    Document
	storeGroups [][]string
	emptying    []string
	// changed is told each new state, nil for nobody.
	onChange func(State)
}

// State is what the machine holds. It must not be changed.
type State struct {
	Document Document `cbor:"1,keyasint"`
	// StoreGroups are the VMs that form each group of the store.
	StoreGroups [][]string `cbor:"2,keyasint"`
	Emptying    []string   `cbor:"3,keyasint"`
}

// New returns an empty machine that passes each new state to changed.
func New(onChange func(State)) *Machine { return &Machine{onChange: onChange} }

// Encode returns the command as a log entry.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "catalog: encode a command")
}

// DecodeResult reads what Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "catalog: decode a result")
}

// Apply runs one committed command.
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

// State returns the present state.
func (m *Machine) State() State {
	return State{Document: m.document, StoreGroups: m.storeGroups, Emptying: m.emptying}
}

func (m *Machine) publish() {
	if m.onChange != nil {
		m.onChange(m.State())
	}
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(m.State())
	return data, errors.Wrap(err, "catalog: encode a snapshot")
}

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	var s State
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "catalog: decode a snapshot")
	}
	m.document, m.storeGroups, m.emptying = s.Document, s.StoreGroups, s.Emptying
	m.publish()
	return nil
}

// Query returns the whole state, CBOR-encoded; the query itself is empty.
func (m *Machine) Query([]byte) []byte {
	data, err := cbor.Marshal(m.State())
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "catalog: cannot encode the state"))
	}
	return data
}

// DecodeState reads the answer to a query.
func DecodeState(data []byte) (State, error) {
	var s State
	err := cbor.Unmarshal(data, &s)
	return s, errors.Wrap(err, "catalog: decode the state")
}
