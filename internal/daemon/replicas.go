package daemon

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"egretramp/internal/control"
	"egretramp/internal/groups"
	"egretramp/internal/program"
	"egretramp/internal/replica"
)

const dataFolderMode = 0o700

// buildReplicas opens this VM's replicas of the control and program groups, if it has a data folder.
func (d *Daemon) buildReplicas() error {
	d.replicas = groups.Replicas{}
	if d.settings.DataFolder == "" {
		return nil
	}
	if err := os.MkdirAll(d.settings.DataFolder, dataFolderMode); err != nil {
		return errors.Wrap(err, "daemon: cannot make the data folder")
	}
	machines := map[uint64]replica.StateMachine{
		groups.Control: &publishingMachine{Machine: control.New(), publish: func(delta control.Delta) { d.fleet.Offer(delta) }},
		groups.Program: program.New(program.DefaultLimits()),
	}
	initial := map[uint64][]string{groups.Control: d.controlVMs(), groups.Program: d.controlVMs()}
	if own, ok := d.zoneHome(); ok {
		machines[own.group] = program.NewForZone(own.home, program.DefaultLimits())
		initial[own.group] = own.voters
	}
	for group, machine := range machines {
		r, err := replica.New(replica.Options{
			Group:      group,
			VM:         d.settings.VM,
			Folder:     d.settings.DataFolder,
			InitialVMs: initial[group],
			Machine:    machine,
			// This VM acts on each configuration and key withdrawal as soon as it is applied. A restart
			// must not return it to an older one.
			DurableCommit: group == groups.Control,
			Transport:     groups.Transport{Network: d.node},
			Events:        d.events,
		})
		if err != nil {
			return err
		}
		d.replicas[group] = r
	}
	return nil
}

// publishingMachine is the control group's state machine; it publishes each change of its state to the
// fleet. Only the replica's goroutine accesses it.
type publishingMachine struct {
	*control.Machine
	publish   func(control.Delta)
	published control.Digest
}

// Apply applies a command and publishes the changes.
func (s *publishingMachine) Apply(index uint64, data []byte) []byte {
	result := s.Machine.Apply(index, data)
	s.publishChanges()
	return result
}

// Restore restores a snapshot and publishes the changes.
func (s *publishingMachine) Restore(data []byte) error {
	if err := s.Machine.Restore(data); err != nil {
		return err
	}
	s.publishChanges()
	return nil
}

func (s *publishingMachine) publishChanges() {
	digest := s.Digest()
	if digest == s.published {
		return
	}
	delta := s.DeltaFor(s.published)
	s.published = digest
	s.publish(delta)
}

// leaderReplica gives package fleet the leadership state of a control replica.
type leaderReplica struct {
	replica *replica.Replica
}

// roleLeader is the role in the status of a replica that leads its group.
const roleLeader = "leader"

// Leads returns the replica's term and whether the replica leads its group.
func (l leaderReplica) Leads() (uint64, bool) {
	status := l.replica.Status()
	return status.Term, status.Role == roleLeader
}

// ReadIndex confirms with a majority that the replica still leads.
func (l leaderReplica) ReadIndex(ctx context.Context) error { return l.replica.ReadIndex(ctx) }

// controlProposer proposes commands to the control group.
type controlProposer struct {
	client *groups.Client
}

// Propose proposes a command and decodes its result.
func (p controlProposer) Propose(ctx context.Context, c control.Command) (control.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return control.Result{}, err
	}
	answer, err := p.client.Propose(ctx, groups.Control, data)
	if err != nil {
		return control.Result{}, err
	}
	return control.DecodeResult(answer)
}
