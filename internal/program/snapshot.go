package program

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// The snapshot is the whole state in JSON, in a deterministic order: equal states have equal
// snapshots.

type snapshot struct {
	NowMS      int64             `json:"now_ms"`
	Index      uint64            `json:"index"`
	Token      string            `json:"token,omitempty"`
	Accounts   []accountSnapshot `json:"accounts"`
	Tombstones []tombstone       `json:"dead"`
	LostOwners []Owner           `json:"lost"`
	Engines    []engineSnapshot  `json:"engines"`
}

type accountSnapshot struct {
	ID                 string            `json:"id"`
	Purged             bool              `json:"forgot"`
	Programs           []programSnapshot `json:"programs"`
	Ended              []string          `json:"ended"`
	EndedNonRepeatable []string          `json:"ended_once"`
}

type programSnapshot struct {
	CreateCommand        Create      `json:"made"`
	HasParent            bool        `json:"has_parent"`
	Depth                int         `json:"depth"`
	OneCall              bool        `json:"one_call"`
	State                State       `json:"state"`
	CreatedIndex         uint64      `json:"born"`
	Limit                Budget      `json:"limit"`
	Used                 Budget      `json:"used"`
	Reserved             Budget      `json:"reserved"`
	Overrun              int64       `json:"overrun"`
	DeadlineMS           int64       `json:"deadline_ms"`
	CreatedMS            int64       `json:"created_ms"`
	ActiveMS             int64       `json:"active_ms"`
	EndedMS              int64       `json:"ended_ms"`
	History              [][]byte    `json:"history"`
	HistoryHash          []byte      `json:"history_hash"`
	Bytes                int64       `json:"bytes"`
	Turns                []turn      `json:"turns"`
	HasNonRepeatable     bool        `json:"once"`
	Running              *attempt    `json:"running"`
	MayHaveRunHash       string      `json:"ran_hash"`
	NonRepeatableStarted bool        `json:"once_started"`
	Cancelled            bool        `json:"cancelled"`
	ReplacedMayHaveRun   bool        `json:"stray_ran"`
	Begins               uint64      `json:"begins"`
	Residencies          []residency `json:"residencies"`
}

type engineSnapshot struct {
	Name        string           `json:"name"`
	Incarnation int64            `json:"incarnation"`
	GoneUpTo    int64            `json:"gone_up_to"`
	Pending     map[string]int64 `json:"pending"`
	Orphans     map[string]int64 `json:"suspects"`
}

// Snapshot returns the whole state in JSON.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{NowMS: m.nowMS, Index: m.index, Token: m.token, Tombstones: m.tombstones.queue}
	for _, id := range slices.Sorted(maps.Keys(m.accounts)) {
		s.Accounts = append(s.Accounts, m.accounts[id].snapshot(id))
	}
	for _, vm := range slices.Sorted(maps.Keys(m.lostOwners)) {
		s.LostOwners = append(s.LostOwners, Owner{VM: vm, Incarnation: m.lostOwners[vm]})
	}
	for _, name := range slices.Sorted(maps.Keys(m.engines)) {
		e := m.engines[name]
		s.Engines = append(s.Engines, engineSnapshot{
			Name:        name,
			Incarnation: e.incarnation,
			GoneUpTo:    e.goneUpTo,
			Pending:     e.pending,
			Orphans:     e.orphans,
		})
	}
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "program: cannot encode a snapshot")
}

func (a *account) snapshot(id string) accountSnapshot {
	s := accountSnapshot{ID: id, Purged: a.purged, Ended: programNames(a.ended), EndedNonRepeatable: programNames(a.endedNonRepeatable)}
	for _, name := range slices.Sorted(maps.Keys(a.programs)) {
		s.Programs = append(s.Programs, a.programs[name].snapshot())
	}
	return s
}

func programNames(programs []*program) []string {
	list := []string{}
	for _, p := range programs {
		list = append(list, p.name)
	}
	return list
}

func (p *program) snapshot() programSnapshot {
	return programSnapshot{
		CreateCommand:        p.createCommand,
		HasParent:            p.parent != nil,
		Depth:                p.depth,
		OneCall:              p.oneCall,
		State:                p.state,
		CreatedIndex:         p.createdIndex,
		Limit:                p.limit,
		Used:                 p.used,
		Reserved:             p.reserved,
		Overrun:              p.overrun,
		DeadlineMS:           p.deadlineMS,
		CreatedMS:            p.createdMS,
		ActiveMS:             p.activeMS,
		EndedMS:              p.endedMS,
		History:              p.history,
		HistoryHash:          p.historyHash,
		Bytes:                p.bytes,
		Turns:                p.turns,
		HasNonRepeatable:     p.hasNonRepeatable,
		Running:              p.next.running,
		MayHaveRunHash:       p.next.mayHaveRunHash,
		NonRepeatableStarted: p.next.nonRepeatableStarted,
		Cancelled:            p.next.cancelled,
		ReplacedMayHaveRun:   p.replacedMayHaveRun,
		Begins:               p.begins,
		Residencies:          p.residencies,
	}
}

// Restore replaces the state with that of a snapshot. If it fails, the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "program: cannot read a snapshot")
	}
	fresh := New(m.limits)
	fresh.checksEnabled = m.checksEnabled
	fresh.nowMS = s.NowMS
	fresh.index = s.Index
	fresh.home = m.home
	fresh.token = s.Token
	for _, a := range s.Accounts {
		if err := fresh.restoreAccount(&a); err != nil {
			return err
		}
	}
	fresh.tombstones.queue = s.Tombstones
	for _, a := range s.Tombstones {
		fresh.tombstones.byID[a.ID] = a
	}
	for _, o := range s.LostOwners {
		fresh.lostOwners[o.VM] = o.Incarnation
	}
	for _, e := range s.Engines {
		fresh.engines[e.Name] = &engine{
			incarnation: e.Incarnation,
			goneUpTo:    e.GoneUpTo,
			pending:     e.Pending,
			orphans:     e.Orphans,
		}
	}
	if err := fresh.checkInvariants(); err != nil {
		return errors.Wrap(err, "program: the snapshot is not a valid state")
	}
	*m = *fresh
	return nil
}

func (m *Machine) restoreAccount(s *accountSnapshot) error {
	a := m.account(s.ID)
	a.purged = s.Purged
	for i := range s.Programs {
		p := s.Programs[i].program()
		a.programs[p.name] = p
		if p.state == StateLive {
			m.live[p.sessionBase] = p
		}
		if p.next.running != nil {
			m.running[p.next.running.ID] = p
		}
	}
	for i := range s.Programs {
		if !s.Programs[i].HasParent {
			continue
		}
		child, parent := a.programs[s.Programs[i].CreateCommand.Name], a.programs[s.Programs[i].CreateCommand.Parent]
		if parent == nil {
			return errors.Newf("program: the snapshot lacks the parent of %s", child.path())
		}
		child.parent = parent
		parent.children[child.name] = child
	}
	var err error
	if a.ended, err = a.lookupPrograms(s.Ended); err != nil {
		return err
	}
	a.endedNonRepeatable, err = a.lookupPrograms(s.EndedNonRepeatable)
	return err
}

func (a *account) lookupPrograms(list []string) ([]*program, error) {
	var programs []*program
	for _, name := range list {
		p := a.programs[name]
		if p == nil {
			return nil, errors.Newf("program: the snapshot lacks the ended program %q", name)
		}
		programs = append(programs, p)
	}
	return programs, nil
}

func (s *programSnapshot) program() *program {
	p := &program{
		account:          s.CreateCommand.Account,
		name:             s.CreateCommand.Name,
		parentName:       s.CreateCommand.Parent,
		children:         map[string]*program{},
		depth:            s.Depth,
		createCommand:    s.CreateCommand,
		oneCall:          s.OneCall,
		state:            s.State,
		createdIndex:     s.CreatedIndex,
		limit:            s.Limit,
		used:             s.Used,
		reserved:         s.Reserved,
		overrun:          s.Overrun,
		deadlineMS:       s.DeadlineMS,
		createdMS:        s.CreatedMS,
		activeMS:         s.ActiveMS,
		endedMS:          s.EndedMS,
		history:          s.History,
		historyHash:      s.HistoryHash,
		bytes:            s.Bytes,
		turns:            s.Turns,
		turnByKey:        map[string]uint64{},
		hasNonRepeatable: s.HasNonRepeatable,
		next: openTurn{
			running:              s.Running,
			mayHaveRunHash:       s.MayHaveRunHash,
			nonRepeatableStarted: s.NonRepeatableStarted,
			cancelled:            s.Cancelled,
		},
		replacedMayHaveRun: s.ReplacedMayHaveRun,
		begins:             s.Begins,
		residencies:        s.Residencies,
	}
	p.sessionBase = p.deriveSessionBase()
	for i, t := range p.turns {
		if t.IdempotencyKey != "" {
			p.turnByKey[t.IdempotencyKey] = uint64(i + 1)
		}
	}
	return p
}
