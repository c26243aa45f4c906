package dispatch

import (
	"slices"
	"sort"
	"time"

	"egretramp/internal/message"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

// What makes a pool's load news for the other zones: a change of what ZoneCost reads by more
// than minChangeDivisor of it, and of the wait by more than minWaitChangeMS as well.
const (
	minWaitChangeMS  = 20 // milliseconds
	minChangeDivisor = 4  // a quarter
)

// sentLoad is what the other zones were sentLoad last of a pool.
type sentLoad struct {
	load schedule.Load
	at   time.Duration
}

// sendSummary tells the VMs of the own zone of all pools, and those of the other zones, which
// are most of a large fleet, of the pools with news and of those they were not told of lately.
func (h *Host) sendSummary(now time.Duration) {
	own := h.summarise()
	zone := h.opts.Locator.Dispatchers(upstream.Pool{Zone: h.opts.Zone})
	h.sendPools(own, append(without(zone, h.opts.VM), h.opts.VM))
	h.sendRelaySummaries(h.changedPools(now, own))
}

func (h *Host) sendPools(s Summary, vms []string) {
	if len(s.Pools) == 0 {
		return
	}
	payload := message.Encode(s)
	for _, vm := range vms {
		h.opts.Network.Send(vm, KindSummary, payload)
	}
}

// changedPools returns what the other zones have to be told now. A pool that lost its last upstream is
// told of once, with an empty load.
func (h *Host) changedPools(now time.Duration, own Summary) Summary {
	s := Summary{From: own.From, SentAt: own.SentAt}
	present := map[upstream.Pool]bool{}
	for _, p := range own.Pools {
		present[p.Pool] = true
		last, ok := h.sentLoads[p.Pool]
		if ok && now-last.at < RemoteSummaryInterval && !loadChanged(last.load, p.Load) {
			continue
		}
		h.sentLoads[p.Pool] = sentLoad{load: p.Load, at: now}
		s.Pools = append(s.Pools, p)
	}
	for pool := range h.sentLoads {
		if !present[pool] {
			delete(h.sentLoads, pool)
			s.Pools = append(s.Pools, PoolSummary{Pool: pool})
		}
	}
	sortPools(s.Pools)
	return s
}

func loadChanged(last, now schedule.Load) bool {
	wait := abs(now.WaitMS - last.WaitMS)
	return wait > minWaitChangeMS && wait > last.WaitMS/minChangeDivisor ||
		abs(now.PrefillNS-last.PrefillNS) > last.PrefillNS/minChangeDivisor
}

func abs(v int64) int64 { return max(v, -v) }

func without(vms []string, vm string) []string {
	return slices.DeleteFunc(slices.Clone(vms), func(name string) bool { return name == vm })
}

func (h *Host) summarise() Summary {
	s := Summary{From: h.opts.VM, SentAt: h.opts.Clock()}
	for key, p := range h.pools {
		load := p.Load()
		if load.Replicas > 0 {
			s.Pools = append(s.Pools, PoolSummary{Pool: key, Load: load})
		}
	}
	sortPools(s.Pools)
	return s
}

func sortPools(pools []PoolSummary) {
	sort.Slice(pools, func(i, j int) bool { return pools[i].Pool.String() < pools[j].Pool.String() })
}
