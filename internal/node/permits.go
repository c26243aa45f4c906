package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/peer"
	"egretramp/internal/quota"
	"egretramp/internal/routing"
)

const (
	// permitTry bounds a call to the coordinator; a VM without an answer uses its own share.
	permitTry = 250 * time.Millisecond
	// permitInterval is the time between requests for permits while there is use.
	permitInterval = 200 * time.Millisecond
	// permitWait bounds how long a request waits for a permit that may be on its way.
	permitWait = 300 * time.Millisecond
)

// permitCodes of errors between VMs.
const codeNotCoordinator = "not_coordinator" // the message is the coordinator's VM, or empty

// permits are an entry VM's permits. It is safe for concurrent use.
type permits struct {
	self    string
	calls   caller
	control func() []string
	table   func() *routing.Snapshot
	clock   func() time.Duration

	mu     sync.Mutex
	holder *quota.Holder
	leader string
	round  *permitRound // under way, nil for none
}

type permitRound struct{ done chan struct{} }

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
func (p *permits) Take(ctx context.Context, account *routing.Account) (bool, time.Duration) {
	limit := quota.Rate{PerSecond: account.Rate, Burst: account.Burst}
	p.mu.Lock()
	if p.holder.Take(p.clock(), account.Name, limit) {
		p.mu.Unlock()
		return true, 0
	}
	if !p.holder.Lost(p.clock()) || p.round != nil {
		// Permits may be had for the asking.
		round := p.start(account.Name)
		p.mu.Unlock()
		select {
		case <-round.done:
		case <-time.After(permitWait):
		case <-ctx.Done():
		}
		p.mu.Lock()
		if p.holder.Take(p.clock(), account.Name, limit) {
			p.mu.Unlock()
			return true, 0
		}
	}
	defer p.mu.Unlock()
	return false, p.holder.Wait(p.clock(), account.Name)
}

// start begins a round of asking, or joins the one under way. The mutex is held.
func (p *permits) start(urgent string) *permitRound {
	if p.round != nil {
		return p.round
	}
	round := &permitRound{done: make(chan struct{})}
	p.round = round
	wants := p.holder.Wants(p.clock(), urgent, rateOf(p.table()))
	go func() {
		grant, ok := p.ask(quota.Request{VM: p.self, Wants: wants})
		p.mu.Lock()
		if ok {
			p.holder.Granted(p.clock(), grant)
		}
		p.round = nil
		p.mu.Unlock()
		close(round.done)
	}()
	return round
}

// ask calls the coordinator, and finds it first if need be.
func (p *permits) ask(r quota.Request) (quota.Grant, bool) {
	p.mu.Lock()
	queue := p.control()
	if p.leader != "" {
		queue = append([]string{p.leader}, queue...)
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), permitTry)
	defer cancel()
	payload := encode(r)
	tried := map[string]bool{}
	for len(queue) > 0 && ctx.Err() == nil {
		vm := queue[0]
		queue = queue[1:]
		if tried[vm] {
			continue
		}
		tried[vm] = true
		answer, err := p.calls.Call(ctx, vm, methodPermit, payload)
		if err == nil {
			grant, err := decode[quota.Grant](answer)
			if err != nil {
				return quota.Grant{}, false
			}
			p.setLeader(vm)
			return grant, true
		}
		p.setLeader("")
		var remote *peer.RemoteError
		if errors.As(err, &remote) && remote.Code == codeNotCoordinator && remote.Message != "" {
			queue = append([]string{remote.Message}, queue...)
		}
	}
	return quota.Grant{}, false
}

func (p *permits) setLeader(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = vm
}

// tend asks in time for what will be needed, and keeps in contact with the coordinator.
func (p *permits) tend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table() != nil {
		p.start("")
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
		return nil, &peer.RemoteError{Code: codeNotCoordinator, Message: leader}
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
