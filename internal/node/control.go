package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
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
)

const (
	// missedBeats is the number of registrations after whose absence an upstream counts as gone.
	missedBeats = 3.5
	// controlTry bounds one try at the control group's leader.
	controlTry = 700 * time.Millisecond
	// orderTime bounds an order: its sender goes to another VM after a second without an answer.
	orderTime = 950 * time.Millisecond
	// formDelay is how long the leader waits for more store VMs before it forms their group with
	// fewer than wanted.
	formDelay = 3 * time.Second
	// formSettle is how long no further store VM must have come: VMs of a fleet start together.
	formSettle = 400 * time.Millisecond
	formPoll   = 100 * time.Millisecond
)

// Errors of orders.
var (
	ErrUnknownVM   = errors.New("node: no such store VM")
	ErrTooFewLeft  = errors.New("node: too few store VMs would be left")
	ErrUnavailable = errors.New("node: the group's leader can't be reached")
)

// control replicates the operators' document and tells all VMs what changes.
type control struct {
	node      *Node
	hub       *hub
	registrar *registry.Registrar
	groups    *groups.Client
	replica   atomic.Pointer[replica.Replica]
	replicas  groups.Replicas
	permits   *coordinator
	table     atomic.Pointer[routing.Snapshot]
	started   time.Duration
	formWait  time.Duration // since when too few store VMs are known, 0 for not yet
	// formSeen is the number of store VMs that were known last, formChanged since when.
	formSeen    int
	formChanged time.Duration
}

func newControl(n *Node) (*control, error) {
	c := &control{node: n, started: clock.Now()}
	c.registrar = registry.NewRegistrar(time.Duration(missedBeats*float64(n.settings.Heartbeat)), clock.Now)
	c.hub = newHub(epoch(), n.self, clock.Now, c.registrar, c.voters)
	initial, err := c.initialVMs()
	if err != nil {
		return nil, err
	}
	r, err := replica.New(replica.Options{
		Group: groups.Control, VM: n.self.VM, Folder: n.settings.DataFolder, InitialVMs: initial,
		Open: replica.OpenMembership{
			Voters: n.settings.Voters(), JoinOnly: initial == nil, Contacts: n.watcher.control, Zone: c.hub.zone,
		},
		Machine: catalog.New(c.changed), Transport: groups.Transport{Network: n.network}, Events: n.events,
		ElectionTicks: electionTicks,
	})
	if err != nil {
		return nil, err
	}
	c.replica.Store(r)
	c.replicas = groups.Replicas{groups.Control: r}
	c.groups = groups.NewOpenClient(n.network, func(uint64) []string {
		return append([]string{n.self.VM}, n.watcher.control()...)
	}, controlTry)
	c.permits = &coordinator{clock: clock.Now, leads: c.leads, known: c.hub.entries, table: c.table.Load}
	n.network.HandleMessages(groups.KindRaft, c.replicas.HandleRaft)
	n.network.HandleCalls(groups.MethodPropose, c.replicas.HandlePropose)
	n.network.HandleCalls(groups.MethodQuery, c.replicas.HandleQuery)
	n.network.HandleCalls(methodWatch, c.hub.handleWatch)
	n.network.HandleCalls(methodPermit, c.permits.handle)
	return c, nil
}

// initialVMs are the seeds at the first start, also after this VM ended early. A VM that is none
// of them joins.
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

// roleLeader is the role in a replica's status while it leads.
const roleLeader = "leader"

func (c *control) leads() (term uint64, leader string, leads bool) {
	status := c.replica.Load().Status()
	return status.Term, status.Leader, status.Role == roleLeader
}

// changed takes a new state of the group, on the replica's goroutine.
func (c *control) changed(s catalog.State) {
	if old := c.table.Load(); s.Document.Version > 0 && (old == nil || old.Version < s.Document.Version) {
		table, err := c.node.opts.Decode(s.Document.Data)
		if err != nil {
			c.node.events.Emit(events.NodeBadDocument, zap.Uint64("configuration", s.Document.Version), zap.Error(err))
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
			c.node.events.Emit(events.NodeReplica, zap.Error(err))
		}
		c.node.fail(err)
	})
	wg.Go(func() { c.awaitStore(ctx) })
	return c.node.serveHTTP(ctx, wg, c.node.settings.Control, c.node.opts.ControlHandler(c))
}

// awaitStore sees to it that the store is formed; that is once in the life of a fleet.
func (c *control) awaitStore(ctx context.Context) {
	ticker := time.NewTicker(formPoll)
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

func (c *control) accept(string, watchResponse) {}

func (c *control) documentVersion() uint64 { return 0 }

func (c *control) tend() {
	for _, id := range c.registrar.Expire() {
		c.node.events.Emit(events.NodeExpired, zap.String("upstream", id))
	}
	c.hub.tend()
}

// formStore chooses the VMs that form the groups of the store, once. Their number follows from that
// of the VMs, so it waits until no more come.
func (c *control) formStore() {
	_, _, leads := c.leads()
	running, state := c.hub.stores()
	if !leads || len(state.StoreGroups) > 0 || len(running) == 0 {
		return
	}
	now := clock.Now()
	if c.formWait == 0 {
		c.formWait = now
	}
	if len(running) != c.formSeen {
		c.formSeen, c.formChanged = len(running), now
	}
	want := c.node.settings.Voters()
	if len(running) < want && now-c.formWait < formDelay || now-c.formChanged < formSettle {
		return
	}
	var vms []shard.VM
	for _, vm := range running {
		vms = append(vms, shard.VM{Name: vm.VM, Zone: vm.Zone})
	}
	chosen := shard.Place(vms, want, shard.Count(len(vms), want))
	command := catalog.Command{FormStore: &catalog.FormStore{Groups: chosen}}
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
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
	answer, err := c.groups.ProposeRepeatedly(ctx, groups.Control, data)
	if err != nil {
		return catalog.Result{}, errors.Mark(err, ErrUnavailable)
	}
	return catalog.DecodeResult(answer)
}

// PutDocument implements ControlService.
func (c *control) PutDocument(ctx context.Context, d catalog.Document) (catalog.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	result, err := c.propose(ctx, catalog.Command{PutDocument: &catalog.PutDocument{Version: d.Version, Data: d.Data}})
	c.node.events.Emit(events.NodeOrder, zap.String("order", "configuration"), zap.Uint64("configuration", d.Version),
		zap.Int("outcome", int(result.Outcome)), zap.Uint64("in_force", result.InForce), zap.Error(err))
	return result, err
}

// Document implements ControlService.
func (c *control) Document(ctx context.Context) (catalog.Document, error) {
	state, err := c.confirmed(ctx)
	return state.Document, err
}

// confirmed returns the group's state as a majority confirms it after the call.
func (c *control) confirmed(ctx context.Context) (catalog.State, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	answer, err := c.groups.Query(ctx, groups.Control, nil)
	if err != nil {
		return catalog.State{}, errors.Mark(err, ErrUnavailable)
	}
	return catalog.DecodeState(answer)
}

// storeVM returns the store VM with an operators' name. A control VM that has just started has
// not heard all VMs yet, and can't say that there is none.
func (c *control) storeVM(name string) (string, error) {
	vm, ok := c.hub.vmByName(name)
	switch {
	case ok:
		return vm, nil
	case clock.Now()-c.started < memberSilence:
		return "", ErrUnavailable
	}
	return "", ErrUnknownVM
}

// Register implements ControlService.
func (c *control) Register(u registry.Upstream) {
	if c.registrar.Register(u) {
		c.node.events.Emit(events.NodeUpstream, zap.String("upstream", u.ID), zap.String("service", u.Service),
			zap.String("address", u.Address), zap.Int("state", int(u.State)), zap.Int64("born", u.Born), zap.Int64("sequence", u.Sequence))
	}
}

// Leave implements ControlService.
func (c *control) Leave(id string) {
	c.registrar.Leave(id)
	c.node.events.Emit(events.NodeUpstream, zap.String("upstream", id), zap.Int("state", int(registry.Gone)))
}

// Empty implements ControlService.
func (c *control) Empty(ctx context.Context, name string) error {
	err := c.empty(ctx, name)
	c.node.events.Emit(events.NodeOrder, zap.String("order", "empty"), zap.String("name", name), zap.Error(err))
	return err
}

func (c *control) empty(ctx context.Context, name string) error {
	vm, err := c.storeVM(name)
	if err != nil {
		return err
	}
	state, err := c.confirmed(ctx)
	if err != nil {
		return err
	}
	if slices.Contains(state.Emptying, vm) {
		return nil
	}
	running, _ := c.hub.stores()
	staying := 0
	for _, s := range running {
		if s.VM != vm && !slices.Contains(state.Emptying, s.VM) {
			staying++
		}
	}
	if staying < c.node.settings.Voters() {
		return ErrTooFewLeft
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	_, err = c.propose(ctx, catalog.Command{EmptyVM: &catalog.EmptyVM{VM: vm}})
	return err
}

// Emptied implements ControlService.
func (c *control) Emptied(ctx context.Context, name string) (bool, error) {
	vm, err := c.storeVM(name)
	if err != nil {
		return false, err
	}
	state, err := c.confirmed(ctx)
	if err != nil {
		return false, err
	}
	running, _ := c.hub.stores()
	if !slices.Contains(state.Emptying, vm) {
		return false, ErrUnknownVM
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	// Each group's leader has to say that the VM is no member.
	free := map[uint64]bool{}
	for _, s := range running {
		answer, err := c.node.network.Call(ctx, s.VM, methodStatus, nil)
		if err != nil {
			continue // another one may lead
		}
		status, err := decode[storeStatus](answer)
		if err != nil {
			return false, err
		}
		for _, g := range status.Groups {
			if g.Leads && slices.Contains(g.Members, vm) {
				return false, nil
			}
			free[g.Group] = free[g.Group] || g.Leads
		}
	}
	for i := range state.StoreGroups {
		if !free[storeGroup(i)] {
			return false, ErrUnavailable
		}
	}
	return true, nil
}

// drain hands the leadership on and serves until nothing is under way.
func (c *control) drain(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := c.replica.Load().Transfer(limited); err != nil {
		c.node.events.Emit(events.NodeOrder, zap.String("order", "transfer"), zap.Error(err))
	}
	wait(ctx, controlLinger)
}

// controlLinger is how long a control VM that stops still passes on what it acknowledged.
const controlLinger = 500 * time.Millisecond
