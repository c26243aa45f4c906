package upstream

import (
	"hash/maphash"
	"sync"
	"time"
)

// Rate limits for announcements, per second; the burst is one second's worth. An upstream
// announces itself once or twice a second.
const (
	perSenderRate    = 500.0 // per source address, before the signature is checked
	perUpstreamRate  = 10.0
	perClassRate     = 1000.0
	rejectionLogRate = 5.0
	// maxNamesPerTable is the maximum number of names with a bucket in one bucketTable.
	maxNamesPerTable = 4096
	// senderBucketCount is the number of buckets that source addresses are hashed to. It bounds
	// memory, and a sender with few addresses shares its buckets with few others.
	senderBucketCount = 4096
	// bucketIdleTimeout is how long an unused bucket is kept.
	bucketIdleTimeout = 10 * time.Second
)

// bucket is a token bucket whose capacity is one second's worth of tokens.
type bucket struct {
	tokens  float64
	updated time.Duration
}

// bucketTable holds one token bucket for each name. Its size is bounded: when it is full, new
// names are rejected until idle ones are removed.
type bucketTable struct {
	rate      float64
	names     map[string]*bucket
	lastSweep time.Duration
}

func newBucketTable(rate float64) *bucketTable {
	return &bucketTable{rate: rate, names: map[string]*bucket{}}
}

// take takes one token from a name's bucket and reports whether there was one.
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

// announceLimiter limits the rate of announcements: by sender before they are parsed and, once
// the signature is verified, by upstream and by class, so that one class cannot crowd out another.
type announceLimiter struct {
	mu      sync.Mutex
	seed    maphash.Seed // random, so that senders cannot choose their bucket
	senders [senderBucketCount]bucket
	classes *bucketTable
	// upstreams has a table for each class: a class that invents names fills only its own.
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

// allowSender reports whether another announcement from a source address may be read.
func (l *announceLimiter) allowSender(now time.Duration, address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.senders[maphash.String(l.seed, address)%senderBucketCount].take(now, perSenderRate)
}

// allowUpstream reports whether a verified announcement is within the limits of its upstream and
// class. Classes come from the operators' configuration, so their number is bounded.
func (l *announceLimiter) allowUpstream(now time.Duration, class, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.upstreams[class]
	if !ok {
		entry = newBucketTable(perUpstreamRate)
		l.upstreams[class] = entry
	}
	// The upstream's bucket is checked first, so that a flooding upstream does not use up the
	// tokens of its class.
	return entry.take(now, name) && l.classes.take(now, class)
}

// allowLog reports whether another rejection with this code may be logged.
func (l *announceLimiter) allowLog(now time.Duration, code string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejections.take(now, code)
}
