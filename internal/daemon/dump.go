package daemon

import (
	"context"

	"egretramp/internal/dispatch"
	"egretramp/internal/fleet"
	"egretramp/internal/placement"
	"egretramp/internal/replica"
	"egretramp/internal/suspect"
)

// Dump is a snapshot of the process's internal state for debugging.
type Dump struct {
	VM      string                    `json:"vm"`
	Version string                    `json:"version"`
	Fleet   fleet.Dump                `json:"fleet"`
	Groups  map[uint64]replica.Status `json:"groups,omitempty"`
	// GroupNames maps group numbers to what the groups are for, including the groups of other zones.
	GroupNames map[uint64]string      `json:"group_names"`
	Dispatch   dispatch.Dump          `json:"dispatch"`
	Pools      []dispatch.PoolSummary `json:"pools"`
	InFlight   int                    `json:"requests_in_flight"`
	Connected  map[string]bool        `json:"connected"`
	// Suspects lists the requests during which upstreams were lost.
	Suspects []suspect.Record `json:"suspects,omitempty"`
	// Placement holds this VM's orders to the engines of its zone.
	Placement placement.Status `json:"placement"`
}

// Dump collects the state of the process's components.
func (b *backend) Dump(ctx context.Context) (any, error) {
	d := b.daemon
	fleetDump, err := d.fleet.Dump(ctx)
	if err != nil {
		return nil, err
	}
	hostDump, err := d.host.Dump(ctx)
	if err != nil {
		return nil, err
	}
	placed, err := d.placement.Status(ctx)
	if err != nil {
		return nil, err
	}
	dump := Dump{
		VM: d.settings.VM, Version: d.version, Fleet: fleetDump, Dispatch: hostDump,
		Groups: map[uint64]replica.Status{}, GroupNames: d.groupNames(), Pools: d.dispatcher.Pools(),
		InFlight: d.gateway.InFlight(), Connected: map[string]bool{}, Suspects: d.suspects.Records(), Placement: placed,
	}
	for group, r := range d.replicas {
		dump.Groups[group] = r.Status()
	}
	for _, vm := range d.node.VMs() {
		dump.Connected[vm] = d.node.Connected(vm)
	}
	return dump, nil
}
