package proxy

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/clock"
	"egretramp/internal/registry"
	"egretramp/internal/upconn"
)

// errPathLost ends an attempt on a connection that a partition between this VM and the upstreams has silenced.
var errPathLost = errors.New("proxy: a partition separates this VM from the upstreams")

var errZoneUnreachable = errors.New("proxy: the upstream's availability zone can't be reached")

// zones tracks, for each availability zone, whether bytes were received from its upstreams and which
// attempts are waiting for them. It is safe for concurrent use.
type zones struct {
	mu     sync.Mutex
	byName map[string]*zone
	// receivedDirectly is when bytes were last received on a connection that leads to its upstream directly.
	receivedDirectly atomicTime
}

// zone is the state of one availability zone.
type zone struct {
	mu          *sync.Mutex // that of zones
	received    atomic.Bool // bytes were received since the last call of ZoneTraffic
	pending     map[*upconn.Conn]*pendingAttempt
	unreachable bool
	probing     bool // a probe is under way
	// failedProbes is the number of probes that have timed out so far.
	failedProbes int
}

// pendingAttempt is an attempt that may wait for bytes from its upstream.
type pendingAttempt struct {
	upstream   registry.Upstream
	detour     bool // the connection leads through another VM
	repeatable bool
	received   atomicTime // when bytes were last received; the start of the attempt before
	// closed is why the connection was closed from outside the attempt, nil if it wasn't.
	closed atomic.Pointer[error]
}

// atomicTime is a monotonic time that several goroutines use.
type atomicTime struct{ nanos atomic.Int64 }

func (t *atomicTime) set() { t.nanos.Store(int64(clock.Now())) }

// age returns the time since the last set.
func (t *atomicTime) age() time.Duration { return clock.Now() - time.Duration(t.nanos.Load()) }

func newZones() *zones { return &zones{byName: map[string]*zone{}} }

// get returns a zone, creating it if needed. The mutex is held.
func (zs *zones) get(name string) *zone {
	z := zs.byName[name]
	if z == nil {
		z = &zone{mu: &zs.mu, pending: map[*upconn.Conn]*pendingAttempt{}}
		zs.byName[name] = z
	}
	return z
}

// addAttempt registers an attempt on a connection to its upstream's zone.
func (zs *zones) addAttempt(conn *upconn.Conn, p *pendingAttempt) *zone {
	p.received.set()
	zs.mu.Lock()
	defer zs.mu.Unlock()
	z := zs.get(p.upstream.Zone)
	z.pending[conn] = p
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
		for conn, p := range z.pending {
			p.closed.Store(&errZoneUnreachable)
			conns = append(conns, conn)
		}
	}
	zs.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // the attempt reads the reason from closed
	}
}

// ZoneTraffic describes the traffic with a zone's upstreams.
type ZoneTraffic struct {
	Received bool // bytes were received from the zone since the last call of Server.ZoneTraffic
	Waiting  int  // requests that are waiting for a response now
	// FailedProbes is the number of probes that have timed out so far.
	FailedProbes int
}

// ZoneTraffic returns the traffic with the upstreams of each zone since the last call.
func (s *Server) ZoneTraffic() map[string]ZoneTraffic {
	s.zones.mu.Lock()
	defer s.zones.mu.Unlock()
	traffic := make(map[string]ZoneTraffic, len(s.zones.byName))
	for name, z := range s.zones.byName {
		traffic[name] = ZoneTraffic{Received: z.received.Swap(false), Waiting: len(z.pending), FailedProbes: z.failedProbes}
	}
	return traffic
}

const (
	// probeTimeout is how long a probe waits for a connection: many times the latency between regions.
	probeTimeout = 250 * time.Millisecond
	// maxProbeDelay is by how much the timeout may be late. A VM that wakes up later than that may not have seen the
	// answer in time either, so the probe has no result.
	maxProbeDelay = 100 * time.Millisecond
	// probedUpstreams is the number of upstreams that one probe tries: a single one may have lost power.
	probedUpstreams = 3
)

// probeResult is the result of an attempt to connect to an upstream.
type probeResult int

const (
	probeAnswered     probeResult = iota // the host answered, be it by a refusal
	probeTimedOut                        // there was no answer in time
	probeInconclusive                    // this VM ran too slowly to tell, or couldn't try
)

// ProbeZone finds out whether a zone can be reached: it opens connections to upstreams there, without sending anything
// on them. The next ZoneTraffic has the result. It doesn't block, and does nothing while a probe of the zone is under way
// or if no request waits.
func (s *Server) ProbeZone(name string) {
	others := s.upstreamAddresses(name)
	s.zones.mu.Lock()
	defer s.zones.mu.Unlock()
	z := s.zones.get(name)
	if z.probing || len(z.pending) == 0 {
		return
	}
	addresses := z.probeAddresses(others)
	if len(addresses) == 0 {
		return
	}
	z.probing = true
	go func() {
		result := probeAny(addresses)
		s.zones.mu.Lock()
		defer s.zones.mu.Unlock()
		z.probing = false
		switch result {
		case probeAnswered:
			z.received.Store(true)
		case probeTimedOut:
			z.failedProbes++
		}
	}()
}

// upstreamAddresses returns the addresses of the known upstreams of a zone, in random order.
func (s *Server) upstreamAddresses(zone string) []string {
	var addresses []string
	for _, list := range s.opts.Directory.View().Services {
		for _, u := range list {
			if u.Zone == zone {
				addresses = append(addresses, u.Address)
			}
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// probeAddresses returns the addresses to probe: that of the upstream from which a request has received nothing for
// the longest time on a direct connection, and some of the others. The mutex is held.
func (z *zone) probeAddresses(others []string) []string {
	var addresses []string
	var longest time.Duration
	for _, p := range z.pending {
		if age := p.received.age(); !p.detour && (addresses == nil || age > longest) {
			addresses, longest = []string{p.upstream.Address}, age
		}
	}
	for _, address := range others {
		if len(addresses) < probedUpstreams && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// probeAny probes several upstreams at once. One that answers shows that their zone can be reached; all must time out
// to show the opposite.
func probeAny(addresses []string) probeResult {
	results := make(chan probeResult, len(addresses))
	for _, address := range addresses {
		go func() { results <- probe(address) }()
	}
	worst := probeTimedOut
	for range addresses {
		switch <-results {
		case probeAnswered:
			return probeAnswered
		case probeInconclusive:
			worst = probeInconclusive
		}
	}
	return worst
}

// probe tries to connect to an upstream. Nothing is sent.
func probe(address string) probeResult {
	started := clock.Now()
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	var network net.Error
	switch {
	case err == nil:
		_ = conn.Close()
		return probeAnswered
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
		return probeAnswered
	case errors.As(err, &network) && network.Timeout():
		if clock.Now()-started > probeTimeout+maxProbeDelay {
			return probeInconclusive
		}
		return probeTimedOut
	case errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH):
		return probeTimedOut
	}
	return probeInconclusive // for example, this process is out of file descriptors
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

// AwaitedUpstream returns the address of the upstream that a request has waited for the longest on a direct connection,
// and for how long nothing was received from it and on any other direct connection. The address is empty if no
// request waits.
func (s *Server) AwaitedUpstream() (address string, silent time.Duration) {
	zs := s.zones
	zs.mu.Lock()
	defer zs.mu.Unlock()
	for _, z := range zs.byName {
		for _, p := range z.pending {
			if age := p.received.age(); !p.detour && age > silent {
				address, silent = p.upstream.Address, age
			}
		}
	}
	return address, min(silent, zs.receivedDirectly.age())
}

// pathLossDelay is how long an attempt must have received nothing before it ends because its path is lost.
const pathLossDelay = 300 * time.Millisecond

// EndSilentAttempts ends the attempts on direct connections that have received nothing for pathLossDelay and may be
// repeated through another VM, and closes idle direct connections. It is called while a partition drops this VM's
// packets to upstreams. Attempts that may not be repeated go on waiting: the partition may end in time.
func (s *Server) EndSilentAttempts() {
	s.pool.DropDirect()
	var conns []*upconn.Conn
	s.zones.mu.Lock()
	for _, z := range s.zones.byName {
		for conn, p := range z.pending {
			if !p.detour && p.repeatable && p.received.age() >= pathLossDelay && p.closed.CompareAndSwap(nil, &errPathLost) {
				conns = append(conns, conn)
			}
		}
	}
	s.zones.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // the attempt reads the reason from closed
	}
}

// DropDetours closes idle connections through other VMs, so that requests use direct ones again.
func (s *Server) DropDetours() { s.pool.DropDetours() }
