// Package quota enforces the rate and burst limits of client accounts over all entry VMs. One VM,
// the coordinator, has a token bucket for each account and grants permits to the entry VMs in
// advance, according to their use. An entry VM that loses contact with the coordinator continues
// with an equal share of each account's rate, and the coordinator withholds the shares of the VMs
// that it has no contact with: a partitioned zone keeps serving, and the total stays within the
// limit. The VMs that have lost the coordinator pool their shares at a VM that they reach (Pool).
//
// The same permits enforce the rates that upstreams state in their responses (UpstreamCoordinator,
// LimitTable). These permits are whole and short-lived, since an upstream's limit may be below one request
// a second for all VMs together. Upstreams that are cold have a limit as well, which no second may exceed: their
// permits expire sooner, and their bursts are smaller.
//
// Both sides perform no I/O and read no clock; their owners provide the time and the network.
package quota

import (
	"math"
	"time"

	"egretramp/internal/sharedload"
)

const (
	// ContactTimeout is the time without contact after which each side considers the other one
	// lost. Both sides use the same value, since the coordinator reserves a lost VM's share from
	// then on.
	ContactTimeout = 600 * time.Millisecond
	// countInterval is the time between two counts of the entry VMs in contact: it costs time for each VM, and each
	// VM asks several times a second.
	countInterval = 20 * time.Millisecond
	// HolderRetention is how long the share of an entry VM stays reserved after the last contact.
	HolderRetention = 30 * time.Second
	// initialFillTime is the initial content of a new coordinator's buckets, as a time at the rate:
	// accounts can continue, and the tolerance of the window limit covers this amount on top of
	// what the predecessor granted.
	initialFillTime = 250 * time.Millisecond
	// warmUpTime is how long after a coordinator's start its empty buckets do not reflect use.
	warmUpTime = 2 * time.Second
)

// Rate is an account's limit.
type Rate struct {
	PerSecond float64
	Burst     float64
	// Cold is set for the limit of an upstream that is cold, whose permits expire sooner.
	Cold bool
}

// Request is an entry VM's request for permits.
type Request struct {
	VM    string             `cbor:"1,keyasint"`
	Wants map[string]float64 `cbor:"2,keyasint"` // permits by account
	// Returns are unused permits by account. They may be lost in transit, but are never counted
	// twice.
	Returns map[string]float64 `cbor:"3,keyasint,omitempty"`
	// Upstreams concerns the rate limits of upstreams.
	Upstreams *UpstreamRequest `cbor:"4,keyasint,omitempty"`
	// Load reports the load that the VM causes at upstreams; nil if the VMs don't share it.
	Load *sharedload.Request `cbor:"6,keyasint,omitempty"`
}

// Grant is the coordinator's response to a Request.
type Grant struct {
	Permits map[string]float64 `cbor:"1,keyasint"`
	// Waits is the time in milliseconds until an account that got less than it wanted may get a
	// permit.
	Waits map[string]int64 `cbor:"2,keyasint,omitempty"`
	// Levels are the fill levels, 0 to 1, of the buckets of the requested accounts.
	Levels map[string]float64 `cbor:"4,keyasint,omitempty"`
	// Holders is the number of entry VMs that share the limits.
	Holders int `cbor:"3,keyasint"`
	// Upstreams is the response to Request.Upstreams.
	Upstreams *UpstreamGrant `cbor:"5,keyasint,omitempty"`
	// Load is the response to Request.Load.
	Load *sharedload.Grant `cbor:"7,keyasint,omitempty"`
}

type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Coordinator grants permits. Its buckets start nearly empty, since a predecessor may have granted
// all permits. It is not safe for concurrent use.
type Coordinator struct {
	buckets map[string]*bucket
	holders map[string]time.Duration // time of the last request, by entry VM
	started time.Duration
	// connected and silent are the numbers of entry VMs with and without contact at countedAt.
	connected, silent int
	countedAt         time.Duration
	// wholePermits restricts grants to whole permits. emptyStart makes new buckets start empty.
	wholePermits, emptyStart bool
}

// NewCoordinator returns a coordinator that starts now.
func NewCoordinator(now time.Duration) *Coordinator {
	return &Coordinator{buckets: map[string]*bucket{}, holders: map[string]time.Duration{}, started: now}
}

// Grant handles a request. known is the number of entry VMs that are known to be running; rate
// returns an account's limit, false if it has none.
func (c *Coordinator) Grant(now time.Duration, r Request, known int, rate func(account string) (Rate, bool)) Grant {
	connected, silent := c.countHolders(now, r.VM)
	holders := max(connected+silent, known)
	for account, unused := range r.Returns {
		if b := c.buckets[account]; b != nil {
			b.tokens += max(unused, 0) // refill bounds it by the burst
		}
	}
	g := Grant{Permits: map[string]float64{}, Waits: map[string]int64{}, Levels: map[string]float64{}, Holders: holders}
	for account, wanted := range r.Wants {
		limit, ok := rate(account)
		if !ok {
			continue
		}
		limit.PerSecond *= float64(connected) / float64(holders)
		b := c.buckets[account]
		if b == nil {
			b = &bucket{refilledAt: c.started - initialFillTime}
			if c.emptyStart {
				b.refilledAt = now
			}
			c.buckets[account] = b
		}
		b.refill(now, limit)
		give := min(max(wanted, 0), b.tokens)
		if c.wholePermits {
			give = math.Floor(give)
		}
		b.tokens -= give
		g.Permits[account] = give
		g.Levels[account] = b.tokens / max(limit.Burst, 1)
		if now-c.started < warmUpTime && !c.emptyStart {
			g.Levels[account] = 1
		}
		if (give < wanted || c.wholePermits && b.tokens < 1) && limit.PerSecond > 0 {
			g.Waits[account] = int64(1000 * (1 - b.tokens) / limit.PerSecond)
		}
	}
	return g
}

// countHolders records a contact of an entry VM, and returns the number of VMs with and without contact, at most
// countInterval old. A VM that has been without contact is counted at once.
func (c *Coordinator) countHolders(now time.Duration, vm string) (connected, silent int) {
	last, known := c.holders[vm]
	c.holders[vm] = now
	if known && now-last <= ContactTimeout && now-c.countedAt < countInterval {
		return c.connected, c.silent
	}
	c.connected, c.silent, c.countedAt = 0, 0, now
	for vm, at := range c.holders {
		switch {
		case now-at <= ContactTimeout:
			c.connected++
		case now-at > HolderRetention:
			delete(c.holders, vm)
		default:
			c.silent++
		}
	}
	return c.connected, c.silent
}

// forgetUnlimited removes the buckets of accounts without a limit.
func (c *Coordinator) forgetUnlimited(rate func(account string) (Rate, bool)) {
	for account := range c.buckets {
		if _, limited := rate(account); !limited {
			delete(c.buckets, account)
		}
	}
}

func (b *bucket) refill(now time.Duration, limit Rate) {
	b.tokens += limit.PerSecond * (now - b.refilledAt).Seconds()
	b.tokens = min(b.tokens, max(limit.Burst, 1))
	b.refilledAt = now
}
