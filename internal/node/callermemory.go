package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"egretramp/internal/callermem"
	"egretramp/internal/clock"
	"egretramp/internal/events"
)

// memoryReportInterval is the least time between two log lines about refusals and closed connections.
const memoryReportInterval = 5 * time.Second

// callerMemory is the budget for what a process holds for callers, and what it reports.
type callerMemory struct {
	budget *callermem.Budget
	conns  callermem.Connections
	events *events.Logger

	reported   callermem.Stats // as last reported; used by one goroutine
	nextReport time.Duration
}

func newCallerMemory(s *Settings, metrics prometheus.Registerer, log *events.Logger) *callerMemory {
	limit := s.CallerMemoryBytes
	if limit <= 0 {
		limit = callermem.DefaultBytes(s.MemoryBytes)
	}
	m := &callerMemory{budget: callermem.New(limit), conns: callermem.SplitDescriptors(s.MaxDescriptors, s.Role == Entry), events: log}
	metrics.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "egretramp_caller_memory_bytes", Help: "Bytes that are held for callers: heads, bodies, answers and kernel buffers."},
			func() float64 { return float64(m.budget.Stats().Used) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "egretramp_caller_memory_limit_bytes", Help: "Bytes that may be held for callers, 0 for no limit."},
			func() float64 { return float64(m.budget.Stats().Limit) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "egretramp_caller_connections", Help: "Connections of callers, operators, upstreams and other VMs to this process."},
			func() float64 { return float64(m.budget.Stats().Conns) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "egretramp_caller_memory_refused_total", Help: "Reservations of memory for callers that were refused."},
			func() float64 { return float64(m.budget.Stats().Refused) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "egretramp_caller_connections_closed_total", Help: "Connections that were closed to make room for others, by memory or descriptors."},
			func() float64 { return float64(m.budget.Stats().Closed) }),
	)
	return m
}

// maintain measures the connections, and reports refusals and closed connections.
func (m *callerMemory) maintain() {
	now := clock.Now()
	m.budget.Measure(now)
	stats := m.budget.Stats()
	refused, closed := stats.Refused-m.reported.Refused, stats.Closed-m.reported.Closed
	if now < m.nextReport || refused+closed == 0 {
		return
	}
	m.nextReport, m.reported = now+memoryReportInterval, stats
	m.events.Emit(events.CallerMemoryShort, zap.Int64("refused", refused), zap.Int64("closed", closed),
		zap.Int64("used_bytes", stats.Used), zap.Int64("limit_bytes", stats.Limit), zap.Int("connections", stats.Conns))
}
