package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/admin/api"
	"egretramp/internal/node"
)

const (
	// orderTimeout bounds an order about a zone, with all its attempts: several elections of the control group.
	orderTimeout = 15 * time.Second
	// orderAttemptTimeout bounds one attempt at one control VM, which answers within a second unless it is frozen.
	orderAttemptTimeout = 2 * time.Second
	// orderRoundPause is the time before the control VMs are tried again.
	orderRoundPause = 200 * time.Millisecond
)

// ZoneService sends orders about availability zones to the control VM at an address, of a fleet whose VMs discover each
// other through seeds. Errors other than node.ErrUnknownZone leave the outcome open.
type ZoneService interface {
	// SetEvacuation takes a zone out of service or returns it to service.
	SetEvacuation(ctx context.Context, address, zone string, evacuated bool) error
	// Evacuated returns the zones that are out of service.
	Evacuated(ctx context.Context, address string) ([]string, error)
}

// controlOption is the option of commands for a fleet with control listeners.
type controlOption struct {
	Control []string `long:"control" value-name:"ADDRESS" env:"EGRETRAMP_CONTROL" env-delim:"," description:"control listener of a control VM, IP:port; if it fails the next one is tried"`
}

// zoneArgument is the argument of commands about one zone.
type zoneArgument struct {
	Zone string `positional-arg-name:"ZONE" description:"the availability zone's name"`
}

// evacuateCommand takes a zone out of service.
type evacuateCommand struct {
	tool *tool
	controlOption
	Args zoneArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuateCommand) Execute([]string) error {
	return c.tool.orderZone(c.Control, c.Args.Zone, true)
}

// restoreCommand returns a zone to service.
type restoreCommand struct {
	tool *tool
	controlOption
	Args zoneArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *restoreCommand) Execute([]string) error {
	return c.tool.orderZone(c.Control, c.Args.Zone, false)
}

// zoneOrder is the output of an order.
type zoneOrder struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
}

func (t *tool) orderZone(addresses []string, zone string, evacuated bool) error {
	err := t.askControlVMs(addresses, func(ctx context.Context, address string) error {
		return t.zones.SetEvacuation(ctx, address, zone, evacuated)
	})
	if errors.Is(err, node.ErrUnknownZone) {
		return &api.Error{Status: http.StatusNotFound, Code: "unknown_zone", Message: err.Error()}
	}
	if err != nil {
		return err
	}
	if t.JSON {
		return t.printJSON(zoneOrder{Zone: zone, Evacuated: evacuated})
	}
	text := "zone %s is in service again\n"
	if evacuated {
		text = "zone %s is out of service: its upstreams get no more requests, those in progress complete\n"
	}
	fmt.Fprintf(t.Out, text, zone)
	return nil
}

// zonesCommand lists the zones that are out of service.
type zonesCommand struct {
	tool *tool
	controlOption
}

// Execute implements flags.Commander.
func (c *zonesCommand) Execute([]string) error {
	var zones []string
	err := c.tool.askControlVMs(c.Control, func(ctx context.Context, address string) (err error) {
		zones, err = c.tool.zones.Evacuated(ctx, address)
		return err
	})
	if err != nil {
		return err
	}
	if c.tool.JSON {
		return c.tool.printJSON(struct {
			Zones []string `json:"zones"`
		}{append([]string{}, zones...)}) // an empty list, not null
	}
	fmt.Fprintln(c.tool.Out, "zones out of service: "+joinNames(zones))
	return nil
}

// askControlVMs sends a request to the control VMs in turn until one succeeds or refuses it, for at most orderTimeout.
// Orders may be repeated, so a lost answer is no different from a failure.
func (t *tool) askControlVMs(addresses []string, ask func(ctx context.Context, address string) error) error {
	addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == "" })
	if len(addresses) == 0 {
		return &usageError{"name a control VM with --control ADDRESS or in EGRETRAMP_CONTROL"}
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return &usageError{fmt.Sprintf("--control %q is not IP:port", address)}
		}
	}
	limited, cancel := context.WithTimeout(t.ctx, t.orderTimeout)
	defer cancel()
	for {
		var failed error
		for _, address := range addresses {
			attempt, end := context.WithTimeout(limited, orderAttemptTimeout)
			err := ask(attempt, address)
			end()
			if err == nil || errors.Is(err, node.ErrUnknownZone) {
				return err
			}
			failed = errors.Wrapf(err, "no control VM has confirmed it; send it again. %s", address)
		}
		select {
		case <-limited.Done():
			return failed
		case <-time.After(orderRoundPause):
		}
	}
}
