// Package placement places models on engines. By demand, it plans which engine loads and unloads which
// models, and sends the orders of the plan to the engines of a zone.
//
//   - MakePlan is a pure function from a Snapshot to a Plan.
//   - Trend records how long a model has been short of replicas, or has had more than it needs.
//   - Orderer is the state machine of the orders in progress in one zone.
//   - Runner drives both on one goroutine, as long as this VM has the right to order its zone.
//
// All but Runner do no I/O and read no clock: time is passed in, and the caller carries out their actions.
package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Thresholds of a plan, as fractions of a model's slots. Between idleUtilization and
// pressedUtilization nothing changes.
const (
	// pressedUtilization is the fraction in use above which a model is short of replicas.
	pressedUtilization = 0.85
	// targetUtilization is the fraction in use at the wanted number of replicas.
	targetUtilization = 0.7
	// idleUtilization is the fraction in use, without one of the replicas, up to which a model can spare it.
	idleUtilization = 0.5
)

// Model is a model, adapter or version to be placed.
type Model struct {
	ID       string
	MemoryMB int64 // of its weights; 0: not counted
	// AdapterOf is the base model that must be loaded on the same engine; empty: not an adapter.
	AdapterOf string
	// KeepIn are the zones that must keep a replica; empty: each zone that has one.
	KeepIn []string
}

// Engine is the announced state of an engine of the zone.
type Engine struct {
	Name        string   `json:"name"`
	Incarnation int64    `json:"incarnation"`
	Address     string   `json:"address"`
	Serves      []string `json:"serves"` // canonical IDs
	// Names has the engine's own names of the models that it serves, by canonical ID.
	Names         map[string]string `json:"-"`
	AllowedModels []string          `json:"-"` // models that its class may serve
	Slots         int               `json:"slots"`
	Running       int               `json:"running"`
	MaxModels     int               `json:"models"`    // most held at once; 0: not announced
	MemoryMB      int64             `json:"memory_mb"` // for weights; 0: not announced
	// ChecksFencing reports whether the engine refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// Blocked reports whether the engine may not be changed now: an order is in progress, or its last
	// change is too recent.
	Blocked bool `json:"blocked"`
}

// Demand is the capacity and load of a model in a zone.
type Demand struct {
	Replicas int `json:"replicas"`
	Slots    int `json:"slots"`
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	// Unserved is the recent number of calls a second that found no replica in any zone.
	Unserved int `json:"unserved,omitempty"`
	// Coming is the number of loads in progress.
	Coming int `json:"coming,omitempty"`
	// Spare is the number of engines that could be made to serve the model now.
	Spare int `json:"spare,omitempty"`
}

// calls returns the number of calls that need a slot now. Once there is a replica or one is being
// loaded, unserved calls don't count: they are sent again, and then wait in its pool.
func (d Demand) calls() int {
	if d.Replicas+d.Coming > 0 {
		return d.Running + d.Waiting
	}
	return d.Running + d.Waiting + d.Unserved
}

func (d Demand) add(e Demand) Demand {
	return Demand{
		Replicas: d.Replicas + e.Replicas, Slots: d.Slots + e.Slots, Running: d.Running + e.Running,
		Waiting: d.Waiting + e.Waiting, Unserved: d.Unserved + e.Unserved, Coming: d.Coming + e.Coming, Spare: d.Spare + e.Spare,
	}
}

// ZoneDemand is the demand of a zone by model.
type ZoneDemand map[string]Demand

// Snapshot is the input of a plan.
type Snapshot struct {
	// Zone is the zone whose engines the plan changes.
	Zone   string
	Models []Model
	// Zones is the demand of all zones, this one included.
	Zones   map[string]ZoneDemand
	Engines []Engine
	// Pressed and Idle are how long models have been short of replicas, or able to spare one.
	Pressed, Idle map[string]time.Duration
	// PressedFor is how long a model must be short of replicas before one is added, IdleFor how long it
	// must be able to spare one before that is unloaded for another model.
	PressedFor, IdleFor time.Duration
	// MaxChanges is the maximum number of changes in the plan.
	MaxChanges int
}

// Change is one change of an engine: it unloads models to make room, and loads one.
type Change struct {
	Engine      string   `json:"engine"`
	Incarnation int64    `json:"incarnation"`
	Unload      []string `json:"unload,omitempty"`
	Load        string   `json:"load"`
}

// Target is the number of replicas of a model that the plan aims for.
type Target struct {
	Model  string `json:"model"`
	Fleet  int    `json:"fleet"` // in all zones
	Now    int    `json:"now"`   // in all zones, loads in progress included
	Zone   int    `json:"zone"`  // to be added in this zone
	Demand Demand `json:"demand"`
}

// Plan has the targets of the models and the changes of one zone's engines.
type Plan struct {
	Targets []Target `json:"targets"`
	Changes []Change `json:"changes"`
}

// MakePlan plans the changes of one zone.
func MakePlan(s Snapshot) Plan { return newPlanner(s).plan() }

// Spares returns, for each model, how many engines of the zone could be made to serve it now.
func Spares(s Snapshot) map[string]int {
	spares := map[string]int{}
	for _, m := range s.Models {
		p := newPlanner(s)
		for p.planReplica(m) {
			spares[m.ID]++
		}
	}
	return spares
}

func newPlanner(s Snapshot) *planner {
	p := &planner{Snapshot: s, models: map[string]Model{}, replicas: map[string]int{}, taken: map[string]bool{}}
	for _, m := range s.Models {
		p.models[m.ID] = m
	}
	for _, e := range s.Engines {
		for _, model := range e.Serves {
			p.replicas[model]++
		}
	}
	return p
}

// planner is the state of the computation of one plan.
type planner struct {
	Snapshot
	models   map[string]Model
	replicas map[string]int  // announced in the zone, minus those that the plan unloads
	taken    map[string]bool // engines that the plan changes
	out      Plan
}

func (p *planner) plan() Plan {
	order := slices.Clone(p.Models)
	// The model with the highest utilization is assigned engines first.
	slices.SortStableFunc(order, func(a, b Model) int {
		return cmp.Or(cmp.Compare(p.utilization(b.ID), p.utilization(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	for _, m := range order {
		t := p.target(m)
		p.out.Targets = append(p.out.Targets, t)
		for range t.Zone {
			if len(p.out.Changes) >= p.MaxChanges || !p.planReplica(m) {
				break
			}
		}
	}
	p.checkInvariants()
	return p.out
}

func (p *planner) fleetDemand(model string) Demand {
	var sum Demand
	for _, zone := range p.Zones {
		sum = sum.add(zone[model])
	}
	return sum
}

// utilization returns the fraction of a model's slots that its calls need; without slots, the number
// of calls.
func (p *planner) utilization(model string) float64 {
	d := p.fleetDemand(model)
	return float64(d.calls()) / float64(max(1, d.Slots))
}

// target returns how many replicas of a model are wanted, and how many of them this zone adds.
func (p *planner) target(m Model) Target {
	d := p.fleetDemand(m.ID)
	now := d.Replicas + d.Coming
	t := Target{Model: m.ID, Fleet: now, Now: now, Demand: d}
	if pressedFor, pressed := p.Pressed[m.ID]; pressed && pressedFor >= p.PressedFor {
		t.Fleet = max(now, wantedReplicas(d, p.slotsPerReplica(m.ID)))
	}
	t.Zone = p.distribute(m, t.Fleet-now)[p.Zone]
	t.Fleet = max(t.Fleet, now+t.Zone)
	return t
}

// wantedReplicas returns the number of replicas for a demand, at least 1 and at most twice the present
// number plus one.
func wantedReplicas(d Demand, slots int) int {
	n := int(math.Ceil(float64(d.calls()) / (targetUtilization * float64(slots))))
	return min(max(n, 1), 2*(d.Replicas+d.Coming)+1)
}

// slotsPerReplica returns the average number of slots of a replica, without replicas the number of
// slots of an engine of the zone.
func (p *planner) slotsPerReplica(model string) int {
	if d := p.fleetDemand(model); d.Replicas > 0 && d.Slots >= d.Replicas {
		return d.Slots / d.Replicas
	}
	for _, e := range p.Engines {
		if e.Slots > 0 {
			return e.Slots
		}
	}
	return 1
}

// distribute assigns missing replicas to the zones that have engines for them: first to the zones in
// KeepIn that have no replica, then to those with the most calls for each replica. Zones with the same
// information compute the same distribution.
func (p *planner) distribute(m Model, missing int) map[string]int {
	shares := map[string]int{}
	for _, zone := range m.KeepIn {
		if d := p.Zones[zone][m.ID]; d.Replicas+d.Coming == 0 && d.Spare > 0 {
			shares[zone]++
			missing--
		}
	}
	for ; missing > 0; missing-- {
		zone, found := p.neediest(m.ID, shares)
		if !found {
			break
		}
		shares[zone]++
	}
	return shares
}

func (p *planner) neediest(model string, shares map[string]int) (string, bool) {
	best, found, most := "", false, 0.0
	for _, zone := range slices.Sorted(maps.Keys(p.Zones)) {
		d := p.Zones[zone][model]
		if d.Spare <= shares[zone] {
			continue
		}
		need := float64(d.calls()+1) / float64(d.Replicas+d.Coming+shares[zone]+1)
		if !found || need > most {
			best, found, most = zone, true, need
		}
	}
	return best, found
}
