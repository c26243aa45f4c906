package dispatch

import (
	"encoding/json"
	"time"

	"egretramp/internal/config"
	"egretramp/internal/message"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

// summaryMessage is the encoding of a Summary.
type summaryMessage struct {
	From   string                   `json:"f"`
	SentAt int64                    `json:"t"` // milliseconds
	Zones  map[string][]poolMessage `json:"z"`
}

// poolMessage is one pool in a summaryMessage.
type poolMessage struct {
	Kind      config.UpstreamKind `json:"k"`
	Name      string              `json:"n"`
	Replicas  int                 `json:"r,omitempty"`
	Slots     int                 `json:"s,omitempty"`
	Running   int                 `json:"u,omitempty"`
	Waiting   int                 `json:"w,omitempty"`
	WaitMS    int64               `json:"m,omitempty"`
	PrefillNS int64               `json:"p,omitempty"`
}

// MarshalJSON encodes the summary as a summaryMessage.
func (s Summary) MarshalJSON() ([]byte, error) {
	m := summaryMessage{From: s.From, SentAt: s.SentAt.Milliseconds(), Zones: map[string][]poolMessage{}}
	for _, p := range s.Pools {
		l := p.Load
		m.Zones[p.Pool.Zone] = append(m.Zones[p.Pool.Zone], poolMessage{
			Kind: p.Pool.Kind, Name: p.Pool.Name, Replicas: l.Replicas, Slots: l.Slots,
			Running: l.Running, Waiting: l.Waiting, WaitMS: l.WaitMS, PrefillNS: l.PrefillNS,
		})
	}
	return json.Marshal(m)
}

// UnmarshalJSON decodes a summaryMessage.
func (s *Summary) UnmarshalJSON(data []byte) error {
	var m summaryMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	*s = Summary{From: m.From, SentAt: time.Duration(m.SentAt) * time.Millisecond}
	for zone, pools := range m.Zones {
		for _, p := range pools {
			s.Pools = append(s.Pools, PoolSummary{
				Pool: upstream.Pool{Zone: zone, Kind: p.Kind, Name: p.Name},
				Load: schedule.Load{
					Replicas: p.Replicas, Slots: p.Slots, Running: p.Running, Waiting: p.Waiting,
					WaitMS: p.WaitMS, PrefillNS: p.PrefillNS,
				},
			})
		}
	}
	return nil
}

// sendRelaySummaries sends a summary to one VM of each other zone, which relays it to its zone. The
// VMs of a zone take turns, so that an unreachable one costs the zone a single summary.
func (h *Host) sendRelaySummaries(s Summary) {
	if len(s.Pools) == 0 {
		return
	}
	payload := message.Encode(s)
	h.relayRounds++
	for _, zone := range h.opts.Locator.Zones() {
		vms := h.opts.Locator.Dispatchers(upstream.Pool{Zone: zone})
		if zone == h.opts.Zone || len(vms) == 0 {
			continue
		}
		next := (uint64(digestOf(h.opts.VM)) + h.relayRounds) % uint64(len(vms))
		h.opts.Network.Send(vms[next], KindRelaySummary, payload)
	}
}

// HandleRelaySummary relays another zone's summary to all VMs of this zone.
func (h *Host) HandleRelaySummary(_ string, payload []byte) {
	for _, vm := range h.opts.Locator.Dispatchers(upstream.Pool{Zone: h.opts.Zone}) {
		h.opts.Network.Send(vm, KindSummary, payload)
	}
}
