package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/quota"
	"egretramp/internal/routing"
)

// errNoLimits means that a control VM can't grant permits because it has no configuration yet.
var errNoLimits = errors.New("node: this control VM has no configuration")

// poolServer pools the shares of entry VMs that have lost the coordinator, at any control VM.
type poolServer struct {
	clock  func() time.Duration
	table  func() *routing.Snapshot
	events *events.Logger

	mu         sync.Mutex
	pool       *quota.Pool
	rates      func(string) (quota.Rate, bool)
	ratedTable *routing.Snapshot
}

func newPoolServer(clock func() time.Duration, table func() *routing.Snapshot, log *events.Logger) *poolServer {
	return &poolServer{clock: clock, table: table, events: log, pool: quota.NewPool()}
}

// handle serves methodPool.
func (s *poolServer) handle(_ context.Context, _ string, payload []byte) ([]byte, error) {
	r, err := decode[quota.PoolRequest](payload)
	if err != nil {
		return nil, err
	}
	table := s.table()
	if table == nil {
		return nil, errNoLimits
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != s.ratedTable {
		s.ratedTable, s.rates = table, rateLookup(table)
	}
	now := s.clock()
	isNew := s.pool.Members(now) == 0
	grant := s.pool.Grant(now, r, s.rates)
	if isNew && grant.Members > 0 {
		s.events.Emit(events.PermitPoolFormed, zap.String("entry", r.VM), zap.Int("holders", r.Holders))
	}
	return encode(grant), nil
}

// registerMetrics registers the metrics of a control VM about its pool.
func (s *poolServer) registerMetrics(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretramp_permit_pool_members", Help: "Entry VMs that have lost the rate coordinator and pool their shares at this control VM.",
	}, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.pool.Members(s.clock()))
	}))
}
