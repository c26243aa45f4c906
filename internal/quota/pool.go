package quota

import (
	"time"
)

const (
	// maxContribution bounds the time for which a VM contributes its share at once, like the burst of a VM that uses its
	// share alone.
	maxContribution = shareBurstTime
	// poolBurstTime bounds a pool's bursts, as a time at the pool's rate, since the coordinator keeps the whole burst for
	// the VMs that it has contact with. Half a second at the rate is what the tolerance of 10% leaves in a window of 5 s.
	poolBurstTime = 500 * time.Millisecond
	// minPoolBurst is the smallest capacity of a pool's bucket, in permits: an account's requests may arrive at two VMs at
	// the same time.
	minPoolBurst = 2
	// sharePause is the time after the last use of a VM's share within which the next loss of the coordinator yields no
	// share for the time until it was noticed. The coordinator grants that share to others until then.
	sharePause = 5 * time.Second
)

// PoolRequest is the request of an entry VM without contact to the coordinator for permits of a pool.
type PoolRequest struct {
	VM    string             `cbor:"1,keyasint"`
	Wants map[string]float64 `cbor:"2,keyasint"` // permits by account
	// Returns are unused permits by account.
	Returns map[string]float64 `cbor:"3,keyasint,omitempty"`
	// ShareMicros is the time in microseconds for which the VM contributes its share of all accounts' rates. The VM does
	// not use or contribute the share of that time again.
	ShareMicros int64 `cbor:"4,keyasint"`
	// Holders is the number of entry VMs that share the limits, as of the VM's last grant from the coordinator.
	Holders int `cbor:"5,keyasint"`
}

// PoolGrant is a pool's response to a PoolRequest.
type PoolGrant struct {
	Permits map[string]float64 `cbor:"1,keyasint"`
	// Waits is the time in milliseconds until an account that got less than it wanted may get a permit.
	Waits map[string]int64 `cbor:"2,keyasint,omitempty"`
	// Levels are the fill levels, 0 to 1, of the buckets of the requested accounts.
	Levels map[string]float64 `cbor:"3,keyasint,omitempty"`
	// Members is the number of entry VMs in contact with the pool.
	Members int `cbor:"4,keyasint"`
}

type poolMember struct {
	askedAt time.Duration
	holders int
}

type poolBucket struct {
	tokens float64
	// contributed is the value of Pool.contributed up to which the bucket was refilled.
	contributed float64
}

// Pool grants permits from the shares of entry VMs that have lost the coordinator. It has no rate of its own: its members
// contribute the time for which they didn't use their shares, each time once, so that a member that changes to another
// pool or to the coordinator is not counted twice. It is not safe for concurrent use.
type Pool struct {
	members map[string]poolMember
	buckets map[string]*poolBucket
	// contributed is the sum of the contributions since the pool began, as a time at the accounts' whole rates, in seconds.
	contributed float64
}

// NewPool returns a pool without members.
func NewPool() *Pool {
	return &Pool{members: map[string]poolMember{}, buckets: map[string]*poolBucket{}}
}

// Grant handles a request. rate returns an account's limit, false if it has none.
func (p *Pool) Grant(now time.Duration, r PoolRequest, rate func(account string) (Rate, bool)) PoolGrant {
	g := PoolGrant{Permits: map[string]float64{}, Waits: map[string]int64{}, Levels: map[string]float64{}}
	p.expire(now)
	if r.Holders <= 0 {
		g.Members = len(p.members)
		return g // the VM has never been in contact with the coordinator, so it has no share
	}
	p.members[r.VM] = poolMember{askedAt: now, holders: r.Holders}
	g.Members = len(p.members)
	holders := p.holders()
	share := min(max(time.Duration(r.ShareMicros)*time.Microsecond, 0), maxContribution)
	p.contributed += share.Seconds() / float64(holders)
	part := min(float64(len(p.members))/float64(holders), 1)
	for account, unused := range r.Returns {
		if b := p.buckets[account]; b != nil {
			b.tokens += max(unused, 0) // the next refill bounds it
		}
	}
	for account, wanted := range r.Wants {
		limit, ok := rate(account)
		if !ok {
			continue
		}
		b := p.buckets[account]
		if b == nil {
			b = &poolBucket{}
			p.buckets[account] = b
		}
		capacity := poolBurst(limit, part)
		b.tokens = min(b.tokens+limit.PerSecond*(p.contributed-b.contributed), capacity)
		b.contributed = p.contributed
		give := min(max(wanted, 0), b.tokens)
		b.tokens -= give
		g.Permits[account], g.Levels[account] = give, b.tokens/capacity
		if give < wanted && limit.PerSecond > 0 {
			g.Waits[account] = int64(1000 * (1 - b.tokens) / (limit.PerSecond * part))
		}
	}
	return g
}

// poolBurst returns the capacity of a bucket in a pool to which a part of all VMs belongs.
func poolBurst(limit Rate, part float64) float64 {
	return max(min(limit.Burst, limit.PerSecond*poolBurstTime.Seconds())*part, min(minPoolBurst, limit.Burst), 1)
}

// holders returns the largest number of VMs that share the limits, as of the members' last grants.
func (p *Pool) holders() int {
	most := 1
	for _, m := range p.members {
		most = max(most, m.holders)
	}
	return most
}

// expire removes members that have not asked for ContactTimeout. The pool ends with its last member.
func (p *Pool) expire(now time.Duration) {
	for vm, m := range p.members {
		if now-m.askedAt > ContactTimeout {
			delete(p.members, vm)
		}
	}
	if len(p.members) == 0 && p.contributed > 0 {
		p.contributed = 0
		clear(p.buckets)
	}
}

// Members returns the number of entry VMs in contact with the pool.
func (p *Pool) Members(now time.Duration) int {
	p.expire(now)
	return len(p.members)
}
