package node

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/catalog"
)

// The watch responses of control VMs only say which version of the operators' document they have. An entry VM fetches
// the document from one of them, compressed and in chunks.

const (
	// methodDocument requests a chunk of the operators' document.
	methodDocument = "node.document"
	// documentChunkBytes is the size of a chunk: small enough to arrive within documentHedgeDelay on a link of 22 Mbit/s
	// (24 ms), so that a control VM that doesn't answer is noticed.
	documentChunkBytes = 64 << 10
	// documentHedgeDelay is how long a control VM may take to answer before the next one is asked as well.
	documentHedgeDelay = 100 * time.Millisecond
	// documentTimeout bounds a request for one chunk to all control VMs that have the document.
	documentTimeout = 1500 * time.Millisecond
	// documentRetryDelay is the delay after a failed request.
	documentRetryDelay = 50 * time.Millisecond
	// documentIdleCheck is the time between two checks while no version is missing. Announcements are noticed at once.
	documentIdleCheck = time.Minute
	// maxDocumentBytes bounds the size of a document, compressed or not. The largest that operators may send is 16 MiB.
	maxDocumentBytes = 32 << 20
)

var (
	errNoDocument     = errors.New("node: this VM has no document")
	errOlderDocument  = errors.New("node: the VM has an older document")
	errBadDocument    = errors.New("node: the chunks of a document don't fit together")
	errNoDocumentHeld = errors.New("node: no control VM that responds has the document")
)

// documentRequest requests the chunk at Offset of the compressed document with a version and a checksum. A control VM that
// has another one responds with its first chunk.
type documentRequest struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
	Sum     []byte `cbor:"2,keyasint,omitempty"`
	Offset  int    `cbor:"3,keyasint,omitempty"`
	// Evacuation is the sender's version of the zones that are out of service.
	Evacuation uint64 `cbor:"4,keyasint,omitempty"`
}

// documentChunk is a part of a compressed document.
type documentChunk struct {
	Version uint64 `cbor:"1,keyasint"`
	Sum     []byte `cbor:"2,keyasint"` // SHA-256 of the compressed document
	Size    int    `cbor:"3,keyasint"` // of the compressed document
	Offset  int    `cbor:"4,keyasint"`
	Data    []byte `cbor:"5,keyasint"`
	// Evacuation is set if the control VM has a later version. The document may be newer than the watch response that
	// announced one, and must not be applied before the orders that came before it.
	Evacuation *evacuation `cbor:"6,keyasint,omitempty"`
}

// packedDocument is a document that is compressed when it is first requested.
type packedDocument struct {
	document catalog.Document
	once     sync.Once
	data     []byte
	sum      [sha256.Size]byte
}

// pack compresses the document, once. flate.BestSpeed needs a third of the time of the default level for 1.3 times the
// size, and a document of 16 MiB must be compressed within a fraction of a second.
func (p *packedDocument) pack() {
	p.once.Do(func() {
		var packed bytes.Buffer
		w, err := flate.NewWriter(&packed, flate.BestSpeed)
		if err == nil {
			_, err = w.Write(p.document.Data)
		}
		if err == nil {
			err = w.Close()
		}
		if err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "node: cannot compress a document in memory"))
		}
		p.data, p.sum = packed.Bytes(), sha256.Sum256(packed.Bytes())
	})
}

// chunk returns the chunk that a request asks for.
func (p *packedDocument) chunk(r documentRequest) documentChunk {
	p.pack()
	c := documentChunk{Version: p.document.Version, Sum: p.sum[:], Size: len(p.data)}
	if r.Version == c.Version && bytes.Equal(r.Sum, c.Sum) && r.Offset >= 0 && r.Offset <= len(p.data) {
		c.Offset = r.Offset
	}
	c.Data = p.data[c.Offset:min(c.Offset+documentChunkBytes, len(p.data))]
	return c
}

// handleDocument serves methodDocument.
func (h *hub) handleDocument(_ context.Context, _ string, payload []byte) ([]byte, error) {
	r, err := decode[documentRequest](payload)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	packed, evacuated := h.packed, h.evacuatedSince(r.Evacuation)
	h.mu.Unlock()
	if packed == nil {
		return nil, errNoDocument
	}
	chunk := packed.chunk(r)
	chunk.Evacuation = evacuated
	return encode(chunk), nil
}

// documentAssembly puts the chunks of a document together. If a chunk of a newer document arrives, or of the same one
// compressed differently, it starts again.
type documentAssembly struct {
	version uint64
	sum     []byte
	size    int
	data    []byte
}

// next returns the request for the next chunk.
func (a *documentAssembly) next() documentRequest {
	return documentRequest{Version: a.version, Sum: a.sum, Offset: len(a.data)}
}

// add adds a chunk and reports whether the document is complete.
func (a *documentAssembly) add(c documentChunk) (complete bool, err error) {
	if c.Offset == 0 {
		*a = documentAssembly{version: c.Version, sum: c.Sum, size: c.Size}
	}
	fits := c.Version == a.version && bytes.Equal(c.Sum, a.sum) && c.Size == a.size && c.Offset == len(a.data)
	if !fits || c.Size > maxDocumentBytes || len(a.data)+len(c.Data) > a.size || len(c.Data) == 0 {
		*a = documentAssembly{}
		return false, errBadDocument
	}
	a.data = append(a.data, c.Data...)
	return len(a.data) == a.size, nil
}

// unpack returns the complete document.
func (a *documentAssembly) unpack() ([]byte, error) {
	if sum := sha256.Sum256(a.data); !bytes.Equal(sum[:], a.sum) {
		return nil, errBadDocument
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(a.data)), maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Mark(err, errBadDocument)
	}
	if len(data) > maxDocumentBytes {
		return nil, errBadDocument
	}
	return data, nil
}

// documentFetcher fetches the documents that control VMs announce. It is safe for concurrent use.
type documentFetcher struct {
	calls peerCaller
	// sources returns the control VMs that have a version or a later one, in the order in which to ask them. awaitsNear is
	// true if none of them is in this VM's zone, but one there may soon announce the version.
	sources func(version uint64) (vms []string, awaitsNear bool)
	// newest returns the highest version that a control VM which responds has announced, 0 for none.
	newest func() uint64
	// apply processes a document. It is not called again for its version.
	apply func(from string, version uint64, data []byte)
	// inForce returns the version that this VM uses.
	inForce func() uint64
	// evacuationVersion returns this VM's version of the zones that are out of service, and applyEvacuation processes a
	// later one, nil for none; both are nil if the VM applies none.
	evacuationVersion func() uint64
	applyEvacuation   func(from string, reported *evacuation)
	clock             func() time.Duration
	wake              chan struct{} // holds a value after an announcement

	mu          sync.Mutex
	announced   uint64 // the highest version
	announcedAt time.Duration

	// used by run only
	assembly documentAssembly
	handled  uint64 // the version last applied, successfully or not
	last     string // the control VM that answered last
}

func newDocumentFetcher(w *watcher, inForce func() uint64, apply func(from string, version uint64, data []byte)) *documentFetcher {
	f := &documentFetcher{calls: w.calls, sources: w.documentSources, newest: w.newestDocument, apply: apply, inForce: inForce, clock: w.clock, wake: make(chan struct{}, 1)}
	w.documentAnnounced = f.announce
	return f
}

// announce records that a control VM has a version.
func (f *documentFetcher) announce(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version > f.announced {
		f.announced, f.announcedAt = version, f.clock()
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// missing returns the version that is to be fetched, 0 for none, and how long ago the highest one was announced. If the
// control VMs that have the highest version don't respond, it is the highest one of the others.
func (f *documentFetcher) missing() (version uint64, age time.Duration) {
	used, newest := max(f.handled, f.inForce()), f.newest()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.announced <= used {
		return 0, 0
	}
	version = f.announced
	if newest > used {
		version = newest
	}
	return version, f.clock() - f.announcedAt
}

// run fetches documents until ctx ends.
func (f *documentFetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		version, age := f.missing()
		if wait := f.delay(version, age); wait > 0 {
			select {
			case <-ctx.Done():
			case <-f.wake:
			case <-time.After(wait):
			}
			continue
		}
		if err := f.fetchChunk(ctx, version); err != nil {
			// An older response sent with the document, or a newer announcement, may have made it obsolete.
			sleep(ctx, documentRetryDelay)
		}
	}
}

// delay returns how long to wait for announcements before a version is fetched that was announced age ago. Control VMs apply
// a change at slightly different times: the first to announce it may be in another zone.
func (f *documentFetcher) delay(version uint64, age time.Duration) time.Duration {
	if version == 0 {
		return documentIdleCheck
	}
	if _, awaitsNear := f.sources(version); !awaitsNear {
		return 0
	}
	return documentHedgeDelay - age
}

// fetchChunk fetches one chunk, and applies the document if it is complete.
func (f *documentFetcher) fetchChunk(ctx context.Context, version uint64) error {
	if f.assembly.version < version {
		f.assembly = documentAssembly{}
	}
	from, chunk, err := f.ask(ctx, version)
	if err != nil {
		return err
	}
	f.last = from
	if f.applyEvacuation != nil {
		f.applyEvacuation(from, chunk.Evacuation)
	}
	complete, err := f.assembly.add(chunk)
	if err != nil || !complete {
		return err
	}
	data, err := f.assembly.unpack()
	complete, version = err == nil, f.assembly.version
	f.assembly = documentAssembly{}
	if complete {
		f.apply(from, version, data)
		f.handled = version
	}
	return err
}

// documentAnswer is a control VM's response to a request for a chunk.
type documentAnswer struct {
	from  string
	chunk documentChunk
	err   error
}

// ask requests the next chunk from the control VMs that have a version or a later one. The next VM is asked as soon as
// one fails, or when none has answered for documentHedgeDelay; those asked before may still answer.
func (f *documentFetcher) ask(ctx context.Context, version uint64) (string, documentChunk, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	vms, _ := f.sources(version)
	if i := slices.Index(vms, f.last); i > 0 && len(f.assembly.data) > 0 {
		vms = slices.Insert(slices.Delete(vms, i, i+1), 0, f.last)
	}
	request := f.assembly.next()
	if f.evacuationVersion != nil {
		request.Evacuation = f.evacuationVersion()
	}
	payload := encode(request)
	answers := make(chan documentAnswer, len(vms))
	pending, err := 0, errNoDocumentHeld
	for pending > 0 || len(vms) > 0 {
		if len(vms) > 0 {
			pending++
			go f.askOne(ctx, vms[0], payload, version, answers)
			vms = vms[1:]
		}
		var hedge <-chan time.Time
		if len(vms) > 0 {
			hedge = time.After(documentHedgeDelay)
		}
		select {
		case answer := <-answers:
			if answer.err == nil {
				return answer.from, answer.chunk, nil
			}
			pending--
			err = answer.err
		case <-hedge:
		}
	}
	return "", documentChunk{}, err
}

// askOne requests a chunk from one control VM.
func (f *documentFetcher) askOne(ctx context.Context, vm string, payload []byte, version uint64, answers chan<- documentAnswer) {
	answer := documentAnswer{from: vm}
	result, err := f.calls.Call(ctx, vm, methodDocument, payload)
	if err == nil {
		answer.chunk, err = decode[documentChunk](result)
	}
	if err == nil && answer.chunk.Version < version {
		err = errOlderDocument
	}
	answer.err = err
	answers <- answer
}
