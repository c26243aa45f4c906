package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"egretramp/internal/loopback"
	"egretramp/internal/settings"
)

// Names of the programs in the folder of binaries.
const (
	daemonProgram = "egretrampd"
	toolProgram   = "egretrampctl"
	fakeProgram   = "egretramp-fake"
)

// Options configures a fleet on one machine.
type Options struct {
	// Bin is the folder of the program binaries.
	Bin string
	// Dir is the folder of settings, data and logs.
	Dir string
	// Zones are the availability zones.
	Zones []Zone
	// ShutdownLimitSeconds is written to the VMs' settings, in seconds. 0 leaves the daemon's default.
	ShutdownLimitSeconds float64
	// LogLevel is written to the VMs' settings. Empty leaves the daemon's default.
	LogLevel string
	// FaultInjection is written to the VMs' settings. CutLinks requires it.
	FaultInjection bool
	// Protected issues certificates to the VMs and the harness, and makes the VMs
	// reject other connections.
	Protected bool
}

// Zone is an availability zone. The first Control of its VMs belong to the control group and have
// data folders.
type Zone struct {
	Name    string
	VMs     int
	Control int
}

// VM is one daemon process with its settings.
type VM struct {
	*Process
	Settings settings.Settings
	fleet    *Fleet
}

// Control reports whether the VM belongs to the control group, which is when it has a data folder.
func (v *VM) Control() bool {
	return v.Settings.DataFolder != ""
}

// EraseData removes the data of a VM that is not running, to simulate the loss of its disk.
func (v *VM) EraseData() error {
	if v.Running() {
		return errors.Newf("harness: %s is running", v.Name)
	}
	if err := os.RemoveAll(v.Settings.DataFolder); err != nil {
		return errors.Wrap(err, "harness: cannot erase the data folder")
	}
	return errors.Wrap(os.MkdirAll(v.Settings.DataFolder, 0o700), "harness: cannot create the data folder")
}

// Fleet is a set of VMs and simulated upstreams.
type Fleet struct {
	opts      Options
	access    adminAccess
	VMs       []*VM
	Upstreams []*Upstream
}

// New prepares a fleet and writes the settings of its VMs. It starts no process.
func New(opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts, access: plainAccess()}
	for _, name := range []string{daemonProgram, toolProgram, fakeProgram} {
		if _, err := os.Stat(f.program(name)); err != nil {
			return nil, errors.Wrap(err, "harness: a program is missing; build them first")
		}
	}
	for _, dir := range []string{f.logs(), f.data()} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, errors.Wrap(err, "harness: cannot create a folder")
		}
	}
	for _, z := range opts.Zones {
		for i := range z.VMs {
			if err := f.addVM(z, i); err != nil {
				return nil, err
			}
		}
	}
	if opts.Protected {
		if err := f.enableTLS(); err != nil {
			return nil, err
		}
	}
	return f, f.writeSettings()
}

func (f *Fleet) program(name string) string {
	return filepath.Join(f.opts.Bin, name)
}

func (f *Fleet) logs() string {
	return filepath.Join(f.opts.Dir, "logs")
}

func (f *Fleet) data() string {
	return filepath.Join(f.opts.Dir, "data")
}

func (f *Fleet) addVM(z Zone, i int) error {
	name := fmt.Sprintf("%s-vm%d", z.Name, i+1)
	s := settings.Settings{
		VM:                   name,
		Zone:                 z.Name,
		ShutdownLimitSeconds: f.opts.ShutdownLimitSeconds,
		LogLevel:             f.opts.LogLevel,
		FaultInjection:       f.opts.FaultInjection,
	}
	l := &s.Listen
	for _, field := range []*string{&l.Callers, &l.Upstreams, &l.Peers, &l.Admin} {
		addr, err := loopback.Address()
		if err != nil {
			return err
		}
		*field = addr
	}
	if i < z.Control {
		s.DataFolder = filepath.Join(f.data(), name)
		if err := os.MkdirAll(s.DataFolder, 0o700); err != nil {
			return errors.Wrap(err, "harness: cannot create a data folder")
		}
	}
	process := NewProcess(name, f.logs(), f.program(daemonProgram), "--settings", f.settingsPath(name))
	f.VMs = append(f.VMs, &VM{Process: process, Settings: s, fleet: f})
	return nil
}

func (f *Fleet) settingsPath(vm string) string {
	return filepath.Join(f.opts.Dir, vm+".json")
}

// writeSettings writes each VM's settings file, with all VMs as peers.
func (f *Fleet) writeSettings() error {
	var peers []settings.Peer
	for _, vm := range f.VMs {
		s := vm.Settings
		peers = append(peers, settings.Peer{VM: s.VM, Zone: s.Zone, Address: s.Listen.Peers, Control: vm.Control()})
	}
	for _, vm := range f.VMs {
		vm.Settings.Peers = peers
		if err := WriteJSON(f.settingsPath(vm.Name), vm.Settings); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes v to a file as indented JSON.
func WriteJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "harness: cannot encode JSON")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o600), "harness: cannot write a file")
}

// StartVMs starts all VMs and waits until each of them is ready or ctx ends.
func (f *Fleet) StartVMs(ctx context.Context) error {
	for _, vm := range f.VMs {
		if err := vm.Start(); err != nil {
			return err
		}
	}
	for _, vm := range f.VMs {
		if err := vm.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// CallerAddresses returns the addresses on which the VMs listen for callers.
func (f *Fleet) CallerAddresses() []string {
	var list []string
	for _, vm := range f.VMs {
		list = append(list, vm.Settings.Listen.Callers)
	}
	return list
}

// Stop stops all running processes, first the VMs and then the upstreams. Each process gets SIGTERM,
// and SIGKILL if it hasn't exited within limit. Stop returns the names of the killed processes.
func (f *Fleet) Stop(limit time.Duration) (killed []string) {
	var vms, upstreams []*Process
	for _, vm := range f.VMs {
		vms = append(vms, vm.Process)
	}
	for _, u := range f.Upstreams {
		upstreams = append(upstreams, u.Process)
	}
	return append(stopAll(vms, limit), stopAll(upstreams, limit)...)
}

func stopAll(list []*Process, limit time.Duration) (killed []string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var mu sync.Mutex
	var wg conc.WaitGroup
	for _, p := range list {
		wg.Go(func() {
			graceful, err := p.Terminate(ctx)
			if graceful || errors.Is(err, ErrNotRunning) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			killed = append(killed, p.Name)
		})
	}
	wg.Wait()
	return killed
}
