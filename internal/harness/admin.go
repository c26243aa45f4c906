package harness

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/admin/api"
)

// operator is the name under which files are applied.
const operator = "harness"

const adminTimeout = 5 * time.Second

func (v *VM) adminClient() *http.Client {
	return &http.Client{Timeout: adminTimeout, Transport: v.fleet.access.transport}
}

// Vars are the counters that the harness reads of a VM; nil where the VM has none.
type Vars struct {
	PeerBytesSent     *int64 `json:"peer_bytes_sent"`
	PeerBytesReceived *int64 `json:"peer_bytes_received"`
}

// Status asks the VM what it knows of itself and the fleet.
func (v *VM) Status(ctx context.Context) (api.Status, error) {
	var s api.Status
	data, err := v.admin(ctx, api.PathStatus)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(data, &s), "harness: status is not understood")
}

// errNoControl says that a VM has not heard from the control group.
var errNoControl = errors.New("harness: VM does not hear from control")

// WaitReady waits until the VM answers operators and hears from the control group, for as long
// as ctx lasts.
func (v *VM) WaitReady(ctx context.Context) error {
	return v.retryUntilReady(ctx, func(ctx context.Context) error {
		s, err := v.Status(ctx)
		if err != nil {
			return err
		}
		if !s.ControlReachable {
			return errNoControl
		}
		return nil
	})
}

// Vars reads the VM's counters.
func (v *VM) Vars(ctx context.Context) (Vars, error) {
	var vars Vars
	data, err := v.admin(ctx, api.PathVars)
	if err != nil {
		return vars, err
	}
	return vars, errors.Wrap(json.Unmarshal(data, &vars), "harness: counters are not understood")
}

func (v *VM) admin(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, v.AdminURL(path), nil)
	if err != nil {
		return nil, errors.Wrap(err, "harness: bad administration request")
	}
	resp, err := v.adminClient().Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "harness: %s does not answer operators", v.Name)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "harness: answer of %s broke off", v.Name)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("harness: %s answered %s with status %d: %.200s", v.Name, path, resp.StatusCode, data)
	}
	return data, nil
}

// Apply applies an operators' file through a VM, waits until it is in force everywhere, and
// returns the tool's output.
func (f *Fleet) Apply(ctx context.Context, vm *VM, path string) (string, error) {
	args := append([]string{"--admin", vm.Settings.Listen.Admin}, f.access.arguments...)
	args = append(args, "apply", path, "--wait", "--operator", operator)
	cmd := exec.CommandContext(ctx, f.program(toolProgram), args...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "harness: egretrampctl apply failed:\n%s", indent(string(out)))
}

// Dump asks the VM for the state of its process, as JSON.
func (v *VM) Dump(ctx context.Context) ([]byte, error) {
	return v.admin(ctx, api.PathDump)
}
