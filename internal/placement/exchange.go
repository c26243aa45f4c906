package placement

import (
	"encoding/json"
	"slices"
	"time"

	"egretramp/internal/config"
	"egretramp/internal/message"
)

// snapshot builds the input of a plan.
func (r *Runner) snapshot(now, planEvery time.Duration) Snapshot {
	configured := r.opts.Fleet.Snapshot()
	s := Snapshot{
		Zone: r.opts.Zone, Models: modelsOf(configured), Zones: r.demand(now, planEvery),
		Pressed: r.trend.Pressed(now), Idle: r.trend.Idle(now),
		PressedFor: seconds(configured.Placement().PressedSeconds), IdleFor: seconds(configured.Placement().IdleSeconds),
		MaxChanges: max(0, configured.Placement().LoadsUnderWay-len(r.orderer.Orders())),
	}
	for _, e := range r.engines {
		e.Blocked = r.orderer.Blocked(now, e.Name)
		leaving := r.orderer.Unloading(e.Name)
		e.Serves = slices.DeleteFunc(slices.Clone(e.Serves), func(m string) bool { return slices.Contains(leaving, m) })
		s.Engines = append(s.Engines, e)
	}
	own := s.Zones[s.Zone]
	coming := r.orderer.Loading()
	for model, n := range Spares(s) {
		d := own[model]
		d.Spare = n
		own[model] = d
	}
	for model, n := range coming {
		d := own[model]
		d.Coming = n
		own[model] = d
	}
	return s
}

func modelsOf(s *config.Snapshot) []Model {
	var models []Model
	for _, m := range s.Models() {
		base := ""
		if other, ok := s.Model(m.AdapterOf); ok {
			base = other.ID
		}
		models = append(models, Model{ID: m.ID, MemoryMB: m.MemoryMB, AdapterOf: base, KeepIn: m.KeepIn})
	}
	return models
}

// demand returns the demand of all zones that is known to this VM. Messages of other VMs that are too
// old are left out.
func (r *Runner) demand(now, planEvery time.Duration) map[string]ZoneDemand {
	zones := r.opts.Fabric.Demand()
	for _, zone := range append(r.opts.Fabric.Zones(), r.opts.Zone) {
		if zones[zone] == nil {
			zones[zone] = ZoneDemand{}
		}
	}
	for vm, u := range r.unserved {
		if now-u.at > maxUnservedAge {
			delete(r.unserved, vm)
			continue
		}
		for model, calls := range u.content.Calls {
			addDemand(zones, u.content.Zone, model, Demand{Unserved: calls})
		}
	}
	for zone, report := range r.reports {
		if zone == r.opts.Zone || now-report.at > maxReportPlans*planEvery {
			continue
		}
		for model, n := range report.content.Spare {
			addDemand(zones, zone, model, Demand{Spare: n})
		}
		for model, n := range report.content.Coming {
			addDemand(zones, zone, model, Demand{Coming: n})
		}
	}
	return zones
}

func addDemand(zones map[string]ZoneDemand, zone, model string, d Demand) {
	if zones[zone] == nil {
		zones[zone] = ZoneDemand{}
	}
	zones[zone][model] = zones[zone][model].add(d)
}

// sendReport sends this zone's report to the VMs that order the other zones.
func (r *Runner) sendReport(s Snapshot) {
	payload := message.Encode(Report{Zone: r.opts.Zone, Spare: Spares(s), Coming: r.orderer.Loading()})
	for _, zone := range r.opts.Fabric.Zones() {
		if vm := r.opts.Fabric.Orderer(zone); vm != "" && zone != r.opts.Zone {
			r.opts.Network.Send(vm, KindReport, payload)
		}
	}
}

// sendUnserved sends this VM's unserved calls to the VMs that order the zones.
func (r *Runner) sendUnserved(now time.Duration) {
	if now < r.nextUnserved {
		return
	}
	r.nextUnserved = now + unservedInterval
	calls := r.unservedHere.recent(now)
	if len(calls) == 0 {
		return
	}
	payload := message.Encode(Unserved{Zone: r.opts.Zone, Calls: calls})
	for _, zone := range r.opts.Fabric.Zones() {
		if vm := r.opts.Fabric.Orderer(zone); vm != "" {
			r.opts.Network.Send(vm, KindUnserved, payload)
		}
	}
}

// HandleUnserved stores a received Unserved message by sender.
func (r *Runner) HandleUnserved(from string, payload []byte) {
	var u Unserved
	if json.Unmarshal(payload, &u) != nil {
		return
	}
	r.post(func() { r.unserved[from] = received[Unserved]{u, r.opts.Clock()} })
}

// HandleReport stores a received Report message by zone.
func (r *Runner) HandleReport(_ string, payload []byte) {
	var report Report
	if json.Unmarshal(payload, &report) != nil {
		return
	}
	r.post(func() { r.reports[report.Zone] = received[Report]{report, r.opts.Clock()} })
}
