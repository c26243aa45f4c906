package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/admin/api"
)

// pollInterval is the interval at which apply --wait polls the generations.
const pollInterval = 250 * time.Millisecond

// applyCommand puts a configuration file in force.
type applyCommand struct {
	tool     *tool
	Operator string        `long:"operator" value-name:"NAME" description:"who applies the file; default: the user's name"`
	Wait     bool          `long:"wait" description:"wait until the file is in force on every VM, and say so zone by zone"`
	Timeout  time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"how long --wait waits"`
	Args     fileArgument  `positional-args:"yes" required:"yes"`
}

// applyOutput is the JSON output of apply.
type applyOutput struct {
	api.Applied
	Zones []api.ZoneInForce `json:"zones,omitempty"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	operator := c.Operator
	if operator == "" {
		operator = os.Getenv("USER")
	}
	if operator == "" {
		return &usageError{"name yourself with --operator"}
	}
	if c.Timeout <= 0 {
		return &usageError{"--timeout has to be above 0"}
	}
	client, err := c.tool.newClient(c.tool.Admin)
	if err != nil {
		return err
	}
	_, text, err := c.tool.readFile(c.Args.File)
	if err != nil {
		return err
	}
	var result applyOutput
	query := url.Values{"operator": {operator}, "request_id": {newRequestID()}}
	if err := client.post(c.tool.ctx, api.PathApply, query, text, &result.Applied); err != nil {
		return err
	}
	if !c.tool.JSON {
		c.printApplied(result.Applied)
	}
	var incomplete error
	if c.Wait {
		result.Zones, incomplete = c.waitInForce(client, result.Generation)
	}
	if c.tool.JSON {
		return errors.CombineErrors(incomplete, c.tool.printJSON(result))
	}
	return incomplete
}

func newRequestID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

func (c *applyCommand) printApplied(a api.Applied) {
	fmt.Fprintf(c.tool.Out, "generation %d accepted (hash %.12s, first applied by %s)\n", a.Generation, a.Hash, a.Operator)
	if a.Newest > a.Generation {
		fmt.Fprintf(c.tool.Out, "generation %d has replaced it since\n", a.Newest)
	}
}

// waitInForce polls until the generation is in force on all VMs or the timeout expires. It prints
// each zone once all of its VMs have the generation, and the remaining zones at the end. It returns
// errIncomplete if a VM doesn't have the generation.
func (c *applyCommand) waitInForce(client *client, generation uint64) ([]api.ZoneInForce, error) {
	ctx, cancel := context.WithTimeout(c.tool.ctx, c.Timeout)
	defer cancel()
	started := time.Now()
	var last api.InForce
	printed := map[string]bool{}
	for {
		var state api.InForce
		_, err := client.get(ctx, api.PathInForce, nil, &state)
		if err == nil {
			last = state
		}
		c.printDone(last.Zones(generation), printed, time.Since(started))
		if last.Done(generation) {
			return last.Zones(generation), nil
		}
		select {
		case <-ctx.Done():
			c.printMissing(last.Zones(generation), printed)
			return last.Zones(generation), errIncomplete
		case <-time.After(pollInterval):
		}
	}
}

func (c *applyCommand) printDone(zones []api.ZoneInForce, printed map[string]bool, after time.Duration) {
	for _, zone := range zones {
		if !zone.Done() || printed[zone.Zone] || c.tool.JSON {
			continue
		}
		printed[zone.Zone] = true
		fmt.Fprintf(c.tool.Out, "zone %s: in force on %s after %.1f s\n", zone.Zone, joinNames(zone.InForce), after.Seconds())
	}
}

func (c *applyCommand) printMissing(zones []api.ZoneInForce, printed map[string]bool) {
	if c.tool.JSON {
		return
	}
	if len(zones) == 0 {
		fmt.Fprintln(c.tool.Out, "no VM says where it is in force")
	}
	for _, zone := range zones {
		if printed[zone.Zone] {
			continue
		}
		fmt.Fprintf(c.tool.Out, "zone %s: in force on %s; not yet on %s; could not reach %s\n",
			zone.Zone, joinNames(zone.InForce), joinNames(zone.Behind), joinNames(zone.Unreached))
	}
}
