package dispatch

import (
	"context"
	"sort"

	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

// Dump is the host's state, for the state dump.
type Dump struct {
	Upstreams []upstream.Record `json:"upstreams"`
	Pools     []PoolDump        `json:"pools"`
}

// PoolDump is one pool that this VM dispatches for.
type PoolDump struct {
	PoolSummary
	Queue schedule.State `json:"queue"`
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
	for key, p := range h.pools {
		dumps = append(dumps, PoolDump{PoolSummary{Pool: key, Load: p.Load()}, p.State()})
	}
	sort.Slice(dumps, func(i, j int) bool { return dumps[i].Pool.String() < dumps[j].Pool.String() })
	return dumps
}
