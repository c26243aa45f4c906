package soak

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"egretramp/internal/harness"
	"egretramp/internal/replica"
)

// groupsDump is the part of a VM's dump that the soak reads.
type groupsDump struct {
	Groups map[uint64]replica.Status `json:"groups"`
}

// errNotRepaired reports that a replica of the VM is not a voter yet.
var errNotRepaired = errors.New("soak: the replicas of the VM with the lost disk are not replaced yet")

// awaitRepair waits until all replicas of a VM that lost its disk are voters again.
func awaitRepair(ctx context.Context, vm *harness.VM) error {
	for {
		data, err := vm.Dump(ctx)
		if err == nil && repaired(data, vm.Name) {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(errNotRepaired, "%s", vm.Name)
		}
		sleep(ctx, repairPoll)
	}
}

// repaired reports whether the VM's replica of every group is a voter.
func repaired(data []byte, vm string) bool {
	var dump groupsDump
	if json.Unmarshal(data, &dump) != nil || len(dump.Groups) == 0 {
		return false
	}
	for _, group := range dump.Groups {
		voter := false
		for _, m := range group.Members {
			voter = voter || m.VM == vm && m.Replica == group.Replica && !m.Learner
		}
		if !voter {
			return false
		}
	}
	return true
}
