package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/callerconn"
	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/peer"
	"egretramp/internal/zonebytes"
)

const (
	// maintenanceInterval is the period of the maintenance work on every VM.
	maintenanceInterval = 500 * time.Millisecond
	// reloadInterval is how often the settings file is reloaded, since it may change without a signal.
	reloadInterval = 2 * time.Second
	// gcMemoryShare is the fraction of the allowed memory that the runtime may use before it collects
	// garbage regardless of the cost. The rest is for the program's code, file mappings and sockets.
	gcMemoryShare = 0.7
	// entryGCMemoryShare is that of an entry VM, whose callers may have a quarter of the memory in kernel buffers. With
	// 0.65, a VM of 88 MB reached 88.6 MB in one of ten runs with 150 callers that read nothing.
	entryGCMemoryShare = 0.6
	// storeGCMemoryShare is that of a store VM, whose memory is mostly live conversations: collecting garbage
	// regardless of the cost takes the processor time that its groups need to keep their leaders.
	storeGCMemoryShare = 0.8
	// peerRetention is how long a connection to a VM is kept after its last use.
	peerRetention = 10 * time.Second
	// electionTicks is the minimum election timeout in ticks of the replicas (50 ms). It is only three
	// heartbeats, since callers wait during an election.
	electionTicks = 6
)

// Node is the process of one VM.
type Node struct {
	opts     Options
	settings Settings
	self     vmInfo
	events   *events.Logger
	network  *network
	watcher  *watcher
	metrics  *prometheus.Registry
	bytes    *zonebytes.Meter
	memory   *callerMemory
	// entryZone returns the zone of an entry VM, empty if it isn't known; nil if this VM connects to none.
	entryZone    func(vm string) string
	role         role
	failed       chan error // receives the first error that ends the process
	reload       chan struct{}
	droppedLines int64 // log lines, as last reported
}

// role is the part of a VM's work that depends on its Role.
type role interface {
	// start starts the role's goroutines, which run until ctx ends.
	start(ctx context.Context, wg *conc.WaitGroup) error
	// handleUpdate processes the response of the control VM from to a watch request.
	handleUpdate(from string, r watchResponse)
	// documentVersion returns the version of the document that the VM uses, 0 for none.
	documentVersion() uint64
	// maintain does the role's periodic work, each maintenanceInterval.
	maintain()
	// drain prepares the shutdown. It returns when no request is in progress any more, or when ctx
	// ends.
	drain(ctx context.Context)
}

// New returns a node, which Run starts.
func New(opts Options) (*Node, error) {
	s := opts.Settings
	if opts.Listen == nil {
		opts.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if s.MemoryBytes > 0 {
		share := gcMemoryShare
		switch s.Role {
		case Entry:
			share = entryGCMemoryShare
		case Store:
			share = storeGCMemoryShare
		}
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * share))
	}
	n := &Node{
		opts: opts, settings: s, events: opts.Events,
		self:    vmInfo{VM: s.Peers, Name: s.Name, Role: s.Role, Zone: s.Zone, Evacuates: s.Role == Control},
		metrics: prometheus.NewRegistry(),
		failed:  make(chan error, 1),
		reload:  make(chan struct{}, 1),
	}
	n.metrics.MustRegister(collectors.NewGoCollector())
	n.bytes = zonebytes.New(s.Zone, n.metrics)
	n.memory = newCallerMemory(&s, n.metrics, n.events)
	n.network = &network{
		Node: peer.New(peer.Options{
			VM: s.Peers, Events: opts.Events, Accounting: n.accounting(), Memory: n.memory.budget.PeerGroup(n.memory.conns.Peers, s.Role != Entry),
		}),
		lastUsed: map[string]time.Duration{},
	}
	n.watcher = &watcher{
		self: n.self, calls: n.network, clock: clock.Now, events: opts.Events,
		contacts: map[string]*contact{}, seeds: s.Seeds, setPeers: n.network.setPeers, failOnPanic: n.failOnPanic,
	}
	var err error
	switch s.Role {
	case Entry:
		n.role = newEntry(n)
	case Control:
		n.role, err = newControl(n)
	case Store:
		n.role = newStore(n)
	default:
		err = errors.Newf("node: unknown role %q", s.Role)
	}
	if err != nil {
		return nil, err
	}
	n.watcher.handleUpdate = n.role.handleUpdate
	n.watcher.documentVersion = n.role.documentVersion
	return n, nil
}

// Reload makes the node reload its settings in the background.
func (n *Node) Reload() {
	select {
	case n.reload <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends and then shuts down gracefully. It returns an error if the node can't start
// or continue.
func (n *Node) Run(ctx context.Context) error {
	n.events.Emit(events.NodeStarted, zap.String("version", n.opts.Version), zap.String("role", string(n.settings.Role)),
		zap.String("zone", n.settings.Zone), zap.Strings("seeds", n.settings.Seeds), zap.Bool("first_start", n.settings.FirstStart),
		zap.Int("processors", runtime.GOMAXPROCS(0)))
	work, end := context.WithCancel(context.Background())
	defer end()
	listener, err := n.opts.Listen(n.settings.Peers)
	if err != nil {
		return errors.Wrap(err, "node: cannot listen for other VMs")
	}
	var wg conc.WaitGroup
	wg.Go(func() { n.fail(n.network.Serve(work, listener)) })
	if err := n.role.start(work, &wg); err != nil {
		end()
		wg.Wait()
		return err
	}
	if err := n.serveMetrics(work, &wg); err != nil {
		end()
		wg.Wait()
		return err
	}
	wg.Go(n.failOnPanic(func() { n.watcher.run(work) }))
	wg.Go(n.failOnPanic(func() { clock.Repeat(work, maintenanceInterval, n.maintain) }))
	wg.Go(n.failOnPanic(func() { n.reloadSettings(work) }))
	wg.Go(n.failOnPanic(func() { clock.Repeat(work, callerconn.MeasureInterval, n.memory.maintain) }))
	select {
	case <-ctx.Done():
		n.events.Emit(events.NodeStopping)
		limited, cancel := context.WithTimeout(context.Background(), n.settings.Grace-graceMargin)
		n.role.drain(limited)
		cancel()
	case err = <-n.failed:
	}
	end()
	if err == nil {
		wg.Wait()
	}
	n.events.Emit(events.NodeStopped, zap.Error(err))
	return err
}

// graceMargin is the part of the grace period that is reserved for the exit of the process.
const graceMargin = 700 * time.Millisecond

// fail makes Run return err, unless it is nil or context.Canceled.
func (n *Node) fail(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	select {
	case n.failed <- err:
	default:
	}
}

// failOnPanic returns a function that calls f and ends the process if f panics. The wait group of the
// goroutine would hold the panic back until shutdown, and the goroutine's work would stop unnoticed.
func (n *Node) failOnPanic(f func()) func() {
	return func() {
		defer func() {
			if p := recover(); p != nil {
				n.fail(errors.Newf("node: %v\n%s", p, debug.Stack()))
			}
		}()
		f()
	}
}

func (n *Node) maintain() {
	n.watcher.removeStaleContacts()
	n.network.closeUnused()
	n.role.maintain()
	if n.opts.LinesDropped != nil {
		if dropped := n.opts.LinesDropped(); dropped > n.droppedLines {
			n.events.Emit(events.NodeLogDropped, zap.Int64("lines", dropped-n.droppedLines))
			n.droppedLines = dropped
		}
	}
}

// reloadSettings reloads the settings upon Reload and each reloadInterval, and applies changed seeds.
func (n *Node) reloadSettings(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.reload:
			requested = true
		}
		s, err := n.opts.Reload()
		if err != nil {
			n.events.Emit(events.NodeReloadFailed, zap.Error(err))
			continue
		}
		changed := !equalStrings(s.Seeds, n.settings.Seeds)
		n.settings.Seeds = s.Seeds
		if changed {
			n.watcher.setSeeds(s.Seeds)
		}
		if changed || requested {
			n.events.Emit(events.NodeReloaded, zap.Strings("seeds", s.Seeds))
		}
	}
}

func equalStrings(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (n *Node) serveMetrics(ctx context.Context, wg *conc.WaitGroup) error {
	if n.settings.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(n.metrics, promhttp.HandlerOpts{}))
	return n.serveHTTP(ctx, wg, n.settings.Metrics, n.memory.conns.Auxiliary, mux)
}

// httpShutdownTimeout bounds the graceful shutdown of an HTTP server.
const httpShutdownTimeout = 300 * time.Millisecond

// serveHTTP serves a handler until ctx ends, on at most conns connections; 0 for no limit.
func (n *Node) serveHTTP(ctx context.Context, wg *conc.WaitGroup, address string, conns int, handler http.Handler) error {
	listener, err := n.opts.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "node: cannot listen on %s", address)
	}
	server := callerconn.NewHTTPServer(handler)
	limited := callerconn.Listener(n.memory.budget.Group(conns, false), listener)
	wg.Go(func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			n.fail(err)
		}
	})
	wg.Go(func() {
		<-ctx.Done()
		limited, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
		defer cancel()
		if server.Shutdown(limited) != nil {
			_ = server.Close() // closes the connections that are still open
		}
	})
	return nil
}

// network is a peer node that connects to other VMs on first use.
type network struct {
	*peer.Node
	mu       sync.Mutex
	lastUsed map[string]time.Duration // time of the last use, by VM
	peers    []string                 // VMs that stay connected without use
}

// Send sends a message and connects to the VM if necessary.
func (w *network) Send(vm, kind string, payload []byte) {
	w.ensurePeer(vm)
	w.Node.Send(vm, kind, payload)
}

// Call makes a call and connects to the VM if necessary.
func (w *network) Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
	w.ensurePeer(vm)
	return w.Node.Call(ctx, vm, method, payload)
}

// ensurePeer connects to a VM unless there is a connection, and records the use.
func (w *network) ensurePeer(vm string) {
	w.mu.Lock()
	_, known := w.lastUsed[vm]
	w.lastUsed[vm] = clock.Now()
	w.mu.Unlock()
	if !known {
		w.AddPeer(vm, vm)
	}
}

// setPeers sets the VMs to stay connected to, even while nothing is sent to them.
func (w *network) setPeers(vms []string) {
	w.mu.Lock()
	w.peers = vms
	w.mu.Unlock()
	for _, vm := range vms {
		w.ensurePeer(vm)
	}
}

// closeUnused closes the connections that were not used for peerRetention.
func (w *network) closeUnused() {
	w.mu.Lock()
	var unused []string
	for vm, at := range w.lastUsed {
		if clock.Now()-at > peerRetention && !slices.Contains(w.peers, vm) {
			unused = append(unused, vm)
			delete(w.lastUsed, vm)
		}
	}
	w.mu.Unlock()
	for _, vm := range unused {
		w.RemovePeer(vm)
	}
}

// newEpoch returns a number that distinguishes this process from earlier ones of the same VM.
func newEpoch() uint64 { return uint64(time.Now().UnixNano()) ^ uint64(os.Getpid())<<48 }
