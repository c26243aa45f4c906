package program

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// The snapshot is the whole state in JSON, in a fixed order: equal states have equal snapshots.

type snapshot struct {
	NowMS    int64             `json:"now_ms"`
	Index    uint64            `json:"index"`
	Token    string            `json:"token,omitempty"`
	Accounts []accountSnapshot `json:"accounts"`
	Dead     []deadAttempt     `json:"dead"`
	Lost     []Owner           `json:"lost"`
	Engines  []engineSnapshot  `json:"engines"`
}

type accountSnapshot struct {
	ID        string            `json:"id"`
	Forgot    bool              `json:"forgot"`
	Programs  []programSnapshot `json:"programs"`
	Ended     []string          `json:"ended"`
	EndedOnce []string          `json:"ended_once"`
}

type programSnapshot struct {
	Made        Create      `json:"made"`
	HasParent   bool        `json:"has_parent"`
	Depth       int         `json:"depth"`
	OneCall     bool        `json:"one_call"`
	State       State       `json:"state"`
	Born        uint64      `json:"born"`
	Limit       Budget      `json:"limit"`
	Used        Budget      `json:"used"`
	Reserved    Budget      `json:"reserved"`
	Overrun     int64       `json:"overrun"`
	DeadlineMS  int64       `json:"deadline_ms"`
	CreatedMS   int64       `json:"created_ms"`
	ActiveMS    int64       `json:"active_ms"`
	EndedMS     int64       `json:"ended_ms"`
	History     [][]byte    `json:"history"`
	HistoryHash []byte      `json:"history_hash"`
	Bytes       int64       `json:"bytes"`
	Turns       []turn      `json:"turns"`
	Once        bool        `json:"once"`
	Running     *attempt    `json:"running"`
	RanHash     string      `json:"ran_hash"`
	OnceStarted bool        `json:"once_started"`
	Cancelled   bool        `json:"cancelled"`
	StrayRan    bool        `json:"stray_ran"`
	Begins      uint64      `json:"begins"`
	Residencies []residency `json:"residencies"`
}

type engineSnapshot struct {
	Name        string           `json:"name"`
	Incarnation int64            `json:"incarnation"`
	GoneUpTo    int64            `json:"gone_up_to"`
	Pending     map[string]int64 `json:"pending"`
	Suspects    map[string]int64 `json:"suspects"`
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{NowMS: m.nowMS, Index: m.index, Token: m.token, Dead: m.dead.queue}
	for _, id := range slices.Sorted(maps.Keys(m.accounts)) {
		s.Accounts = append(s.Accounts, m.accounts[id].snapshot(id))
	}
	for _, vm := range slices.Sorted(maps.Keys(m.lost)) {
		s.Lost = append(s.Lost, Owner{VM: vm, Incarnation: m.lost[vm]})
	}
	for _, name := range slices.Sorted(maps.Keys(m.engines)) {
		e := m.engines[name]
		s.Engines = append(s.Engines, engineSnapshot{
			Name:        name,
			Incarnation: e.incarnation,
			GoneUpTo:    e.goneUpTo,
			Pending:     e.pending,
			Suspects:    e.suspects,
		})
	}
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "program: cannot encode a snapshot")
}

func (a *account) snapshot(id string) accountSnapshot {
	s := accountSnapshot{ID: id, Forgot: a.forgot, Ended: names(a.ended), EndedOnce: names(a.endedOnce)}
	for _, name := range slices.Sorted(maps.Keys(a.programs)) {
		s.Programs = append(s.Programs, a.programs[name].snapshot())
	}
	return s
}

func names(programs []*program) []string {
	list := []string{}
	for _, p := range programs {
		list = append(list, p.name)
	}
	return list
}

func (p *program) snapshot() programSnapshot {
	return programSnapshot{
		Made:        p.made,
		HasParent:   p.parent != nil,
		Depth:       p.depth,
		OneCall:     p.oneCall,
		State:       p.state,
		Born:        p.born,
		Limit:       p.limit,
		Used:        p.used,
		Reserved:    p.reserved,
		Overrun:     p.overrun,
		DeadlineMS:  p.deadlineMS,
		CreatedMS:   p.createdMS,
		ActiveMS:    p.activeMS,
		EndedMS:     p.endedMS,
		History:     p.history,
		HistoryHash: p.historyHash,
		Bytes:       p.bytes,
		Turns:       p.turns,
		Once:        p.once,
		Running:     p.next.running,
		RanHash:     p.next.ranHash,
		OnceStarted: p.next.onceStarted,
		Cancelled:   p.next.cancelled,
		StrayRan:    p.strayRan,
		Begins:      p.begins,
		Residencies: p.residencies,
	}
}

// Restore replaces the state by that of a snapshot. The state is unchanged if it fails.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "program: cannot read a snapshot")
	}
	fresh := New(m.limits)
	fresh.checked = m.checked
	fresh.nowMS = s.NowMS
	fresh.index = s.Index
	fresh.home = m.home
	fresh.token = s.Token
	for _, a := range s.Accounts {
		if err := fresh.restoreAccount(&a); err != nil {
			return err
		}
	}
	fresh.dead.queue = s.Dead
	for _, a := range s.Dead {
		fresh.dead.byID[a.ID] = a
	}
	for _, o := range s.Lost {
		fresh.lost[o.VM] = o.Incarnation
	}
	for _, e := range s.Engines {
		fresh.engines[e.Name] = &engine{
			incarnation: e.Incarnation,
			goneUpTo:    e.GoneUpTo,
			pending:     e.Pending,
			suspects:    e.Suspects,
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
	a.forgot = s.Forgot
	for i := range s.Programs {
		p := s.Programs[i].program()
		a.programs[p.name] = p
		if p.state == StateLive {
			m.live[p.base] = p
		}
		if p.next.running != nil {
			m.running[p.next.running.ID] = p
		}
	}
	for i := range s.Programs {
		if !s.Programs[i].HasParent {
			continue
		}
		child, parent := a.programs[s.Programs[i].Made.Name], a.programs[s.Programs[i].Made.Parent]
		if parent == nil {
			return errors.Newf("program: the snapshot lacks the parent of %s", child.path())
		}
		child.parent = parent
		parent.children[child.name] = child
	}
	var err error
	if a.ended, err = a.byName(s.Ended); err != nil {
		return err
	}
	a.endedOnce, err = a.byName(s.EndedOnce)
	return err
}

func (a *account) byName(list []string) ([]*program, error) {
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
		account:     s.Made.Account,
		name:        s.Made.Name,
		parentName:  s.Made.Parent,
		children:    map[string]*program{},
		depth:       s.Depth,
		made:        s.Made,
		oneCall:     s.OneCall,
		state:       s.State,
		born:        s.Born,
		limit:       s.Limit,
		used:        s.Used,
		reserved:    s.Reserved,
		overrun:     s.Overrun,
		deadlineMS:  s.DeadlineMS,
		createdMS:   s.CreatedMS,
		activeMS:    s.ActiveMS,
		endedMS:     s.EndedMS,
		history:     s.History,
		historyHash: s.HistoryHash,
		bytes:       s.Bytes,
		turns:       s.Turns,
		keys:        map[string]uint64{},
		once:        s.Once,
		next: openTurn{
			running:     s.Running,
			ranHash:     s.RanHash,
			onceStarted: s.OnceStarted,
			cancelled:   s.Cancelled,
		},
		strayRan:    s.StrayRan,
		begins:      s.Begins,
		residencies: s.Residencies,
	}
	p.base = p.sessionBase()
	for i, t := range p.turns {
		if t.IdempotencyKey != "" {
			p.keys[t.IdempotencyKey] = uint64(i + 1)
		}
	}
	return p
}
