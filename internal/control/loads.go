package control

import (
	"fmt"
	"slices"

	"egretramp/internal/config"
)

// Bounds of loads.
const (
	// loadPermitFactor is how many times the longest load a permit lasts: the load begins within
	// the first part.
	loadPermitFactor = 2
	// loadPermitDeliveryMS is added for the order's way to the engine. Milliseconds.
	loadPermitDeliveryMS = 5_000
	// maxLoadElapsedMS bounds the time that one command tells of. Milliseconds.
	maxLoadElapsedMS = 60_000
)

// AcquireLoadPermit asks for a permit to load from the weight store. Sent again under the same ID it gets
// the same permit.
//
// The permits' clock goes on with these commands alone: one that waits for a permit asks again
// and tells how long ago it learned of the clock's last move. So the clock never runs faster
// than time does, and a permit that is over by it is over.
type AcquireLoadPermit struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Number uint64 `json:"number"` // of the right to order the zone
	// Tick is the clock's last move that the sender knows of; 0: none.
	Tick uint64 `json:"tick,omitempty"`
	// ElapsedMS is the time since the sender learned of Tick. Milliseconds.
	ElapsedMS int64 `json:"elapsed_ms,omitempty"`
}

// ReleaseLoadPermit gives a permit back. Its load is over.
type ReleaseLoadPermit struct {
	ID string `json:"id"`
}

// LoadPermit lets one load be ordered.
type LoadPermit struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// ExpiresAtMS is when it runs out, on the permits' clock. Milliseconds.
	ExpiresAtMS int64 `json:"until_ms"`
	DurationMS  int64 `json:"lasts_ms"` // how long it lasts from its grant. Milliseconds.
}

// LoadPermitResult answers TakeLoad and ReturnLoad.
type LoadPermitResult struct {
	// Granted says that the permit of the command's ID is held.
	Granted bool `json:"granted"`
	// DurationMS is how long the permit lasts, from the sending of the command that was first
	// answered so. Milliseconds.
	DurationMS int64 `json:"lasts_ms,omitempty"`
	// Tick is the clock's last move.
	Tick uint64 `json:"tick"`
	// PermitsHeld counts the permits that are held.
	PermitsHeld int `json:"under_way"`
}

// Loads is the state of the loads from the weight store.
type Loads struct {
	// Limit bounds the permits held; 0: no loads.
	Limit            int     `json:"limit"`
	RatePerSecond    float64 `json:"rate_per_second"`
	PermitDurationMS int64   `json:"permit_ms"` // how long a permit lasts
	// Tokens is the rate's bucket, of the loads of one second and at least one.
	Tokens  float64      `json:"tokens"`
	Tick    uint64       `json:"tick"`
	ClockMS int64        `json:"clock_ms"`
	Permits []LoadPermit `json:"permits,omitempty"` // in the order of their grants
}

func (t *AcquireLoadPermit) validate() error {
	if t.Number < 1 || t.ElapsedMS < 0 {
		return invalid("fencing number %d, elapsed %d ms", t.Number, t.ElapsedMS)
	}
	return firstError(checkName("ID", t.ID), checkName("zone", t.Zone))
}

func (r *ReleaseLoadPermit) validate() error { return checkName("ID", r.ID) }

// configure takes the limits of a new configuration. Permits that are held stay.
func (l *Loads) configure(p config.Placement) {
	l.Limit, l.RatePerSecond = 0, 0
	if p.Enabled {
		l.Limit, l.RatePerSecond = p.LoadsUnderWay, p.LoadsPerSecond
		l.PermitDurationMS = int64(loadPermitFactor*p.LoadTimeoutSeconds*1000) + loadPermitDeliveryMS
	}
	if l.Tick == 0 {
		l.Tick, l.Tokens = 1, 1
	}
}

func (m *Machine) acquireLoadPermit(t *AcquireLoadPermit) Result {
	right, known := m.orderRights[t.Zone]
	if !known || right.Number != t.Number || !m.orderRightValid(right) {
		return refuse(CodeOrderRightLost, fmt.Sprintf("number %d is not the one in force in zone %q", t.Number, t.Zone))
	}
	m.loads.advanceClock(t.Tick, t.ElapsedMS)
	m.loads.grantPermit(t.ID, t.Zone)
	return Result{Load: m.loads.permitResult(t.ID)}
}

func (m *Machine) releaseLoadPermit(r *ReleaseLoadPermit) Result {
	m.loads.Permits = slices.DeleteFunc(slices.Clone(m.loads.Permits), func(p LoadPermit) bool { return p.ID == r.ID })
	return Result{Load: m.loads.permitResult(r.ID)}
}

// advanceClock moves the clock on, once for each of its moves, and ends the permits that are over.
func (l *Loads) advanceClock(tick uint64, elapsedMS int64) {
	if tick != l.Tick || elapsedMS < 1 {
		return
	}
	elapsedMS = min(elapsedMS, maxLoadElapsedMS)
	l.Tick++
	l.ClockMS += elapsedMS
	l.Tokens = min(max(1, l.RatePerSecond), l.Tokens+l.RatePerSecond*float64(elapsedMS)/1000)
	l.Permits = slices.DeleteFunc(slices.Clone(l.Permits), func(p LoadPermit) bool { return p.ExpiresAtMS <= l.ClockMS })
}

// grantPermit grants a permit if there is one.
func (l *Loads) grantPermit(id, zone string) {
	if l.permitIndex(id) >= 0 || len(l.Permits) >= l.Limit || l.Tokens < 1 {
		return
	}
	l.Tokens--
	// Time before this load earns nothing after it.
	l.Tick++
	l.Permits = append(slices.Clone(l.Permits), LoadPermit{ID: id, Zone: zone, ExpiresAtMS: l.ClockMS + l.PermitDurationMS, DurationMS: l.PermitDurationMS})
	if len(l.Permits) > l.Limit {
		panic(fmt.Sprintf("control: %d loads under way, above the limit of %d", len(l.Permits), l.Limit))
	}
}

func (l *Loads) permitIndex(id string) int {
	return slices.IndexFunc(l.Permits, func(p LoadPermit) bool { return p.ID == id })
}

func (l *Loads) permitResult(id string) *LoadPermitResult {
	a := &LoadPermitResult{Tick: l.Tick, PermitsHeld: len(l.Permits)}
	if i := l.permitIndex(id); i >= 0 {
		a.Granted, a.DurationMS = true, l.Permits[i].DurationMS
	}
	return a
}
