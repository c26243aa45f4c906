package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/iter"

	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/groups"
	"egretramp/internal/program"
)

// Times of the release of engine memory.
const (
	releaseInterval = time.Second
	// reportInterval is how often an engine's sessions are compared with the record.
	reportInterval = 5 * time.Second
	memoryTimeout  = 3 * time.Second
)

// keepReleasing releases the engine memory that the record names, wherever this VM leads the
// program group, until ctx ends.
func (d *Daemon) keepReleasing(ctx context.Context) {
	repeat(ctx, releaseInterval, func(ctx context.Context) {
		if d.leads(groups.Program) {
			d.releaseMemory(ctx)
		}
	})
}

// keepReporting compares the sessions of the engines that this VM dispatches for with the
// record, so that memory which no record names is released too, until ctx ends.
func (d *Daemon) keepReporting(ctx context.Context) {
	repeat(ctx, reportInterval, d.reportMemory)
}

// releaseMemory releases the sessions that are pending, all engines at once.
func (d *Daemon) releaseMemory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	pending, err := d.ledger.PendingReleases(ctx, program.ReleasesQuery{})
	if err != nil || len(pending) == 0 {
		return
	}
	engines := d.engines(ctx)
	iter.ForEach(pending, func(r *program.Release) {
		l, ok := engines[r.Engine]
		switch {
		case !ok:
			// Its dispatcher may just have changed; a process that is gone for good is noticed
			// by its next incarnation.
		case l.Record.Incarnation > r.EngineIncarnation:
			_ = d.ledger.EngineGone(ctx, program.EngineGone{Engine: r.Engine, EngineIncarnation: r.EngineIncarnation})
		case d.caller.ReleaseSession(ctx, l.Record.Address, r.Session):
			_ = d.ledger.ReleaseDone(ctx, program.ReleaseDone{
				Engine: r.Engine, EngineIncarnation: r.EngineIncarnation, Session: r.Session,
			})
		}
	})
}

// engines returns the engines of all pools by their names in the record.
func (d *Daemon) engines(ctx context.Context) map[string]dispatch.Listed {
	found := map[string]dispatch.Listed{}
	for _, l := range d.listUpstreams(ctx) {
		if l.Record.Kind == config.KindEngine {
			found[program.EngineName(l.Record.Zone, l.Record.Upstream)] = l
		}
	}
	return found
}

// reportMemory compares the sessions of the engines that this VM dispatches for with the record.
func (d *Daemon) reportMemory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	dump, err := d.host.Dump(ctx)
	if err != nil {
		return
	}
	for _, r := range dump.Upstreams {
		if r.Kind != config.KindEngine {
			continue
		}
		sessions, err := d.caller.Sessions(ctx, r.Address)
		if err != nil {
			continue
		}
		report := program.Report{Engine: program.EngineName(r.Zone, r.Upstream), EngineIncarnation: r.Incarnation}
		for _, s := range sessions {
			report.Sessions = append(report.Sessions, s.Session)
		}
		_ = d.ledger.Report(ctx, report)
	}
}
