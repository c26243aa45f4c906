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
// than newsPart of it, and of the wait by more than newsWaitMS as well.
const (
	newsWaitMS = 20 // milliseconds
	newsPart   = 4  // a quarter
)

// told is what the other zones were told last of a pool.
type told struct {
	load schedule.Load
	at   time.Duration
}

// sendSummary tells the VMs of the own zone of all pools, and those of the other zones, which
// are most of a large fleet, of the pools with news and of those they were not told of lately.
func (h *Host) sendSummary(now time.Duration) {
	own := h.summarise()
	zone := h.opts.Locator.Dispatchers(upstream.Pool{Zone: h.opts.Zone})
	h.sendPools(own, append(without(zone, h.opts.VM), h.opts.VM))
	h.sendToZones(h.news(now, own))
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

// news returns what the other zones have to be told now. A pool that lost its last upstream is
// told of once, with an empty load.
func (h *Host) news(now time.Duration, own Summary) Summary {
	s := Summary{From: own.From, SentAt: own.SentAt}
	present := map[upstream.Pool]bool{}
	for _, p := range own.Pools {
		present[p.Pool] = true
		last, ok := h.told[p.Pool]
		if ok && now-last.at < RemoteSummaryInterval && !isNews(last.load, p.Load) {
			continue
		}
		h.told[p.Pool] = told{load: p.Load, at: now}
		s.Pools = append(s.Pools, p)
	}
	for pool := range h.told {
		if !present[pool] {
			delete(h.told, pool)
			s.Pools = append(s.Pools, PoolSummary{Pool: pool})
		}
	}
	sortPools(s.Pools)
	return s
}

func isNews(last, now schedule.Load) bool {
	wait := abs(now.WaitMS - last.WaitMS)
	return wait > newsWaitMS && wait > last.WaitMS/newsPart ||
		abs(now.PrefillNS-last.PrefillNS) > last.PrefillNS/newsPart
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
