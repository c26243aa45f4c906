package ctl

import (
	"fmt"
	"strconv"

	"egretramp/internal/admin/api"
)

// placementCommand shows the placement of models and the orders to engines.
type placementCommand struct {
	tool *tool
}

// Execute implements flags.Commander.
func (c *placementCommand) Execute([]string) error {
	var answer api.Placement
	return c.tool.show(api.PathPlacement, nil, &answer, func() { c.print(answer) })
}

func (c *placementCommand) print(answer api.Placement) {
	zones := [][]string{{"ZONE", "VM", "STATE", "FENCING", "LOADS UNDER WAY"}}
	targets := [][]string{{"ZONE", "MODEL", "REPLICAS", "WANTED", "CALLS"}}
	orders := [][]string{{"ZONE", "ORDER", "ENGINE", "UNLOAD", "LOAD", "STATE"}}
	for _, z := range answer.Zones {
		zones = append(zones, []string{z.Zone, orNone(z.VM), z.State, strconv.FormatUint(z.Fencing, 10), strconv.Itoa(z.LoadsUnderWay)})
		for _, t := range z.Targets {
			targets = append(targets, []string{z.Zone, t.Model, strconv.Itoa(t.Replicas), strconv.Itoa(t.Wanted), strconv.Itoa(t.Calls)})
		}
		for _, o := range append(z.Results, z.Orders...) {
			orders = append(orders, []string{z.Zone, o.ID, o.Engine, joinNames(o.Unload), o.Load, o.State})
		}
	}
	for _, rows := range [][][]string{zones, targets, orders} {
		c.tool.table(rows)
		fmt.Fprintln(c.tool.Out)
	}
}
