package suspect

import "time"

// Poll asks VMs whether they know of a reason against a run.
type Poll struct {
	Owner   string     `json:"owner"`
	Request RunRequest `json:"ask"`
	Record  Record     `json:"record"`
	Voters  []string   `json:"-"` // who is asked
}

// Ballot answers a Poll. A VM that is not busy lets no other run of the fingerprint start until
// the polled one has ended or lapsed.
type Ballot struct {
	Busy   bool         `json:"busy,omitempty"` // another run is under way
	Runs   []RunRequest `json:"runs,omitempty"` // the other runs, as far as they went
	Record Record       `json:"record"`
}

// Arbiter is one VM's part in deciding which runs may go: as the owner of fingerprints, as a
// voter in other owners' polls, and as the VM that runs requests. It does no I/O.
//
// An owner that has been settled for SettleTime lets a first run go by itself; if it is the run's
// VM too, it has another VM of its zone know of the run first, since the two are lost together. An owner that is
// not settled polls all VMs that it sees. A run after a strike needs the consent of the whole fleet, so that
// the sides of a cut let one run go each, and none after that lost its upstream.
type Arbiter struct {
	vm            string
	registry      *Registry
	view          *view
	held          map[string]RunRequest // unproven runs of this VM, by run
	processStarts map[string]string     // the newest start that other VMs told of
}

// NewArbiter returns an arbiter that knows of no run.
func NewArbiter(now time.Duration, vm string, rank RankFunc) *Arbiter {
	return &Arbiter{
		vm: vm, registry: NewRegistry(), view: newView(now, vm, rank),
		held: map[string]RunRequest{}, processStarts: map[string]string{},
	}
}

// Observe takes the other VMs that are visible, SetMembers the membership.
func (a *Arbiter) Observe(now time.Duration, others []string) { a.view.observe(now, others) }

// SetMembers takes the membership: the VMs that may act.
func (a *Arbiter) SetMembers(members []Member) { a.view.setMembers(members) }

// Owner returns the VM to ask about a fingerprint.
func (a *Arbiter) Owner(f Fingerprint) string { return a.view.owner(f) }

// Admit decides whether a run may go. With a Poll the decision is Conclude's, after the voters were
// asked.
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

// voters returns the VMs whose consent a run needs.
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

// Conclude decides with the ballots of a poll, by VM.
func (a *Arbiter) Conclude(now time.Duration, p Poll, ballots map[string]Ballot) Verdict {
	req, f := p.Request, p.Request.Fingerprint
	if !a.registry.endPoll(f, req.Run) {
		return Verdict{State: Wait} // its caller left meanwhile
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

// Vote answers another VM's poll.
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

// Accept takes the verdict that lets a run of this VM go, which was asked for at the time asked.
// False: this VM stood still meanwhile or learned of a reason against it, so the run must not start.
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

// IsValid reports whether a run that waited since it was asked for may still start: no strike came,
// and this VM did not stand still meanwhile.
func (a *Arbiter) IsValid(now, requestedAt time.Duration, f Fingerprint, v Verdict) bool {
	a.view.observe(now, a.view.others)
	return a.view.resumedAt <= requestedAt && a.registry.strikes(f) <= v.Strikes
}

// EndResult is what other VMs must hear of the end of a run.
type EndResult struct {
	Record         Record
	Changed        bool     // the record did
	ExceedsMaxLost bool     // an upstream beyond MaxLost was lost
	Voters         []string // have the run marked
}

// End takes the end of a run.
func (a *Arbiter) End(now time.Duration, end End) EndResult {
	delete(a.held, end.Run)
	out := EndResult{Voters: a.registry.voters(end.Fingerprint, end.Run)}
	out.ExceedsMaxLost = end.Outcome == Lost && a.registry.exceedsMaxLost(end)
	out.Record, out.Changed = a.registry.End(now, end)
	return out
}

// Forget ends a run of this VM whose owner takes the end.
func (a *Arbiter) Forget(end End) {
	delete(a.held, end.Run)
	a.registry.Release(end.Fingerprint, end.Run)
}

// Known returns this VM's record of a fingerprint, nil if it says nothing.
func (a *Arbiter) Known(now time.Duration, f Fingerprint) *Record {
	rec := a.registry.Record(now, f)
	if rec.Version == 0 && len(rec.Struck) == 0 {
		return nil
	}
	return &rec
}

// Rejects reports whether a fingerprint is quarantined; asking prolongs the quarantine.
func (a *Arbiter) Rejects(now time.Duration, f Fingerprint) bool {
	return a.registry.Rejects(now, f)
}

// Records returns the records that last.
func (a *Arbiter) Records(now time.Duration) []Record { return a.registry.Records(now) }

// Hold notes that runs of other VMs still go on.
func (a *Arbiter) Hold(now time.Duration, held []RunRequest) { a.registry.Hold(now, held) }

// Release forgets a run that a poll did not let go.
func (a *Arbiter) Release(req RunRequest) { a.registry.Release(req.Fingerprint, req.Run) }

// Merge takes another VM's record.
func (a *Arbiter) Merge(now time.Duration, rec Record) { a.registry.Merge(now, rec) }

// Round is what a VM sends in each interval.
type Round struct {
	Holds            map[string][]RunRequest // its runs under way, by the VMs that must hear of them
	Struck           []Record                // changed because runs lapsed; for all VMs
	RequestSnapshots bool                    // all VMs are asked for their Snapshot
}

// Snapshot is what a VM tells one that was started or frozen.
type Snapshot struct {
	Records []Record     `json:"records,omitempty"`
	Runs    []RunRequest `json:"runs,omitempty"`
}

// NoteStart notes that a VM's process was started or went on after a freeze.
func (a *Arbiter) NoteStart(vm, start string) { a.processStarts[vm] = start }

// Snapshot returns the records that last and the runs that this VM should hear of.
func (a *Arbiter) Snapshot(now time.Duration) Snapshot {
	return Snapshot{Records: a.registry.Records(now), Runs: a.registry.allRuns()}
}

// MergeSnapshot takes another VM's state.
func (a *Arbiter) MergeSnapshot(now time.Duration, s Snapshot) {
	for _, rec := range s.Records {
		a.registry.Merge(now, rec)
	}
	a.registry.Hold(now, s.Runs)
}

// Tick lets runs lapse and repeats this VM's runs under way.
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

// classifyExpiry says what becomes of a run that its VM no longer repeats. If the VM was lost, the run
// may have taken its upstream down and counts as a strike; but not where the VM's whole zone is
// out of reach, which is one of the sides that lose an upstream each. A VM that was not lost
// repeats its runs to whoever owns them now, or never began the run.
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
