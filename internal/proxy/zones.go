package proxy

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"egretramp/internal/upconn"
)

var errZoneUnreachable = errors.New("proxy: the upstream's availability zone can't be reached")

// zones holds, for each availability zone, whether its upstreams were heard and which tries wait
// for them. It is safe for concurrent use.
type zones struct {
	mu     sync.Mutex
	byName map[string]*zone
}

type zone struct {
	mu          *sync.Mutex // of zones
	received    atomic.Bool
	pending     map[*upconn.Conn]*atomic.Bool
	unreachable bool
}

func newZones() *zones { return &zones{byName: map[string]*zone{}} }

// of returns a zone. The mutex is held.
func (zs *zones) get(name string) *zone {
	z := zs.byName[name]
	if z == nil {
		z = &zone{mu: &zs.mu, pending: map[*upconn.Conn]*atomic.Bool{}}
		zs.byName[name] = z
	}
	return z
}

// begin notes a try on a connection into a zone. cut is set before the connection is closed
// because the zone can't be reached.
func (zs *zones) addAttempt(name string, conn *upconn.Conn, closedUnreachable *atomic.Bool) *zone {
	zs.mu.Lock()
	defer zs.mu.Unlock()
	z := zs.get(name)
	z.pending[conn] = closedUnreachable
	return z
}

func (z *zone) removeAttempt(conn *upconn.Conn) {
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.pending, conn)
}

// reachable reports whether requests should go to a zone.
func (zs *zones) reachable(name string) bool {
	zs.mu.Lock()
	defer zs.mu.Unlock()
	z := zs.byName[name]
	return z == nil || !z.unreachable
}

// setReachable notes whether a zone can be reached. If not, its tries end: their requests go on
// elsewhere, or their callers learn it, rather than wait for the connections to time out.
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
		_ = conn.Close() // its reader learns why from cut
	}
}

// ZoneTraffic is what was seen of a zone's upstreams since the last call of ZoneTraffic.
type ZoneTraffic struct {
	Received bool // a byte came from there
	Waiting  int  // requests that wait for an answer now
}

// ZoneTraffic returns what was seen of the upstreams of each zone since the last call.
func (s *Server) ZoneTraffic() map[string]ZoneTraffic {
	s.zones.mu.Lock()
	defer s.zones.mu.Unlock()
	traffic := make(map[string]ZoneTraffic, len(s.zones.byName))
	for name, z := range s.zones.byName {
		traffic[name] = ZoneTraffic{Received: z.received.Swap(false), Waiting: len(z.pending)}
	}
	return traffic
}

// SetZoneReachable tells whether an availability zone can be reached.
func (s *Server) SetZoneReachable(name string, reachable bool) {
	s.zones.setReachable(name, reachable)
	if reachable {
		return
	}
	// Idle connections into the zone would swallow what is sent on them.
	for _, list := range s.opts.Directory.View().Services {
		for _, u := range list {
			if u.Zone == name {
				s.pool.Drop(u.Address)
			}
		}
	}
}
