package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"egretramp/internal/clock"
	"egretramp/internal/control"
	"egretramp/internal/groups"
	"egretramp/internal/program"
)

func (d *Daemon) buildPrograms() {
	var ledgers []*program.Ledger
	for _, h := range d.homes {
		g := programGroup{client: d.groups, group: h.group}
		ledgers = append(ledgers, program.NewLedger(program.LedgerOptions{
			Proposer: g,
			Reader:   g,
			Home:     h.home,
			InSight:  func() bool { return d.majorityConnected(h) },
			Owner:    program.Owner{VM: d.settings.VM, Incarnation: d.incarnation},
			Events:   d.events,
		}))
	}
	d.programs = program.NewShards(program.Home(d.settings.Zone), ledgers...)
}

// programGroup implements package program's proposer and reader for one program group.
type programGroup struct {
	client *groups.Client
	group  uint64
}

// Propose appends a command to the group's log and returns its result.
func (g programGroup) Propose(ctx context.Context, data []byte) ([]byte, error) {
	answer, err := g.client.Propose(ctx, g.group, data)
	return answer, programError(err)
}

// Read answers a query from the group's leader.
func (g programGroup) Read(ctx context.Context, query []byte) ([]byte, error) {
	answer, err := g.client.Query(ctx, g.group, query)
	return answer, programError(err)
}

func programError(err error) error {
	if errors.Is(err, groups.ErrNotProposed) {
		return errors.Mark(err, program.ErrNotProposed)
	}
	return err
}

// programMaintainer does the periodic work of one program group.
type programMaintainer struct {
	daemon *Daemon
	home   programHome
	ledger *program.Ledger
	// fenced is set once the attempts of this VM's earlier incarnations are fenced.
	fenced bool
	// members holds the VMs that were registered in the previous round, by name.
	members map[string]control.VM
}

// maintainPrograms maintains a program group at every program.TickEvery until ctx ends.
func (d *Daemon) maintainPrograms(ctx context.Context, h programHome) {
	k := &programMaintainer{daemon: d, home: h, ledger: d.programs.Ledgers()[h.home], members: map[string]control.VM{}}
	clock.Repeat(ctx, program.TickEvery, func() { k.maintain(ctx) })
}

// maintain does one round of work; steps that fail are retried in the next round.
func (k *programMaintainer) maintain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, program.TickEvery)
	defer cancel()
	d := k.daemon
	if !k.fenced {
		earlier := program.Owner{VM: d.settings.VM, Incarnation: d.incarnation - 1}
		k.fenced = k.ledger.OwnerLost(ctx, earlier) == nil
	}
	_ = k.ledger.Flush(ctx)
	if d.leads(k.home.group) {
		_, _ = k.ledger.Tick(ctx)
		k.fenceRemoved(ctx)
	}
}

func (d *Daemon) leads(group uint64) bool {
	r, ok := d.replicas[group]
	return ok && r.Status().Role == roleLeader
}

// fenceRemoved fences the attempts of VMs that have left the membership. The control group removes a VM
// only once it is certain that the VM has stopped.
func (k *programMaintainer) fenceRemoved(ctx context.Context) {
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
		if k.ledger.OwnerLost(ctx, owner) != nil {
			now[name] = vm // retried in the next round
		}
	}
	k.members = now
}
