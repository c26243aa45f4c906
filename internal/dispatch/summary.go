package dispatch

import (
	"slices"
	"sort"
	"time"

	"egretramp/internal/message"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

// Thresholds above which a changed load is sent to the other zones at once: a value that ZoneCost
// reads changed by more than a quarter, and the wait by more than minWaitChangeMS as well.
const (
	minWaitChangeMS  = 20 // milliseconds
	minChangeDivisor = 4  // of the last value sent: a quarter
)

// sentLoad is the load of a pool that was last sent to the other zones.
type sentLoad struct {
	load schedule.Load
	at   time.Duration
}

// sendSummary sends a summary of all pools to the VMs of the own zone. The VMs of the other zones,
// which are most of a large fleet, are sent only the pools whose load changed or was last sent
// RemoteSummaryInterval ago.
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

// changedPools returns the pools to send to the other zones now. A pool that lost its last upstream
// is sent once, with an empty load.
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
