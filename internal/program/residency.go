package program

import (
	"cmp"
	"slices"
	"strings"
)

// maxResidencies bounds the sessions that one program holds: one for each model it calls.
const maxResidencies = 16

// engine is what the group knows of one engine's memory.
type engine struct {
	// incarnation is the highest one seen; goneUpTo the highest known to be gone.
	incarnation int64
	goneUpTo    int64
	// pending are the sessions to release, with the time since when.
	pending map[string]int64
	// orphans are reported sessions without a record, with the time of the first report.
	orphans map[string]int64
}

// observeEngine returns the engine if an incarnation of it is not known to be gone, else nil. A new
// incarnation takes the memory of the old one with it.
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

// recordResidency records the session that a completed attempt used. The session held for the model
// before becomes a pending release if it is another one. A session that the attempt was not
// given is not recorded: an engine's report leads to its release.
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

// queueRelease makes a session a pending release, unless its engine's process is gone.
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

// releaseAll makes all sessions of a program pending releases.
func (m *Machine) releaseAll(p *program) {
	for _, r := range p.residencies {
		m.queueRelease(r.Residency)
	}
	p.residencies = nil
}

// releaseUnheld makes the session of an attempt that was not completed a pending release, if
// the program did not hold it before and it is one of the program's.
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
// ReportAge becomes a pending release.
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

// pendingReleases lists pending releases by engine and session.
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
