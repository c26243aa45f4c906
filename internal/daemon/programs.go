package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

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

// keepPrograms moves the program group's time on while this VM leads it, and revokes what this
// VM gave up.
func (d *Daemon) keepPrograms(ctx context.Context) {
	ticker := time.NewTicker(program.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		limited, cancel := context.WithTimeout(ctx, program.TickEvery)
		if r, ok := d.replicas[groups.Program]; ok && r.Status().Role == roleLeader {
			_, _ = d.ledger.Tick(limited) // the next tick makes up for a lost one
		}
		_ = d.ledger.Flush(limited) // what is left is tried next time
		cancel()
	}
}
