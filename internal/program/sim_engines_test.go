package program

import (
	"slices"

	"github.com/stretchr/testify/require"
)

// engineStep restarts an engine, reports its sessions, or performs pending releases.
func (w *simulation) engineStep() {
	e := pick(w, w.engines)
	vm := pick(w, w.vms)
	if w.chance(4) {
		if w.chance(50) {
			gone := &EngineGone{Engine: e.name, EngineIncarnation: e.incarnation}
			w.propose(vm, Envelope{EngineGone: gone}, func(*Result) {})
		}
		e.incarnation++
		e.sessions = map[string]bool{}
		return
	}
	if w.chance(50) {
		w.propose(vm, Envelope{Report: e.report()}, func(*Result) {})
		return
	}
	w.release(vm)
}

func (e *simEngine) report() *Report {
	report := &Report{Engine: e.name, EngineIncarnation: e.incarnation}
	for session := range e.sessions {
		report.Sessions = append(report.Sessions, session)
	}
	slices.Sort(report.Sessions)
	return report
}

func (w *simulation) release(vm *simVM) {
	for _, due := range w.replicaA.pendingReleases(&ReleasesQuery{Limit: 2}) {
		for _, e := range w.engines {
			if e.name == due.Engine && e.incarnation == due.EngineIncarnation {
				w.checkUnused(due)
				delete(e.sessions, due.Session)
				w.counts["released"]++
			}
		}
		done := &ReleaseDone{Engine: due.Engine, EngineIncarnation: due.EngineIncarnation, Session: due.Session}
		w.propose(vm, Envelope{ReleaseDone: done}, func(*Result) {})
	}
}

// checkUnused fails the test if a call of a current attempt uses a session that is to be released.
func (w *simulation) checkUnused(due Release) {
	for _, vm := range w.vms {
		for _, c := range vm.calls {
			current := w.replicaA.running[c.begin.Attempt] != nil
			if current && c.used != nil && c.used.Session == due.Session && c.used.Engine == due.Engine {
				w.failf("session %s is released while attempt %s uses it", due.Session, c.begin.Attempt)
			}
		}
	}
}

// finish ends the run: it drops all VMs, ends all programs without further faults, and checks that
// all sessions are released and all records expire.
func (w *simulation) finish() {
	w.checkHistories()
	vm := &simVM{owner: Owner{VM: "last", Incarnation: 1}, skew: 2000}
	for _, c := range w.callers {
		w.nowMS += 100
		w.apply(w.encode(vm, Envelope{End: &End{Account: "acc", Program: c.name}}))
	}
	for range 4 {
		w.nowMS += 16_000
		w.apply(w.encode(vm, Envelope{Tick: &Tick{}}))
		for _, e := range w.engines {
			w.apply(w.encode(vm, Envelope{Report: e.report()}))
		}
	}
	for range 200 {
		w.pending = nil
		w.release(vm)
		for _, p := range w.pending {
			w.apply(p.data)
		}
	}
	for _, e := range w.engines {
		if len(e.sessions) > 0 {
			w.failf("engine %s still has sessions %v", e.name, e.sessions)
		}
	}
	for range 3 {
		w.nowMS += 601_000
		w.apply(w.encode(vm, Envelope{Tick: &Tick{}}))
	}
	if s := w.replicaA.Stats(); s.Programs+s.Ended+s.Running != 0 {
		w.failf("records remain after the retention: %+v", s)
	}
	w.restoreReplica()
}

// checkHistories compares the recorded histories and answers with those that the callers received.
func (w *simulation) checkHistories() {
	for _, c := range w.callers {
		p := w.replicaA.program("acc", c.name)
		if p == nil || c.unreliable {
			continue
		}
		if len(p.history) < len(c.history) {
			w.failf("program %s: %d messages recorded, but the caller has %d", c.name, len(p.history), len(c.history))
		}
		for i, message := range c.history {
			require.Equal(w.t, string(message), string(p.history[i]), "seed %d, %s message %d", w.seed, c.name, i)
		}
		for turn, answer := range c.answers {
			require.Equal(w.t, string(answer), string(p.turns[turn-1].Answer), "seed %d, %s turn %d", w.seed, c.name, turn)
		}
	}
}
