// Package quota holds client accounts to their rate and burst over all entry VMs. One VM, the
// coordinator, has a bucket for each account and gives permits to the entry VMs in advance, as
// their use asks for. An entry VM that loses the coordinator goes on with an equal share of each
// account's rate, and the coordinator keeps the shares of the VMs it doesn't hear out of its own
// buckets: so a zone that is cut off goes on, and the sum stays within the limit.
//
// Both sides are plain values; their owners bring clock and network.
package quota

import "time"

const (
	// ContactTimeout is the silence after which each side takes the other for lost. The
	// coordinator gives no more than a share from then on, so it is the same on both.
	ContactTimeout = 600 * time.Millisecond
	// holderRetention is for how long a silent entry VM keeps its share reserved.
	holderRetention = 30 * time.Second
	// initialFillTime is the time at the rate that a new coordinator's buckets begin with: accounts go on,
	// and the allowance for windows bears that much beside what the predecessor gave out.
	initialFillTime = 250 * time.Millisecond
	// warmUpTime is for how long after its start a coordinator's empty buckets say nothing about use.
	warmUpTime = 2 * time.Second
)

// Rate is an account's limit.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Request asks for permits.
type Request struct {
	VM    string             `cbor:"1,keyasint"`
	Wants map[string]float64 `cbor:"2,keyasint"` // permits by account
	// Returns are permits that were not used. They may be lost on the way, never doubled.
	Returns map[string]float64 `cbor:"3,keyasint,omitempty"`
}

// Grant is the coordinator's answer.
type Grant struct {
	Permits map[string]float64 `cbor:"1,keyasint"`
	// Waits is when an account that got less than it wants may have a permit, in milliseconds.
	Waits map[string]int64 `cbor:"2,keyasint,omitempty"`
	// Levels are how full the buckets are that permits were asked from, 0 to 1.
	Levels map[string]float64 `cbor:"4,keyasint,omitempty"`
	// Holders is the number of entry VMs that share the limits.
	Holders int `cbor:"3,keyasint"`
}

type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Coordinator gives out permits. Its buckets start nearly empty: a predecessor may have given out
// all.
type Coordinator struct {
	buckets map[string]*bucket
	holders map[string]time.Duration // when an entry VM was heard last
	started time.Duration
}

// NewCoordinator returns a coordinator that starts now.
func NewCoordinator(now time.Duration) *Coordinator {
	return &Coordinator{buckets: map[string]*bucket{}, holders: map[string]time.Duration{}, started: now}
}

// Grant answers a request. known is the number of entry VMs that are known to run; rate returns
// an account's limit, 0 for none.
func (c *Coordinator) Grant(now time.Duration, r Request, known int, rate func(account string) (Rate, bool)) Grant {
	c.holders[r.VM] = now
	connected, silent := 0, 0
	for vm, at := range c.holders {
		switch {
		case now-at <= ContactTimeout:
			connected++
		case now-at > holderRetention:
			delete(c.holders, vm)
		default:
			silent++
		}
	}
	holders := max(connected+silent, known)
	for account, unused := range r.Returns {
		if b := c.buckets[account]; b != nil {
			b.tokens += max(unused, 0) // fill bounds it by the burst
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
			c.buckets[account] = b
		}
		b.refill(now, limit)
		give := min(max(wanted, 0), b.tokens)
		b.tokens -= give
		g.Permits[account] = give
		g.Levels[account] = b.tokens / max(limit.Burst, 1)
		if now-c.started < warmUpTime {
			g.Levels[account] = 1
		}
		if give < wanted && limit.PerSecond > 0 {
			g.Waits[account] = int64(1000 * (1 - b.tokens) / limit.PerSecond)
		}
	}
	return g
}

func (b *bucket) refill(now time.Duration, limit Rate) {
	b.tokens += limit.PerSecond * (now - b.refilledAt).Seconds()
	b.tokens = min(b.tokens, max(limit.Burst, 1))
	b.refilledAt = now
}
