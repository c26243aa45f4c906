package control

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"egretramp/internal/ratelimit"
)

// ErrSnapshot is wrapped by errors that report an invalid snapshot.
var ErrSnapshot = errors.New("control: invalid snapshot")

// snapshotVersion is the format version of snapshots. Restore refuses any other.
const snapshotVersion = 1

// snapshot is the encoded state. Lists are sorted, so that equal states have the same encoding.
type snapshot struct {
	Version   int               `json:"version"`
	Index     uint64            `json:"index"`
	Config    Config            `json:"config"`
	History   []Acceptance      `json:"history"`
	Keys      map[string]string `json:"keys"` // encoding/json sorts map keys
	Withdrawn []WithdrawnKey    `json:"withdrawn"`
	Epoch     uint64            `json:"epoch"`
	VMs       []VM              `json:"vms"`
	Removed   map[string]int64  `json:"removed"`
	Last      uint64            `json:"last_fencing"`
	Fencing   []Fencing         `json:"fencing"`
	Splits    Splits            `json:"splits"`

	Limits map[string]ratelimit.Limit `json:"limits"`

	Orders map[string]OrderRight `json:"orders,omitempty"`
	Loads  Loads                 `json:"loads"`
}

// Snapshot encodes the state. Equal states have the same encoding, byte for byte.
func (m *Machine) Snapshot() ([]byte, error) {
	view := m.View()
	data, err := json.Marshal(snapshot{
		Version:   snapshotVersion,
		Index:     m.index,
		Config:    m.config,
		History:   m.history,
		Keys:      m.keys,
		Withdrawn: m.withdrawn.after(0),
		Epoch:     m.members.epoch,
		VMs:       view.Members.VMs,
		Removed:   m.members.removedIncarnations,
		Last:      m.fencing.last,
		Fencing:   view.Fencing,
		Splits:    m.splits,
		Limits:    m.limits,
		Orders:    m.orderRights,
		Loads:     m.loads,
	})
	return data, errors.Wrap(err, "control: cannot encode a snapshot")
}

// Restore replaces the state with a snapshot, which must not be older. Errors wrap ErrSnapshot
// and leave the state unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return badSnapshot("it can't be decoded: %v", err)
	}
	if s.Version != snapshotVersion {
		return badSnapshot("it has version %d, this program reads version %d", s.Version, snapshotVersion)
	}
	if s.Index < m.index {
		return badSnapshot("its log index %d is below %d", s.Index, m.index)
	}
	restored := s.machine()
	if err := restored.consistentSnapshot(m.highWater); err != nil {
		return badSnapshot("%v", err)
	}
	*m = *restored
	return nil
}

func badSnapshot(format string, args ...any) error {
	return errors.Wrapf(ErrSnapshot, format, args...)
}

// machine returns a machine with the decoded state.
func (s *snapshot) machine() *Machine {
	m := New()
	m.index, m.config, m.history = s.Index, s.Config, s.History
	for id, hash := range s.Keys {
		m.keys[id] = hash
	}
	for _, k := range s.Withdrawn {
		m.withdrawn.add(k)
	}
	m.members.epoch = s.Epoch
	for _, vm := range s.VMs {
		m.members.vms[vm.VM] = vm
	}
	for vm, incarnation := range s.Removed {
		m.members.removedIncarnations[vm] = incarnation
	}
	m.fencing.last = s.Last
	m.splits = s.Splits
	m.limits = s.Limits
	m.loads = s.Loads
	for zone, right := range s.Orders {
		m.orderRights[zone] = right
	}
	for _, f := range s.Fencing {
		m.fencing.byResource[f.Resource] = f
	}
	return m
}

// consistentSnapshot checks a decoded state against an earlier one and sets its highWater.
func (m *Machine) consistentSnapshot(earlier highWater) error {
	m.highWater = highWater{
		generation: m.config.Generation,
		hash:       m.config.Hash,
		withdrawn:  len(m.withdrawn.byID),
		epoch:      m.members.epoch,
		fencing:    m.fencing.last,
		splits:     m.splits,
	}
	if err := m.highWater.checkNotBelow(earlier); err != nil {
		return err
	}
	if m.config.Generation > 0 && HashText(m.config.Text) != m.config.Hash {
		return errors.Newf("generation %d has another hash than its text", m.config.Generation)
	}
	for _, vm := range m.members.vms {
		if vm.Epoch > m.members.epoch {
			return errors.Newf("VM %q is newer than the epoch", vm.VM)
		}
	}
	for _, f := range m.fencing.byResource {
		if f.Number > m.fencing.last {
			return errors.Newf("fencing number of %q is above the last issued", f.Resource)
		}
	}
	return m.consistent(false)
}
