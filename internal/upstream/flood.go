package upstream

import (
	"hash/maphash"
	"sync"
	"time"
)

// Bounds on the rate of announcements. Per second; a burst is as much as a second's worth. An
// upstream announces itself once or twice a second.
const (
	perSenderRate    = 500.0 // from one address, before the signature is checked
	perUpstreamRate  = 10.0
	perClassRate     = 1000.0
	rejectionLogRate = 5.0
	// maxNamesPerTable bounds the names that are told apart within a group.
	maxNamesPerTable = 4096
	// senderBucketCount share the senders' addresses out, so that memory is bounded and a sender
	// with few addresses touches few others.
	senderBucketCount = 4096
	// bucketIdleTimeout is how long a bucket that nobody draws on is kept.
	bucketIdleTimeout = 10 * time.Second
)

// bucket is a token bucket that holds a second's worth.
type bucket struct {
	tokens  float64
	updated time.Duration
}

// buckets are the token buckets of one group of names. The table is bounded: when it is full,
// names that are not in it are refused until others fall idle.
type bucketTable struct {
	rate      float64
	names     map[string]*bucket
	lastSweep time.Duration
}

func newBucketTable(rate float64) *bucketTable {
	return &bucketTable{rate: rate, names: map[string]*bucket{}}
}

// take draws one token from a name's bucket.
func (b *bucketTable) take(now time.Duration, name string) bool {
	b.sweep(now)
	entry, ok := b.names[name]
	if !ok {
		if len(b.names) >= maxNamesPerTable {
			return false
		}
		entry = &bucket{tokens: b.rate, updated: now}
		b.names[name] = entry
	}
	return entry.take(now, b.rate)
}

func (b *bucket) take(now time.Duration, rate float64) bool {
	b.tokens = min(rate, b.tokens+rate*(now-b.updated).Seconds())
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *bucketTable) sweep(now time.Duration) {
	if now-b.lastSweep < bucketIdleTimeout {
		return
	}
	b.lastSweep = now
	for name, entry := range b.names {
		if now-entry.updated >= bucketIdleTimeout {
			delete(b.names, name)
		}
	}
}

// flood bounds announcements: by sender before they are parsed; then, for those that proved
// themselves, by upstream and by class, so that no class takes the place of another.
type announceLimiter struct {
	mu      sync.Mutex
	seed    maphash.Seed // unknown to senders
	senders [senderBucketCount]bucket
	classes *bucketTable
	// upstreams are told apart within their class: a class that makes names up fills its own table.
	upstreams  map[string]*bucketTable
	rejections *bucketTable
}

func newAnnounceLimiter() *announceLimiter {
	l := &announceLimiter{
		seed:       maphash.MakeSeed(),
		classes:    newBucketTable(perClassRate),
		upstreams:  map[string]*bucketTable{},
		rejections: newBucketTable(rejectionLogRate),
	}
	for i := range l.senders {
		l.senders[i].tokens = perSenderRate
	}
	return l
}

func (l *announceLimiter) allowSender(now time.Duration, address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.senders[maphash.String(l.seed, address)%senderBucketCount].take(now, perSenderRate)
}

// upstream takes a verified announcement; classes are those of the operators' file, so their
// number is bounded.
func (l *announceLimiter) allowUpstream(now time.Duration, class, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.upstreams[class]
	if !ok {
		entry = newBucketTable(perUpstreamRate)
		l.upstreams[class] = entry
	}
	// The upstream's own bucket comes first: one that floods must not use up its class's.
	return entry.take(now, name) && l.classes.take(now, class)
}

// allowLog reports whether another refusal with this code may be logged.
func (l *announceLimiter) allowLog(now time.Duration, code string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejections.take(now, code)
}
