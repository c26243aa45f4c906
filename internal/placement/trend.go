package placement

import "time"

// Trend records since when models have been short of replicas, and since when they could spare one.
type Trend struct {
	pressedSince, idleSince map[string]time.Duration
}

// NewTrend returns an empty trend.
func NewTrend() *Trend {
	return &Trend{pressedSince: map[string]time.Duration{}, idleSince: map[string]time.Duration{}}
}

// Observe updates the trend with the demand of all zones at now.
func (t *Trend) Observe(now time.Duration, models []Model, zones map[string]ZoneDemand) {
	for _, m := range models {
		var d Demand
		for _, zone := range zones {
			d = d.add(zone[m.ID])
		}
		record(t.pressedSince, m.ID, now, isPressed(d))
		record(t.idleSince, m.ID, now, isIdle(d))
	}
}

// Pressed returns how long each model has been short of replicas.
func (t *Trend) Pressed(now time.Duration) map[string]time.Duration { return ages(now, t.pressedSince) }

// Idle returns how long each model has been able to spare a replica.
func (t *Trend) Idle(now time.Duration) map[string]time.Duration { return ages(now, t.idleSince) }

func record(since map[string]time.Duration, model string, now time.Duration, holds bool) {
	_, known := since[model]
	switch {
	case !holds:
		delete(since, model)
	case !known:
		since[model] = now
	}
}

func ages(now time.Duration, since map[string]time.Duration) map[string]time.Duration {
	all := make(map[string]time.Duration, len(since))
	for model, at := range since {
		all[model] = now - at
	}
	return all
}

func isPressed(d Demand) bool {
	return d.calls() > 0 && float64(d.calls()) > pressedUtilization*float64(d.Slots)
}

func isIdle(d Demand) bool {
	if d.Replicas == 0 {
		return false
	}
	without := float64(d.Slots) * float64(d.Replicas-1) / float64(d.Replicas)
	return float64(d.calls()) <= idleUtilization*without
}
