package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"egretramp/internal/admin/api"
)

// show sends a GET request, decodes the response into answer and prints it as JSON or by calling
// printTable.
func (t *tool) show(path string, query url.Values, answer any, printTable func()) error {
	client, err := t.newClient(t.Admin)
	if err != nil {
		return err
	}
	if _, err := client.get(t.ctx, path, query, answer); err != nil {
		return err
	}
	if t.JSON {
		return t.printJSON(answer)
	}
	printTable()
	return nil
}

// table prints rows with aligned columns.
func (t *tool) table(rows [][]string) {
	w := tabwriter.NewWriter(t.Out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// statusCommand shows the state of a VM and its view of the fleet.
type statusCommand struct {
	tool   *tool
	Config bool `long:"config" description:"show the file in force too, without secrets and hashes"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var s api.Status
	query := url.Values{}
	if c.Config {
		query.Set("config", "true")
	}
	return c.tool.show(api.PathStatus, query, &s, func() { c.print(s) })
}

func (c *statusCommand) print(s api.Status) {
	role := "entry"
	if s.Control {
		role = "entry and control"
	}
	c.tool.table([][]string{
		{"VM", s.VM},
		{"zone", s.Zone},
		{"role", role},
		{"version", s.Version},
		{"control leader", orNone(s.Leader)},
		{"control reachable", strconv.FormatBool(s.ControlReachable)},
		{"draining", strconv.FormatBool(s.Draining)},
		{"generation", fmt.Sprintf("%d (hash %.12s, applied by %s)", s.Generation, s.ConfigHash, orNone(s.Operator))},
		{"withdrawn keys", strconv.Itoa(s.WithdrawnKeys)},
		{"membership epoch", strconv.FormatUint(s.Epoch, 10)},
	})
	rows := [][]string{{"VM", "ZONE", "CONTROL", "ALIVE", "ADMIN"}}
	for _, vm := range s.VMs {
		rows = append(rows, []string{vm.VM, vm.Zone, strconv.FormatBool(vm.Control), strconv.FormatBool(vm.Alive), vm.Admin})
	}
	fmt.Fprintln(c.tool.Out)
	c.tool.table(rows)
	if s.Config != nil {
		fmt.Fprintln(c.tool.Out)
		_ = c.tool.printJSON(s.Config)
	}
}

// joinNames joins names with commas; it returns "none" for an empty list.
func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// orNone returns s, or "none" if s is empty.
func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// programsCommand lists programs.
type programsCommand struct {
	tool    *tool
	Account string `long:"account" value-name:"NAME" description:"only of this client account, under any of its names"`
	Limit   int    `long:"limit" value-name:"N" default:"100" description:"how many, at most 1000"`
}

// Execute implements flags.Commander.
func (c *programsCommand) Execute([]string) error {
	var answer api.Programs
	query := url.Values{"limit": {strconv.Itoa(c.Limit)}}
	if c.Account != "" {
		query.Set("account", c.Account)
	}
	return c.tool.show(api.PathPrograms, query, &answer, func() { c.print(answer) })
}

func (c *programsCommand) print(answer api.Programs) {
	rows := [][]string{{"PROGRAM", "ACCOUNT", "STATE", "TURN", "TOKENS", "CALLS", "ENGINES"}}
	for _, p := range answer.Programs {
		rows = append(rows, []string{
			p.Program, p.Account, p.State, strconv.FormatInt(p.Turn, 10),
			fmt.Sprintf("%d/%d", p.TokensUsed, p.TokensBudget),
			fmt.Sprintf("%d/%d", p.CallsUsed, p.CallsBudget),
			joinNames(p.Engines),
		})
	}
	c.tool.table(rows)
	fmt.Fprintf(c.tool.Out, "%d of %d programs\n", len(answer.Programs), answer.Total)
	if len(answer.Silent) > 0 {
		fmt.Fprintf(c.tool.Out, "not listed, for lack of an answer, are the programs of: %s\n", joinNames(answer.Silent))
	}
}

// upstreamsCommand lists the upstreams in a VM's directory.
type upstreamsCommand struct {
	tool *tool
}

// Execute implements flags.Commander.
func (c *upstreamsCommand) Execute([]string) error {
	var answer api.Upstreams
	return c.tool.show(api.PathUpstreams, nil, &answer, func() { c.print(answer) })
}

func (c *upstreamsCommand) print(answer api.Upstreams) {
	rows := [][]string{{"UPSTREAM", "KIND", "ZONE", "STATE", "RUNNING", "WAITING", "KV TOKENS", "HEARD", "SERVES"}}
	for _, u := range answer.Upstreams {
		rows = append(rows, []string{
			u.Upstream, string(u.Kind), u.Zone, u.State,
			fmt.Sprintf("%d/%d", u.Running, u.Slots), strconv.Itoa(u.Waiting),
			fmt.Sprintf("%d/%d", u.KVTokensUsed, u.KVTokens),
			fmt.Sprintf("%.1f s ago", float64(u.AgeMS)/1000),
			joinNames(u.Serves),
		})
	}
	c.tool.table(rows)
}

// dumpCommand prints the state of one VM's process.
type dumpCommand struct {
	tool *tool
	Args struct {
		VM string `positional-arg-name:"VM" description:"the VM's name"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It looks up the VM's administration address in the status
// of the first VM that responds. The dump is always printed as JSON.
func (c *dumpCommand) Execute([]string) error {
	client, err := c.tool.newClient(c.tool.Admin)
	if err != nil {
		return err
	}
	var status api.Status
	responder, err := client.get(c.tool.ctx, api.PathStatus, nil, &status)
	if err != nil {
		return err
	}
	address, err := c.adminAddress(responder, status)
	if err != nil {
		return err
	}
	direct, err := c.tool.newClient([]string{address})
	if err != nil {
		return errors.Newf("the administration address of VM %s is not known: %q", c.Args.VM, address)
	}
	var dump json.RawMessage
	if _, err := direct.get(c.tool.ctx, api.PathDump, nil, &dump); err != nil {
		return err
	}
	return c.tool.printJSON(dump)
}

func (c *dumpCommand) adminAddress(responder string, status api.Status) (string, error) {
	if status.VM == c.Args.VM {
		return responder, nil
	}
	var known []string
	for _, vm := range status.VMs {
		if vm.VM == c.Args.VM {
			return vm.Admin, nil
		}
		known = append(known, vm.VM)
	}
	return "", errors.Newf("there is no VM %s; known are %s", c.Args.VM, joinNames(known))
}
