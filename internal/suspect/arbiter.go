package suspect

import "time"

// Poll is the request for other VMs' consent to a run.
type Poll struct {
	Owner   string     `json:"owner"`
	Request RunRequest `json:"ask"`
	Record  Record     `json:"record"`
	Voters  []string   `json:"-"` // VMs that the poll is sent to
}

// Ballot is the response to a Poll. A VM that is not busy consents, and admits no other run of the
// fingerprint until the polled one has ended or expired.
type Ballot struct {
	Busy   bool         `json:"busy,omitempty"` // another run is in progress
	Runs   []RunRequest `json:"runs,omitempty"` // the other runs that were admitted
	Record Record       `json:"record"`
}

// Arbiter makes one VM's decisions about which runs may start: as the owner of fingerprints, as a
// voter in other owners' polls, and as the VM that runs requests. It does no I/O.
//
// An owner whose view has been settled for SettleTime admits a first run on its own. If the run's VM
// is the owner itself, the owner first registers the run with another VM, in its zone if possible,
// since the run and the owner's record of it would be lost together. An owner that is not settled
// polls all VMs that are visible to it. A run after a strike needs the consent of the whole fleet, so
// that in a network partition each side admits at most one run, and no further one after that run
// lost its upstream.
type Arbiter struct {
	vm            string
	registry      *Registry
	view          *view
	held          map[string]RunRequest // unproven runs on this VM, by run ID
	processStarts map[string]string     // the latest process start that each other VM announced
}

// NewArbiter returns an arbiter without runs.
func NewArbiter(now time.Duration, vm string, rank RankFunc) *Arbiter {
	return &Arbiter{
		vm: vm, registry: NewRegistry(), view: newView(now, vm, rank),
		held: map[string]RunRequest{}, processStarts: map[string]string{},
	}
}

// Observe updates the set of other VMs that are currently visible.
func (a *Arbiter) Observe(now time.Duration, others []string) { a.view.observe(now, others) }

// SetMembers updates the membership: the VMs that may decide and run requests.
func (a *Arbiter) SetMembers(members []Member) { a.view.setMembers(members) }

// Owner returns the VM that decides about runs of a fingerprint.
func (a *Arbiter) Owner(f Fingerprint) string { return a.view.owner(f) }

// Admit decides whether a run may start. If it returns a Poll, the caller collects the voters' ballots
// and passes them to Conclude, which decides.
func (a *Arbiter) Admit(now time.Duration, req RunRequest) (Verdict, *Poll) {
	if req.Known != nil {
		a.registry.Merge(now, *req.Known)
	}
	v := a.registry.Admit(now, req)
	switch {
	case v.State != Go || v.Proven:
		return v, nil
	case v.Strikes > 0 && a.view.isCutOff(), a.view.isAlone():
		a.registry.Release(req.Fingerprint, req.Run)
		return Verdict{State: CutOff, Strikes: v.Strikes}, nil
	}
	voters := a.voters(now, req, v.Strikes)
	if len(voters) == 0 {
		return v, nil
	}
	a.registry.beginPoll(req.Fingerprint, req.Run, voters)
	return Verdict{State: Wait, Strikes: v.Strikes}, &Poll{
		Owner: a.vm, Request: req, Record: a.registry.Record(now, req.Fingerprint), Voters: voters,
	}
}

// voters returns the VMs that have to consent to a run.
func (a *Arbiter) voters(now time.Duration, req RunRequest, strikes int) []string {
	f := req.Fingerprint
	if strikes > 0 || a.view.owner(f) != a.vm || !a.view.settled(now, f) {
		return a.view.others
	}
	if witness := a.view.witness(f, a.vm); req.VM == a.vm && witness != "" {
		return []string{witness}
	}
	return nil
}

// Conclude decides about a polled run, given the ballots by VM.
func (a *Arbiter) Conclude(now time.Duration, p Poll, ballots map[string]Ballot) Verdict {
	req, f := p.Request, p.Request.Fingerprint
	if !a.registry.endPoll(f, req.Run) {
		return Verdict{State: Wait} // the run was withdrawn during the poll
	}
	busy := false
	agreed := map[string]bool{}
	for vm, b := range ballots {
		a.registry.Merge(now, b.Record)
		a.registry.Hold(now, b.Runs)
		busy = busy || b.Busy
		agreed[vm] = !b.Busy
	}
	v := a.registry.Admit(now, req)
	if v.State != Go || v.Proven {
		a.registry.Release(f, req.Run)
		return v
	}
	refused := Verdict{State: Wait, Strikes: v.Strikes}
	switch {
	case busy || len(ballots) < len(p.Voters):
	case v.Strikes == 0 || a.view.coversFleet(now, agreed):
		return v
	case a.view.isCutOff():
		refused.State = CutOff
	}
	a.registry.Release(f, req.Run)
	return refused
}

// Vote returns this VM's ballot in another VM's poll. If it consents, it marks the polled run.
func (a *Arbiter) Vote(now time.Duration, p Poll) Ballot {
	f := p.Request.Fingerprint
	a.registry.Merge(now, p.Record)
	b := Ballot{Record: a.registry.Record(now, f), Runs: a.registry.otherRuns(f, p.Request.Run)}
	for id, held := range a.held {
		if held.Fingerprint == f && id != p.Request.Run {
			b.Runs = append(b.Runs, held)
		}
	}
	b.Busy = len(b.Runs) > 0 || a.registry.hasOther(f, p.Request.Run)
	if !b.Busy {
		a.registry.mark(now, p.Request, p.Owner)
	}
	return b
}

// Accept checks a Go verdict for a run of this VM that was requested at requestedAt and, unless the
// fingerprint is proven, records the run as in progress. It returns false if the run must not start,
// because this VM was frozen in between or has learned of another run or a strike since.
func (a *Arbiter) Accept(requestedAt time.Duration, req RunRequest, v Verdict) bool {
	if a.view.resumedAt > requestedAt {
		return false
	}
	if v.Proven {
		return !a.registry.hasStrikes(req.Fingerprint)
	}
	if a.registry.hasOther(req.Fingerprint, req.Run) || a.registry.strikes(req.Fingerprint) > v.Strikes {
		return false
	}
	req.Known = nil
	a.held[req.Run] = req
	return true
}

// IsValid reports whether a run that has waited since requestedAt may still start: its fingerprint got
// no further strike, and this VM was not frozen in between.
func (a *Arbiter) IsValid(now, requestedAt time.Duration, f Fingerprint, v Verdict) bool {
	a.view.observe(now, a.view.others)
	return a.view.resumedAt <= requestedAt && a.registry.strikes(f) <= v.Strikes
}

// EndResult describes what has to be sent to other VMs after the end of a run.
type EndResult struct {
	Record         Record
	Changed        bool     // whether the record changed
	ExceedsMaxLost bool     // whether more than MaxLost upstreams were lost
	Voters         []string // VMs that marked the run in a poll
}

// End records the end of a run.
func (a *Arbiter) End(now time.Duration, end End) EndResult {
	delete(a.held, end.Run)
	out := EndResult{Voters: a.registry.voters(end.Fingerprint, end.Run)}
	out.ExceedsMaxLost = end.Outcome == Lost && a.registry.exceedsMaxLost(end)
	out.Record, out.Changed = a.registry.End(now, end)
	return out
}

// Forget drops a run of this VM whose end is recorded by its owner, another VM.
func (a *Arbiter) Forget(end End) {
	delete(a.held, end.Run)
	a.registry.Release(end.Fingerprint, end.Run)
}

// Known returns this VM's record of a fingerprint, or nil if there is no strike and no version.
func (a *Arbiter) Known(now time.Duration, f Fingerprint) *Record {
	rec := a.registry.Record(now, f)
	if rec.Version == 0 && len(rec.Struck) == 0 {
		return nil
	}
	return &rec
}

// Rejects reports whether a fingerprint is quarantined; each call extends the quarantine.
func (a *Arbiter) Rejects(now time.Duration, f Fingerprint) bool {
	return a.registry.Rejects(now, f)
}

// Records returns the records that have not expired.
func (a *Arbiter) Records(now time.Duration) []Record { return a.registry.Records(now) }

// Hold records that runs of other VMs are still in progress.
func (a *Arbiter) Hold(now time.Duration, held []RunRequest) { a.registry.Hold(now, held) }

// Release drops a run that has ended or was not admitted by its poll.
func (a *Arbiter) Release(req RunRequest) { a.registry.Release(req.Fingerprint, req.Run) }

// Merge merges another VM's record into this VM's state.
func (a *Arbiter) Merge(now time.Duration, rec Record) { a.registry.Merge(now, rec) }

// Round holds the messages that a VM sends in each interval.
type Round struct {
	Holds            map[string][]RunRequest // its runs in progress, by destination VM
	Struck           []Record                // records changed by expired runs, for all VMs
	RequestSnapshots bool                    // whether to request a Snapshot from all VMs
}

// Snapshot is the state that a VM sends to one that was started or frozen.
type Snapshot struct {
	Records []Record     `json:"records,omitempty"`
	Runs    []RunRequest `json:"runs,omitempty"`
}

// NoteStart records the process start that a VM announced after it was started or frozen.
func (a *Arbiter) NoteStart(vm, start string) { a.processStarts[vm] = start }

// Snapshot returns the records that have not expired and the admitted runs in progress.
func (a *Arbiter) Snapshot(now time.Duration) Snapshot {
	return Snapshot{Records: a.registry.Records(now), Runs: a.registry.allRuns()}
}

// MergeSnapshot merges another VM's snapshot into this VM's state.
func (a *Arbiter) MergeSnapshot(now time.Duration, s Snapshot) {
	for _, rec := range s.Records {
		a.registry.Merge(now, rec)
	}
	a.registry.Hold(now, s.Runs)
}

// Tick expires runs that are no longer repeated and returns the messages of this interval, which
// repeat this VM's runs in progress.
func (a *Arbiter) Tick(now time.Duration) Round {
	holds := map[string][]RunRequest{}
	for _, req := range a.held {
		for _, vm := range a.view.holders(req.Fingerprint) {
			holds[vm] = append(holds[vm], req)
		}
	}
	a.registry.Hold(now, holds[a.vm])
	delete(holds, a.vm)
	struck := a.registry.Tick(now, func(f Fingerprint, r *run) expiry { return a.classifyExpiry(now, f, r) })
	return Round{Holds: holds, Struck: struck, RequestSnapshots: now-a.view.resumedAt < snapshotRequestTime}
}

// classifyExpiry decides how a run expires that its VM no longer repeats. If the VM was lost, the run
// may have crashed its upstream and counts as a strike, unless the VM's whole zone is unreachable:
// that zone is then another side of a partition, and each side may lose an upstream of its own. A VM
// that was not lost either repeats its runs to their current owner, or never started the run.
func (a *Arbiter) classifyExpiry(now time.Duration, f Fingerprint, r *run) expiry {
	zone, ok := a.view.zones[r.vm]
	switch {
	case ok && !a.view.isZoneVisible(zone):
		return expiryDropped
	case r.vm != a.vm && !a.view.visible[r.vm]:
		return expiryCounted
	case a.processStarts[r.vm] != "" && a.processStarts[r.vm] != r.start:
		return expiryCounted
	case a.view.owner(f) == a.vm && !a.view.settled(now, f):
		return expiryDeferred
	}
	return expiryDropped
}
