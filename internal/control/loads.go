package control

import (
	"fmt"
	"slices"

	"egretramp/internal/config"
)

// Limits of load permits.
const (
	// loadPermitFactor is the ratio of a permit's duration to the longest load: the load begins
	// within the first part.
	loadPermitFactor = 2
	// loadPermitDeliveryMS is added for the delivery of the order to the engine. Milliseconds.
	loadPermitDeliveryMS = 5_000
	// maxLoadElapsedMS limits how far one command advances the permit clock. Milliseconds.
	maxLoadElapsedMS = 60_000
)

// AcquireLoadPermit requests a permit to load from the weight store. It is idempotent: a resend
// with the same ID returns the same permit.
//
// Only these commands advance the permit clock: a VM that waits for a permit resends the command
// with the time since it learned of the last tick. The clock therefore never runs faster than
// real time, and a permit that has expired on it has expired in real time too.
type AcquireLoadPermit struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Number uint64 `json:"number"` // fencing number of the right to order the zone's engines
	// Tick is the latest clock tick known to the sender; 0 if none.
	Tick uint64 `json:"tick,omitempty"`
	// ElapsedMS is the time since the sender learned of Tick. Milliseconds.
	ElapsedMS int64 `json:"elapsed_ms,omitempty"`
}

// ReleaseLoadPermit returns a permit after its load has ended.
type ReleaseLoadPermit struct {
	ID string `json:"id"`
}

// LoadPermit allows its holder to order one load.
type LoadPermit struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// ExpiresAtMS is when the permit expires, on the permit clock. Milliseconds.
	ExpiresAtMS int64 `json:"until_ms"`
	DurationMS  int64 `json:"lasts_ms"` // validity from the grant. Milliseconds.
}

// LoadPermitResult is the result of AcquireLoadPermit and ReleaseLoadPermit.
type LoadPermitResult struct {
	// Granted is true while the permit with the command's ID is held.
	Granted bool `json:"granted"`
	// DurationMS is the validity of the permit, counted from when the first command with this result
	// was sent. Milliseconds.
	DurationMS int64 `json:"lasts_ms,omitempty"`
	// Tick is the clock's latest tick.
	Tick uint64 `json:"tick"`
	// PermitsHeld is the number of permits held.
	PermitsHeld int `json:"under_way"`
}

// Loads is the state of the permits for loads from the weight store.
type Loads struct {
	// Limit is the maximum number of permits held at once; 0 allows no loads.
	Limit            int     `json:"limit"`
	RatePerSecond    float64 `json:"rate_per_second"`
	PermitDurationMS int64   `json:"permit_ms"` // validity of a permit. Milliseconds.
	// Tokens is the content of the rate limit's token bucket, whose capacity is one second's worth
	// of loads, but at least one.
	Tokens  float64      `json:"tokens"`
	Tick    uint64       `json:"tick"`
	ClockMS int64        `json:"clock_ms"`
	Permits []LoadPermit `json:"permits,omitempty"` // in the order in which they were granted
}

func (t *AcquireLoadPermit) validate() error {
	if t.Number < 1 || t.ElapsedMS < 0 {
		return invalid("fencing number %d, elapsed %d ms", t.Number, t.ElapsedMS)
	}
	return firstError(checkName("ID", t.ID), checkName("zone", t.Zone))
}

func (r *ReleaseLoadPermit) validate() error { return checkName("ID", r.ID) }

// configure applies the limits of a new configuration. Permits held stay valid.
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

// advanceClock advances the clock, once per tick, refills the token bucket and removes expired
// permits.
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

// grantPermit grants a permit if the limit and the rate allow one.
func (l *Loads) grantPermit(id, zone string) {
	if l.permitIndex(id) >= 0 || len(l.Permits) >= l.Limit || l.Tokens < 1 {
		return
	}
	l.Tokens--
	// Start a new tick, so that time elapsed before this grant adds no tokens after it.
	l.Tick++
	l.Permits = append(slices.Clone(l.Permits), LoadPermit{ID: id, Zone: zone, ExpiresAtMS: l.ClockMS + l.PermitDurationMS, DurationMS: l.PermitDurationMS})
	if len(l.Permits) > l.Limit {
		panic(fmt.Sprintf("control: %d load permits held, above the limit of %d", len(l.Permits), l.Limit))
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
