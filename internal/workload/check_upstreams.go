package workload

import "time"

// DepartureLimit is how long after announcing its departure an upstream may still receive new
// work.
const DepartureLimit = 3 * time.Second

// CheckDeparted checks that a departing upstream receives no new work more than DepartureLimit
// after its announcement.
func CheckDeparted(e *Evidence) Result {
	r := Result{Name: "no new work after a goodbye"}
	for _, d := range e.Departures {
		r.Tried++
		for _, run := range e.Runs {
			same := run.Upstream == d.Upstream && run.Incarnation == d.Incarnation
			if late := time.Duration(run.StartedNS - d.AtNS); same && late > DepartureLimit {
				r.violate("%s ran %s %s after its goodbye", d.Upstream, run.Path, late)
			}
		}
	}
	return r
}

// CheckMemory checks that no engine holds memory for programs that ended.
func CheckMemory(e *Evidence) Result {
	r := Result{Name: "no engine memory of ended programs"}
	for _, engine := range e.Engines {
		r.Tried++
		if n := len(engine.Sessions); n > 0 {
			r.violate("%s holds %d sessions, the first %q with %d tokens", engine.Upstream, n, engine.Sessions[0].Session, engine.Sessions[0].Tokens)
		}
	}
	return r
}
