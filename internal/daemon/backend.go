package daemon

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"

	"egretramp/internal/admin"
	"egretramp/internal/admin/api"
	"egretramp/internal/control"
	"egretramp/internal/groups"
	"egretramp/internal/program"
)

// noMajorityRetryAfter is the Retry-After of an operator's request that failed for lack of a majority.
const noMajorityRetryAfter = 2 * time.Second

// backend implements the administration API on top of the daemon.
type backend struct {
	daemon *Daemon
}

// Apply proposes a configuration file to the control group.
func (b *backend) Apply(ctx context.Context, r admin.ApplyRequest) (api.Applied, error) {
	command, err := control.NewApplyConfig("configuration", r.Text, r.Operator, r.RequestID)
	if err != nil {
		return api.Applied{}, err
	}
	result, err := b.propose(ctx, command)
	if err != nil {
		return api.Applied{}, err
	}
	a := result.Applied
	return api.Applied{
		Generation: a.Generation, Hash: a.Hash, Operator: a.Operator, RequestID: a.RequestID, Newest: a.InForce,
	}, nil
}

// WithdrawKeys withdraws keys through the control group. Without a majority it withdraws them on all
// VMs that this one can reach, and returns them as pending.
func (b *backend) WithdrawKeys(ctx context.Context, keyIDs []string) (api.Withdrawn, error) {
	result, err := b.propose(ctx, control.Command{WithdrawKeys: &control.WithdrawKeys{IDs: keyIDs}})
	var refused *api.Error
	if errors.As(err, &refused) && refused.Code == api.CodeNoMajority {
		pending, unknown, err := b.daemon.fleet.WithdrawHere(ctx, keyIDs)
		return api.Withdrawn{Now: []string{}, Already: []string{}, Pending: pending, Unknown: unknown}, err
	}
	if err != nil {
		return api.Withdrawn{}, err
	}
	w := result.Withdrawn
	return api.Withdrawn{Now: w.Now, Already: w.Already, Unknown: w.Unknown}, nil
}

// proposePause is the delay before a command with an unknown outcome is proposed again.
const proposePause = 50 * time.Millisecond

// propose proposes a command, and again while its outcome is unknown, until ctx ends. Repeating is safe
// because all operator commands are idempotent.
func (b *backend) propose(ctx context.Context, c control.Command) (control.Result, error) {
	for {
		result, err := controlProposer{client: b.daemon.groups}.Propose(ctx, c)
		switch {
		case err == nil && result.Refusal != nil:
			return result, api.RefusalError(result.Refusal)
		case err == nil:
			return result, nil
		case errors.Is(err, groups.ErrNotProposed):
			return result, api.NoMajority(noMajorityRetryAfter)
		case !errors.Is(err, groups.ErrUnknownOutcome):
			return result, err
		case ctx.Err() != nil:
			return result, &api.Error{
				Status: http.StatusGatewayTimeout, Code: api.CodeTimeout, RetryAfter: noMajorityRetryAfter,
				Message: "the outcome is unknown; sending the same again is safe",
			}
		}
		pause(ctx, proposePause)
	}
}

// Status returns the state of the fleet as this VM sees it.
func (b *backend) Status(ctx context.Context) (api.Status, error) {
	d := b.daemon
	text, err := d.fleet.ConfigText(ctx)
	if err != nil {
		return api.Status{}, err
	}
	dump, err := d.fleet.Dump(ctx)
	if err != nil {
		return api.Status{}, err
	}
	members, err := d.fleet.Members(ctx)
	if err != nil {
		return api.Status{}, err
	}
	acceptance := d.fleet.View().Acceptance
	return api.Status{
		VM:               d.settings.VM,
		Zone:             d.settings.Zone,
		Version:          d.version,
		Control:          len(d.replicas) > 0,
		Leader:           d.controlLeader(),
		Serving:          dump.Lease.Valid,
		ControlReachable: dump.Lease.Valid && dump.Lease.ContactAge < maxContactAge,
		Draining:         d.gateway.Draining(),
		Generation:       acceptance.Generation,
		ConfigHash:       acceptance.Hash,
		Operator:         acceptance.Operator,
		WithdrawnKeys:    int(dump.Digest.WithdrawnCount),
		Epoch:            dump.Epoch.Number,
		VMs:              b.vms(members),
		ConfigText:       text,
	}, nil
}

// maxContactAge is the age of the last contact with the control group from which on it is reported as
// unreachable.
const maxContactAge = 5 * time.Second

func (b *backend) vms(members []control.VM) []api.VM {
	isControl := map[string]bool{}
	for _, vm := range b.daemon.groups.ControlVMs() {
		isControl[vm] = true
	}
	all := make([]api.VM, 0, len(members))
	for _, vm := range members {
		all = append(all, api.VM{
			VM: vm.VM, Zone: vm.Zone, Incarnation: vm.Incarnation, Control: isControl[vm.VM],
			Alive: b.daemon.fleet.Alive(vm.VM), Admin: vm.Addresses.Admin,
		})
	}
	return all
}

// controlLeader returns the control group's leader as this VM's replica sees it, "" if the VM has no
// replica.
func (d *Daemon) controlLeader() string {
	r, ok := d.replicas[groups.Control]
	if !ok {
		return ""
	}
	vm, _ := r.Leader()
	return vm
}

// Programs lists the programs of one account, or of all accounts.
func (b *backend) Programs(ctx context.Context, q admin.ProgramsQuery) (api.Programs, error) {
	snapshot := b.daemon.fleet.Snapshot()
	if snapshot == nil {
		return api.Programs{Programs: []api.Program{}}, nil
	}
	var accounts []string
	for _, a := range snapshot.Accounts() {
		accounts = append(accounts, a.ID)
	}
	if q.Account != "" {
		a, ok := snapshot.Account(q.Account)
		if !ok {
			return api.Programs{}, &api.Error{Status: http.StatusNotFound, Code: api.CodeNotFound, Message: "no client account has this name"}
		}
		accounts = []string{a.ID}
	}
	list := api.Programs{Programs: []api.Program{}}
	for _, account := range accounts {
		if err := b.listAccount(ctx, account, q.Limit, &list); err != nil {
			return api.Programs{}, api.NoMajority(noMajorityRetryAfter)
		}
	}
	return list, nil
}

func (b *backend) listAccount(ctx context.Context, account string, limit int, list *api.Programs) error {
	after := ""
	for {
		page, err := b.daemon.programs.List(ctx, program.ListQuery{Account: account, After: after})
		if err != nil {
			return err
		}
		for _, home := range page.Silent {
			if !slices.Contains(list.Silent, home) {
				list.Silent = append(list.Silent, home)
			}
		}
		for _, p := range page.Programs {
			list.Total++
			if len(list.Programs) < limit {
				list.Programs = append(list.Programs, programRow(account, p))
			}
			after = p.Name
		}
		if !page.More {
			return nil
		}
	}
}

func programRow(account string, p program.Summary) api.Program {
	return api.Program{
		Program: p.Name, Account: account, Parent: p.Parent, State: string(p.State), Turn: int64(p.NextTurn) - 1,
		TokensUsed: p.Used.Tokens, TokensBudget: p.Limit.Tokens, CallsUsed: p.Used.Calls, CallsBudget: p.Limit.Calls,
		Engines: p.Engines, DeadlineMS: p.DeadlineMS,
	}
}

// InForce queries all VMs for the configuration generation that they use.
func (b *backend) InForce(ctx context.Context) (api.InForce, error) {
	members, err := b.daemon.fleet.Members(ctx)
	if err != nil {
		return api.InForce{}, err
	}
	return api.InForce{VMs: iter.Map(members, func(vm *control.VM) api.VMInForce {
		row := api.VMInForce{VM: vm.VM, Zone: vm.Zone}
		status, err := b.daemon.fleet.StatusOf(ctx, vm.VM)
		if err == nil {
			row.Generation, row.Reached = status.Generation, true
		}
		return row
	})}, nil
}
