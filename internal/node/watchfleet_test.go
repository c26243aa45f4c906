package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/catalog"
	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/registry"
	"egretramp/internal/suspect"
)

// watchFleet is a fleet of control VMs that are watched by entry VMs, without a network.
type watchFleet struct {
	zones map[string]string // by VM
	hubs  map[string]*hub
	// fault is asked before a call is delivered, and after its handler has answered; an error or a delay may be returned.
	fault atomic.Pointer[func(ctx context.Context, from, to, method string, answered bool) error]

	mu            sync.Mutex
	same, other   int64 // bytes of watches and documents
	ofDocuments   int64 // bytes of documents between zones
	documentCalls map[string]int
}

// zonePeer makes the calls of one VM.
type zonePeer struct {
	fleet *watchFleet
	vm    string
}

func (p zonePeer) Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
	f := p.fleet
	fault := func(answered bool) error {
		if check := f.fault.Load(); check != nil {
			return (*check)(ctx, p.vm, vm, method, answered)
		}
		return nil
	}
	if err := fault(false); err != nil {
		return nil, err
	}
	h := f.hubs[vm]
	handle := map[string]func(context.Context, string, []byte) ([]byte, error){methodWatch: h.handleWatch, methodDocument: h.handleDocument}[method]
	answer, err := handle(ctx, p.vm, payload)
	if faultErr := fault(true); faultErr != nil {
		return nil, faultErr
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n := int64(len(payload) + len(answer))
	if f.zones[p.vm] == f.zones[vm] {
		f.same += n
	} else {
		f.other += n
		if method == methodDocument || watchPurpose(answer) == "watch_document" {
			f.ofDocuments += n
		}
	}
	if method == methodDocument {
		f.documentCalls[vm]++
	}
	return answer, err
}

// watchingVM is an entry VM of a watchFleet.
type watchingVM struct {
	watcher *watcher
	mu      sync.Mutex
	version uint64
	data    []byte
	applied []uint64
}

func (v *watchingVM) inForce() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

func (v *watchingVM) apply(_ string, version uint64, data []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > v.version {
		v.version, v.data, v.applied = version, data, append(v.applied, version)
	}
}

func newWatchFleet(controls int) *watchFleet {
	f := &watchFleet{zones: map[string]string{}, hubs: map[string]*hub{}, documentCalls: map[string]int{}}
	voters := func() []string { return nil }
	for i := range controls {
		vm, zone := fmt.Sprint("c", i), fmt.Sprint("z", i%3)
		f.zones[vm] = zone
		f.hubs[vm] = newHub(uint64(i+1), vmInfo{VM: vm, Role: Control, Zone: zone}, clock.Now, registry.NewRegistrar(time.Second, clock.Now), suspect.NewTracker(clock.Now), voters)
	}
	return f
}

// start starts entry VMs. fetches is false for those of the previous release.
func (f *watchFleet) start(t *testing.T, entries int, fetches bool) []*watchingVM {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	var vms []*watchingVM
	for i := range entries {
		name := fmt.Sprint("e", i)
		v := &watchingVM{}
		f.mu.Lock()
		f.zones[name] = fmt.Sprint("z", i%3)
		f.mu.Unlock()
		seeds := make([]string, 0, len(f.hubs))
		for vm := range f.hubs {
			seeds = append(seeds, vm)
		}
		v.watcher = &watcher{
			self: vmInfo{VM: name, Role: Entry, Zone: f.zones[name]}, calls: zonePeer{f, name}, clock: clock.Now, events: events.FromZap(zap.NewNop()),
			contacts: map[string]*contact{}, seeds: seeds, documentVersion: v.inForce, failOnPanic: func(work func()) func() { return work },
			handleUpdate: func(from string, r watchResponse) {
				if r.Document != nil {
					v.apply(from, r.Document.Version, r.Document.Data)
				}
			},
		}
		if fetches {
			fetcher := newDocumentFetcher(v.watcher, v.inForce, v.apply)
			wg.Go(func() { fetcher.run(ctx) })
		}
		wg.Go(func() { v.watcher.run(ctx) })
		vms = append(vms, v)
	}
	return vms
}

// put sets the document of control VMs.
func (f *watchFleet) put(version uint64, data []byte, controls ...string) {
	for _, vm := range controls {
		f.hubs[vm].setState(catalog.State{Document: catalog.Document{Version: version, Data: data}})
	}
}

func (f *watchFleet) all() []string {
	vms := make([]string, 0, len(f.hubs))
	for vm := range f.hubs {
		vms = append(vms, vm)
	}
	return vms
}

// awaitWatching waits until all VMs have the fleet's state of all control VMs.
func awaitWatching(t *testing.T, f *watchFleet, vms []*watchingVM) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, v := range vms {
			if len(v.watcher.controlEpochs()) != len(f.hubs) {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
}

func (f *watchFleet) resetBytes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.same, f.other, f.ofDocuments = 0, 0, 0
}
