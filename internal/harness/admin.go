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

// operator is the operator name of the harness, used when it applies files.
const operator = "harness"

// adminTimeout limits one request to a VM's administration API.
const adminTimeout = 5 * time.Second

func (v *VM) adminClient() *http.Client {
	return &http.Client{Timeout: adminTimeout, Transport: v.fleet.access.transport}
}

// Vars holds the counters that the harness reads from a VM; nil if the VM doesn't have the counter.
type Vars struct {
	PeerBytesSent     *int64 `json:"peer_bytes_sent"`
	PeerBytesReceived *int64 `json:"peer_bytes_received"`
}

// Status returns the VM's view of itself and the fleet.
func (v *VM) Status(ctx context.Context) (api.Status, error) {
	var s api.Status
	data, err := v.admin(ctx, api.PathStatus)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(data, &s), "harness: cannot decode the status")
}

// errNoControl is returned while a VM can't reach the control group.
var errNoControl = errors.New("harness: VM cannot reach the control group")

// WaitReady waits until the VM's administration API responds and the VM reaches the control group,
// or until ctx ends.
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
	return vars, errors.Wrap(json.Unmarshal(data, &vars), "harness: cannot decode the counters")
}

func (v *VM) admin(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, v.AdminURL(path), nil)
	if err != nil {
		return nil, errors.Wrap(err, "harness: cannot create the administration request")
	}
	resp, err := v.adminClient().Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "harness: administration request to %s failed", v.Name)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "harness: cannot read the response of %s", v.Name)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("harness: %s responded to %s with status %d: %.200s", v.Name, path, resp.StatusCode, data)
	}
	return data, nil
}

// Apply applies an operators' file through a VM with egretrampctl, waits until it is in force on all
// VMs, and returns the tool's output.
func (f *Fleet) Apply(ctx context.Context, vm *VM, path string) (string, error) {
	args := append([]string{"--admin", vm.Settings.Listen.Admin}, f.access.arguments...)
	args = append(args, "apply", path, "--wait", "--operator", operator)
	cmd := exec.CommandContext(ctx, f.program(toolProgram), args...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "harness: egretrampctl apply failed:\n%s", indent(string(out)))
}

// Dump returns the internal state of the VM's process as JSON.
func (v *VM) Dump(ctx context.Context) ([]byte, error) {
	return v.admin(ctx, api.PathDump)
}
