package node

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/groups"
	"egretramp/internal/httpwire"
	"egretramp/internal/proxy"
	"egretramp/internal/quota"
	"egretramp/internal/reach"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/sharedload"
	"egretramp/internal/suspect"
)

const (
	// notReadyDelay is how long a VM that shuts down serves as before while it reports that it isn't
	// ready: the balancer needs two failed checks, 1 s apart, to stop sending requests.
	notReadyDelay     = 2500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
)

// entry is the role of an entry VM. It forwards callers' requests to upstreams.
type entry struct {
	node      *Node
	directory *registry.Directory
	table     atomic.Pointer[routing.Snapshot]
	ledger    *ledger
	permits   *permitLimiter
	load      *loadSharer
	suspects  *suspect.Tracker
	reporter  *strikeReporter
	proxy     *proxy.Server
	server    *httpwire.Server
	listener  net.Listener // for callers
	stopping  atomic.Bool
	reach     *reach.Detector // used by one goroutine
	isolated  atomic.Bool
	detours   *detours
	// evacuations are the zones whose upstreams get no requests.
	evacuations *evacuations
	// onZoneRestored is called for a zone that returns to service, before requests are sent there; nil for no call. It must
	// not block.
	onZoneRestored func(zone string)
	documents      *documentFetcher
}

func newEntry(n *Node) *entry {
	e := &entry{node: n, reach: reach.New(n.settings.Zone), suspects: suspect.NewTracker(clock.Now), evacuations: newEvacuations()}
	e.reporter = &strikeReporter{
		tracker: e.suspects, calls: n.network, epochs: n.watcher.controlEpochs, reported: map[string]reportedStrikes{},
	}
	e.directory = registry.NewDirectory(func(u registry.Upstream) {
		e.proxy.DropUpstream(u)
		go n.network.DrainTunnelsTo(u.Address) // waits for VMs that don't read
	})
	e.documents = newDocumentFetcher(n.watcher, e.documentVersion, e.applyDocument)
	e.documents.evacuationVersion, e.documents.applyEvacuation = e.evacuations.version, e.applyEvacuation
	n.watcher.leavingSince = e.directory.LeavingSince
	n.watcher.evacuationVersion = e.evacuations.version
	storeVMs := func(group uint64) []string {
		view := n.watcher.stores()
		var vms []string
		if i := int(group - firstStoreGroup); i < len(view.shards) {
			vms = append(vms, view.assignedVMs(i, n.settings.StoreReplicas())...)
		}
		for _, s := range slices.Concat(view.running, view.silent) {
			if !slices.Contains(vms, s.VM) {
				vms = append(vms, s.VM)
			}
		}
		return vms
	}
	shards := func() int { return len(n.watcher.stores().shards) }
	e.ledger = newLedger(groups.NewDynamicClient(n.network, storeVMs, storeAttemptTimeout), shards, n.events)
	e.load = &loadSharer{
		clock: clock.Now, directory: e.directory, samples: func() []sharedload.Sample { return e.proxy.LoadSamples() }, events: n.events,
		accounts: func() []sharedload.Account { return e.proxy.AccountLoads() },
		holder:   sharedload.NewHolder(newEpoch(), n.settings.Zone),
	}
	e.permits = &permitLimiter{
		load: e.load,
		self: n.self.VM, table: e.table.Load,
		groups: groups.NewDynamicClient(n.network, func(uint64) []string { return n.watcher.controlVMs() }, permitAttemptTimeout),
		clock:  clock.Now, events: n.events, holder: quota.NewHolder(), waiting: map[string]int{},
		upstreams: newUpstreamLimits(n.self.VM), review: e.directory.Review,
		pool: newPermitPool(n.network, n.watcher.poolVMs),
	}
	e.permits.pool.registerMetrics(n.metrics)
	e.directory.Observe(func(upstreams []registry.Upstream) { e.permits.observeCold(e.table.Load(), upstreams) })
	e.detours = newDetours(e)
	e.proxy = proxy.New(proxy.Options{
		Zone: n.settings.Zone, Protocol: n.opts.Protocol, Table: e.table.Load, Directory: e.directory, Dial: e.detours.dialer.Dial, CutOff: e.detours.dialer.Cut, Detoured: e.detours.dialer.Detoured,
		Ledger: e.ledger, Limiter: e.permits, Upstreams: e.permits, Suspects: e.suspects, Evacuated: e.evacuations.contains, Isolated: e.isolated.Load, Drain: n.settings.Drain, Memory: n.memory.budget, Events: n.events, Metrics: proxy.NewMetrics(n.metrics), Bytes: n.bytes,
		Load: e.load.upstream, LoadOrigins: e.load.origins, OverShare: e.load.overShare, ZoneMegabyteCost: n.settings.ZoneMegabyteCost,
	})
	n.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretramp_shared_load_age_seconds", Help: "Age of what this VM knows of the load that all entry VMs cause; -1 if it places requests by its own load.",
	}, e.load.viewAge), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "egretramp_shared_load_rejected_total", Help: "Answers with the load of all VMs that were ignored because they can't be true.",
	}, e.load.rejectedViews))
	n.metrics.MustRegister(evacuationGauge(e.evacuations.count), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretramp_upstream_rate_limits", Help: "Upstreams that state a rate limit, those whose limit ended within the last 30 s included.",
	}, func() float64 { return float64(e.permits.limitCount.Load()) }))
	e.permits.registerColdMetrics(n.metrics)
	e.onZoneRestored = e.permits.zoneRestored
	e.server = e.newServer(e.proxy)
	e.server.LimitMemory(n.memory.budget.Group(n.memory.conns.Callers, false))
	return e
}

// newServer returns the server for callers. While a partition separates this VM from the store, it closes connections after
// each response: the balancer sends callers to other VMs, but those on open connections would stay with this one.
func (e *entry) newServer(handler httpwire.Handler) *httpwire.Server {
	server := httpwire.New(handler, e.limits)
	server.CloseWhile(e.isolated.Load)
	return server
}

// defaultLimits apply before a configuration is received, and to limits that it doesn't set.
var defaultLimits = httpwire.Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

func (e *entry) limits() httpwire.Limits {
	table := e.table.Load()
	if table == nil {
		return defaultLimits
	}
	l := httpwire.Limits{
		MaxHeaderBytes: table.Limits.MaxHeaderBytes, MaxBodyBytes: table.Limits.MaxBodyBytes,
		HeaderTimeout: table.Limits.HeaderTimeout, IdleTimeout: table.Limits.IdleTimeout,
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultLimits.MaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultLimits.MaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultLimits.IdleTimeout
	}
	return l
}

func (e *entry) start(ctx context.Context, wg *conc.WaitGroup) error {
	listener, err := e.node.opts.Listen(e.node.settings.Callers)
	if err != nil {
		return errors.Wrap(err, "node: cannot listen for callers")
	}
	if err := e.node.serveHTTP(ctx, wg, e.node.settings.Ready, e.node.memory.conns.Auxiliary, e.node.opts.ReadyHandler(e.ready)); err != nil {
		return errors.CombineErrors(err, listener.Close())
	}
	e.listener = listener
	wg.Go(func() { e.node.fail(e.server.Serve(listener)) })
	wg.Go(func() { e.closeOnShutdown(ctx, listener) })
	for range settleWorkers {
		wg.Go(e.node.failOnPanic(func() { e.ledger.settle(ctx) }))
	}
	wg.Go(e.node.failOnPanic(func() { e.documents.run(ctx) }))
	wg.Go(e.node.failOnPanic(func() { e.reporter.run(ctx) }))
	wg.Go(e.node.failOnPanic(func() { clock.Repeat(ctx, permitCheckInterval, e.permits.renew) }))
	wg.Go(e.node.failOnPanic(func() { clock.Repeat(ctx, reach.Interval, e.detectUnreachableZones) }))
	wg.Go(e.node.failOnPanic(func() { clock.Repeat(ctx, pathCheckInterval, e.checkPaths) }))
	return nil
}

func (e *entry) closeOnShutdown(ctx context.Context, listener net.Listener) {
	<-ctx.Done()
	_ = listener.Close()
	e.server.CloseIdle()
}

// ready reports whether the balancer should send requests to this VM.
func (e *entry) ready() bool {
	return e.table.Load() != nil && !e.stopping.Load() && !e.isolated.Load()
}

// detectUnreachableZones detects availability zones that are unreachable, and whether a partition
// isolates this VM from the store.
func (e *entry) detectUnreachableZones() {
	began := clock.Now()
	seen := map[string]*reach.Observation{}
	observation := func(zone string) *reach.Observation {
		if seen[zone] == nil {
			seen[zone] = &reach.Observation{Zone: zone}
		}
		return seen[zone]
	}
	for vm, zone := range e.node.watcher.zones() {
		o := observation(zone)
		if age, up := e.node.network.SinceLastHeartbeat(vm); up {
			o.Links++
			o.Heartbeat = o.Heartbeat || e.reach.Heard(clock.Now(), age)
			o.Received = o.Heartbeat
		}
	}
	for zone, traffic := range e.proxy.ZoneTraffic() {
		if o := seen[zone]; o != nil { // a zone without VMs can't be assessed when it has no traffic
			o.Waiting, o.FailedProbes = traffic.Waiting, traffic.FailedProbes
			o.Received = o.Received || traffic.Received
		}
	}
	observations := make([]reach.Observation, 0, len(seen))
	for _, o := range seen {
		observations = append(observations, *o)
	}
	for _, change := range e.reach.Round(began, observations) {
		e.proxy.SetZoneReachable(change.Zone, change.Reachable)
		event := events.ZoneUnreachable
		if change.Reachable {
			event = events.ZoneReachable
		}
		e.node.events.Emit(event, zap.String("zone", change.Zone), zap.Duration("silent", change.Silent),
			zap.Int("links", change.Links), zap.Int("waiting", change.Waiting), zap.Int("failed_probes", change.FailedProbes))
	}
	for _, zone := range e.reach.Probes() {
		e.proxy.ProbeZone(zone)
	}
	if isolated := e.reach.Isolated(!e.ledger.unreachable()); isolated != e.isolated.Swap(isolated) {
		event := events.NodeNotIsolated
		if isolated {
			event = events.NodeIsolated
		}
		e.node.events.Emit(event)
	}
}

func (e *entry) documentVersion() uint64 {
	if t := e.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// handleUpdate applies a control VM's update. The configuration and the zones that are out of service never return to an
// older version within a process. The zones come first: the VM serves from its first configuration on.
func (e *entry) handleUpdate(from string, r watchResponse) {
	e.applyEvacuation(from, r.Evacuation)
	if r.Document != nil && r.Document.Version > e.documentVersion() {
		e.applyDocument(from, r.Document.Version, r.Document.Data)
	}
	mergeSuspects(e.suspects, e.node.events, from, r.Suspects)
	changed := e.directory.Merge(from, r.Upstreams)
	for _, u := range changed {
		e.node.events.Emit(events.NodeUpstreamChanged, zap.String("upstream", u.ID), zap.String("service", u.Service),
			zap.String("address", u.Address), zap.Int("state", int(u.State)), zap.Bool("expired", u.Expired),
			zap.Int64("born", u.Born), zap.Int64("sequence", u.Sequence), zap.String("build", u.Build), zap.String("control", from))
	}
	if len(changed) > 0 {
		e.proxy.ReviewCrashes()
	}
}

func (e *entry) applyDocument(from string, version uint64, data []byte) {
	table, err := e.node.opts.Decode(data)
	if err != nil {
		e.node.events.Emit(events.NodeBadConfig, zap.Uint64("configuration", version), zap.Error(err))
		return
	}
	inForce := false
	e.directory.Review(func(upstreams []registry.Upstream) {
		if old := e.table.Load(); old != nil && old.Version >= table.Version {
			return
		}
		e.permits.observeCold(table, upstreams) // before requests are served by it
		e.table.Store(table)
		inForce = true
	})
	if inForce {
		e.node.events.Emit(events.NodeConfigInForce, zap.Uint64("configuration", version), zap.String("control", from))
	}
}

func (e *entry) maintain() {
	e.proxy.Sweep()
	e.permits.forgetUpstreams(e.directory.View())
}

// drain reports that the VM isn't ready, serves the requests that still arrive, and returns when none
// is in progress. New connections are accepted only while a request on them can finish before the
// deadline.
func (e *entry) drain(ctx context.Context) {
	e.stopping.Store(true)
	e.detours.drain()
	sleep(ctx, notReadyDelay)
	e.server.Drain()
	deadline, _ := ctx.Deadline()
	refusing := false
	for ctx.Err() == nil {
		conns, busy := e.server.ConnCounts()
		if !refusing && (conns == 0 || time.Until(deadline) < e.maxRequestTime()) {
			refusing = true
			_ = e.listener.Close()
			e.server.CloseIdle()
			continue
		}
		if refusing && busy == 0 {
			break
		}
		sleep(ctx, drainPollInterval)
	}
	// Wait for queued settlements and for the requests of other VMs until the deadline.
	for (len(e.ledger.settlements) > 0 || e.detours.served.Load() > 0) && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
}

// maxRequestTime returns the longest timeout of all routes in the current configuration.
func (e *entry) maxRequestTime() time.Duration {
	longest := time.Duration(0)
	if table := e.table.Load(); table != nil {
		for i := range table.Routes {
			longest = max(longest, table.Routes[i].Timeout)
		}
	}
	return longest
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
