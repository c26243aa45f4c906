package proxy

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"egretramp/internal/upconn"
)

var errZoneUnreachable = errors.New("proxy: the upstream's availability zone can't be reached")

// zones tracks, for each availability zone, whether bytes were received from its upstreams and which
// attempts are waiting for them. It is safe for concurrent use.
type zones struct {
	mu     sync.Mutex
	byName map[string]*zone
}

// zone is the state of one availability zone.
type zone struct {
	mu          *sync.Mutex                   // that of zones
	received    atomic.Bool                   // bytes were received since the last call of ZoneTraffic
	pending     map[*upconn.Conn]*atomic.Bool // closedUnreachable of each attempt
	unreachable bool
}

func newZones() *zones { return &zones{byName: map[string]*zone{}} }

// get returns a zone, creating it if needed. The mutex is held.
func (zs *zones) get(name string) *zone {
	z := zs.byName[name]
	if z == nil {
		z = &zone{mu: &zs.mu, pending: map[*upconn.Conn]*atomic.Bool{}}
		zs.byName[name] = z
	}
	return z
}

// addAttempt registers an attempt on a connection to a zone. closedUnreachable is set before the
// connection is closed because the zone is unreachable.
func (zs *zones) addAttempt(name string, conn *upconn.Conn, closedUnreachable *atomic.Bool) *zone {
	zs.mu.Lock()
	defer zs.mu.Unlock()
	z := zs.get(name)
	z.pending[conn] = closedUnreachable
	return z
}

// removeAttempt unregisters the attempt on a connection.
func (z *zone) removeAttempt(conn *upconn.Conn) {
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.pending, conn)
}

// reachable reports whether requests should be sent to a zone.
func (zs *zones) reachable(name string) bool {
	zs.mu.Lock()
	defer zs.mu.Unlock()
	z := zs.byName[name]
	return z == nil || !z.unreachable
}

// setReachable records whether a zone is reachable. If it is not, its attempts end: their requests
// are retried in other zones or refused, rather than wait for the connections to time out.
func (zs *zones) setReachable(name string, reachable bool) {
	zs.mu.Lock()
	z := zs.get(name)
	z.unreachable = !reachable
	var conns []*upconn.Conn
	if !reachable {
		for conn, closedUnreachable := range z.pending {
			closedUnreachable.Store(true)
			conns = append(conns, conn)
		}
	}
	zs.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // the attempt reads the reason from closedUnreachable
	}
}

// ZoneTraffic describes the traffic with a zone's upstreams.
type ZoneTraffic struct {
	Received bool // bytes were received from the zone since the last call of Server.ZoneTraffic
	Waiting  int  // requests that are waiting for a response now
}

// ZoneTraffic returns the traffic with the upstreams of each zone since the last call.
func (s *Server) ZoneTraffic() map[string]ZoneTraffic {
	s.zones.mu.Lock()
	defer s.zones.mu.Unlock()
	traffic := make(map[string]ZoneTraffic, len(s.zones.byName))
	for name, z := range s.zones.byName {
		traffic[name] = ZoneTraffic{Received: z.received.Swap(false), Waiting: len(z.pending)}
	}
	return traffic
}

// SetZoneReachable sets whether an availability zone is reachable. If it is not, pending attempts and
// idle connections to it are closed.
func (s *Server) SetZoneReachable(name string, reachable bool) {
	s.zones.setReachable(name, reachable)
	if reachable {
		return
	}
	// Requests sent on idle connections to the zone would be lost.
	for _, list := range s.opts.Directory.View().Services {
		for _, u := range list {
			if u.Zone == name {
				s.pool.Drop(u.Address)
			}
		}
	}
}
