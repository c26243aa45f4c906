package upstream

import (
	"hash/maphash"
	"sync"
	"time"
)

// Bounds on the rate of announcements. Per second; a burst is as much as a second's worth. An
// upstream announces itself once or twice a second.
const (
	perSenderRate   = 500.0 // from one address, before the signature is checked
	perUpstreamRate = 10.0
	perClassRate    = 1000.0
	refusalLogRate  = 5.0
	// maxTracked bounds the names that are told apart within a group.
	maxTracked = 4096
	// senderBuckets share the senders' addresses out, so that memory is bounded and a sender
	// with few addresses touches few others.
	senderBuckets = 4096
	// idleBucket is how long a bucket that nobody draws on is kept.
	idleBucket = 10 * time.Second
)

// bucket is a token bucket that holds a second's worth.
type bucket struct {
	tokens float64
	at     time.Duration
}

// buckets are the token buckets of one group of names. The table is bounded: when it is full,
// names that are not in it are refused until others fall idle.
type buckets struct {
	rate  float64
	names map[string]*bucket
	swept time.Duration
}

func newBuckets(rate float64) *buckets {
	return &buckets{rate: rate, names: map[string]*bucket{}}
}

// take draws one token from a name's bucket.
func (b *buckets) take(now time.Duration, name string) bool {
	b.sweep(now)
	own, ok := b.names[name]
	if !ok {
		if len(b.names) >= maxTracked {
			return false
		}
		own = &bucket{tokens: b.rate, at: now}
		b.names[name] = own
	}
	return own.take(now, b.rate)
}

func (b *bucket) take(now time.Duration, rate float64) bool {
	b.tokens = min(rate, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *buckets) sweep(now time.Duration) {
	if now-b.swept < idleBucket {
		return
	}
	b.swept = now
	for name, own := range b.names {
		if now-own.at >= idleBucket {
			delete(b.names, name)
		}
	}
}

// flood bounds announcements: by sender before they are parsed; then, for those that proved
// themselves, by upstream and by class, so that no class takes the place of another.
type flood struct {
	mu      sync.Mutex
	seed    maphash.Seed // unknown to senders
	senders [senderBuckets]bucket
	classes *buckets
	// upstreams are told apart within their class: a class that makes names up fills its own table.
	upstreams map[string]*buckets
	logged    *buckets
}

func newFlood() *flood {
	f := &flood{
		seed:      maphash.MakeSeed(),
		classes:   newBuckets(perClassRate),
		upstreams: map[string]*buckets{},
		logged:    newBuckets(refusalLogRate),
	}
	for i := range f.senders {
		f.senders[i].tokens = perSenderRate
	}
	return f
}

func (f *flood) sender(now time.Duration, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.senders[maphash.String(f.seed, address)%senderBuckets].take(now, perSenderRate)
}

// upstream takes a verified announcement; classes are those of the operators' file, so their
// number is bounded.
func (f *flood) upstream(now time.Duration, class, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	own, ok := f.upstreams[class]
	if !ok {
		own = newBuckets(perUpstreamRate)
		f.upstreams[class] = own
	}
	// The upstream's own bucket comes first: one that floods must not use up its class's.
	return own.take(now, name) && f.classes.take(now, class)
}

// log reports whether another refusal with this code may be logged.
func (f *flood) log(now time.Duration, code string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logged.take(now, code)
}
