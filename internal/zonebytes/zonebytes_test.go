package zonebytes

import (
	"io"
	"maps"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// value returns a counter of the meter registered with r, 0 if it wasn't incremented.
func value(t *testing.T, r *prometheus.Registry, purpose, zone, direction string) float64 {
	t.Helper()
	families, err := r.Gather()
	require.NoError(t, err)
	want := map[string]string{"purpose": purpose, "zone": zone, "direction": direction}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			got := map[string]string{}
			for _, label := range metric.GetLabel() {
				got[label.GetName()] = label.GetValue()
			}
			if maps.Equal(got, want) {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// TestMeter_TellsZonesApart guards against bytes that are counted for the wrong zone, for example those of VMs whose
// zone isn't known yet as bytes between zones.
func TestMeter_TellsZonesApart(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := New("a", registry)
	m.Add("a", Append, 10, 1)
	m.Add("b", Append, 20, 2)
	m.Add("c", Append, 30, 0)
	m.Add("", Append, 5, 0)
	require.Equal(t, 10.0, value(t, registry, Append, "same", "sent"))
	require.Equal(t, 1.0, value(t, registry, Append, "same", "received"))
	require.Equal(t, 50.0, value(t, registry, Append, "other", "sent"))
	require.Equal(t, 2.0, value(t, registry, Append, "other", "received"))
	require.Equal(t, 5.0, value(t, registry, Append, "unknown", "sent"))
	(*Meter)(nil).Add("a", Append, 1, 1)
}

// TestMeter_Conn guards against bytes of a connection that are not counted.
func TestMeter_Conn(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := New("a", registry)
	near, far := net.Pipe()
	counted := m.Conn(near, "b", Tunnel)
	go func() { _, _ = far.Write([]byte("abc")); _, _ = io.ReadFull(far, make([]byte, 2)) }()
	_, err := io.ReadFull(counted, make([]byte, 3))
	require.NoError(t, err)
	_, err = counted.Write([]byte("de"))
	require.NoError(t, err)
	require.Equal(t, 3.0, value(t, registry, Tunnel, "other", "received"))
	require.Equal(t, 2.0, value(t, registry, Tunnel, "other", "sent"))
	require.Same(t, near, (*Meter)(nil).Conn(near, "b", Tunnel))
}
