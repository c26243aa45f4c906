package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/peer"
	"egretramp/internal/quota"
)

// poolRetry is the time after which a control VM that didn't grant is asked again. The others are asked meanwhile, so
// that a control VM that doesn't respond costs a VM one timeout and not one for each request.
const poolRetry = 2 * time.Second

// permitPool is the part of a permitLimiter that contributes this VM's share to a pool while the coordinator is lost. The
// mutex of the permitLimiter protects all fields but the counters.
type permitPool struct {
	calls peerCaller
	// controlVMs returns the control VMs, in the order in which all VMs of the zone prefer them.
	controlVMs func() []string
	round      *permitRound // in progress, nil for none
	startedAt  time.Duration
	vm         string                   // whose pool this VM is in, empty for none
	failed     map[string]time.Duration // when control VMs did not grant
	joined     atomic.Bool
	failures   atomic.Int64
}

func newPermitPool(calls peerCaller, controlVMs func() []string) *permitPool {
	return &permitPool{calls: calls, controlVMs: controlVMs, failed: map[string]time.Duration{}}
}

// registerMetrics registers the metrics of an entry VM about pools.
func (s *permitPool) registerMetrics(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretramp_permit_pool_joined", Help: "1 while this VM has lost the rate coordinator and gets its permits from a pool, else 0.",
	}, func() float64 { return float64(boolToInt(s.joined.Load())) }), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "egretramp_permit_pool_failures_total", Help: "Requests of this VM to a pool that were not answered.",
	}, func() float64 { return float64(s.failures.Load()) }))
}

// choose returns the control VM to ask, empty if all have failed recently.
func (s *permitPool) choose(now time.Duration) string {
	for _, vm := range s.controlVMs() {
		if at, failed := s.failed[vm]; !failed || now-at >= poolRetry {
			delete(s.failed, vm)
			return vm
		}
	}
	return ""
}

func (s *permitPool) setVM(vm string) {
	s.vm = vm
	s.joined.Store(vm != "")
}

// poolsShares reports whether this VM should ask a pool: the coordinator is lost, and a request to it has not been
// answered within the time for one control VM. p.mu must be held.
func (p *permitLimiter) poolsShares() bool {
	now := p.clock()
	switch {
	case p.pool == nil || !p.holder.Lost(now):
		return false
	case p.coordinatorLost:
		return true
	}
	return p.round != nil && now-p.roundStarted > permitAttemptTimeout
}

// nextRound returns the round that a request without a permit waits for, nil if there is none: with the coordinator, or
// with a pool while the coordinator is lost. p.mu must be held.
func (p *permitLimiter) nextRound() *permitRound {
	if p.poolsShares() {
		if round := p.startPoolRound(); round != nil {
			return round
		}
	}
	if p.coordinatorLost {
		return p.round
	}
	return p.startRound()
}

// renewPool maintains contact with a pool while the coordinator is lost. p.mu must be held.
func (p *permitLimiter) renewPool() {
	early := permitCheckInterval / 4 // checks may be slightly early
	if p.poolsShares() && (p.pool.vm == "" || p.clock()-p.pool.startedAt >= permitInterval-early) {
		p.startPoolRound()
	}
}

// startPoolRound sends a request to a pool, or returns the round in progress. It returns nil if no control VM can be asked,
// or if this VM has no share. p.mu must be held.
func (p *permitLimiter) startPoolRound() *permitRound {
	s, now := p.pool, p.clock()
	if s.round != nil {
		return s.round
	}
	vm := s.choose(now)
	if vm == "" {
		return nil
	}
	part, ok := p.holder.Contribute(now)
	if !ok {
		return nil
	}
	wants, returns := p.holder.Wants(now, p.waiting, rateLookup(p.table()))
	round := &permitRound{done: make(chan struct{}), accounts: map[string]bool{}}
	for account := range wants {
		round.accounts[account] = true
	}
	s.round, s.startedAt = round, now
	request := quota.PoolRequest{VM: p.self, Wants: wants, Returns: returns, ShareMicros: part.Share.Microseconds(), Holders: p.holder.Holders()}
	go func() {
		grant, err := s.request(vm, request)
		p.mu.Lock()
		p.handlePoolGrant(vm, part, grant, err)
		s.round = nil
		p.mu.Unlock()
		close(round.done)
	}()
	return round
}

// request calls a control VM.
func (s *permitPool) request(vm string, r quota.PoolRequest) (quota.PoolGrant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), permitAttemptTimeout)
	defer cancel()
	answer, err := s.calls.Call(ctx, vm, methodPool, encode(r))
	if err != nil {
		return quota.PoolGrant{}, err
	}
	return decode[quota.PoolGrant](answer)
}

// handlePoolGrant processes the result of a request to the pool of a control VM. p.mu must be held.
func (p *permitLimiter) handlePoolGrant(vm string, part quota.Contribution, grant quota.PoolGrant, err error) {
	s, now := p.pool, p.clock()
	if err != nil {
		s.failures.Add(1)
		s.failed[vm] = now
		p.holder.LeavePool()
		if notProcessed(err) {
			p.holder.Withdraw(part)
		}
		if s.vm != "" {
			p.events.Emit(events.PermitPoolLost, zap.String("control", s.vm), zap.Error(err))
			s.setVM("")
		}
		return
	}
	p.holder.ApplyPoolGrant(now, grant)
	if s.vm != vm && p.holder.Lost(now) {
		s.setVM(vm)
		p.events.Emit(events.PermitPoolJoined, zap.String("control", vm), zap.Int("members", grant.Members), zap.Int("holders", p.holder.Holders()))
	}
}

// notProcessed reports whether an error of a call means that the other VM has not granted: it got no request, or refused
// it, as a control VM of an earlier release does.
func notProcessed(err error) bool {
	var unreachable *peer.UnreachableError
	var remote *peer.RemoteError
	return errors.As(err, &unreachable) || errors.As(err, &remote)
}
