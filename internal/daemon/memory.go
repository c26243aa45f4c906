package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"egretramp/internal/clock"
	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/program"
	"egretramp/internal/upstream"
)

// Intervals and limits of the release of engine memory. A session that the program record marks for
// release is freed within releaseInterval plus the engine's response time. A session without a record
// takes in addition the limits' ReportAge and two reports.
const (
	releaseInterval = time.Second
	// reportInterval is how often an engine's sessions are compared with the program record.
	reportInterval     = 5 * time.Second
	memoryRoundTimeout = 3 * time.Second
	// maxEngineCalls limits the number of engines called concurrently. Engines that hang don't delay the
	// others while there are fewer of them than this.
	maxEngineCalls = 64
)

// runSessionReleases periodically releases the engine sessions that the program record marks for
// release, while this VM leads the program group, until ctx ends.
func (d *Daemon) runSessionReleases(ctx context.Context, h programHome) {
	releaser := &releaser{Daemon: d, ledger: d.programs.Ledgers()[h.home]}
	clock.Repeat(ctx, releaseInterval, func() {
		if d.leads(h.group) {
			releaser.releaseMemory(ctx)
		}
	})
}

// runSessionReports periodically reports the sessions of the engines that this VM dispatches for, until
// ctx ends. The program groups compare them with the record, so that sessions without a record are
// released too.
func (d *Daemon) runSessionReports(ctx context.Context) {
	clock.Repeat(ctx, reportInterval, func() { d.reportMemory(ctx) })
}

// releaser releases the engine sessions that one program group marks for release.
type releaser struct {
	*Daemon
	ledger *program.Ledger
}

// releaseMemory releases the pending sessions, on all engines concurrently.
func (r *releaser) releaseMemory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memoryRoundTimeout)
	defer cancel()
	pending, err := r.ledger.PendingReleases(ctx, program.ReleasesQuery{})
	if err != nil || len(pending) == 0 {
		return
	}
	engines := r.engines(ctx)
	byEngine := map[string][]program.Release{}
	for _, p := range pending {
		byEngine[p.Engine] = append(byEngine[p.Engine], p)
	}
	if len(pending) >= program.MaxListed {
		// The first page may hold only sessions of a few engines that don't respond.
		byEngine = r.pendingByEngine(ctx, engines)
	}
	calls := pool.New().WithMaxGoroutines(maxEngineCalls)
	for name, releases := range byEngine {
		if l, ok := engines[name]; ok {
			calls.Go(func() { r.releaseSessions(ctx, l, releases) })
		}
		// An engine that isn't listed may just have changed its dispatcher. One whose process has ended
		// is detected when its next incarnation announces itself.
	}
	calls.Wait()
}

// pendingByEngine queries the pending releases of each engine separately.
func (r *releaser) pendingByEngine(ctx context.Context, engines map[string]dispatch.Listed) map[string][]program.Release {
	byEngine := map[string][]program.Release{}
	for name := range engines {
		pending, err := r.ledger.PendingReleases(ctx, program.ReleasesQuery{Engine: name})
		if err == nil && len(pending) > 0 {
			byEngine[name] = pending
		}
	}
	return byEngine
}

// releaseSessions releases sessions of one engine until a release fails; the rest is left to the next
// round. If the engine has restarted since, it reports the old incarnation as gone instead.
func (r *releaser) releaseSessions(ctx context.Context, l dispatch.Listed, releases []program.Release) {
	for _, p := range releases {
		if l.Record.Incarnation > p.EngineIncarnation {
			_ = r.ledger.EngineGone(ctx, program.EngineGone{Engine: p.Engine, EngineIncarnation: p.EngineIncarnation})
			return
		}
		if !r.caller.ReleaseSession(ctx, l.Record.Address, p.Session) {
			return
		}
		_ = r.ledger.ReleaseDone(ctx, program.ReleaseDone{
			Engine: p.Engine, EngineIncarnation: p.EngineIncarnation, Session: p.Session,
		})
	}
}

// engines returns the engines of all pools, keyed by their names in the program record.
func (d *Daemon) engines(ctx context.Context) map[string]dispatch.Listed {
	found := map[string]dispatch.Listed{}
	for _, l := range d.listUpstreams(ctx) {
		if l.Record.Kind == config.KindEngine {
			found[program.EngineName(l.Record.Zone, l.Record.Upstream)] = l
		}
	}
	return found
}

// reportMemory reports the sessions of all engines that this VM dispatches for, concurrently.
func (d *Daemon) reportMemory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memoryRoundTimeout)
	defer cancel()
	dump, err := d.host.Dump(ctx)
	if err != nil {
		return
	}
	calls := pool.New().WithMaxGoroutines(maxEngineCalls)
	for _, r := range dump.Upstreams {
		if r.Kind == config.KindEngine {
			calls.Go(func() { d.reportEngine(ctx, r) })
		}
	}
	calls.Wait()
}

func (d *Daemon) reportEngine(ctx context.Context, r upstream.Record) {
	sessions, err := d.caller.Sessions(ctx, r.Address)
	if err != nil {
		return
	}
	report := program.Report{Engine: program.EngineName(r.Zone, r.Upstream), EngineIncarnation: r.Incarnation}
	for _, s := range sessions {
		report.Sessions = append(report.Sessions, s.Session)
	}
	_ = d.programs.Report(ctx, report)
}
