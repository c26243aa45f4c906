package control

import "fmt"

// VM is a member of the fleet.
type VM struct {
	VM          string    `json:"vm"`
	Zone        string    `json:"zone"`
	Incarnation int64     `json:"incarnation"`
	Addresses   Addresses `json:"addresses"`
	// Epoch is the membership epoch in which this incarnation was registered.
	Epoch uint64 `json:"epoch"`
}

// members is the fleet's membership. The epoch increases by one with each change.
type members struct {
	epoch uint64
	vms   map[string]VM
	// removedIncarnations maps a removed VM to its last incarnation, so that a delayed registration
	// can't add it again.
	removedIncarnations map[string]int64
}

func newMembers() members {
	return members{vms: map[string]VM{}, removedIncarnations: map[string]int64{}}
}

func (s *members) register(r *RegisterVM) Result {
	if last, ok := s.removedIncarnations[r.VM]; ok && r.Incarnation <= last {
		return refuse(CodeOldIncarnation, fmt.Sprintf(
			"VM %q was removed in incarnation %d; register with a higher one", r.VM, last))
	}
	vm := VM{VM: r.VM, Zone: r.Zone, Incarnation: r.Incarnation, Addresses: r.Addresses}
	if old, ok := s.vms[r.VM]; ok {
		vm.Epoch = old.Epoch
		if vm == old {
			return s.result(false)
		}
		if r.Incarnation <= old.Incarnation {
			return refuse(CodeOldIncarnation, fmt.Sprintf(
				"VM %q is registered in incarnation %d; register a change with a higher one", r.VM, old.Incarnation))
		}
	}
	s.epoch++
	vm.Epoch = s.epoch
	s.vms[r.VM] = vm
	delete(s.removedIncarnations, r.VM)
	return s.result(true)
}

func (s *members) remove(r *RemoveVM) Result {
	old, ok := s.vms[r.VM]
	if !ok {
		return s.result(false)
	}
	if r.Incarnation < old.Incarnation {
		return refuse(CodeOldIncarnation, fmt.Sprintf(
			"VM %q is registered in incarnation %d", r.VM, old.Incarnation))
	}
	s.epoch++
	delete(s.vms, r.VM)
	s.removedIncarnations[r.VM] = old.Incarnation
	return s.result(true)
}

func (s *members) result(changed bool) Result {
	return Result{Members: &MembersChange{Epoch: s.epoch, Changed: changed}}
}
