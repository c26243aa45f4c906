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

// sample is the cumulative usage of all VMs at one time.
type sample struct {
	at  time.Time
	vms []vmSample
}

// vmSample is the cumulative usage of one VM. If usage could not be read, known is false.
type vmSample struct {
	usage harness.Usage
	known bool
	vars  harness.Vars
}

// sample records the usage of all VMs up to now.
func (d *demo) sample(ctx context.Context) {
	s := sample{at: time.Now()}
	for _, vm := range d.fleet.VMs {
		var v vmSample
		var err error
		v.usage, err = vm.Usage()
		v.known = err == nil
		// Missing counters appear as "n/a" in the report.
		v.vars, _ = vm.Vars(ctx)
		s.vms = append(s.vms, v)
	}
	d.samples = append(d.samples, s)
}

// collect reads callers' and upstreams' records and fills in the report.
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

// awaitMemoryRelease waits until no engine holds sessions of the programs, all of which have ended,
// or until releaseLimit has passed. Sessions that remain are reported by the check.
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

// searchRecords looks for every key in the records of an upstream that has exited. It watched for
// the keys from its start.
func searchRecords(e *workload.Evidence, u *harness.Upstream, records fakes.Records) {
	for _, key := range workload.Keys(deployments()...) {
		reply := fakes.ReceivedReply{Contains: slices.Contains(records.Seen, key), Complete: true}
		e.Searches = append(e.Searches, workload.KeySearch{Upstream: u.Name, ReceivedReply: reply})
	}
}

// search queries an upstream for every key and, as a control, for a text that it did receive.
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
