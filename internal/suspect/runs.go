package suspect

import (
	"slices"
	"time"
)

type run struct {
	id       string
	vm       string
	start    string // of the VM's process
	lastSeen time.Duration
	polling  bool     // its poll is in progress
	voters   []string // the VMs that its poll was sent to
	marked   bool     // known only from another VM's poll
}

// expiry is the way a run is handled that its VM no longer repeats.
type expiry int

const (
	expiryCounted expiry = iota // counts as a strike
	expiryDropped
	expiryDeferred // decided in a later tick
)

func (e *entry) find(id string) *run {
	for _, r := range e.runs {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (e *entry) hasOther(id string) bool {
	return slices.ContainsFunc(e.runs, func(r *run) bool { return r.id != id })
}

// startOrRefresh records a run in progress, or that it still is.
func (r *Registry) startOrRefresh(e *entry, a RunRequest, now time.Duration) {
	if own := e.find(a.Run); own != nil {
		own.lastSeen, own.marked = now, false
		return
	}
	e.runs = append(e.runs, &run{id: a.Run, vm: a.VM, start: a.Start, lastSeen: now})
	r.running[a.Fingerprint] = e
}

// mark records a run that another VM is about to admit.
func (r *Registry) mark(now time.Duration, a RunRequest, owner string) {
	e := r.entry(a.Fingerprint)
	if e.find(a.Run) == nil {
		r.startOrRefresh(e, a, now)
		// A run on the owner itself is known to no other VM than its voters, so they must count it if it is lost.
		e.find(a.Run).marked = a.VM != owner
	}
}

// Release removes a run that has ended or was not admitted.
func (r *Registry) Release(f Fingerprint, id string) {
	e, ok := r.entries[f]
	if !ok {
		return
	}
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool { return r.id == id })
	if len(e.runs) == 0 {
		delete(r.running, f)
	}
}

func (r *Registry) beginPoll(f Fingerprint, id string, voters []string) {
	own := r.entry(f).find(id)
	own.polling, own.voters = true, voters
}

// endPoll ends the poll of a run and reports whether the run is still registered.
func (r *Registry) endPoll(f Fingerprint, id string) bool {
	own := r.entry(f).find(id)
	if own != nil {
		own.polling = false
	}
	return own != nil
}

// voters returns the VMs that the poll of a run was sent to.
func (r *Registry) voters(f Fingerprint, id string) []string {
	if e, ok := r.entries[f]; ok {
		if own := e.find(id); own != nil {
			return own.voters
		}
	}
	return nil
}

func (r *Registry) hasOther(f Fingerprint, id string) bool {
	e, ok := r.entries[f]
	return ok && e.hasOther(id)
}

// otherRuns returns the runs of a fingerprint that were certainly admitted, except the given one.
func (r *Registry) otherRuns(f Fingerprint, id string) (others []RunRequest) {
	e, ok := r.entries[f]
	if !ok {
		return nil
	}
	for _, r := range e.runs {
		if r.id != id && !r.marked && !r.polling {
			others = append(others, RunRequest{Fingerprint: f, Run: r.id, VM: r.vm, Start: r.start})
		}
	}
	return others
}

// allRuns returns the runs of all fingerprints that were certainly admitted.
func (r *Registry) allRuns() (all []RunRequest) {
	for f := range r.running {
		all = append(all, r.otherRuns(f, "")...)
	}
	return all
}

// Hold records that runs are still in progress, including those that another owner admitted.
func (r *Registry) Hold(now time.Duration, held []RunRequest) {
	for _, a := range held {
		if e := r.entry(a.Fingerprint); !e.isProven(now) {
			r.startOrRefresh(e, a, now)
		}
	}
}

// expire removes a run that its VM no longer repeats, so that its outcome stays unknown, unless l
// defers that. Only a run that was certainly admitted counts as a strike.
func (r *Registry) expire(now time.Duration, f Fingerprint, run *run, l expiry) (changed bool) {
	if l == expiryDeferred && !run.marked {
		return false
	}
	r.Release(f, run.id)
	if l == expiryCounted && !run.marked {
		changed = r.strike(now, r.entries[f], Strike{Run: run.id}, "")
	}
	r.checkInvariants(f)
	return changed
}
