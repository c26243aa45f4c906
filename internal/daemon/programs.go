package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"egretramp/internal/control"
	"egretramp/internal/groups"
	"egretramp/internal/program"
)

func (d *Daemon) buildLedger() {
	d.ledger = program.NewLedger(program.LedgerOptions{
		Proposer: programGroup{client: d.groups},
		Reader:   programGroup{client: d.groups},
		Owner:    program.Owner{VM: d.settings.VM, Incarnation: d.incarnation},
		Events:   d.events,
	})
}

// programGroup is the program group as package program sees it.
type programGroup struct {
	client *groups.Client
}

// Propose brings a command into the group's log.
func (g programGroup) Propose(ctx context.Context, data []byte) ([]byte, error) {
	answer, err := g.client.Propose(ctx, groups.Program, data)
	return answer, programError(err)
}

// Read answers a query from the group's leader.
func (g programGroup) Read(ctx context.Context, query []byte) ([]byte, error) {
	answer, err := g.client.Query(ctx, groups.Program, query)
	return answer, programError(err)
}

func programError(err error) error {
	if errors.Is(err, groups.ErrNotProposed) {
		return errors.Mark(err, program.ErrNotProposed)
	}
	return err
}

// programKeeper does what the program group needs done at intervals.
type programKeeper struct {
	daemon *Daemon
	// fenced says that the attempts of this VM's earlier starts are fenced.
	fenced bool
	// members are the VMs that were registered at the last look.
	members map[string]control.VM
}

// keepPrograms drives the program group until ctx ends.
func (d *Daemon) keepPrograms(ctx context.Context) {
	k := &programKeeper{daemon: d, members: map[string]control.VM{}}
	repeat(ctx, program.TickEvery, k.round)
}

// round does one round; what fails is done in the next one.
func (k *programKeeper) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, program.TickEvery)
	defer cancel()
	d := k.daemon
	if !k.fenced {
		earlier := program.Owner{VM: d.settings.VM, Incarnation: d.incarnation - 1}
		k.fenced = d.ledger.OwnerLost(ctx, earlier) == nil
	}
	_ = d.ledger.Flush(ctx)
	if d.leads(groups.Program) {
		_, _ = d.ledger.Tick(ctx)
		k.fenceRemoved(ctx)
	}
}

func (d *Daemon) leads(group uint64) bool {
	r, ok := d.replicas[group]
	return ok && r.Status().Role == roleLeader
}

// fenceRemoved fences the attempts of VMs that have left the membership: control removed them
// because they have surely stopped.
func (k *programKeeper) fenceRemoved(ctx context.Context) {
	members, err := k.daemon.fleet.Registered(ctx)
	if err != nil {
		return
	}
	now := map[string]control.VM{}
	for _, vm := range members {
		now[vm.VM] = vm
	}
	for name, vm := range k.members {
		if _, stays := now[name]; stays {
			continue
		}
		owner := program.Owner{VM: name, Incarnation: vm.Incarnation}
		if k.daemon.ledger.OwnerLost(ctx, owner) != nil {
			now[name] = vm // again in the next round
		}
	}
	k.members = now
}
