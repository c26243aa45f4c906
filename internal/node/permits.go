package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/groups"
	"egretramp/internal/quota"
	"egretramp/internal/routing"
)

const (
	// permitAttemptTimeout bounds one call to a control VM, permitTimeout the search for the one that leads; a
	// VM without an answer uses its own share.
	permitAttemptTimeout = 100 * time.Millisecond
	permitTimeout        = 300 * time.Millisecond
	// permitInterval is the time between requests for permits while there is use.
	permitInterval = 200 * time.Millisecond
	// maxPermitWait bounds how long a request of a program under way waits for a permit that its account's
	// rate brings in that time: the refusal of one call can end the program.
	maxPermitWait = 800 * time.Millisecond
	// minPermitWait keeps waiting requests from asking all the time.
	minPermitWait = 20 * time.Millisecond
)

// permitLimiter holds an entry VM's permits. It is safe for concurrent use.
type permitLimiter struct {
	self   string
	groups *groups.Client
	table  func() *routing.Snapshot
	clock  func() time.Duration
	events *events.Logger

	mu     sync.Mutex
	holder *quota.Holder
	// waiting are the requests that wait for a permit, by account.
	waiting         map[string]int
	round           *permitRound // under way, nil for none
	coordinatorLost bool         // the coordinator, as last reported
}

type permitRound struct {
	done     chan struct{}
	accounts map[string]bool // accounts
}

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

// Take implements proxy.Limiter.
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
	started, deadline := time.Now(), time.After(maxPermitWait)
	p.waiting[account.Name]++
	defer func() {
		if p.waiting[account.Name]--; p.waiting[account.Name] == 0 {
			delete(p.waiting, account.Name)
		}
	}()
	for {
		if p.coordinatorLost && p.round == nil {
			break
		}
		// Permits may be had for the asking.
		round := p.startRound()
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
		// Without a shortage the permits went to others that waited for the same round.
		if !round.accounts[account.Name] || !p.holder.Short(account.Name) {
			continue
		}
		// The refusal of one call can end a whole program, so one that may pass soon waits for it.
		soon := p.holder.Wait(p.clock(), account.Name)
		if begins || time.Since(started)+soon > maxPermitWait {
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

// startRound begins a round of asking, or joins the one under way, which may not ask for an account
// whose request waits since. The mutex is held.
func (p *permitLimiter) startRound() *permitRound {
	if p.round != nil {
		return p.round
	}
	wants, returns := p.holder.Wants(p.clock(), p.waiting, rateLookup(p.table()))
	round := &permitRound{done: make(chan struct{}), accounts: map[string]bool{}}
	for account := range wants {
		round.accounts[account] = true
	}
	p.round = round
	go func() {
		grant, err := p.requestGrant(quota.Request{VM: p.self, Wants: wants, Returns: returns})
		p.mu.Lock()
		p.handleGrant(grant, err)
		p.round = nil
		p.mu.Unlock()
		close(round.done)
	}()
	return round
}

// handleGrant notes the end of a round. The mutex is held.
func (p *permitLimiter) handleGrant(grant quota.Grant, err error) {
	if err == nil {
		p.holder.ApplyGrant(p.clock(), grant)
	}
	lost := p.holder.Lost(p.clock())
	if lost == p.coordinatorLost {
		return
	}
	p.coordinatorLost = lost
	if lost {
		p.events.Emit(events.PermitsLost, zap.Error(err))
	} else {
		p.events.Emit(events.PermitsHeard, zap.Int("holders", grant.Holders))
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

// renew asks in time for what will be needed, and keeps in contact with the coordinator.
func (p *permitLimiter) renew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table() != nil {
		p.startRound()
	}
}

// coordinator is a control VM's side; it acts while the VM leads the control group.
type coordinator struct {
	clock      func() time.Duration
	leadership func() (term uint64, leader string, leads bool)
	entryCount func() int // entry VMs that run
	table      func() *routing.Snapshot
	mu         sync.Mutex
	term       uint64
	grants     *quota.Coordinator
	rates      func(string) (quota.Rate, bool)
	ratedTable *routing.Snapshot
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
	}
	if table := c.table(); table != c.ratedTable || c.rates == nil {
		c.ratedTable, c.rates = table, rateLookup(table)
	}
	return encode(c.grants.Grant(now, r, c.entryCount(), c.rates)), nil
}
