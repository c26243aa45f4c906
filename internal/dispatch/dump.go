package dispatch

import (
	"context"
	"sort"
	"time"

	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

// Dump is the host's part of the state dump.
type Dump struct {
	Upstreams []upstream.Record `json:"upstreams"`
	Pools     []PoolDump        `json:"pools"`
}

// PoolDump is the state of one pool that this VM dispatches for.
type PoolDump struct {
	PoolSummary
	Queue schedule.State `json:"queue"`
	// Conditions has the upstreams that are not up.
	Conditions map[string]Condition `json:"conditions,omitempty"`
}

// Dump returns the host's state.
func (h *Host) Dump(ctx context.Context) (Dump, error) {
	result := make(chan Dump, 1)
	h.post(func() { result <- Dump{Upstreams: h.directory.All(), Pools: h.dumpPools()} })
	select {
	case d := <-result:
		return d, nil
	case <-h.done:
		return Dump{}, ErrStopped
	case <-ctx.Done():
		return Dump{}, ctx.Err()
	}
}

func (h *Host) dumpPools() []PoolDump {
	dumps := make([]PoolDump, 0, len(h.pools))
	now := h.opts.Clock()
	for key, p := range h.pools {
		dumps = append(dumps, PoolDump{PoolSummary{Pool: key, Load: p.Load()}, p.State(), p.health.conditions(now)})
	}
	sort.Slice(dumps, func(i, j int) bool { return dumps[i].Pool.String() < dumps[j].Pool.String() })
	return dumps
}

// list returns the upstreams, each with its worst condition in any pool.
func (d Dump) list(now time.Duration) []Listed {
	listed := make([]Listed, 0, len(d.Upstreams))
	for _, r := range d.Upstreams {
		worst := ConditionUp
		for _, p := range d.Pools {
			worst = worst.Worse(p.Conditions[r.Upstream])
		}
		listed = append(listed, Listed{Record: r, AgeMS: (now - r.LastSeen).Milliseconds(), Condition: worst})
	}
	return listed
}
