package daemon

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/fakes"
	"egretramp/internal/settings"
)

// join starts a VM without a data folder in zone0 that isn't listed in any other VM's settings. Its own
// settings list the control VMs and itself.
func (f *testFleet) join(name string) *Daemon {
	f.t.Helper()
	address := freeAddress(f.t)
	s := &settings.Settings{
		VM: name, Zone: "zone0", ShutdownLimitSeconds: 3, LogLevel: "warn",
		Listen: settings.Listen{
			Callers: freeAddress(f.t), Upstreams: freeAddress(f.t), Admin: freeAddress(f.t), Peers: address,
		},
		Peers: append([]settings.Peer{{VM: name, Zone: "zone0", Address: address}}, f.daemons[0].settings.Peers...),
	}
	d, err := New(s, "test")
	require.NoError(f.t, err)
	f.run(d)
	return d
}

// allConnected reports whether all of the VMs are connected to each other.
func allConnected(daemons ...*Daemon) bool {
	for _, d := range daemons {
		for _, other := range daemons {
			if !d.node.Connected(other.settings.VM) {
				return false
			}
		}
	}
	return true
}

// TestFleet_JoinUnlistedVM starts VMs that aren't listed in the others' settings, stops one of them and
// starts it again at another address.
func TestFleet_JoinUnlistedVM(t *testing.T) {
	f := newTestFleet(t)
	f.apply(baseFile(1))
	f.engine("engine-0", "zone0")
	f.waitForReplicas(1)

	first, second := f.join("vm3"), f.join("vm4")
	f.eventually("the new VMs are not connected to all others", func() bool { return allConnected(f.daemons...) })
	for vm := range f.daemons {
		f.eventually(fmt.Sprintf("VM %d does not serve calls", vm), func() bool {
			r := f.send(vm, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user("a wig")}, false))
			return r.status == http.StatusOK
		})
	}

	f.stops[3]()
	<-f.ended[3]
	f.eventually("the stopped VM is still a member", func() bool {
		_, member := f.daemons[0].fleet.View().Epoch.ZoneOf("vm3")
		return !member
	})
	f.eventually("the other VMs still list the stopped VM as a peer", func() bool {
		for _, d := range []*Daemon{f.daemons[0], f.daemons[1], f.daemons[2], second} {
			for _, vm := range d.node.VMs() {
				if vm == first.settings.VM {
					return false
				}
			}
		}
		return true
	})

	again := f.join("vm3")
	f.eventually("the restarted VM is not connected at its new address", func() bool {
		return allConnected(f.daemons[0], f.daemons[1], f.daemons[2], second, again)
	})
	f.eventually("the restarted VM does not serve calls", func() bool {
		r := f.send(len(f.daemons)-1, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user("a wig")}, false))
		return r.status == http.StatusOK
	})
}
