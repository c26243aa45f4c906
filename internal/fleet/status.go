package fleet

import (
	"context"
	"encoding/json"

	"egretramp/internal/control"
	"egretramp/internal/membership"
	"egretramp/internal/ratelimit"
)

// Status is the status of a VM, as it reports it to other VMs.
type Status struct {
	VM          string            `json:"vm"`
	Zone        string            `json:"zone"`
	Incarnation int64             `json:"incarnation"`
	Addresses   control.Addresses `json:"addresses"`
	// Generation is the generation of the configuration in force.
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"`
}

// Status returns this VM's status.
func (f *Fleet) Status() Status {
	v := f.View()
	return Status{
		VM:          f.opts.VM,
		Zone:        f.opts.Zone,
		Incarnation: f.incarnation.Load(),
		Addresses:   f.opts.Addresses,
		Generation:  v.Acceptance.Generation,
		Epoch:       v.Epoch.Number,
	}
}

// Incarnation returns the incarnation under which this VM holds its lease.
func (f *Fleet) Incarnation() int64 { return f.incarnation.Load() }

// HandleStatus serves MethodStatus.
func (f *Fleet) HandleStatus(context.Context, string, []byte) ([]byte, error) {
	return json.Marshal(f.Status())
}

// StatusOf requests the status of another VM.
func (f *Fleet) StatusOf(ctx context.Context, vm string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var s Status
	data, err := f.opts.Network.Call(ctx, vm, MethodStatus, nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(data, &s)
}

// Dump is the part of the state dump that describes the control plane of this VM.
type Dump struct {
	Digest  control.Digest          `json:"digest"`
	Epoch   membership.Epoch        `json:"epoch"`
	Splits  control.Splits          `json:"splits"`
	Lease   membership.HolderStatus `json:"lease"`
	Limiter ratelimit.Status        `json:"limiter"`
	VMs     map[string]string       `json:"vms"` // liveness state of each VM as seen from this VM
	Leads   bool                    `json:"leads"`
}

// Dump returns the current state for the state dump.
func (f *Fleet) Dump(ctx context.Context) (Dump, error) {
	return await(ctx, f, func() Dump {
		state := f.follower.View()
		d := Dump{
			Digest:  f.follower.Digest(),
			Epoch:   epochOf(state.Members),
			Splits:  state.Splits,
			Lease:   f.holder.Status(f.opts.Clock()),
			Limiter: f.limiter.Status(),
			VMs:     map[string]string{},
			Leads:   f.leading.grantor != nil,
		}
		for _, vm := range f.trackedVMs(d.Epoch) {
			d.VMs[vm.Name] = f.tracker.State(vm.Name).String()
		}
		return d
	})
}

// Registered returns the members of the current epoch.
func (f *Fleet) Registered(ctx context.Context) ([]control.VM, error) {
	return await(ctx, f, func() []control.VM { return f.follower.View().Members.VMs })
}

// Members returns the registered VMs and the VMs known at start that are not registered.
func (f *Fleet) Members(ctx context.Context) ([]control.VM, error) {
	return await(ctx, f, func() []control.VM {
		members := f.follower.View().Members.VMs
		registered := map[string]bool{}
		for _, vm := range members {
			registered[vm.VM] = true
		}
		for _, vm := range f.opts.VMs {
			if !registered[vm.Name] {
				members = append(members, control.VM{VM: vm.Name, Zone: vm.Zone})
			}
		}
		return members
	})
}

// Alive reports whether a VM may receive work, as seen from this VM.
func (f *Fleet) Alive(vm string) bool {
	if vm == f.opts.VM {
		return true
	}
	for _, name := range f.VMs() {
		if name == vm {
			return true
		}
	}
	return false
}

// WithdrawHere withdraws keys on this VM without waiting for the control group. The withdrawal is
// replicated to all VMs that can be reached; once it has reached the group's leader, the leader
// records it in the log. It returns the IDs withdrawn and those that no key in force has.
func (f *Fleet) WithdrawHere(ctx context.Context, ids []string) (withdrawn, unknown []string, err error) {
	keys, unknown := f.findKeys(ids)
	for _, k := range keys {
		withdrawn = append(withdrawn, k.ID)
	}
	_, err = await(ctx, f, func() struct{} {
		f.applyChange(f.follower.Withdraw(keys))
		return struct{}{}
	})
	return withdrawn, unknown, err
}

// findKeys returns the keys in force with the given IDs, and the IDs that no key in force has.
func (f *Fleet) findKeys(ids []string) (found []control.WithdrawnKey, unknown []string) {
	hashes := map[string]string{}
	if snapshot := f.Snapshot(); snapshot != nil {
		for _, a := range snapshot.Accounts() {
			for _, k := range a.Keys {
				hashes[k.ID] = k.SHA256
			}
		}
	}
	for _, id := range ids {
		if hash, ok := hashes[id]; ok {
			found = append(found, control.WithdrawnKey{ID: id, Hash: hash})
		} else {
			unknown = append(unknown, id)
		}
	}
	return found, unknown
}

// ConfigText returns the text of the configuration in force, including secrets and key hashes.
func (f *Fleet) ConfigText(ctx context.Context) (string, error) {
	return await(ctx, f, func() string { return f.follower.View().Config.Text })
}
