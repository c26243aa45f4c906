package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/detour"
	"egretramp/internal/events"
	"egretramp/internal/peer"
	"egretramp/internal/proxy"
	"egretramp/internal/registry"
	"egretramp/internal/upconn"
	"egretramp/internal/zonebytes"
)

const (
	// maxServedTunnels bounds the tunnels that an entry VM serves at the same time, and thereby their memory.
	maxServedTunnels = 256
	// maxDetourVMs is the number of entry VMs that a control VM names for detours, half of them in the zone of the VM
	// that asks if there are as many.
	maxDetourVMs = 8
	// detourVMsTimeout bounds the request for them to one control VM.
	detourVMsTimeout = 80 * time.Millisecond
	// detourVMsAge is how long the response is used before it is renewed.
	detourVMsAge = 2 * time.Second
	// pathCheckInterval is the time between two checks of the paths to upstreams.
	pathCheckInterval = 100 * time.Millisecond
	// maxKnownZones bounds the number of entry VMs whose zones are kept.
	maxKnownZones = 1024
)

// entryVMsResponse is a control VM's response to methodEntryVMs: VMs that reach upstreams, as far as it knows, the
// nearest to the sender of the request first.
type entryVMsResponse struct {
	VMs []string `cbor:"1,keyasint"`
	// Zones are the zones of VMs. A control VM of an earlier release sends none.
	Zones []string `cbor:"2,keyasint,omitempty"`
}

// entryVMsRequest is a request of an entry VM.
type entryVMsRequest struct {
	From vmInfo `cbor:"1,keyasint"`
}

// handleEntryVMs serves methodEntryVMs.
func (h *hub) handleEntryVMs(_ context.Context, _ string, payload []byte) ([]byte, error) {
	r, err := decode[entryVMsRequest](payload)
	if err != nil {
		return nil, err
	}
	response := entryVMsResponse{VMs: h.entryVMs(r.From)}
	for _, vm := range response.VMs {
		response.Zones = append(response.Zones, h.zone(vm))
	}
	return encode(response), nil
}

// entryVMs returns random entry VMs that run and reach upstreams, those in the zone of the VM that asks first.
func (h *hub) entryVMs(from vmInfo) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var near, far []string
	now := h.clock()
	for vm, m := range h.members {
		switch {
		case m.info.Role != Entry || vm == from.VM || m.isSilent(now) || m.info.CutOff:
		case m.info.Zone == from.Zone:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	for _, list := range [][]string{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	near = near[:min(len(near), max(maxDetourVMs/2, maxDetourVMs-len(far)))]
	far = far[:min(len(far), maxDetourVMs-len(near))]
	return append(near, far...)
}

// detours connects an entry VM to upstreams that a partition separates it from, and serves other VMs that are in this
// situation.
type detours struct {
	node      *Node
	dialer    *detour.Dialer
	direct    upconn.DialFunc
	directory *registry.Directory
	// leavingLimit is how long an upstream that leaves is still connected to.
	leavingLimit time.Duration
	// evacuated reports whether a zone is out of service; nil means never.
	evacuated func(zone string) bool
	bytes     *zonebytes.Meter // nil for none
	served    atomic.Int64     // tunnels in progress for other VMs
	stopping  atomic.Bool

	mu        sync.Mutex
	vms       []string          // other entry VMs
	zones     map[string]string // zones of entry VMs that were asked for detours, by VM
	askedAt   time.Duration
	renewing  bool
	lastKnown bool // the last request was answered; as last logged
}

func newDetours(e *entry) *detours {
	n := e.node
	d := &detours{node: n, direct: n.opts.DialUpstream, directory: e.directory, leavingLimit: proxy.LeavingLimit(n.settings.Drain), evacuated: e.evacuations.contains, lastKnown: true, bytes: n.bytes}
	if d.direct == nil {
		d.direct = upconn.Dial
	}
	d.dialer = detour.New(detour.Options{
		Direct: d.direct,
		Tunnel: func(ctx context.Context, vm, address string) (net.Conn, error) {
			t, err := n.network.OpenTunnel(ctx, vm, address)
			if err != nil {
				return nil, err // a nil *peer.Tunnel would be a non-nil net.Conn
			}
			return t, nil
		},
		VMs: d.otherVMs, Upstreams: d.addresses, Clock: clock.Now, Events: n.events,
		OnChange: func(cut, _ bool) {
			if !cut {
				e.proxy.DropDetours()
			}
		},
	})
	n.watcher.cutOff = func() bool { return d.stopping.Load() || d.dialer.Cut() }
	n.network.HandleTunnels(d.serve)
	n.entryZone = d.zoneOf
	n.metrics.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "egretramp_tunnels_served", Help: "Connections to upstreams that are open for other entry VMs.",
		}, func() float64 { return float64(d.served.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "egretramp_detours_total", Help: "Connections to upstreams opened through other entry VMs.",
		}, func() float64 { return float64(d.dialer.Detours()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "egretramp_cut_off", Help: "1 while this VM reaches no upstream itself.",
		}, func() float64 {
			if d.dialer.Cut() {
				return 1
			}
			return 0
		}),
	)
	return d
}

// checkPaths is called each pathCheckInterval.
func (e *entry) checkPaths() {
	address, silent := e.proxy.AwaitedUpstream()
	e.detours.dialer.Check(address, silent)
	if e.detours.dialer.Silenced() {
		e.proxy.EndSilentAttempts()
	}
}

// drain opens no more connections for other VMs, and makes them send no further requests through the open ones.
func (d *detours) drain() {
	d.stopping.Store(true)
	d.node.network.DrainTunnels()
}

// addresses returns the addresses of the upstreams that serve. Those in zones that are out of service are left out unless
// there are no others: other VMs open no connections to them, which says nothing about the paths.
func (d *detours) addresses() []string {
	var inService, others []string
	for _, list := range d.directory.View().Services {
		for _, u := range list {
			if d.isEvacuated(u.Zone) {
				others = append(others, u.Address)
			} else {
				inService = append(inService, u.Address)
			}
		}
	}
	if len(inService) == 0 {
		return others
	}
	return inService
}

func (d *detours) isEvacuated(zone string) bool { return d.evacuated != nil && d.evacuated(zone) }

// leadsToEvacuated reports whether the upstream at an address is in a zone that is out of service.
func (d *detours) leadsToEvacuated(address string) bool {
	return d.isEvacuated(d.directory.ZoneAt(address))
}

// countedTunnel counts an upstream's connection as served until it is closed.
type countedTunnel struct {
	net.Conn
	served   *atomic.Int64
	once     sync.Once
	draining func() bool
}

// Draining implements peer.DrainingConn.
func (c *countedTunnel) Draining() bool { return c.draining() }

// Close implements net.Conn.
func (c *countedTunnel) Close() error {
	c.once.Do(func() { c.served.Add(-1) })
	return c.Conn.Close()
}

// serve opens a connection to an upstream for another VM. It dials directly only, so a request takes one detour.
func (d *detours) serve(ctx context.Context, _, address string) (net.Conn, error) {
	switch {
	case !d.directory.MayServe(address, d.leavingLimit):
		return nil, &peer.RemoteError{Code: detour.CodeUnknown, Message: "no upstream at " + address}
	case d.leadsToEvacuated(address):
		return nil, &peer.RemoteError{Code: detour.CodeEvacuated, Message: "the zone of the upstream at " + address + " is out of service"}
	case d.stopping.Load():
		return nil, &peer.RemoteError{Code: detour.CodeUnavailable, Message: "this VM is stopping"}
	case d.dialer.Cut():
		return nil, &peer.RemoteError{Code: detour.CodeUnavailable, Message: "this VM reaches no upstream itself"}
	case d.served.Add(1) > maxServedTunnels:
		d.served.Add(-1)
		return nil, &peer.RemoteError{Code: detour.CodeOverloaded, Message: "too many tunnels"}
	}
	conn, err := d.direct(ctx, address)
	if err == nil {
		return &countedTunnel{Conn: d.bytes.Conn(conn, d.directory.ZoneAt(address), zonebytes.Tunnel), served: &d.served, draining: func() bool { return d.leadsToEvacuated(address) }}, nil
	}
	d.served.Add(-1)
	code := detour.CodeUnreachable
	if upconn.RefusedByHost(err) {
		code = detour.CodeRefused
	}
	return nil, &peer.RemoteError{Code: code, Message: err.Error()}
}

// otherVMs returns entry VMs to ask for a detour. Only the first call waits for a control VM's response.
func (d *detours) otherVMs(ctx context.Context) []string {
	d.mu.Lock()
	vms, age := d.vms, clock.Now()-d.askedAt
	renew := !d.renewing && (len(vms) == 0 || age > detourVMsAge)
	if renew {
		d.renewing = true
	}
	d.mu.Unlock()
	switch {
	case renew && len(vms) == 0:
		return d.renewVMs(ctx)
	case renew:
		go d.renewVMs(context.WithoutCancel(ctx))
	}
	return vms
}

// renewVMs asks the control VMs, one after the other, and returns the first response. The former VMs stay in use if none
// responds.
func (d *detours) renewVMs(ctx context.Context) []string {
	var vms []string
	err := errors.New("node: no control VM is known")
	for _, control := range d.node.watcher.controlVMs() {
		if vms, err = d.askForVMs(ctx, control); err == nil {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.renewing, d.askedAt = false, clock.Now()
	if err == nil {
		d.vms = vms
	} else if d.lastKnown {
		d.node.events.Emit(events.DetourVMsUnknown, zap.Error(err))
	}
	d.lastKnown = err == nil
	return d.vms
}

func (d *detours) askForVMs(ctx context.Context, control string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, detourVMsTimeout)
	defer cancel()
	answer, err := d.node.network.Call(ctx, control, methodEntryVMs, encode(entryVMsRequest{From: d.node.self}))
	if err != nil {
		return nil, err
	}
	r, err := decode[entryVMsResponse](answer)
	d.recordZones(&r)
	return r.VMs, err
}

// recordZones records the zones of entry VMs. Those of VMs that a control VM no longer names are kept while there are few:
// tunnels through them may be open.
func (d *detours) recordZones(r *entryVMsResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zones == nil || len(d.zones) > maxKnownZones {
		d.zones = map[string]string{}
	}
	for i, vm := range r.VMs {
		if i < len(r.Zones) && r.Zones[i] != "" {
			d.zones[vm] = r.Zones[i]
		}
	}
}

// zoneOf returns the zone of an entry VM, empty if it isn't known.
func (d *detours) zoneOf(vm string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.zones[vm]
}
