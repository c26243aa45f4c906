package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"egretramp/internal/catalog"
	"egretramp/internal/clock"
	"egretramp/internal/events"
)

// orderRetryPause is the time between two attempts to read the control group's state for an order. An election takes
// several of them.
const orderRetryPause = 40 * time.Millisecond

var (
	// ErrUnknownZone means that no availability zone has the given name.
	ErrUnknownZone = errors.New("node: no such availability zone")
	errSenderGone  = errors.New("node: the sender of the order has disconnected, so the order may be outdated")
)

// SetEvacuation implements ControlService.SetEvacuation.
func (c *control) SetEvacuation(ctx context.Context, zone string, evacuated bool) error {
	started := clock.Now()
	err := c.setEvacuation(ctx, zone, evacuated)
	event := events.EvacuationOrdered
	if errors.Is(err, errSenderGone) {
		event = events.EvacuationDropped
	}
	c.node.events.Emit(event, zap.String("zone", zone), zap.Bool("evacuated", evacuated), zap.Duration("took", clock.Now()-started), zap.Error(err))
	return err
}

// setEvacuation proposes an order until it is applied, for at most commandTimeout. Each attempt begins with the state as
// a majority confirms it, so an order of this sender that waited in a frozen VM can't be applied after a later one.
func (c *control) setEvacuation(ctx context.Context, zone string, evacuated bool) error {
	limited, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	order := zoneOrder{zone: zone, evacuated: evacuated}
	for {
		err := c.tryEvacuation(ctx, limited, &order)
		if err == nil || errors.Is(err, ErrUnknownZone) {
			return err
		}
		select {
		case <-limited.Done():
			return err
		case <-time.After(orderRetryPause):
		}
	}
}

// zoneOrder is an order that a control VM handles.
type zoneOrder struct {
	zone      string
	evacuated bool
	// first is the first state that a majority confirmed after the order was received, nil before.
	first *catalog.State
}

// isSettled reports whether the order needs no command of its own any more: another one with the same effect was applied
// since the order was received, such as that of an earlier try whose acknowledgement was lost. No order that was given
// up before this one was sent can be applied after that.
func (o *zoneOrder) isSettled(state catalog.State) bool {
	if o.first == nil {
		o.first = &state
	}
	return state.EvacuationOrders > o.first.EvacuationOrders && slices.Contains(state.Evacuated, o.zone) == o.evacuated
}

// tryEvacuation proposes an order once. sender ends when the order's sender disconnects, limited also when the time for
// the order is over.
func (c *control) tryEvacuation(sender, limited context.Context, order *zoneOrder) error {
	state, err := c.queryState(limited, catalog.WithoutDocument)
	if sender.Err() != nil {
		return errors.Mark(errSenderGone, ErrUnavailable)
	}
	if err != nil {
		return err
	}
	if err := c.checkOrder(order.zone, state); err != nil {
		return err
	}
	if order.isSettled(state) {
		return nil
	}
	result, err := c.propose(limited, catalog.Command{SetEvacuation: &catalog.SetEvacuation{
		Zone: order.zone, Evacuated: order.evacuated, After: state.EvacuationOrders,
	}})
	if err == nil && result.Outcome != catalog.InForce {
		err = errors.Mark(errors.New("node: another order was applied meanwhile"), ErrUnavailable)
	}
	return err
}

// checkOrder returns an error unless the zone is known and all control VMs can apply the order.
func (c *control) checkOrder(zone string, state catalog.State) error {
	known := slices.Contains(state.Evacuated, zone) // the order can be withdrawn even if nothing is left of the zone
	if settings := c.node.settings.Zones; len(settings) > 0 {
		_, listed := settings[zone]
		known = known || listed
	} else {
		known = known || zone != "" && slices.Contains(c.hub.knownZones(), zone)
		if !known && clock.Now()-c.started < memberTimeout {
			return ErrUnavailable // not all VMs have sent a watch request yet
		}
	}
	if !known {
		return errors.Wrapf(ErrUnknownZone, "zone %q", zone)
	}
	if vm := c.hub.voterWithoutOrders(); vm != "" {
		return errors.Mark(errors.Newf("node: control VM %s runs a release that doesn't know the order", vm), ErrUnavailable)
	}
	return nil
}

// Evacuated implements ControlService.Evacuated.
func (c *control) Evacuated(ctx context.Context) ([]string, error) {
	state, err := c.queryState(ctx, catalog.WithoutDocument)
	return state.Evacuated, err
}

// knownZones returns the zones of the VMs that have sent a watch request lately, and of the upstreams that register here.
func (h *hub) knownZones() []string {
	zones := h.registrar.Zones()
	h.mu.Lock()
	defer h.mu.Unlock()
	zones = append(zones, h.self.Zone)
	for _, m := range h.members {
		zones = append(zones, m.info.Zone)
	}
	return zones
}

// voterWithoutOrders returns a member of the control group that runs a release without the order, empty if none is known:
// it would ignore the command, so its state would differ from that of the others.
func (h *hub) voterWithoutOrders() string {
	voters := h.voters()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, vm := range voters {
		if m := h.members[vm]; m != nil && !m.info.Evacuates {
			return vm
		}
	}
	return ""
}

// evacuatedCount returns the number of zones that are out of service.
func (h *hub) evacuatedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.state.Evacuated)
}

// evacuatedSince returns the zones that are out of service, nil if an entry VM with a version of them knows them. h.mu must
// be held.
func (h *hub) evacuatedSince(version uint64) *evacuation {
	if h.state.EvacuationVersion <= version {
		return nil
	}
	return &evacuation{Version: h.state.EvacuationVersion, Zones: h.state.Evacuated}
}

// evacuations are the zones that are out of service as an entry VM knows. It is safe for concurrent use.
type evacuations struct {
	mu      sync.Mutex // held by apply
	current atomic.Pointer[evacuation]
}

func newEvacuations() *evacuations {
	e := &evacuations{}
	e.current.Store(&evacuation{})
	return e
}

// version returns the version of the list, 0 if none was received.
func (e *evacuations) version() uint64 { return e.current.Load().Version }

// count returns the number of zones that are out of service.
func (e *evacuations) count() int { return len(e.current.Load().Zones) }

// contains reports whether a zone is out of service.
func (e *evacuations) contains(zone string) bool {
	return slices.Contains(e.current.Load().Zones, zone)
}

// apply replaces the list if the next one is newer, and reports whether it is. beforeRestored is called for each zone that
// returns to service, before requests are sent there; nil for no call. added are the zones that are out of service
// only now.
func (e *evacuations) apply(next evacuation, beforeRestored func(zone string)) (added []string, newer bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.current.Load()
	if next.Version <= old.Version {
		return nil, false
	}
	for _, zone := range old.Zones {
		if beforeRestored != nil && !slices.Contains(next.Zones, zone) {
			beforeRestored(zone)
		}
	}
	e.current.Store(&next)
	for _, zone := range next.Zones {
		if !slices.Contains(old.Zones, zone) {
			added = append(added, zone)
		}
	}
	return added, true
}

// applyEvacuation applies what a control VM reports about the zones that are out of service. A control VM that lags behind
// reports a lower version, which changes nothing.
func (e *entry) applyEvacuation(from string, reported *evacuation) {
	if reported == nil {
		return
	}
	added, newer := e.evacuations.apply(*reported, e.onZoneRestored)
	if !newer {
		return
	}
	e.node.events.Emit(events.EvacuationInForce, zap.Uint64("version", reported.Version), zap.Strings("zones", reported.Zones), zap.String("control", from))
	for _, address := range e.directory.AddressesIn(added) {
		go e.node.network.DrainTunnelsTo(address) // waits for VMs that don't read
	}
}

// evacuationGauge returns the gauge of the number of zones that are out of service.
func evacuationGauge(count func() int) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretramp_zones_evacuated", Help: "Availability zones that operators have taken out of service, as this VM knows.",
	}, func() float64 { return float64(count()) })
}
