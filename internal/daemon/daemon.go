// Package daemon builds, starts and stops the components of one VM's process.
package daemon

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"egretramp/internal/dispatch"
	"egretramp/internal/events"
	"egretramp/internal/fleet"
	"egretramp/internal/gateway"
	"egretramp/internal/groups"
	"egretramp/internal/identity"
	"egretramp/internal/membership"
	"egretramp/internal/peer"
	"egretramp/internal/placement"
	"egretramp/internal/program"
	"egretramp/internal/settings"
	"egretramp/internal/suspect"
	"egretramp/internal/upstream"
)

// Daemon holds the components of one VM's process.
type Daemon struct {
	settings    *settings.Settings
	version     string
	incarnation int64
	events      *events.Logger

	protection *identity.Protection
	node       *peer.Node
	replicas   groups.Replicas
	groups     *groups.Client
	fleet      *fleet.Fleet
	host       *dispatch.Host
	dispatcher *dispatch.Client
	gateway    *gateway.Server
	homes      []programHome
	programs   *program.Shards
	caller     *upstream.Client
	suspects   *suspect.Guard
	placement  *placement.Runner
	listeners  listeners
}

// listeners holds the open listeners for callers, upstreams, other VMs and operators.
type listeners struct {
	callers, upstreams, peers, admin net.Listener
}

// Run builds a daemon, runs it until ctx ends and then shuts it down gracefully. A second signal,
// received on forceStop, ends the shutdown early.
func Run(ctx context.Context, s *settings.Settings, version string, forceStop <-chan os.Signal) error {
	d, err := New(s, version)
	if err != nil {
		return err
	}
	return d.Run(ctx, forceStop)
}

// New builds a daemon and opens its listeners and data folder.
func New(s *settings.Settings, version string) (*Daemon, error) {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: log level")
	}
	logger, err := events.New(s.VM, level)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: cannot open the log")
	}
	d := &Daemon{settings: s, version: version, incarnation: time.Now().UnixNano(), events: logger}
	if d.protection, err = loadProtection(s, logger); err != nil {
		return nil, err
	}
	// listen opens the peer listener first, and does so before any lease is requested: while another
	// process with this VM's name has the address bound, this one must not request a lease.
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.build(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{
		{d.settings.Listen.Peers, &d.listeners.peers},
		{d.settings.Listen.Admin, &d.listeners.admin},
		{d.settings.Listen.Upstreams, &d.listeners.upstreams},
		{d.settings.Listen.Callers, &d.listeners.callers},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "daemon: cannot listen on %s", l.address)
		}
		*l.to = listener
	}
	return nil
}

func (d *Daemon) build() error {
	if err := d.buildHomes(); err != nil {
		return err
	}
	d.buildNetwork()
	if err := d.buildReplicas(); err != nil {
		return err
	}
	d.buildFleet()
	d.buildDispatch()
	d.buildPrograms()
	d.caller = upstream.NewClient()
	d.suspects = suspect.NewGuard(suspect.Options{
		VM:      d.settings.VM,
		Network: d.node,
		Others:  d.fleet.VMs,
		Members: d.members,
		Rank:    membership.Rank,
		Events:  d.events,
	})
	d.buildPlacement()
	d.gateway = gateway.New(gateway.Options{
		VM:         d.settings.VM,
		Zone:       d.settings.Zone,
		Authority:  d.fleet,
		Limiter:    d.fleet,
		Dispatcher: demandCounter{d.dispatcher, d.placement},
		Caller:     d.caller,
		Ledger:     d.programs,
		Suspects:   d.suspects,
		Events:     d.events,
	})
	d.register()
	publishVars(d)
	return nil
}

// members returns the VMs that may act, for the detection of requests that crash upstreams.
func (d *Daemon) members() []suspect.Member {
	vms := d.fleet.ActingVMs()
	members := make([]suspect.Member, len(vms))
	for i, vm := range vms {
		members[i] = suspect.Member{VM: vm.Name, Zone: vm.Zone}
	}
	return members
}

func (d *Daemon) buildNetwork() {
	peers := map[string]string{}
	for _, p := range d.settings.Peers {
		peers[p.VM] = p.Address
	}
	d.node = peer.New(peer.Options{VM: d.settings.VM, Peers: peers, Events: d.events, Protection: d.protection})
	d.groups = groups.NewClient(d.node, d.controlVMs(), d.zoneVoters())
}

// controlVMs returns the VMs with the control role: this VM first, then those of its zone, then the rest.
func (d *Daemon) controlVMs() []string {
	var own, near, far []string
	for _, p := range d.settings.Peers {
		switch {
		case !p.Control:
		case p.VM == d.settings.VM:
			own = append(own, p.VM)
		case p.Zone == d.settings.Zone:
			near = append(near, p.VM)
		default:
			far = append(far, p.VM)
		}
	}
	return append(append(own, near...), far...)
}

func (d *Daemon) buildFleet() {
	var vms []membership.VM
	for _, p := range d.settings.Peers {
		vms = append(vms, membership.VM{Name: p.VM, Zone: p.Zone})
	}
	opts := fleet.Options{
		VM:          d.settings.VM,
		Zone:        d.settings.Zone,
		Incarnation: d.incarnation,
		Addresses:   addressesOf(d.settings),
		VMs:         vms,
		ControlVMs:  d.groups.ControlVMs(),
		Network:     d.node,
		Connections: d.node,
		Proposer:    controlProposer{client: d.groups},
		Rejoined: func(incarnation int64) {
			d.programs.SetOwner(program.Owner{VM: d.settings.VM, Incarnation: incarnation})
		},
		Withdrawn: func() { d.gateway.KeysWithdrawn() },
		Events:    d.events,
	}
	if r, ok := d.replicas[groups.Control]; ok {
		opts.Leader = leaderReplica{replica: r}
	}
	d.fleet = fleet.New(opts)
}

func (d *Daemon) buildDispatch() {
	d.host = dispatch.NewHost(dispatch.HostOptions{
		VM:          d.settings.VM,
		Zone:        d.settings.Zone,
		Network:     d.node,
		Locator:     d.fleet,
		Concurrency: d.concurrency,
		Events:      d.events,
	})
	d.dispatcher = dispatch.NewClient(dispatch.ClientOptions{
		Zone:    d.settings.Zone,
		Network: d.node,
		Locator: d.fleet,
	})
}

// concurrency returns a service's limit on concurrent calls to one upstream, 0 if the configuration
// doesn't have the service.
func (d *Daemon) concurrency(service string) int {
	snapshot := d.fleet.Snapshot()
	if snapshot == nil {
		return 0
	}
	s, ok := snapshot.Service(service)
	if !ok {
		return 0
	}
	return s.Concurrency
}

// register registers the components' handlers for messages and calls from other VMs.
func (d *Daemon) register() {
	d.node.HandleMessages(groups.KindRaft, d.replicas.HandleRaft)
	d.node.HandleCalls(groups.MethodPropose, d.replicas.HandlePropose)
	d.node.HandleCalls(groups.MethodQuery, d.replicas.HandleQuery)

	d.node.HandleMessages(fleet.KindGossip, d.fleet.HandleGossip)
	d.node.HandleMessages(fleet.KindLease, d.fleet.HandleLease)
	d.node.HandleMessages(fleet.KindRenew, d.fleet.HandleRenew)
	d.node.HandleMessages(fleet.KindRemoved, d.fleet.HandleRemoved)
	d.node.HandleMessages(fleet.KindLimit, d.fleet.HandleLimit)
	d.node.HandleMessages(fleet.KindDigest, d.fleet.HandleDigest)
	d.node.HandleCalls(fleet.MethodDelta, d.fleet.HandleDelta)
	d.node.HandleCalls(fleet.MethodStatus, d.fleet.HandleStatus)

	d.node.HandleMessages(dispatch.KindAnnounce, d.host.HandleAnnounce)
	d.node.HandleMessages(dispatch.KindCancel, d.host.HandleCancel)
	d.node.HandleMessages(dispatch.KindFinish, d.host.HandleFinish)
	d.node.HandleMessages(dispatch.KindRefresh, d.host.HandleRefresh)
	d.node.HandleCalls(dispatch.MethodEnqueue, d.host.HandleEnqueue)
	d.node.HandleCalls(dispatch.MethodList, d.host.HandleList)
	d.node.HandleMessages(dispatch.KindRelaySummary, d.host.HandleRelaySummary)
	d.node.HandleMessages(dispatch.KindLacking, d.dispatcher.HandleLacking)
	d.node.HandleCalls(dispatch.MethodDrain, d.host.HandleDrain)
	d.node.HandleMessages(dispatch.KindGrant, d.dispatcher.HandleGrant)
	d.node.HandleMessages(dispatch.KindSummary, d.dispatcher.HandleSummary)

	d.node.HandleCalls(suspect.MethodAsk, d.suspects.HandleAsk)
	d.node.HandleCalls(suspect.MethodEnd, d.suspects.HandleLost)
	d.node.HandleCalls(suspect.MethodPoll, d.suspects.HandlePoll)
	d.node.HandleMessages(suspect.KindRelease, d.suspects.HandleRelease)
	d.node.HandleMessages(suspect.KindHello, d.suspects.HandleHello)
	d.node.HandleMessages(suspect.KindState, d.suspects.HandleState)
	d.node.HandleMessages(suspect.KindEnd, d.suspects.HandleEnd)
	d.node.HandleMessages(suspect.KindHold, d.suspects.HandleHold)
	d.node.HandleMessages(suspect.KindRecords, d.suspects.HandleRecords)
}

// Run serves until ctx ends, a server fails or a task fails, and then shuts down. The background tasks
// are stopped last, because requests in flight depend on them.
func (d *Daemon) Run(ctx context.Context, forceStop <-chan os.Signal) error {
	d.events.Emit(events.DaemonStarted, zap.String("version", d.version), zap.String("zone", d.settings.Zone))
	tasks := newTasks()
	d.start(tasks)
	serving := d.serveHTTP()
	select {
	case <-ctx.Done():
	case <-serving.failed:
	case <-tasks.ctx.Done():
	}
	d.shutdown(serving, forceStop)
	err := errors.CombineErrors(serving.err(), tasks.stop())
	d.events.Emit(events.DaemonStopped, zap.Error(err))
	d.events.Sync()
	return err
}

func (d *Daemon) start(tasks *tasks) {
	tasks.run(func(ctx context.Context) error { return d.node.Serve(ctx, d.listeners.peers) })
	for _, r := range d.replicas {
		tasks.run(r.Run)
	}
	tasks.runForever(d.fleet.Run)
	tasks.runForever(d.host.Run)
	tasks.runForever(d.dispatcher.Run)
	tasks.runForever(d.suspects.Run)
	tasks.runForever(d.placement.Run)
	tasks.runForever(d.gateway.Run)
	for _, h := range d.homes {
		tasks.runForever(func(ctx context.Context) { d.maintainPrograms(ctx, h) })
		tasks.runForever(func(ctx context.Context) { d.runSessionReleases(ctx, h) })
	}
	tasks.runForever(d.runSessionReports)
	tasks.runForever(d.watchCertificate)
}
