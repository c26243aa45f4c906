package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/loopback"
	"egretramp/internal/routing"
)

// controlVM is a control VM that runs in the test process.
type controlVM struct {
	node *Node
	stop context.CancelFunc
	done chan error
}

func address(t *testing.T) string {
	a, err := loopback.Address()
	require.NoError(t, err)
	return a
}

func startControl(t *testing.T, s Settings) *controlVM {
	n, err := New(Options{
		Settings: s, Reload: func() (Settings, error) { return s, nil },
		Decode:         func([]byte) (*routing.Snapshot, error) { return &routing.Snapshot{}, nil },
		ControlHandler: func(ControlService) http.Handler { return http.NotFoundHandler() },
	})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	v := &controlVM{node: n, stop: stop, done: make(chan error, 1)}
	go func() { v.done <- n.Run(ctx) }()
	t.Cleanup(v.end)
	return v
}

func (v *controlVM) end() {
	v.stop()
	v.node.settings.Grace = 0 // skips the graceful shutdown, like a kill
	<-v.done
	v.done <- nil
}

func (v *controlVM) leader() string {
	_, leader, _ := v.node.role.(*control).leadership()
	return leader
}

// TestControl_FormsAfterEarlyExit guards against a control group that never forms: the VM that proposes
// the group exits right after its start, before the others run, and restarts with FirstStart false.
func TestControl_FormsAfterEarlyExit(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		var settings []Settings
		var seeds []string
		for range 3 {
			seeds = append(seeds, address(t))
		}
		smallest := 0
		for i, seed := range seeds {
			if seed < seeds[smallest] {
				smallest = i
			}
			settings = append(settings, Settings{
				Name: seed, Role: Control, Zone: "z", Peers: seed, Control: address(t), Seeds: seeds, FirstStart: true,
				DataFolder: t.TempDir(), LostDisks: 1, Heartbeat: time.Second,
			})
		}
		startControl(t, settings[smallest]).end()
		back := settings[smallest]
		back.FirstStart = false
		if wiped {
			back.DataFolder = t.TempDir()
		}
		vms := []*controlVM{startControl(t, back)}
		for i, s := range settings {
			if i != smallest {
				vms = append(vms, startControl(t, s))
			}
		}
		formed := func() bool {
			for _, v := range vms {
				if v.leader() == "" || v.leader() != vms[0].leader() {
					return false
				}
			}
			return true
		}
		if wiped {
			// With its disk wiped, the VM can't exclude that a group existed whose data the other VMs
			// have lost: it must only join.
			time.Sleep(time.Second)
			require.False(t, formed())
			continue
		}
		require.Eventually(t, formed, 5*time.Second, 20*time.Millisecond)
	}
}
