package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/catalog"
	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/groups"
	"egretramp/internal/registry"
	"egretramp/internal/replica"
	"egretramp/internal/routing"
	"egretramp/internal/shard"
	"egretramp/internal/suspect"
)

const (
	// missedHeartbeats is the number of registration intervals without a registration after which
	// an upstream expires.
	missedHeartbeats = 3.5
	// controlAttemptTimeout bounds one request to the control group's leader.
	controlAttemptTimeout = 700 * time.Millisecond
	// commandTimeout bounds an operator's command: its sender retries at another VM after 1 s
	// without a response.
	commandTimeout = 950 * time.Millisecond
	// formMaxWait is how long the leader waits for more store VMs before it forms the store with
	// fewer VMs than a group has voters.
	formMaxWait = 3 * time.Second
	// formQuietPeriod is how long the number of store VMs must be unchanged before the store is
	// formed, since the VMs of a fleet start at about the same time.
	formQuietPeriod = 400 * time.Millisecond
	formInterval    = 100 * time.Millisecond
)

// Errors returned for operators' commands.
var (
	// ErrUnknownVM means that no store VM has the given name, or that the VM isn't being emptied.
	ErrUnknownVM = errors.New("node: no such store VM")
	// ErrTooFewLeft means that fewer store VMs than a group has voters would remain.
	ErrTooFewLeft = errors.New("node: too few store VMs would be left")
	// ErrUnavailable means that a leader is unreachable, or that this VM has just started and doesn't
	// know all store VMs yet.
	ErrUnavailable = errors.New("node: the group's leader can't be reached")
)

// control is the role of a control VM. It replicates the operators' document and distributes it,
// the registered upstreams and the fleet's state to all VMs.
type control struct {
	node          *Node
	hub           *hub
	registrar     *registry.Registrar
	suspects      *suspect.Tracker
	strikes       *strikeFile
	groups        *groups.Client
	replica       atomic.Pointer[replica.Replica]
	replicas      groups.Replicas
	coordinator   *coordinator
	table         atomic.Pointer[routing.Snapshot]
	started       time.Duration
	formWaitStart time.Duration // when the leader began to wait for more store VMs, 0 if it hasn't
	// lastStoreCount is the number of running store VMs at the last check, storeCountChanged the
	// time at which it changed last.
	lastStoreCount    int
	storeCountChanged time.Duration
}

func newControl(n *Node) (*control, error) {
	c := &control{node: n, started: clock.Now(), suspects: suspect.NewTracker(clock.Now)}
	c.strikes = newStrikeFile(n.settings.DataFolder, c.suspects, n.events)
	c.strikes.load()
	c.registrar = registry.NewRegistrar(time.Duration(missedHeartbeats*float64(n.settings.Heartbeat)), clock.Now)
	c.hub = newHub(newEpoch(), n.self, clock.Now, c.registrar, c.suspects, c.voters)
	initial, err := c.initialVMs()
	if err != nil {
		return nil, err
	}
	r, err := replica.New(replica.Options{
		Group: groups.Control, VM: n.self.VM, Folder: n.settings.DataFolder, InitialVMs: initial,
		Open: replica.OpenMembership{
			Voters: n.settings.Voters(), JoinOnly: initial == nil, Contacts: n.watcher.controlVMs, Zone: c.hub.zone,
		},
		Machine: catalog.New(c.applyState), Transport: groups.Transport{Network: n.network}, Events: n.events,
		ElectionTicks: electionTicks,
		// After a power loss of all VMs, a control VM must not hand out the document without the orders that came after it.
		DurableCommit: true,
	})
	if err != nil {
		return nil, err
	}
	c.replica.Store(r)
	c.replicas = groups.Replicas{groups.Control: r}
	c.groups = groups.NewDynamicClient(n.network, func(uint64) []string {
		return append([]string{n.self.VM}, n.watcher.controlVMs()...)
	}, controlAttemptTimeout)
	c.coordinator = &coordinator{clock: clock.Now, leadership: c.leadership, entryCount: c.hub.entryCount, recentEntryCount: c.hub.recentEntryCount, table: c.table.Load}
	n.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "egretramp_shared_load_reports_rejected_total", Help: "Reports of load that this VM, as the coordinator, ignored because they are late, repeated or can't be true.",
	}, c.coordinator.rejectedReports))
	n.network.HandleMessages(groups.KindRaft, c.replicas.HandleRaft)
	n.network.HandleCalls(groups.MethodPropose, c.replicas.HandlePropose)
	n.network.HandleCalls(groups.MethodQuery, c.replicas.HandleQuery)
	n.network.HandleCalls(methodWatch, c.hub.handleWatch)
	n.network.HandleCalls(methodDocument, c.hub.handleDocument)
	n.network.HandleCalls(methodPermit, c.coordinator.handle)
	pools := newPoolServer(clock.Now, c.table.Load, n.events)
	pools.registerMetrics(n.metrics)
	n.network.HandleCalls(methodPool, pools.handle)
	n.network.HandleCalls(methodEntryVMs, c.hub.handleEntryVMs)
	n.network.HandleCalls(methodStrike, c.handleStrikes)
	n.metrics.MustRegister(evacuationGauge(c.hub.evacuatedCount))
	return c, nil
}

// initialVMs returns the initial members of the control group: the seeds at the fleet's first start,
// which are stored for a restart before the group exists. It returns nil for a VM that isn't one
// of them and only joins the group.
func (c *control) initialVMs() ([]string, error) {
	s := c.node.settings
	seeds := s.Seeds
	if !s.FirstStart {
		var err error
		if seeds, err = loadInitial(s.DataFolder, groups.Control); err != nil {
			return nil, err
		}
	}
	if !slices.Contains(seeds, s.Peers) {
		return nil, nil
	}
	if s.FirstStart {
		if err := saveInitial(s.DataFolder, groups.Control, seeds); err != nil {
			return nil, err
		}
	}
	return seeds, nil
}

func (c *control) voters() []string {
	r := c.replica.Load()
	if r == nil {
		return nil
	}
	var vms []string
	for _, m := range r.Status().Members {
		vms = append(vms, m.VM)
	}
	return vms
}

// roleLeader is the role that a replica's status has while the replica leads its group.
const roleLeader = "leader"

func (c *control) leadership() (term uint64, leader string, leads bool) {
	status := c.replica.Load().Status()
	return status.Term, status.Leader, status.Role == roleLeader
}

// applyState applies a new state of the control group. It is called on the replica's goroutine.
func (c *control) applyState(s catalog.State) {
	if old := c.table.Load(); s.Document.Version > 0 && (old == nil || old.Version < s.Document.Version) {
		table, err := c.node.opts.Decode(s.Document.Data)
		if err != nil {
			c.node.events.Emit(events.NodeBadConfig, zap.Uint64("configuration", s.Document.Version), zap.Error(err))
		} else {
			c.table.Store(table)
		}
	}
	c.hub.setState(s)
}

func (c *control) start(ctx context.Context, wg *conc.WaitGroup) error {
	r := c.replica.Load()
	wg.Go(func() {
		err := r.Run(ctx)
		if err != nil {
			c.node.events.Emit(events.NodeReplicaFailed, zap.Error(err))
		}
		c.node.fail(err)
	})
	wg.Go(func() { c.formStoreWhenReady(ctx) })
	wg.Go(c.node.failOnPanic(func() { c.strikes.run(ctx) }))
	return c.node.serveHTTP(ctx, wg, c.node.settings.Control, c.node.memory.conns.Callers, c.node.opts.ControlHandler(c))
}

// formStoreWhenReady calls formStore until the store is formed, which happens once in the lifetime
// of a fleet.
func (c *control) formStoreWhenReady(ctx context.Context) {
	ticker := time.NewTicker(formInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, state := c.hub.stores(); len(state.StoreGroups) > 0 {
			return
		}
		c.formStore()
	}
}

func (c *control) handleUpdate(from string, r watchResponse) {
	mergeSuspects(c.suspects, c.node.events, from, r.Suspects)
}

// handleStrikes serves methodStrike.
func (c *control) handleStrikes(_ context.Context, from string, payload []byte) ([]byte, error) {
	r, err := decode[strikeReport](payload)
	if err != nil {
		return nil, err
	}
	mergeSuspects(c.suspects, c.node.events, from, r.Records)
	return nil, nil
}

func (c *control) documentVersion() uint64 { return 0 }

func (c *control) maintain() {
	for _, id := range c.registrar.Expire() {
		c.node.events.Emit(events.NodeUpstreamExpired, zap.String("upstream", id))
	}
	c.hub.expireMembers()
	c.suspects.Sweep()
}

// formStore forms the groups of the store, once, if this VM leads the control group. The number of
// groups depends on that of the store VMs, so it waits until no more of them start.
func (c *control) formStore() {
	_, _, leads := c.leadership()
	running, state := c.hub.stores()
	if !leads || len(state.StoreGroups) > 0 || len(running) == 0 {
		return
	}
	now := clock.Now()
	if c.formWaitStart == 0 {
		c.formWaitStart = now
	}
	if len(running) != c.lastStoreCount {
		c.lastStoreCount, c.storeCountChanged = len(running), now
	}
	want := c.node.settings.Voters()
	if len(running) < want && now-c.formWaitStart < formMaxWait || now-c.storeCountChanged < formQuietPeriod {
		return
	}
	var vms []shard.VM
	for _, vm := range running {
		vms = append(vms, shard.VM{Name: vm.VM, Zone: vm.Zone})
	}
	chosen := shard.Place(vms, want, shard.Count(len(vms), want))
	command := catalog.Command{FormStore: &catalog.FormStore{Groups: chosen}}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	if _, err := c.propose(ctx, command); err == nil {
		c.node.events.Emit(events.NodeStoreFormed, zap.Any("groups", chosen))
	}
}

func (c *control) propose(ctx context.Context, command catalog.Command) (catalog.Result, error) {
	data, err := command.Encode()
	if err != nil {
		return catalog.Result{}, err
	}
	answer, err := c.groups.ProposeWithRetry(ctx, groups.Control, data)
	if err != nil {
		return catalog.Result{}, errors.Mark(err, ErrUnavailable)
	}
	return catalog.DecodeResult(answer)
}

// PutDocument implements ControlService.PutDocument.
func (c *control) PutDocument(ctx context.Context, d catalog.Document) (catalog.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	result, err := c.propose(ctx, catalog.Command{PutDocument: &catalog.PutDocument{Version: d.Version, Data: d.Data}})
	c.node.events.Emit(events.NodeOperatorCommand, zap.String("order", "configuration"), zap.Uint64("configuration", d.Version),
		zap.Int("outcome", int(result.Outcome)), zap.Uint64("in_force", result.InForce), zap.Error(err))
	return result, err
}

// Document implements ControlService.Document.
func (c *control) Document(ctx context.Context) (catalog.Document, error) {
	state, err := c.confirmedState(ctx)
	return state.Document, err
}

// confirmedState returns the control group's state, confirmed by a majority after the call.
func (c *control) confirmedState(ctx context.Context) (catalog.State, error) {
	return c.queryState(ctx, nil)
}

// queryState returns the part of the control group's state that an argument of Machine.Query selects, confirmed by a
// majority after the call.
func (c *control) queryState(ctx context.Context, argument []byte) (catalog.State, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	answer, err := c.groups.Query(ctx, groups.Control, argument)
	if err != nil {
		return catalog.State{}, errors.Mark(err, ErrUnavailable)
	}
	return catalog.DecodeState(answer)
}

// storeVMByName returns the address of the store VM with a name that operators use. If there is none,
// it returns ErrUnavailable instead of ErrUnknownVM for memberTimeout after the start, when not all
// VMs have sent a watch request yet.
func (c *control) storeVMByName(name string) (string, error) {
	vm, ok := c.hub.vmByName(name)
	switch {
	case ok:
		return vm, nil
	case clock.Now()-c.started < memberTimeout:
		return "", ErrUnavailable
	}
	return "", ErrUnknownVM
}

// Register implements ControlService.Register.
func (c *control) Register(u registry.Upstream) {
	if c.registrar.Register(u) {
		c.node.events.Emit(events.NodeUpstreamChanged, zap.String("upstream", u.ID), zap.String("service", u.Service),
			zap.String("address", u.Address), zap.Int("state", int(u.State)), zap.Int64("born", u.Born), zap.Int64("sequence", u.Sequence))
	}
}

// Leave implements ControlService.Leave.
func (c *control) Leave(id string) {
	c.registrar.Leave(id)
	c.node.events.Emit(events.NodeUpstreamChanged, zap.String("upstream", id), zap.Int("state", int(registry.Gone)))
}

// RefuseRegistration implements ControlService.RefuseRegistration.
func (c *control) RefuseRegistration(from string, reason error) {
	c.node.events.Emit(events.NodeRegistrationRefused, zap.String("from", from), zap.Error(reason))
}

// Empty implements ControlService.Empty.
func (c *control) Empty(ctx context.Context, name string) error {
	err := c.empty(ctx, name)
	c.node.events.Emit(events.NodeOperatorCommand, zap.String("order", "empty"), zap.String("name", name), zap.Error(err))
	return err
}

func (c *control) empty(ctx context.Context, name string) error {
	vm, err := c.storeVMByName(name)
	if err != nil {
		return err
	}
	state, err := c.confirmedState(ctx)
	if err != nil {
		return err
	}
	if slices.Contains(state.Emptying, vm) {
		return nil
	}
	running, _ := c.hub.stores()
	remaining := 0
	for _, s := range running {
		if s.VM != vm && !slices.Contains(state.Emptying, s.VM) {
			remaining++
		}
	}
	if remaining < c.node.settings.Voters() {
		return ErrTooFewLeft
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, err = c.propose(ctx, catalog.Command{EmptyVM: &catalog.EmptyVM{VM: vm}})
	return err
}

// Emptied implements ControlService.Emptied.
func (c *control) Emptied(ctx context.Context, name string) (bool, error) {
	vm, err := c.storeVMByName(name)
	if err != nil {
		return false, err
	}
	state, err := c.confirmedState(ctx)
	if err != nil {
		return false, err
	}
	running, _ := c.hub.stores()
	if !slices.Contains(state.Emptying, vm) {
		return false, ErrUnknownVM
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	// The leader of each group must report that the VM isn't a member.
	released := map[uint64]bool{}
	for _, s := range running {
		answer, err := c.node.network.Call(ctx, s.VM, methodStatus, nil)
		if err != nil {
			continue // another VM may lead its groups
		}
		status, err := decode[storeStatus](answer)
		if err != nil {
			return false, err
		}
		for _, g := range status.Groups {
			if g.Leads && slices.Contains(g.Members, vm) {
				return false, nil
			}
			released[g.Group] = released[g.Group] || g.Leads
		}
	}
	for i := range state.StoreGroups {
		if !released[storeGroup(i)] {
			return false, ErrUnavailable
		}
	}
	return true, nil
}

// drain transfers the leadership and continues to serve for transferLinger.
func (c *control) drain(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := c.replica.Load().Transfer(limited); err != nil {
		c.node.events.Emit(events.NodeOperatorCommand, zap.String("order", "transfer"), zap.Error(err))
	}
	sleep(ctx, transferLinger)
}

// transferLinger is how long a control or store VM that shuts down still replicates the commands that
// it acknowledged.
const transferLinger = 500 * time.Millisecond
