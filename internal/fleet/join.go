package fleet

import (
	"net/netip"
	"time"

	"egretramp/internal/control"
	"egretramp/internal/membership"
)

const (
	// maxGuests bounds the VMs that the leader connects to before they are members.
	maxGuests = 64
	// guestTime is how long such a VM may take to become a member after its last request.
	guestTime = 30 * time.Second
)

// joined are the VMs that this VM is connected to beyond those known at start.
type joined struct {
	members map[string]bool
	// guests asked the leader for a lease and are no members yet; until when they are kept.
	guests map[string]time.Duration
}

// connect makes the connections follow the membership: VMs that are not known from the start, or
// under another address.
func (f *Fleet) connect(members []control.VM) {
	if f.opts.Connections == nil {
		return
	}
	left := f.joined.members
	f.joined.members = map[string]bool{}
	for _, vm := range members {
		delete(left, vm.VM)
		delete(f.joined.guests, vm.VM)
		if vm.Addresses.Peers != "" {
			f.opts.Connections.AddPeer(vm.VM, vm.Addresses.Peers)
		}
		if !f.knownAtStart(vm.VM) {
			f.joined.members[vm.VM] = true
		}
	}
	for vm := range left {
		f.opts.Connections.RemovePeer(vm)
	}
}

func (f *Fleet) knownAtStart(vm string) bool {
	for _, known := range f.opts.VMs {
		if known.Name == vm {
			return true
		}
	}
	return false
}

// introduce adds this VM's address to a lease request while it is no member: the leader may know
// neither this VM nor where it is now.
func (f *Fleet) introduce(r *membership.RenewRequest) {
	if r == nil {
		return
	}
	if _, member := f.view.Load().Epoch.ZoneOf(f.opts.VM); !member {
		r.Address = f.opts.Addresses.Peers
	}
}

// welcome connects the leader to a VM that asks for a lease and says where it is, so that it can
// be asked for the rest and answered.
func (f *Fleet) welcome(now time.Duration, from string, r *membership.RenewRequest) {
	if f.opts.Connections == nil || r.VM != from || r.VM == f.opts.VM {
		return
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return
	}
	if !f.knownAtStart(r.VM) && !f.joined.members[r.VM] {
		if _, kept := f.joined.guests[r.VM]; !kept && len(f.joined.guests) >= maxGuests {
			return
		}
		f.joined.guests[r.VM] = now + guestTime
	}
	f.opts.Connections.AddPeer(r.VM, r.Address)
}

// dismissGuests closes the connections to VMs that asked and did not become members.
func (f *Fleet) dismissGuests(now time.Duration) {
	for vm, until := range f.joined.guests {
		if now >= until {
			delete(f.joined.guests, vm)
			f.opts.Connections.RemovePeer(vm)
		}
	}
}
