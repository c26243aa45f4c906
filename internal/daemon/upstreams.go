package daemon

import (
	"context"
	"maps"
	"slices"

	"github.com/sourcegraph/conc/iter"

	"egretramp/internal/admin/api"
	"egretramp/internal/dispatch"
)

// Upstreams lists the upstreams of all pools, gathered from all dispatchers.
func (b *backend) Upstreams(ctx context.Context) (api.Upstreams, error) {
	return upstreamRows(b.daemon.listUpstreams(ctx)), nil
}

// listUpstreams queries all dispatchers for their upstreams and returns the latest record of each by
// name, with the worst condition that any dispatcher reports for it.
func (d *Daemon) listUpstreams(ctx context.Context) map[string]dispatch.Listed {
	vms := append([]string{d.settings.VM}, d.fleet.VMs()...)
	found := iter.Map(vms, func(vm *string) []dispatch.Listed {
		listed, err := d.dispatcher.ListAt(ctx, *vm)
		if err != nil {
			return nil // an unreachable VM is no dispatcher for this side of a partition
		}
		return listed
	})
	byName := map[string]dispatch.Listed{}
	for _, listed := range found {
		for _, l := range listed {
			known, ok := byName[l.Record.Upstream]
			worst := l.Condition.Worse(known.Condition)
			if ok && known.AgeMS <= l.AgeMS {
				l = known
			}
			l.Condition = worst
			byName[l.Record.Upstream] = l
		}
	}
	return byName
}

func upstreamRows(byName map[string]dispatch.Listed) api.Upstreams {
	rows := api.Upstreams{Upstreams: []api.Upstream{}}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		l := byName[name]
		r := l.Record
		rows.Upstreams = append(rows.Upstreams, api.Upstream{
			Upstream: r.Upstream, Class: r.Class, Kind: r.Kind, Zone: r.Zone, Address: r.Address, Serves: r.Serves,
			State: string(l.Condition), Slots: r.Limits.Slots, Running: r.Load.Running, Waiting: r.Load.Waiting,
			KVTokens: r.Limits.KVTokens, KVTokensUsed: r.Load.KVTokensUsed, ChecksFencing: r.ChecksFencing, AgeMS: l.AgeMS,
		})
	}
	return rows
}
