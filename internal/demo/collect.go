package demo

import (
	"context"
	"slices"
	"time"

	"egretramp/internal/config"
	"egretramp/internal/fakes"
	"egretramp/internal/harness"
	"egretramp/internal/workload"
)

// sample is what the VMs had used at one time.
type sample struct {
	at  time.Time
	vms []vmSample
}

// vmSample is what one VM had used; what could not be read is not known.
type vmSample struct {
	usage harness.Usage
	known bool
	vars  harness.Vars
}

// sample reads what the VMs have used so far.
func (d *demo) sample(ctx context.Context) {
	s := sample{at: time.Now()}
	for _, vm := range d.fleet.VMs {
		var v vmSample
		var err error
		v.usage, err = vm.Usage()
		v.known = err == nil
		// A VM without counters is reported as not available.
		v.vars, _ = vm.Vars(ctx)
		s.vms = append(s.vms, v)
	}
	d.samples = append(d.samples, s)
}

// collect gathers the records and fills in the report.
func (d *demo) collect(ctx context.Context) error {
	e, err := d.evidence(ctx)
	if err != nil {
		return err
	}
	d.report.results = append(workload.CheckAll(e), d.report.results...)
	outcomes := d.main.Outcomes()
	d.report.latencies = workload.Latencies(outcomes, func(p *workload.Program) string { return p.Deployment })
	d.report.worst = workload.WorstServed(outcomes)
	d.report.cache = workload.WastedCache(e)
	d.report.refusals = workload.WrongRefusals(e.Calls, e.Bounds)
	d.report.vms = usage(d.fleet.VMs, d.samples)
	return nil
}

func (d *demo) evidence(ctx context.Context) (*workload.Evidence, error) {
	e := &workload.Evidence{
		Calls:    append(d.warmUp.Calls(), d.main.Calls()...),
		Outcomes: append(d.warmUp.Outcomes(), d.main.Outcomes()...),
		Bounds:   workload.Bounds(deployments()...),
		Jitter:   rateJitter,
	}
	for _, u := range d.fleet.Upstreams {
		records, err := u.Records()
		if err != nil {
			return nil, err
		}
		e.Runs = append(e.Runs, records.Runs...)
		e.Departures = append(e.Departures, records.Departures...)
		if !u.Running() {
			searchRecords(e, u, records)
			continue
		}
		if err := search(ctx, e, u); err != nil {
			return nil, err
		}
	}
	e.Engines = d.engineMemory
	return e, nil
}

// awaitMemoryRelease waits until no engine holds memory of the programs, all of which have ended, or
// the limit is over. What is held then is left to the check.
func (d *demo) awaitMemoryRelease(ctx context.Context) error {
	limit := time.After(releaseLimit)
	for {
		held, err := d.readMemory(ctx)
		if err != nil || !held {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit:
			return nil
		case <-time.After(releasePoll):
		}
	}
}

func (d *demo) readMemory(ctx context.Context) (held bool, err error) {
	d.engineMemory = nil
	for _, u := range d.fleet.Upstreams {
		if u.Spec.Kind != config.KindEngine || !u.Running() {
			continue
		}
		sessions, err := u.Control.Sessions(ctx)
		if err != nil {
			return false, err
		}
		held = held || len(sessions) > 0
		d.engineMemory = append(d.engineMemory, workload.EngineMemory{Upstream: u.Name, Sessions: sessions})
	}
	return held, nil
}

// searchRecords looks for every key in the records of a stand-in that has ended. The keys were
// watched from its start.
func searchRecords(e *workload.Evidence, u *harness.Upstream, records fakes.Records) {
	for _, key := range workload.Keys(deployments()...) {
		reply := fakes.ReceivedReply{Contains: slices.Contains(records.Seen, key), Complete: true}
		e.Searches = append(e.Searches, workload.KeySearch{Upstream: u.Name, ReceivedReply: reply})
	}
}

// search asks a stand-in for every key, and, as a control, for something that did arrive.
func search(ctx context.Context, e *workload.Evidence, u *harness.Upstream) error {
	for _, key := range workload.Keys(deployments()...) {
		reply, err := u.Control.Received(ctx, key)
		if err != nil {
			return err
		}
		e.Searches = append(e.Searches, workload.KeySearch{Upstream: u.Name, ReceivedReply: reply})
	}
	return e.SearchArrived(ctx, u.Name, u.Control)
}
