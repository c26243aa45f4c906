package replica

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stampingMachine writes the number of its VM into the commands that it stamps.
type stampingMachine struct {
	recorder
	vm byte
}

// Stamp implements Stamper.
func (m *stampingMachine) Stamp(command []byte) { command[0] = m.vm }

// TestReplica_LeaderStampsCommands checks that all replicas apply a command with the time of the leader that proposed it.
func TestReplica_LeaderStampsCommands(t *testing.T) {
	f := newTestCluster(t, "1", "2", "3")
	machines := map[string]*stampingMachine{}
	for _, vm := range f.vms {
		machines[vm] = &stampingMachine{vm: vm[0]}
		f.newMachine = func() StateMachine { return machines[vm] }
		f.start(vm)
	}
	defer f.stopAll()
	var stamped uint64
	require.Eventually(t, func() bool {
		for _, vm := range f.vms {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := f.running[vm].Propose(ctx, binary.BigEndian.AppendUint64(nil, 7))
			cancel()
			if err == nil {
				stamped = 7 | uint64(vm[0])<<56
				return true
			}
		}
		return false
	}, waitTimeout, 10*time.Millisecond)
	for _, vm := range f.vms {
		require.Eventually(t, func() bool {
			var log []recorded
			err := f.running[vm].Query(context.Background(), func(StateMachine) { log = append(log, machines[vm].log...) })
			return err == nil && len(log) > 0 && log[len(log)-1].command == stamped
		}, waitTimeout, 10*time.Millisecond, "the replica on VM %s", vm)
	}
}
