package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"egretramp/internal/admin/api"
)

// withdrawCommand permanently revokes keys.
type withdrawCommand struct {
	tool *tool
	Args struct {
		KeyIDs []string `positional-arg-name:"KEYID" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *withdrawCommand) Execute([]string) error {
	client, err := c.tool.newClient(c.tool.Admin)
	if err != nil {
		return err
	}
	body, err := json.Marshal(api.WithdrawRequest{KeyIDs: c.Args.KeyIDs})
	if err != nil {
		return errors.Wrap(err, "cannot encode the request")
	}
	var answer api.Withdrawn
	if err := client.post(c.tool.ctx, api.PathWithdraw, nil, body, &answer); err != nil {
		return err
	}
	if err := c.print(answer); err != nil {
		return err
	}
	if len(answer.Unknown) > 0 {
		return errIncomplete
	}
	return nil
}

func (c *withdrawCommand) print(answer api.Withdrawn) error {
	if c.tool.JSON {
		return c.tool.printJSON(answer)
	}
	fmt.Fprintf(c.tool.Out, "withdrawn now: %s\nwithdrawn before: %s\n", joinNames(answer.Now), joinNames(answer.Already))
	if len(answer.Pending) > 0 {
		fmt.Fprintf(c.tool.Out, "withdrawn on this side of the fleet, to be recorded once it has a majority: %s\n", joinNames(answer.Pending))
	}
	if len(answer.Unknown) > 0 {
		fmt.Fprintf(c.tool.Err, "egretrampctl: no accepted file has these keys: %s\n", joinNames(answer.Unknown))
	}
	return nil
}
