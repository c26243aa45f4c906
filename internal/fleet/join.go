package fleet

import (
	"net/netip"
	"time"

	"egretramp/internal/control"
	"egretramp/internal/membership"
)

const (
	// maxPendingPeers limits the VMs that the leader is connected to before they are members.
	maxPendingPeers = 64
	// pendingPeerTimeout is how long after its last request such a VM may take to become a member.
	pendingPeerTimeout = 30 * time.Second
)

// dynamicPeers are the VMs that this VM is connected to, except those known at start.
type dynamicPeers struct {
	members map[string]bool
	// pending has the VMs that requested a lease from the leader and are not members yet, with the time
	// at which they expire.
	pending map[string]time.Duration
}

// updateConnections updates the connections to the membership: VMs that were not known at start, and
// changed addresses.
func (f *Fleet) updateConnections(members []control.VM) {
	if f.opts.Connections == nil {
		return
	}
	left := f.peers.members
	f.peers.members = map[string]bool{}
	for _, vm := range members {
		delete(left, vm.VM)
		delete(f.peers.pending, vm.VM)
		if vm.Addresses.Peers != "" {
			f.opts.Connections.AddPeer(vm.VM, vm.Addresses.Peers)
		}
		if !f.knownAtStart(vm.VM) {
			f.peers.members[vm.VM] = true
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

// addAddress adds this VM's address to a lease request while it is not a member: the leader may have
// neither this VM nor its present address in its state.
func (f *Fleet) addAddress(r *membership.RenewRequest) {
	if r == nil {
		return
	}
	if _, member := f.view.Load().Epoch.ZoneOf(f.opts.VM); !member {
		r.Address = f.opts.Addresses.Peers
	}
}

// connectPending connects the leader to a VM whose lease request has an address, so that the leader can
// answer and request the VM's status.
func (f *Fleet) connectPending(now time.Duration, from string, r *membership.RenewRequest) {
	if f.opts.Connections == nil || r.VM != from || r.VM == f.opts.VM {
		return
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return
	}
	if !f.knownAtStart(r.VM) && !f.peers.members[r.VM] {
		if _, kept := f.peers.pending[r.VM]; !kept && len(f.peers.pending) >= maxPendingPeers {
			return
		}
		f.peers.pending[r.VM] = now + pendingPeerTimeout
	}
	f.opts.Connections.AddPeer(r.VM, r.Address)
}

// expirePending closes the connections to VMs that requested a lease and did not become members in
// time.
func (f *Fleet) expirePending(now time.Duration) {
	for vm, until := range f.peers.pending {
		if now >= until {
			delete(f.peers.pending, vm)
			f.opts.Connections.RemovePeer(vm)
		}
	}
}
