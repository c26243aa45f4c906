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
	// permitTry bounds one call to a control VM, permitTime the search for the one that leads; a
	// VM without an answer uses its own share.
	permitTry  = 100 * time.Millisecond
	permitTime = 300 * time.Millisecond
	// permitInterval is the time between requests for permits while there is use.
	permitInterval = 200 * time.Millisecond
	// permitWait bounds how long a request of a program under way waits for a permit that its account's
	// rate brings in that time: the refusal of one call can end the program.
	permitWait = 800 * time.Millisecond
	// minPermitWait keeps waiting requests from asking all the time.
	minPermitWait = 20 * time.Millisecond
)

// permits are an entry VM's permits. It is safe for concurrent use.
type permits struct {
	self   string
	groups *groups.Client
	table  func() *routing.Snapshot
	clock  func() time.Duration
	events *events.Logger

	mu     sync.Mutex
	holder *quota.Holder
	// waiting are the requests that wait for a permit, by account.
	waiting map[string]int
	round   *permitRound // under way, nil for none
	lost    bool         // the coordinator, as last reported
}

type permitRound struct {
	done chan struct{}
	asks map[string]bool // accounts
}

func rateOf(table *routing.Snapshot) func(string) (quota.Rate, bool) {
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
func (p *permits) Take(ctx context.Context, account *routing.Account, begins bool) (bool, time.Duration) {
	limit := quota.Rate{PerSecond: account.Rate, Burst: account.Burst}
	p.mu.Lock()
	defer p.mu.Unlock()
	if begins && !p.holder.AdmitsNew(p.clock(), account.Name) {
		return false, p.holder.WaitNew(p.clock(), account.Name, limit)
	}
	if p.holder.Take(p.clock(), account.Name, limit) {
		return true, 0
	}
	started, deadline := time.Now(), time.After(permitWait)
	p.waiting[account.Name]++
	defer func() {
		if p.waiting[account.Name]--; p.waiting[account.Name] == 0 {
			delete(p.waiting, account.Name)
		}
	}()
	for {
		if p.lost && p.round == nil {
			break
		}
		// Permits may be had for the asking.
		round := p.start()
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
		if !round.asks[account.Name] || !p.holder.Short(account.Name) {
			continue
		}
		// The refusal of one call can end a whole program, so one that may pass soon waits for it.
		soon := p.holder.Wait(p.clock(), account.Name)
		if begins || time.Since(started)+soon > permitWait {
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

// start begins a round of asking, or joins the one under way, which may not ask for an account
// whose request waits since. The mutex is held.
func (p *permits) start() *permitRound {
	if p.round != nil {
		return p.round
	}
	wants, returns := p.holder.Wants(p.clock(), p.waiting, rateOf(p.table()))
	round := &permitRound{done: make(chan struct{}), asks: map[string]bool{}}
	for account := range wants {
		round.asks[account] = true
	}
	p.round = round
	go func() {
		grant, err := p.ask(quota.Request{VM: p.self, Wants: wants, Returns: returns})
		p.mu.Lock()
		p.heard(grant, err)
		p.round = nil
		p.mu.Unlock()
		close(round.done)
	}()
	return round
}

// heard notes the end of a round. The mutex is held.
func (p *permits) heard(grant quota.Grant, err error) {
	if err == nil {
		p.holder.ApplyGrant(p.clock(), grant)
	}
	lost := p.holder.Lost(p.clock())
	if lost == p.lost {
		return
	}
	p.lost = lost
	if lost {
		p.events.Emit(events.PermitsLost, zap.Error(err))
	} else {
		p.events.Emit(events.PermitsHeard, zap.Int("holders", grant.Holders))
	}
}

// ask calls the coordinator, which is the leader of the control group.
func (p *permits) ask(r quota.Request) (quota.Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), permitTime)
	defer cancel()
	answer, err := p.groups.Call(ctx, methodPermit, groups.Control, encode(r))
	if err != nil {
		return quota.Grant{}, err
	}
	return decode[quota.Grant](answer)
}

// tend asks in time for what will be needed, and keeps in contact with the coordinator.
func (p *permits) tend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table() != nil {
		p.start()
	}
}

// coordinator is a control VM's side; it acts while the VM leads the control group.
type coordinator struct {
	clock  func() time.Duration
	leads  func() (term uint64, leader string, leads bool)
	known  func() int // entry VMs that run
	table  func() *routing.Snapshot
	mu     sync.Mutex
	term   uint64
	grants *quota.Coordinator
	rates  func(string) (quota.Rate, bool)
	rated  *routing.Snapshot
}

// handle serves methodPermit.
func (c *coordinator) handle(_ context.Context, _ string, payload []byte) ([]byte, error) {
	r, err := decode[quota.Request](payload)
	if err != nil {
		return nil, err
	}
	term, leader, leads := c.leads()
	if !leads {
		return nil, groups.NotLeader(leader)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if c.grants == nil || c.term != term {
		c.term, c.grants = term, quota.NewCoordinator(now)
	}
	if table := c.table(); table != c.rated || c.rates == nil {
		c.rated, c.rates = table, rateOf(table)
	}
	return encode(c.grants.Grant(now, r, c.known(), c.rates)), nil
}
