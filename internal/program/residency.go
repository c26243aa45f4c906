package program

import (
	"cmp"
	"slices"
	"strings"
)

// maxResidencies bounds the sessions that one program holds: one for each model it calls.
const maxResidencies = 16

// engine is the group's record of the sessions on one engine.
type engine struct {
	// incarnation is the highest incarnation seen; goneUpTo is the highest one known to be gone.
	incarnation int64
	goneUpTo    int64
	// pending maps the sessions to release to the times since when they are pending.
	pending map[string]int64
	// orphans maps reported sessions without a record to the times of their first reports.
	orphans map[string]int64
}

// observeEngine returns the engine, or nil if this incarnation of it is known to be gone. A higher
// incarnation than the last one means that the memory of the earlier ones is gone.
func (m *Machine) observeEngine(name string, incarnation int64) *engine {
	e := m.engines[name]
	if e == nil {
		e = &engine{}
		e.clear()
		m.engines[name] = e
	}
	if incarnation > e.incarnation {
		e.incarnation = incarnation
		e.goneUpTo = incarnation - 1
		e.clear()
	}
	if incarnation <= e.goneUpTo {
		return nil
	}
	return e
}

func (e *engine) clear() {
	e.pending = map[string]int64{}
	e.orphans = map[string]int64{}
}

// isValid reports whether a session can still hold memory.
func (m *Machine) isValid(r Residency) bool {
	e := m.engines[r.Engine]
	return e != nil && r.EngineIncarnation == e.incarnation && r.EngineIncarnation > e.goneUpTo
}

func (m *Machine) validResidencies(p *program) []Residency {
	var valid []Residency
	for _, r := range p.residencies {
		if m.isValid(r.Residency) {
			valid = append(valid, r.Residency)
		}
	}
	return valid
}

// recordResidency records the session that a completed attempt used. A different session that the
// program held for the model is queued for release. A session that was not assigned to the attempt
// is not recorded: it is released after an engine's report.
func (m *Machine) recordResidency(p *program, run *attempt, used *Residency) {
	if used == nil || used.Engine == "" || !p.wasAssigned(run, used) {
		return
	}
	if m.observeEngine(used.Engine, used.EngineIncarnation) == nil {
		return
	}
	keep := p.residencies[:0:0]
	for _, r := range p.residencies {
		if r.Residency != *used && r.Model == used.Model {
			m.queueRelease(r.Residency)
			continue
		}
		if r.Residency != *used && m.isValid(r.Residency) {
			keep = append(keep, r)
		}
	}
	p.residencies = append(keep, residency{Residency: *used, UsedMS: m.nowMS})
	if len(p.residencies) > maxResidencies {
		m.queueRelease(p.residencies[0].Residency)
		p.residencies = slices.Delete(p.residencies, 0, 1)
	}
}

// wasAssigned reports whether Started allowed an attempt to use a session on an engine.
func (p *program) wasAssigned(run *attempt, used *Residency) bool {
	if used.Session == run.NewSession {
		return true
	}
	return slices.ContainsFunc(p.residencies, func(r residency) bool { return r.Residency == *used })
}

// queueRelease adds a session to the pending releases, unless its engine's process is gone.
func (m *Machine) queueRelease(r Residency) {
	e := m.observeEngine(r.Engine, r.EngineIncarnation)
	if e == nil {
		return
	}
	if _, known := e.pending[r.Session]; !known {
		e.pending[r.Session] = m.nowMS
	}
	delete(e.orphans, r.Session)
}

// releaseAll queues all sessions of a program for release.
func (m *Machine) releaseAll(p *program) {
	for _, r := range p.residencies {
		m.queueRelease(r.Residency)
	}
	p.residencies = nil
}

// releaseUnheld queues the session of an attempt that was not completed for release, if it is one
// of the program's and the program did not hold it before.
func (m *Machine) releaseUnheld(accountID, name string, r *Residency) {
	if r == nil || r.Engine == "" {
		return
	}
	p := m.program(accountID, name)
	if p == nil || !strings.HasPrefix(r.Session, p.sessionBase+".") {
		return
	}
	if !m.inUse(r.Engine, r.Session) {
		m.queueRelease(*r)
	}
}

// inUse reports whether a live program holds a session on an engine, or runs a call that may
// be using it there.
func (m *Machine) inUse(engineName, session string) bool {
	base, _, _ := strings.Cut(session, ".")
	p := m.live[base]
	if p == nil {
		return false
	}
	if p.next.running != nil && p.next.running.NewSession == session {
		return true
	}
	return slices.ContainsFunc(p.residencies, func(r residency) bool {
		return r.Engine == engineName && r.Session == session && m.isValid(r.Residency)
	})
}

func (m *Machine) releaseDone(c *ReleaseDone) *Result {
	e := m.engines[c.Engine]
	if e != nil && e.incarnation == c.EngineIncarnation {
		delete(e.pending, c.Session)
		delete(e.orphans, c.Session)
	}
	return okResult()
}

// report compares an engine's list with the record. A session that stays without a record for
// ReportAge is queued for release.
func (m *Machine) report(c *Report) *Result {
	res := okResult()
	res.Report = &ReportAnswer{}
	e := m.observeEngine(c.Engine, c.EngineIncarnation)
	if e == nil || c.EngineIncarnation < e.incarnation {
		return res
	}
	seen := make(map[string]int64, len(e.orphans))
	for _, session := range m.orphans(c) {
		res.Report.Orphans = append(res.Report.Orphans, session)
		since, known := e.orphans[session]
		if !known {
			since = m.nowMS
		}
		if known && m.elapsed(since, m.limits.ReportAge) {
			e.pending[session] = m.nowMS
			continue
		}
		seen[session] = since
	}
	e.orphans = seen
	return res
}

// orphans returns the sessions of a report that are neither in use nor pending releases.
func (m *Machine) orphans(c *Report) []string {
	e := m.engines[c.Engine]
	var orphans []string
	for _, session := range c.Sessions {
		if m.inUse(c.Engine, session) {
			continue
		}
		if e != nil && e.incarnation == c.EngineIncarnation {
			if _, pending := e.pending[session]; pending {
				continue
			}
		}
		orphans = append(orphans, session)
	}
	return orphans
}

func (m *Machine) engineGone(c *EngineGone) *Result {
	e := m.observeEngine(c.Engine, c.EngineIncarnation)
	if e == nil {
		return okResult()
	}
	e.goneUpTo = max(e.goneUpTo, c.EngineIncarnation)
	if e.goneUpTo >= e.incarnation {
		e.clear()
	}
	return okResult()
}

// pendingReleases returns the pending releases, sorted by engine and session.
func (m *Machine) pendingReleases(q *ReleasesQuery) []Release {
	var list []Release
	for name, e := range m.engines {
		if q.Engine != "" && q.Engine != name {
			continue
		}
		for session, since := range e.pending {
			list = append(list, Release{
				Engine:            name,
				EngineIncarnation: e.incarnation,
				Session:           session,
				SinceMS:           since,
			})
		}
	}
	slices.SortFunc(list, func(a, b Release) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Session, b.Session))
	})
	return list[:min(len(list), pageLimit(q.Limit))]
}
