package node

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/catalog"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
)

// newTestEntry returns an entry VM that isn't started. The service s of each of its documents has a limit for cold
// upstreams; the document's text is ignored.
func newTestEntry(t *testing.T) *entry {
	n, err := New(Options{
		Settings: Settings{Name: "e", Role: Entry, Zone: "z0", Peers: "127.0.0.1:1"},
		Decode: func([]byte) (*routing.Snapshot, error) {
			return routing.Compile(routing.Table{Version: 1, Services: []routing.Service{{Name: "s", ColdStart: time.Hour, ColdPerSecond: 25}}})
		},
	})
	require.NoError(t, err)
	return n.role.(*entry)
}

// TestEntry_RestoredZoneIsLimited guards against load that returns at once to the upstreams of a zone that was out of
// service: they are limited before the first request can be sent to them, those that are leaving included.
func TestEntry_RestoredZoneIsLimited(t *testing.T) {
	const zones = 50
	e := newTestEntry(t)
	var upstreams []registry.Upstream
	var names []string
	for i := range zones {
		names = append(names, fmt.Sprintf("z%02d", i))
		u := coldRegistration(1, 1, 0)
		u.ID, u.Zone, u.Address = names[i], names[i], fmt.Sprintf("10.0.0.%d:1", i+1)
		if i == 0 {
			u.State = registry.Draining
		}
		upstreams = append(upstreams, u)
	}
	e.handleUpdate("c", watchResponse{
		Document: &catalog.Document{Version: 1}, Upstreams: upstreams, Evacuation: &evacuation{Version: 1, Zones: names},
	})
	require.Equal(t, quota.Unlimited, e.permits.UpstreamRoom(upstreams[1]), "it says that it is not cold")

	unlimited := make(chan []string)
	go func() {
		var found []string
		for i := range upstreams {
			for e.evacuations.contains(names[i]) {
				runtime.Gosched()
			}
			if !e.permits.UpstreamRoom(upstreams[i]).Cold || e.permits.TakeUpstream(context.Background(), upstreams[i]) {
				found = append(found, names[i])
			}
		}
		unlimited <- found
	}()
	for i := range names {
		e.handleUpdate("c", watchResponse{Evacuation: &evacuation{Version: uint64(i + 2), Zones: names[i+1:]}})
	}
	require.Empty(t, <-unlimited)
}
