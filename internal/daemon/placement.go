package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"

	"egretramp/internal/admin/api"
	"egretramp/internal/config"
	"egretramp/internal/dispatch"
	"egretramp/internal/gateway"
	"egretramp/internal/placement"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
	"egretramp/internal/upstream/wire"
)

func (d *Daemon) buildPlacement() {
	d.placement = placement.NewRunner(placement.Options{
		VM:      d.settings.VM,
		Zone:    d.settings.Zone,
		Network: d.node,
		Control: controlProposer{client: d.groups},
		Fleet:   d.fleet,
		Fabric:  fabric{daemon: d},
		Events:  d.events,
	})
	d.node.HandleMessages(placement.KindUnserved, d.placement.HandleUnserved)
	d.node.HandleMessages(placement.KindReport, d.placement.HandleReport)
	d.node.HandleCalls(placement.MethodStatus, d.placement.HandleStatus)
}

// demandCounter wraps the dispatch client and counts the calls for which no replica was found.
type demandCounter struct {
	gateway.Dispatcher
	placement *placement.Runner
}

// Acquire waits for a grant, and counts the call as unserved demand if the model has no replica.
func (c demandCounter) Acquire(
	ctx context.Context, kind config.UpstreamKind, name, preferred string, r schedule.Request,
) (*dispatch.Grant, error) {
	grant, err := c.Dispatcher.Acquire(ctx, kind, name, preferred, r)
	var refused *dispatch.Error
	if kind == config.KindEngine && errors.As(err, &refused) && refused.Code == dispatch.CodeNoUpstream {
		c.placement.NoReplica(name)
	}
	return grant, err
}

// fabric gives package placement access to engines and dispatchers.
type fabric struct {
	daemon *Daemon
}

// enginePool returns the pool whose dispatcher sends the placement orders to a zone's engines.
func enginePool(zone string) upstream.Pool {
	return upstream.Pool{Zone: zone, Kind: config.KindEngine}
}

// Zones returns the zones of the current membership epoch.
func (f fabric) Zones() []string { return f.daemon.fleet.View().Epoch.Zones() }

// Orderer returns the VM that sends a zone's placement orders: the first of the pool's ranked
// dispatchers, "" if there is none.
func (f fabric) Orderer(zone string) string {
	ranked := f.daemon.fleet.Dispatchers(enginePool(zone))
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// Demand returns the load of all engine pools from the last summaries received, by zone and pool name.
func (f fabric) Demand() map[string]placement.ZoneDemand {
	zones := map[string]placement.ZoneDemand{}
	for _, p := range f.daemon.dispatcher.Pools() {
		if p.Pool.Kind != config.KindEngine {
			continue
		}
		if zones[p.Pool.Zone] == nil {
			zones[p.Pool.Zone] = placement.ZoneDemand{}
		}
		zones[p.Pool.Zone][p.Pool.Name] = placement.Demand{
			Replicas: p.Load.Replicas, Slots: p.Load.Slots, Running: p.Load.Running, Waiting: p.Load.Waiting,
		}
	}
	return zones
}

// Engines queries the VMs of this zone for the engines that they dispatch for. It fails if one VM
// doesn't respond, because that VM's engines would be missing from the list.
func (f fabric) Engines(ctx context.Context) ([]placement.Engine, error) {
	d := f.daemon
	vms := d.fleet.Dispatchers(enginePool(d.settings.Zone))
	type answer struct {
		listed []dispatch.Listed
		err    error
	}
	answers := iter.Map(vms, func(vm *string) answer {
		listed, err := d.dispatcher.ListAt(ctx, *vm)
		return answer{listed, err}
	})
	newest := map[string]dispatch.Listed{}
	for _, a := range answers {
		if a.err != nil {
			return nil, errors.Wrap(a.err, "daemon: cannot list the engines")
		}
		for _, l := range a.listed {
			if known, ok := newest[l.Record.Upstream]; l.Record.Kind == config.KindEngine && (!ok || newerAnnouncement(l, known)) {
				newest[l.Record.Upstream] = l
			}
		}
	}
	return d.placementEngines(newest), nil
}

// newerAnnouncement reports whether a comes from a later announcement than b.
func newerAnnouncement(a, b dispatch.Listed) bool {
	if a.Record.Incarnation != b.Record.Incarnation {
		return a.Record.Incarnation > b.Record.Incarnation
	}
	return a.Record.Sequence > b.Record.Sequence
}

func (d *Daemon) placementEngines(listed map[string]dispatch.Listed) []placement.Engine {
	snapshot := d.fleet.Snapshot()
	var engines []placement.Engine
	for _, l := range listed {
		r := l.Record
		e := placement.Engine{
			Name: r.Upstream, Incarnation: r.Incarnation, Address: r.Address, Serves: r.Serves, Names: r.ServesAs,
			Slots: r.Limits.Slots, Running: r.Load.Running, MaxModels: r.Limits.Models, MemoryMB: r.Limits.MemoryMB,
			ChecksFencing: r.ChecksFencing,
		}
		for _, m := range snapshot.Models() {
			if snapshot.MayServe(r.Class, m.ID) {
				e.AllowedModels = append(e.AllowedModels, m.ID)
			}
		}
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b placement.Engine) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return engines
}

// Drain sends the drain to all live VMs of the zone, because each may become the dispatcher of the
// models' pools. It returns the number of calls still in flight, and false if a VM didn't confirm.
func (f fabric) Drain(ctx context.Context, e placement.Engine, models []string) (int, bool) {
	return f.drain(ctx, e, models, placement.DrainDuration)
}

// EndDrain ends a drain.
func (f fabric) EndDrain(ctx context.Context, e placement.Engine, models []string) {
	_, _ = f.drain(ctx, e, models, 0)
}

func (f fabric) drain(ctx context.Context, e placement.Engine, models []string, length time.Duration) (int, bool) {
	d := f.daemon
	vms := d.fleet.Dispatchers(enginePool(d.settings.Zone))
	sum := 0
	for _, model := range models {
		calls, ok := d.drainAt(ctx, vms, dispatch.Drain{
			Pool:     upstream.Pool{Zone: d.settings.Zone, Kind: config.KindEngine, Name: model},
			Upstream: e.Name, Incarnation: e.Incarnation, ForMS: length.Milliseconds(),
		})
		if !ok {
			return 0, false
		}
		sum += calls
	}
	return sum, len(vms) > 0
}

// drainAt sends a drain to the VMs and returns the sum of the calls in flight that they report; ok is
// false if one of them failed to confirm.
func (d *Daemon) drainAt(ctx context.Context, vms []string, drain dispatch.Drain) (calls int, ok bool) {
	type answer struct {
		calls int
		err   error
	}
	answers := iter.Map(vms, func(vm *string) answer {
		n, err := d.dispatcher.DrainAt(ctx, *vm, drain)
		return answer{n, err}
	})
	for _, a := range answers {
		if a.err != nil {
			return 0, false
		}
		calls += a.calls
	}
	return calls, true
}

// Order sends an order to an engine and classifies the result.
func (f fabric) Order(ctx context.Context, address string, o wire.Order) placement.Outcome {
	err := f.daemon.caller.Order(ctx, address, o)
	switch {
	case err == nil:
		return placement.OutcomeDone
	case errors.Is(err, upstream.ErrOldFencing):
		return placement.OutcomeStale
	case errors.Is(err, upstream.ErrOrderFailed):
		return placement.OutcomeFailed
	default:
		return placement.OutcomeUnknown
	}
}

// Placement queries the VM that sends each zone's placement orders for its status.
func (b *backend) Placement(ctx context.Context) (api.Placement, error) {
	f := fabric(*b)
	answer := api.Placement{Zones: []api.PlacementZone{}}
	for _, zone := range f.Zones() {
		vm := f.Orderer(zone)
		row := api.PlacementZone{Zone: zone, VM: vm, State: "unreachable"}
		var s placement.Status
		data, err := b.daemon.node.Call(ctx, vm, placement.MethodStatus, nil)
		if err == nil && json.Unmarshal(data, &s) == nil {
			row = placementRow(s)
		}
		answer.Zones = append(answer.Zones, row)
	}
	return answer, nil
}

func placementRow(s placement.Status) api.PlacementZone {
	row := api.PlacementZone{Zone: s.Zone, VM: s.VM, State: placementState(s), LoadsUnderWay: s.UnderWay}
	if s.Right != nil {
		row.Fencing = s.Right.Number
	}
	for _, t := range s.Plan.Targets {
		calls := t.Demand.Running + t.Demand.Waiting + t.Demand.Unserved
		row.Targets = append(row.Targets, api.PlacementTarget{Model: t.Model, Replicas: t.Now, Wanted: t.Fleet, Calls: calls})
	}
	for _, o := range s.Orders {
		row.Orders = append(row.Orders, placementOrder(o.ID, o.Change, string(o.Step)))
	}
	for _, r := range s.Results {
		row.Results = append(row.Results, placementOrder(r.ID, r.Change, string(r.Code)))
	}
	return row
}

func placementOrder(id string, c placement.Change, state string) api.PlacementOrder {
	return api.PlacementOrder{ID: id, Engine: c.Engine, Unload: c.Unload, Load: c.Load, State: state}
}

func placementState(s placement.Status) string {
	switch {
	case !s.Enabled:
		return "off"
	case !s.Reachable:
		return "cut_off"
	case s.Right == nil:
		return "no_right"
	case !s.Ready:
		return "waiting"
	default:
		return "ordering"
	}
}
