package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/control"
	"egretramp/internal/settings"
)

func TestAddressesOf_ListenerOnAllIPs(t *testing.T) {
	s := &settings.Settings{
		VM:     "b",
		Listen: settings.Listen{Callers: "0.0.0.0:80", Upstreams: "[::]:81", Peers: "0.0.0.0:82", Admin: "127.0.0.1:83"},
		Peers:  []settings.Peer{{VM: "a", Address: "10.0.0.1:82"}, {VM: "b", Address: "10.0.0.2:82"}},
	}
	want := control.Addresses{Callers: "10.0.0.2:80", Upstreams: "10.0.0.2:81", Peers: "10.0.0.2:82", Admin: "127.0.0.1:83"}
	require.Equal(t, want, addressesOf(s))
}
