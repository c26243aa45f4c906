// Package zonebytes counts the bytes that a VM exchanges with other VMs and with upstreams, by purpose and by whether
// the other side is in the VM's own zone. Traffic between zones is slower and costs money.
//
// Bytes are counted above TCP: headers of packets, acknowledgements and the opening of connections are not included.
package zonebytes

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Purposes of bytes, the values of the label "purpose".
const (
	Attempt           = "attempt"               // requests to upstreams and their responses
	Tunnel            = "tunnel"                // the same through another entry VM, on both of its connections
	Turn              = "turn"                  // begin and end of turns, and positions of streams
	Append            = "replication_append"    // entries of the replicated logs
	Snapshot          = "replication_snapshot"  // snapshots of the replicated state
	RaftHeartbeat     = "replication_heartbeat" // heartbeats within groups, and their replies
	Replication       = "replication_other"     // replies to appends, votes, formation
	WatchDocument     = "watch_document"        // the operators' document
	WatchUpstreams    = "watch_upstreams"       // changes of upstreams
	WatchFleet        = "watch_fleet"           // changes of the fleet
	WatchSuspects     = "watch_suspects"        // requests that crashed upstreams
	WatchIdle         = "watch_idle"            // watches without changes, and all watch requests that failed
	Permit            = "permit"                // permits of accounts and upstreams
	Control           = "control"               // commands and queries of the control group
	Heartbeat         = "heartbeat"             // heartbeats between VMs
	Relayed           = "relayed"               // messages and calls through a third VM
	Other             = "other"
	zoneSame          = "same"
	zoneOther         = "other"
	zoneUnknown       = "unknown"
	directionSent     = "sent"
	directionReceived = "received"
)

// Meter counts the bytes of one VM. A nil *Meter counts nothing. It is safe for concurrent use.
type Meter struct {
	zone  string
	bytes *prometheus.CounterVec
}

// New returns a meter of a VM in a zone. Its counters are registered with r.
func New(zone string, r prometheus.Registerer) *Meter {
	m := &Meter{zone: zone, bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "egretramp_zone_bytes_total",
		Help: "Bytes exchanged with VMs and upstreams, by purpose, by whether they are in this VM's zone, and by direction.",
	}, []string{"purpose", "zone", "direction"})}
	r.MustRegister(m.bytes)
	return m
}

// Add counts bytes that were sent to and received from a VM or an upstream in a zone, which is empty if it isn't known.
func (m *Meter) Add(zone, purpose string, sent, received int64) {
	if m == nil {
		return
	}
	if sent > 0 {
		m.bytes.WithLabelValues(purpose, m.relation(zone), directionSent).Add(float64(sent))
	}
	if received > 0 {
		m.bytes.WithLabelValues(purpose, m.relation(zone), directionReceived).Add(float64(received))
	}
}

// relation returns the value of the label "zone".
func (m *Meter) relation(zone string) string {
	switch zone {
	case "":
		return zoneUnknown
	case m.zone:
		return zoneSame
	}
	return zoneOther
}

// Conn counts the bytes of a connection as they are transferred.
func (m *Meter) Conn(c net.Conn, zone, purpose string) net.Conn {
	if m == nil {
		return c
	}
	return &conn{Conn: c, meter: m, zone: zone, purpose: purpose}
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	meter         *Meter
	zone, purpose string
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Add(c.zone, c.purpose, 0, int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Add(c.zone, c.purpose, int64(n), 0)
	return n, err
}
