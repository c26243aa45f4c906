package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/groups"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/sharedload"
)

const (
	// permitAttemptTimeout bounds one call to a control VM, permitTimeout all calls until the leader
	// responds. A VM without a response uses its own share.
	permitAttemptTimeout = 100 * time.Millisecond
	permitTimeout        = 300 * time.Millisecond
	// permitInterval is the time from one request for permits to the next regular one. Callers that wait for a
	// permit cause requests as well, which put off the regular one.
	permitInterval = 200 * time.Millisecond
	// permitCheckInterval is the time between two checks whether a regular request is due.
	permitCheckInterval = 100 * time.Millisecond
	// minPermitWait limits how often waiting requests cause requests for permits.
	minPermitWait = 20 * time.Millisecond
)

// permitLimiter holds an entry VM's permits and implements proxy.Limiter and proxy.UpstreamLimiter. It is safe
// for concurrent use.
type permitLimiter struct {
	self   string
	groups *groups.Client
	table  func() *routing.Snapshot
	clock  func() time.Duration
	events *events.Logger

	mu     sync.Mutex
	holder *quota.Holder
	// waiting is the number of requests that wait for a permit, by account.
	waiting         map[string]int
	round           *permitRound // in progress, nil for none
	roundStarted    time.Duration
	coordinatorLost bool // as last logged
	upstreams       *upstreamLimits
	// limitCount is the number of limits that upstreams state, limited whether upstreams.table holds anything.
	limitCount atomic.Int64
	limited    atomic.Bool
	// review is registry.Directory.Review of the known upstreams; nil means that there are none.
	review func(func([]registry.Upstream))
	// coldTaken and coldRefused count the requests for a permit to send to a cold upstream.
	coldTaken, coldRefused atomic.Int64
	// load shares the load at upstreams with the other VMs; nil for not.
	load *loadSharer
	// pool pools this VM's share with other VMs while the coordinator is lost; nil for not.
	pool *permitPool
}

// permitRound is one request for permits to the coordinator.
type permitRound struct {
	done     chan struct{}
	accounts map[string]bool // whose permits are requested
	// upstreams are the upstream processes for which permits are requested.
	upstreams map[string]bool
}

// rateLookup returns a function that returns an account's rate limit, false if it has none.
func rateLookup(table *routing.Snapshot) func(string) (quota.Rate, bool) {
	rates := map[string]quota.Rate{}
	if table != nil {
		for i := range table.Accounts {
			a := &table.Accounts[i]
			if a.Rate > 0 {
				rates[a.Name] = quota.Rate{PerSecond: a.Rate, Burst: a.Burst}
			}
		}
	}
	return func(account string) (quota.Rate, bool) {
		r, ok := rates[account]
		return r, ok
	}
}

// Take implements proxy.Limiter.Take.
func (p *permitLimiter) Take(ctx context.Context, account *routing.Account, begins bool) (bool, time.Duration) {
	limit := quota.Rate{PerSecond: account.Rate, Burst: account.Burst}
	p.mu.Lock()
	defer p.mu.Unlock()
	if begins && !p.holder.AdmitsNew(p.clock(), account.Name) {
		return false, p.holder.WaitNew(p.clock(), account.Name, limit)
	}
	if p.holder.Take(p.clock(), account.Name, limit) {
		return true, 0
	}
	started, deadline := time.Now(), time.After(quota.MaxPermitWait)
	p.waiting[account.Name]++
	defer func() {
		if p.waiting[account.Name]--; p.waiting[account.Name] == 0 {
			delete(p.waiting, account.Name)
		}
	}()
	for {
		// The coordinator or a pool may have permits to grant.
		round := p.nextRound()
		if round == nil {
			break
		}
		p.mu.Unlock()
		ended := false
		select {
		case <-round.done:
			ended = true
		case <-deadline:
		case <-ctx.Done():
		}
		p.mu.Lock()
		if p.holder.Take(p.clock(), account.Name, limit) {
			return true, 0
		}
		if !ended {
			break
		}
		// If the grant wasn't short, requests that waited for the same round took the permits.
		if !round.accounts[account.Name] || !p.holder.Short(account.Name) {
			continue
		}
		// The rejection of one call can end a whole program, so a call that gets a permit soon waits.
		soon := p.holder.Wait(p.clock(), account.Name)
		if begins || time.Since(started)+soon > quota.MaxPermitWait {
			break
		}
		p.mu.Unlock()
		select {
		case <-time.After(max(soon, minPermitWait)):
		case <-ctx.Done():
		}
		p.mu.Lock()
		if ctx.Err() != nil {
			break
		}
	}
	return false, p.holder.Wait(p.clock(), account.Name)
}

// startRound sends a request for permits, or returns the round in progress, which may not include
// accounts whose requests began to wait after it started. p.mu must be held.
func (p *permitLimiter) startRound() *permitRound {
	if p.round != nil {
		return p.round
	}
	wants, returns := p.holder.Wants(p.clock(), p.waiting, rateLookup(p.table()))
	round := &permitRound{done: make(chan struct{}), accounts: map[string]bool{}, upstreams: map[string]bool{}}
	for account := range wants {
		round.accounts[account] = true
	}
	upstreams, reported := p.upstreams.request(p.clock())
	for process, n := range upstreams.Wants {
		round.upstreams[process] = n > 0
	}
	requestedAt := p.clock()
	p.round, p.roundStarted = round, requestedAt
	load := p.load.report(requestedAt, p.holder.Holders())
	go func() {
		grant, err := p.requestGrant(quota.Request{VM: p.self, Wants: wants, Returns: returns, Upstreams: upstreams, Load: load})
		if err == nil {
			p.load.apply(requestedAt, grant.Load)
		}
		p.mu.Lock()
		p.handleGrant(grant, err)
		if err == nil {
			p.upstreams.handleGrant(p.clock(), requestedAt, grant, upstreams.Wants, reported)
			p.countLimits()
		}
		p.upstreams.failed = err != nil
		p.round = nil
		p.mu.Unlock()
		close(round.done)
	}()
	return round
}

// handleGrant processes the result of a round, and logs when the coordinator is lost or responds
// again. p.mu must be held.
func (p *permitLimiter) handleGrant(grant quota.Grant, err error) {
	if err == nil {
		p.holder.ApplyGrant(p.clock(), grant)
		if p.pool != nil {
			p.pool.setVM("")
		}
	}
	lost := p.holder.Lost(p.clock())
	if lost == p.coordinatorLost {
		return
	}
	p.coordinatorLost = lost
	if lost {
		p.events.Emit(events.PermitsUnreachable, zap.Error(err))
	} else {
		p.events.Emit(events.PermitsReachable, zap.Int("holders", grant.Holders))
	}
}

// requestGrant calls the coordinator, which is the leader of the control group.
func (p *permitLimiter) requestGrant(r quota.Request) (quota.Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	answer, err := p.groups.Call(ctx, methodPermit, groups.Control, encode(r))
	if err != nil {
		return quota.Grant{}, err
	}
	return decode[quota.Grant](answer)
}

// renew requests permits before they are needed, and maintains contact with the coordinator. It does nothing if a
// request was sent within permitInterval: in a large fleet nearly each caller's request causes one.
func (p *permitLimiter) renew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	early := permitCheckInterval / 4 // checks may be slightly early
	if p.table() != nil && (p.roundStarted == 0 || p.clock()-p.roundStarted >= permitInterval-early) {
		p.startRound()
	}
	p.renewPool()
}

// coordinator grants permits at a control VM while that VM leads the control group.
type coordinator struct {
	clock      func() time.Duration
	leadership func() (term uint64, leader string, leads bool)
	entryCount func() int // running entry VMs
	// recentEntryCount is the number of entry VMs that may use shares of accounts' rates: those that run, and those that
	// ran recently.
	recentEntryCount func() int
	table            func() *routing.Snapshot
	mu               sync.Mutex
	term             uint64
	grants           *quota.Coordinator
	upstreams        *quota.UpstreamCoordinator
	loads            *sharedload.Coordinator
	rates            func(string) (quota.Rate, bool)
	ratedTable       *routing.Snapshot
}

// handle serves methodPermit.
func (c *coordinator) handle(_ context.Context, _ string, payload []byte) ([]byte, error) {
	r, err := decode[quota.Request](payload)
	if err != nil {
		return nil, err
	}
	term, leader, leads := c.leadership()
	if !leads {
		return nil, groups.NotLeader(leader)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if c.grants == nil || c.term != term {
		c.term, c.grants = term, quota.NewCoordinator(now)
		c.upstreams = quota.NewUpstreamCoordinator(now, term)
		c.loads = sharedload.NewCoordinator(now, term)
		// An account's rate is what the operators sized its share of the fleet by.
		c.loads.SetWeights(func(account string) float64 {
			rate, _ := c.rates(account)
			return rate.PerSecond
		})
	}
	if table := c.table(); table != c.ratedTable || c.rates == nil {
		c.ratedTable, c.rates = table, rateLookup(table)
	}
	known := c.entryCount()
	grant := c.grants.Grant(now, r, c.recentEntryCount(), c.rates)
	if r.Upstreams != nil {
		upstreams := c.upstreams.Grant(now, r.VM, *r.Upstreams, known)
		grant.Upstreams = &upstreams
	}
	if r.Load != nil {
		load := c.loads.Grant(now, r.VM, *r.Load)
		grant.Load = &load
	}
	return encode(grant), nil
}

// rejectedReports returns the reports of load that the coordinator ignored because they can't be true.
func (c *coordinator) rejectedReports() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads == nil {
		return 0
	}
	return float64(c.loads.Rejected())
}
