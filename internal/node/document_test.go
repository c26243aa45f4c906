package node

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/catalog"
	"egretramp/internal/clock"
	"egretramp/internal/events"
)

// configApply is the time within which each VM must have a document that a control VM has.
const configApply = 2500 * time.Millisecond

// routesDocument returns a document with a number of routes, similar to what operators send.
func routesDocument(routes int, seed int64) []byte {
	r := rand.New(rand.NewSource(seed))
	var b bytes.Buffer
	b.WriteString(`{"services":[{"name":"chat","kind":"model","cold_start_s":3}],"routes":[`)
	for range routes {
		fmt.Fprintf(&b, `{"id":"r-%07x","host":"h%d.example","prefix":"/v%d/%x","service":"chat","weight":%d,"timeout_ms":%d,"kind":"streaming","stateful":%v},`,
			r.Intn(1<<28), r.Intn(20), r.Intn(9), r.Intn(1<<30), r.Intn(100), 500+r.Intn(20000), r.Intn(2) == 0)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// requireDocument requires that all VMs get a document in time.
func requireDocument(t *testing.T, vms []*watchingVM, version uint64, data []byte) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, v := range vms {
			if v.inForce() != version {
				return false
			}
		}
		return true
	}, configApply, 10*time.Millisecond)
	for _, v := range vms {
		v.mu.Lock()
		require.True(t, bytes.Equal(data, v.data), "the content")
		v.mu.Unlock()
	}
}

// TestDocument_OneCopyFromTheOwnZone guards against control VMs that each send the whole document to each entry VM, through
// links between zones.
func TestDocument_OneCopyFromTheOwnZone(t *testing.T) {
	const entries = 77
	document := routesDocument(300, 1)
	require.InDelta(t, 40_000, len(document), 5_000)
	f := newWatchFleet(6)
	vms := f.start(t, entries, true)
	awaitWatching(t, f, vms)
	f.resetBytes()
	f.put(1, document, f.all()...)
	requireDocument(t, vms, 1, document)
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("a document of %d bytes for %d VMs: %d bytes between zones, %d of them for documents; %d within zones", len(document), entries, f.other, f.ofDocuments, f.same)
	require.Less(t, f.other, int64(entries*4*2_000), "announcements of 4 control VMs to each VM")
	require.Less(t, f.same, int64(entries*len(document)/2), "one compressed copy for each VM")
	for vm, calls := range f.documentCalls {
		require.Less(t, calls, entries/2, "%s: the VMs of a zone must not all ask the same control VM", vm)
	}
}

// TestDocument_PreviousRelease guards against VMs of the previous release that get no document, in either role.
func TestDocument_PreviousRelease(t *testing.T) {
	document := routesDocument(300, 1)
	t.Run("entry VMs", func(t *testing.T) {
		f := newWatchFleet(6)
		vms := f.start(t, 3, false)
		awaitWatching(t, f, vms)
		f.put(1, document, f.all()...)
		requireDocument(t, vms, 1, document)
	})
	t.Run("control VMs", func(t *testing.T) {
		f := newWatchFleet(1)
		v := &watchingVM{}
		w := &watcher{
			self: vmInfo{VM: "e", Role: Entry}, clock: clock.Now, events: events.FromZap(zap.NewNop()), documentVersion: v.inForce,
			handleUpdate: func(from string, r watchResponse) { v.apply(from, r.Document.Version, r.Document.Data) },
			calls: callerFunc(func(_ context.Context, _, method string, payload []byte) ([]byte, error) {
				require.Equal(t, methodWatch, method, "the previous release knows no other method")
				r, err := decode[watchRequest](payload)
				require.NoError(t, err)
				r.FetchesDocument = false // it ignores the field
				return f.hubs["c0"].handleWatch(context.Background(), "e", encode(r))
			}),
		}
		f.put(1, document, "c0")
		newDocumentFetcher(w, v.inForce, v.apply)
		w.ctx = context.Background()
		require.True(t, w.watchOnce(context.Background(), &contact{vm: "c0"}))
		require.Equal(t, uint64(1), v.inForce())
	})
}

// callerFunc is a function that makes calls.
type callerFunc func(ctx context.Context, vm, method string, payload []byte) ([]byte, error)

func (f callerFunc) Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
	return f(ctx, vm, method, payload)
}

// TestDocument_FrozenInOwnZone guards against VMs that wait for the control VMs of their own zone, which are frozen.
func TestDocument_FrozenInOwnZone(t *testing.T) {
	f := newWatchFleet(6)
	vms := f.start(t, 9, true)
	awaitWatching(t, f, vms)
	document := routesDocument(300, 2)
	// They announce the document, and freeze before they send it.
	fault := func(ctx context.Context, from, to, method string, answered bool) error {
		if method == methodDocument && f.zones[from] == f.zones[to] {
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	}
	f.fault.Store(&fault)
	f.put(1, document, f.all()...)
	requireDocument(t, vms, 1, document)
}

// TestDocument_OneSourceInAnotherZone guards against VMs that get no document because only one control VM has it: the
// others lag, and some can't be reached.
func TestDocument_OneSourceInAnotherZone(t *testing.T) {
	f := newWatchFleet(6)
	vms := f.start(t, 9, true)
	awaitWatching(t, f, vms)
	f.put(1, routesDocument(300, 1), f.all()...)
	requireDocument(t, vms, 1, routesDocument(300, 1))
	fault := func(_ context.Context, _, to, _ string, _ bool) error {
		if to == "c1" || to == "c2" || to == "c3" {
			return errors.New("unreachable")
		}
		return nil
	}
	f.fault.Store(&fault)
	f.put(2, routesDocument(300, 2), "c4")
	requireDocument(t, vms, 2, routesDocument(300, 2))
	f.put(1, routesDocument(300, 1), "c0", "c5")
	time.Sleep(50 * time.Millisecond)
	requireDocument(t, vms, 2, routesDocument(300, 2))
}

// TestDocument_NewestSourceIsLost guards against VMs that keep asking a lost control VM for the version that it alone has
// announced, and meanwhile don't fetch a later one than theirs that others have.
func TestDocument_NewestSourceIsLost(t *testing.T) {
	f := newWatchFleet(3)
	vms := f.start(t, 3, true)
	awaitWatching(t, f, vms)
	f.put(1, routesDocument(300, 1), f.all()...)
	requireDocument(t, vms, 1, routesDocument(300, 1))
	var lost atomic.Bool
	fault := func(_ context.Context, _, to, method string, _ bool) error {
		if to == "c2" && (method == methodDocument || lost.Load()) {
			return errors.New("unreachable")
		}
		return nil
	}
	f.fault.Store(&fault)
	f.put(3, routesDocument(300, 3), "c2")
	for _, v := range vms {
		require.Eventually(t, func() bool {
			sources, _ := v.watcher.documentSources(3)
			return len(sources) > 0
		}, 10*time.Second, time.Millisecond, "c2 announces its version")
	}
	lost.Store(true)
	f.put(4, routesDocument(300, 4), "c2") // ends the watches in progress
	f.put(2, routesDocument(300, 2), "c0", "c1")
	for _, v := range vms {
		require.Eventually(t, func() bool { return v.inForce() == 2 }, 20*time.Second, time.Millisecond)
	}
	lost.Store(false)
	f.fault.Store(nil)
	for _, v := range vms {
		require.Eventually(t, func() bool { return v.inForce() == 4 }, 20*time.Second, time.Millisecond)
	}
}

// TestDocument_PartitionedControlGroup guards against VMs that get no document because they reach only the control VMs of
// one side, or keep an older one of a side that lags.
func TestDocument_PartitionedControlGroup(t *testing.T) {
	f := newWatchFleet(6)
	vms := f.start(t, 6, true)
	awaitWatching(t, f, vms)
	// VMs with an even number reach c0 to c3, the others c4 and c5.
	fault := func(_ context.Context, from, to, _ string, _ bool) error {
		even := strings.ContainsAny(from, "024")
		if first := to < "c4"; first != even {
			return errors.New("partitioned")
		}
		return nil
	}
	f.fault.Store(&fault)
	f.put(3, routesDocument(300, 3), "c2")
	f.put(2, routesDocument(300, 2), "c0", "c1", "c3", "c4", "c5")
	requireDocument(t, []*watchingVM{vms[0], vms[2], vms[4]}, 3, routesDocument(300, 3))
	requireDocument(t, []*watchingVM{vms[1], vms[3], vms[5]}, 2, routesDocument(300, 2))
	f.fault.Store(nil)
	requireDocument(t, vms, 3, routesDocument(300, 3))
	for _, v := range vms {
		v.mu.Lock()
		require.IsIncreasing(t, v.applied)
		v.mu.Unlock()
	}
}

// largeDocument returns a document of several chunks that compresses little.
func largeDocument(seed int64) []byte {
	data := make([]byte, 8*documentChunkBytes)
	rand.New(rand.NewSource(seed)).Read(data)
	return data
}

// TestDocument_SourceDiesHalfway guards against documents that are fetched in vain because the control VM that sent the
// first chunks doesn't send the rest, and against chunks that are fetched again from the next one.
func TestDocument_SourceDiesHalfway(t *testing.T) {
	for _, dies := range []string{"frozen", "unreachable"} {
		t.Run(dies, func(t *testing.T) {
			f := newWatchFleet(6)
			vms := f.start(t, 1, true)
			awaitWatching(t, f, vms)
			var mu sync.Mutex
			served, dead := map[string]int{}, ""
			running, hedged := 0, 0 // calls to VMs that aren't dead: in progress, and begun beside another one
			fault := func(ctx context.Context, _, to, method string, answered bool) error {
				if method != methodDocument {
					return nil
				}
				mu.Lock()
				if !answered && to != dead {
					if running > 0 {
						hedged++
					}
					running++
				}
				if answered {
					running--
					served[to]++
					if served[to] == 4 && dead == "" {
						dead = to
					}
				}
				isDead := to == dead && !answered
				mu.Unlock()
				if !isDead {
					return nil
				}
				if dies == "frozen" {
					<-ctx.Done()
				}
				return errors.New("no answer")
			}
			f.fault.Store(&fault)
			f.put(1, largeDocument(1), f.all()...)
			requireDocument(t, vms, 1, largeDocument(1))
			mu.Lock()
			defer mu.Unlock()
			require.NotEmpty(t, dead)
			total := 0
			for _, n := range served {
				total += n
			}
			require.LessOrEqual(t, total, 9+hedged, "8 chunks and the remainder; compressed to a little more than their size")
		})
	}
}

// TestDocument_ReplacedWhileFetched guards against chunks of two documents that are put together, and against a version that
// stays missing when it is replaced.
func TestDocument_ReplacedWhileFetched(t *testing.T) {
	f := newWatchFleet(6)
	vms := f.start(t, 3, true)
	awaitWatching(t, f, vms)
	var calls atomic.Int64
	replaced := make(chan struct{})
	fault := func(_ context.Context, _, _, method string, answered bool) error {
		if method == methodDocument && answered && calls.Add(1) == 4 {
			f.put(2, largeDocument(2), f.all()...)
			close(replaced)
		}
		return nil
	}
	f.fault.Store(&fault)
	f.put(1, largeDocument(1), f.all()...)
	<-replaced
	requireDocument(t, vms, 2, largeDocument(2))
}

// TestDocument_LargestDocument guards against a document of 16 MiB that doesn't pass.
func TestDocument_LargestDocument(t *testing.T) {
	document := bytes.Repeat(routesDocument(3000, 1), 1+16<<20/len(routesDocument(3000, 1)))[:16<<20]
	f := newWatchFleet(2)
	vms := f.start(t, 1, true)
	awaitWatching(t, f, vms)
	f.put(1, document, f.all()...)
	require.Eventually(t, func() bool { return vms[0].inForce() == 1 }, 30*time.Second, 10*time.Millisecond)
	require.True(t, bytes.Equal(document, vms[0].data))
}

// TestDocument_NotUsable guards against VMs that fetch a document again and again which they can't use.
func TestDocument_NotUsable(t *testing.T) {
	f := newWatchFleet(3)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	var applied atomic.Int64
	w := &watcher{clock: clock.Now, self: vmInfo{VM: "e", Role: Entry, Zone: "z0"}, calls: zonePeer{f, "e"}, contacts: map[string]*contact{
		"c0": {vm: "c0", documentVersion: 1}, "c1": {vm: "c1", documentVersion: 1},
	}}
	f.put(1, []byte("not valid"), f.all()...)
	fetcher := newDocumentFetcher(w, func() uint64 { return 0 }, func(string, uint64, []byte) { applied.Add(1) })
	wg.Go(func() { fetcher.run(ctx) })
	fetcher.announce(1)
	require.Eventually(t, func() bool { return applied.Load() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(3 * documentRetryDelay)
	require.Equal(t, int64(1), applied.Load())
	fetcher.announce(1)
	time.Sleep(3 * documentRetryDelay)
	require.Equal(t, int64(1), applied.Load())
}

// TestDocumentAssembly guards against chunks that are put together although they don't fit, and against a sender that
// makes a VM allocate memory without bound.
func TestDocumentAssembly(t *testing.T) {
	p := &packedDocument{document: catalog.Document{Version: 1, Data: largeDocument(1)}}
	first := p.chunk(documentRequest{})
	second := p.chunk(documentRequest{Version: 1, Sum: p.sum[:], Offset: len(first.Data)})
	require.Equal(t, len(first.Data), second.Offset)
	require.Zero(t, p.chunk(documentRequest{Version: 2, Sum: p.sum[:], Offset: 10}).Offset, "another version")
	require.Zero(t, p.chunk(documentRequest{Version: 1, Sum: []byte("x"), Offset: 10}).Offset, "other content")
	require.Zero(t, p.chunk(documentRequest{Version: 1, Sum: p.sum[:], Offset: -1}).Offset)
	require.Zero(t, p.chunk(documentRequest{Version: 1, Sum: p.sum[:], Offset: len(p.data) + 1}).Offset)

	add := func(chunks ...documentChunk) error {
		var a documentAssembly
		for _, c := range chunks {
			if _, err := a.add(c); err != nil {
				return err
			}
		}
		return nil
	}
	require.NoError(t, add(first, second))
	require.NoError(t, add(first, second, first), "starts again")
	require.Error(t, add(second))
	require.Error(t, add(first, second, second))
	require.Error(t, add(documentChunk{Version: 1, Size: maxDocumentBytes + 1, Data: []byte("x")}))
	require.Error(t, add(documentChunk{Version: 1, Size: 1, Data: []byte("xx")}))
	require.Error(t, add(documentChunk{Version: 1, Size: 10}), "never ends")
	other := second
	other.Version = 2
	require.Error(t, add(first, other))

	var a documentAssembly
	damaged := documentChunk{Version: 1, Sum: first.Sum, Size: 3, Data: []byte("abc")}
	complete, err := a.add(damaged)
	require.NoError(t, err)
	require.True(t, complete)
	_, err = a.unpack()
	require.ErrorIs(t, err, errBadDocument)
}

// BenchmarkDocument measures the compression of a document at a control VM, and the opposite at an entry VM.
func BenchmarkDocument(b *testing.B) {
	for _, routes := range []int{40, 300, 2000} {
		document := routesDocument(routes, 1)
		p := &packedDocument{document: catalog.Document{Version: 1, Data: document}}
		p.pack()
		b.Run(fmt.Sprint("pack ", routes, " routes"), func(b *testing.B) {
			for b.Loop() {
				again := &packedDocument{document: p.document}
				again.pack()
			}
			b.ReportMetric(float64(len(document)), "B")
			b.ReportMetric(float64(len(p.data)), "B-packed")
		})
		b.Run(fmt.Sprint("unpack ", routes, " routes"), func(b *testing.B) {
			a := documentAssembly{data: p.data, sum: p.sum[:]}
			for b.Loop() {
				if _, err := a.unpack(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestDocument_ComesWithEvacuations guards against a VM that has just started and serves by a document before it knows which
// zones are out of service: both were ordered after the control VM had announced an earlier document.
func TestDocument_ComesWithEvacuations(t *testing.T) {
	e := newTestEntry(t)
	w, h := e.node.watcher, newTestHub(clock.Now)
	h.setState(catalog.State{Document: catalog.Document{Version: 1, Data: []byte("{}")}})
	known := false
	w.calls = callerFunc(func(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
		if method == methodWatch {
			return h.handleWatch(ctx, "e", payload)
		}
		require.Nil(t, e.table.Load())
		return h.handleDocument(ctx, "e", payload)
	})
	e.documents.calls = w.calls
	apply := e.documents.apply
	e.documents.apply = func(from string, version uint64, data []byte) {
		known = e.evacuations.contains("z")
		apply(from, version, data)
	}
	w.ctx = t.Context()
	c := &contact{vm: "c"}
	w.contacts["c"] = c
	require.True(t, w.watchOnce(t.Context(), c))
	h.setState(catalog.State{Document: catalog.Document{Version: 2, Data: []byte("{}")}, Evacuated: []string{"z"}, EvacuationVersion: 1})
	require.NoError(t, e.documents.fetchChunk(t.Context(), 1))
	require.NotNil(t, e.table.Load())
	require.True(t, known)

	chunk := func(version uint64) *evacuation {
		data, err := h.handleDocument(t.Context(), "e", encode(documentRequest{Evacuation: version}))
		require.NoError(t, err)
		c, err := decode[documentChunk](data)
		require.NoError(t, err)
		return c.Evacuation
	}
	require.Equal(t, &evacuation{Version: 1, Zones: []string{"z"}}, chunk(0))
	require.Nil(t, chunk(1), "the VM knows it")
}
