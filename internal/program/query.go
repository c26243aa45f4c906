package program

import (
	"maps"
	"slices"
)

func pageLimit(asked int) int {
	if asked <= 0 || asked > MaxListed {
		return MaxListed
	}
	return asked
}

func (m *Machine) query(q *Query) *Result {
	res := okResult()
	switch {
	case q == nil:
		return refuse(CodeBadCommand, "an empty query")
	case q.Program != nil:
		return m.read(q.Program)
	case q.List != nil:
		res.List = m.list(q.List)
	case q.Releases != nil:
		res.Releases = m.pendingReleases(q.Releases)
	case q.Report != nil:
		e := m.engines[q.Report.Engine]
		res.Report = &ReportAnswer{
			Orphans:        m.orphans(q.Report),
			NewIncarnation: e != nil && e.incarnation < q.Report.EngineIncarnation,
		}
	default:
		return refuse(CodeBadCommand, "an empty query")
	}
	return res
}

func (m *Machine) read(q *ProgramQuery) *Result {
	p := m.program(q.Account, q.Program)
	if p == nil {
		return m.refuseNoProgram(q.Account, q.Program)
	}
	v := m.view(p)
	v.Turns = p.turnViews()
	for _, child := range sortedChildren(p) {
		v.Children = append(v.Children, child.name)
	}
	if q.History {
		v.Messages = p.messages(q.Attempt)
	}
	res := okResult()
	res.Program = v
	return res
}

// messages returns the history, followed by the new messages of the given attempt if it is under
// way.
func (p *program) messages(attemptID string) [][]byte {
	all := slices.Clone(p.history)
	if run := p.next.running; run != nil && run.ID == attemptID {
		all = append(all, run.Messages...)
	}
	return all
}

// view returns a program without its turns, sub-agents and messages.
func (m *Machine) view(p *program) *View {
	return &View{
		Account:          p.account,
		Name:             p.name,
		Parent:           p.parentName,
		State:            p.state,
		NextTurn:         p.nextTurn(),
		Limit:            p.limit,
		Used:             p.used,
		Reserved:         p.reserved,
		Overrun:          p.overrun,
		DeadlineMS:       p.deadlineMS,
		CreatedMS:        p.createdMS,
		ActiveMS:         p.activeMS,
		EndedMS:          p.endedMS,
		Bytes:            p.bytes,
		RecordedMessages: len(p.history),
		HistoryHash:      p.historyHash,
		Residencies:      m.validResidencies(p),
	}
}

func (p *program) turnViews() []TurnView {
	views := make([]TurnView, 0, len(p.turns)+1)
	for i, t := range p.turns {
		views = append(views, TurnView{
			Turn:    uint64(i + 1),
			Kind:    t.Kind,
			State:   t.State,
			Attempt: t.Attempt,
			Status:  t.Status,
		})
	}
	if run := p.next.running; run != nil {
		return append(views, TurnView{Turn: p.nextTurn(), Kind: run.Kind, State: TurnRunning, Attempt: run.ID})
	}
	if p.next.cancelled {
		return append(views, TurnView{Turn: p.nextTurn(), State: TurnCancelled})
	}
	return views
}

func (m *Machine) list(q *ListQuery) *ListPage {
	page := &ListPage{Programs: []Summary{}}
	a := m.accounts[q.Account]
	if a == nil {
		return page
	}
	for _, name := range slices.Sorted(maps.Keys(a.programs)) {
		if name <= q.After {
			continue
		}
		if len(page.Programs) == pageLimit(q.Limit) {
			page.More = true
			break
		}
		p := a.programs[name]
		page.Programs = append(page.Programs, p.summary(name))
	}
	return page
}

func (p *program) summary(name string) Summary {
	s := Summary{
		Name:       name,
		Parent:     p.parentName,
		State:      p.state,
		NextTurn:   p.nextTurn(),
		Used:       p.used,
		Limit:      p.limit,
		DeadlineMS: p.deadlineMS,
	}
	for _, r := range p.residencies {
		s.Engines = append(s.Engines, r.Engine)
	}
	return s
}

// Stats has the counts of a group's contents, for metrics.
type Stats struct {
	Accounts        int   `json:"accounts"`
	Programs        int   `json:"programs"` // live programs
	Ended           int   `json:"ended"`    // ended programs that are retained
	Running         int   `json:"running"`  // turns under way
	Bytes           int64 `json:"bytes"`    // memory accounted to records
	PendingReleases int   `json:"pending_releases"`
}

// Stats counts the group's contents. Its cost grows with the number of programs.
func (m *Machine) Stats() Stats {
	s := Stats{Accounts: len(m.accounts), Programs: len(m.live), Running: len(m.running)}
	for _, a := range m.accounts {
		s.Ended += len(a.ended) + len(a.endedNonRepeatable)
		for _, p := range a.programs {
			s.Bytes += p.bytes
		}
	}
	for _, e := range m.engines {
		s.PendingReleases += len(e.pending)
	}
	return s
}
