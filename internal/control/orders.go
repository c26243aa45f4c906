package control

import "fmt"

// AcquireOrderRight requests the exclusive right to order the engines of a zone. It is idempotent
// for the same VM and incarnation.
type AcquireOrderRight struct {
	Zone        string `json:"zone"`
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	// RefusedNumber is a fencing number that an engine refused; the issued one is higher.
	RefusedNumber uint64 `json:"above,omitempty"`
}

// ReleaseOrderRight releases a right. Its holder must have no order in progress.
type ReleaseOrderRight struct {
	Zone   string `json:"zone"`
	Number uint64 `json:"number"`
}

// OrderRight is the exclusive right to order the engines of a zone. It is valid while its VM holds
// its lease in this incarnation. Another VM gets it only after the holder was removed from the
// membership, restarted, or released it.
type OrderRight struct {
	Zone        string `json:"zone"`
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	// Number is the fencing number of the holder's orders.
	Number uint64 `json:"number"`
	// First is true if the zone's right was never issued before.
	First bool `json:"first,omitempty"`
	// Released is true if the holder released the right.
	Released bool `json:"given_up,omitempty"`
}

// orderResource returns the resource name of a zone's fencing numbers.
func orderResource(zone string) string { return "orders/" + zone }

func (t *AcquireOrderRight) validate() error {
	if t.Incarnation < 1 {
		return invalid("incarnation %d is below 1", t.Incarnation)
	}
	return firstError(checkName("VM", t.VM), checkName("zone", t.Zone), checkName("resource", orderResource(t.Zone)))
}

func (g *ReleaseOrderRight) validate() error {
	if g.Number < 1 {
		return invalid("fencing number %d is below 1", g.Number)
	}
	return checkName("zone", g.Zone)
}

func (m *Machine) acquireOrderRight(t *AcquireOrderRight) Result {
	if !m.members.hasIncarnation(t.VM, t.Zone, t.Incarnation) {
		return refuse(CodeNotMember, fmt.Sprintf("VM %q is no member in incarnation %d in zone %q", t.VM, t.Incarnation, t.Zone))
	}
	held, known := m.orderRights[t.Zone]
	heldBySender := held.VM == t.VM && held.Incarnation == t.Incarnation && !held.Released
	if heldBySender && held.Number > t.RefusedNumber {
		return Result{OrderRight: &held}
	}
	if !heldBySender && m.orderRightValid(held) {
		return refuse(CodeOrderRightHeld, fmt.Sprintf("VM %q has the right to order zone %q", held.VM, t.Zone))
	}
	// The refused number may have been issued by another deployment's log.
	m.fencing.last = max(m.fencing.last, t.RefusedNumber)
	issued := m.fencing.issue(&IssueFencing{Resource: orderResource(t.Zone), Holder: t.VM})
	right := OrderRight{Zone: t.Zone, VM: t.VM, Incarnation: t.Incarnation, Number: issued.Number, First: !known}
	m.orderRights[t.Zone] = right
	return Result{OrderRight: &right}
}

// orderRightValid reports whether the holder of a right may still use it.
func (m *Machine) orderRightValid(r OrderRight) bool {
	return r.Number > 0 && !r.Released && m.members.hasIncarnation(r.VM, r.Zone, r.Incarnation)
}

func (m *Machine) releaseOrderRight(g *ReleaseOrderRight) Result {
	held, known := m.orderRights[g.Zone]
	if !known || held.Number != g.Number {
		return refuse(CodeOrderRightLost, fmt.Sprintf("number %d is not the one in force in zone %q", g.Number, g.Zone))
	}
	held.Released = true
	m.orderRights[g.Zone] = held
	return Result{OrderRight: &held}
}

// hasIncarnation reports whether a VM is a member in this zone and incarnation.
func (s *members) hasIncarnation(vm, zone string, incarnation int64) bool {
	member, ok := s.vms[vm]
	return ok && member.Zone == zone && member.Incarnation == incarnation
}
