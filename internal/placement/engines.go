package placement

import (
	"cmp"
	"fmt"
	"slices"
)

// planReplica adds a change to the plan that loads one more replica of a model, on an engine with room
// if there is one, else in place of models that can spare a replica. It returns false if no engine is
// available.
func (p *planner) planReplica(m Model) bool {
	var best Change
	found := false
	var bestEngine Engine
	for _, e := range p.Engines {
		unload, ok := p.modelsToUnload(e, m)
		if !ok {
			continue
		}
		if found && !cheaper(e, unload, bestEngine, best.Unload) {
			continue
		}
		best, bestEngine, found = Change{Engine: e.Name, Incarnation: e.Incarnation, Unload: unload, Load: m.ID}, e, true
	}
	if !found {
		return false
	}
	p.taken[best.Engine] = true
	for _, model := range best.Unload {
		p.replicas[model]--
	}
	p.out.Changes = append(p.out.Changes, best)
	return true
}

// cheaper reports whether engine a is preferred to b for a load: by fewer models to unload, fewer calls
// to drain, fewer models served, and by name.
func cheaper(a Engine, unloadA []string, b Engine, unloadB []string) bool {
	return cmp.Or(
		cmp.Compare(len(unloadA), len(unloadB)),
		cmp.Compare(a.Running, b.Running),
		cmp.Compare(len(a.Serves), len(b.Serves)),
		cmp.Compare(a.Name, b.Name),
	) < 0
}

// modelsToUnload returns the models that an engine must unload to load m; ok is false if it can't
// load it.
func (p *planner) modelsToUnload(e Engine, m Model) (unload []string, ok bool) {
	if e.Blocked || p.taken[e.Name] || slices.Contains(e.Serves, m.ID) || !slices.Contains(e.AllowedModels, m.ID) {
		return nil, false
	}
	if m.AdapterOf != "" && !slices.Contains(e.Serves, m.AdapterOf) {
		return nil, false
	}
	if p.hasRoom(e, e.Serves, m) {
		return nil, true
	}
	kept := slices.Clone(e.Serves)
	for _, model := range slices.Sorted(slices.Values(e.Serves)) {
		if model == m.AdapterOf || !p.canSpare(model, e) {
			continue
		}
		kept = slices.DeleteFunc(kept, func(k string) bool { return k == model })
		unload = append(unload, model)
		if p.hasRoom(e, kept, m) {
			return unload, true
		}
	}
	return nil, false
}

// hasRoom reports whether a model fits on an engine beside others. An engine that announces no
// maximum of models holds as many as it serves, or one.
func (p *planner) hasRoom(e Engine, beside []string, m Model) bool {
	most := e.MaxModels
	if most == 0 {
		most = max(1, len(e.Serves))
	}
	if len(beside) >= most {
		return false
	}
	memory := m.MemoryMB
	for _, model := range beside {
		memory += p.models[model].MemoryMB
	}
	return e.MemoryMB == 0 || memory <= e.MemoryMB
}

// canSpare reports whether a replica of a model may be unloaded from an engine: the model has had
// more replicas than it needs for IdleFor, no adapter on the engine needs it, and it is not the last
// replica that the zone must keep.
func (p *planner) canSpare(model string, e Engine) bool {
	idleFor, idle := p.Idle[model]
	if _, known := p.models[model]; known && (!idle || idleFor < p.IdleFor) || p.hasAdapter(model, e) {
		return false
	}
	if p.replicas[model] > 1 {
		return true
	}
	m, known := p.models[model]
	if !known {
		return true // no longer in the configuration
	}
	return !p.mustKeep(m)
}

func (p *planner) hasAdapter(model string, e Engine) bool {
	return slices.ContainsFunc(e.Serves, func(other string) bool { return p.models[other].AdapterOf == model })
}

// mustKeep reports whether this zone must keep its last replica of a model. A zone that is not in
// KeepIn may lose it only while it has no calls for it and a zone in KeepIn has a replica, since that
// zone keeps it.
func (p *planner) mustKeep(m Model) bool {
	if len(m.KeepIn) == 0 || slices.Contains(m.KeepIn, p.Zone) {
		return true
	}
	if p.Zones[p.Zone][m.ID].calls() > 0 {
		return true
	}
	return !slices.ContainsFunc(m.KeepIn, func(zone string) bool { return p.Zones[zone][m.ID].Replicas > 0 })
}

// checkInvariants panics if the plan violates what must hold for every plan.
func (p *planner) checkInvariants() {
	seen := map[string]bool{}
	left := map[string]int{}
	engines := map[string]Engine{}
	for _, e := range p.Engines {
		engines[e.Name] = e
		for _, model := range e.Serves {
			left[model]++
		}
	}
	for _, c := range p.out.Changes {
		e := engines[c.Engine]
		if seen[c.Engine] || e.Blocked {
			panic(fmt.Sprintf("placement: plan changes engine %s twice or while it is blocked", c.Engine))
		}
		seen[c.Engine] = true
		if !slices.Contains(e.AllowedModels, c.Load) {
			panic(fmt.Sprintf("placement: plan makes engine %s load %s, which its class may not serve", c.Engine, c.Load))
		}
		for _, model := range c.Unload {
			left[model]--
			if m, known := p.models[model]; known && left[model] == 0 && p.mustKeep(m) {
				panic(fmt.Sprintf("placement: plan unloads the last replica of %s in zone %s", model, p.Zone))
			}
		}
	}
}

// RequiredModels reports, for each model, whether the zone must keep its last replica.
func RequiredModels(s Snapshot) map[string]bool {
	p := newPlanner(s)
	keeps := map[string]bool{}
	for _, m := range s.Models {
		keeps[m.ID] = p.mustKeep(m)
	}
	return keeps
}
