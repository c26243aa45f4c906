package control

import "fmt"

// AcquireOrderRight asks for the right to order the engines of a zone. The same VM in the same
// incarnation gets the same right again.
type AcquireOrderRight struct {
	Zone        string `json:"zone"`
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	// RefusedNumber is a fencing number that an engine refused; the right that is given has a higher one.
	RefusedNumber uint64 `json:"above,omitempty"`
}

// ReleaseOrderRight gives a right back. Its holder has no order under way.
type ReleaseOrderRight struct {
	Zone   string `json:"zone"`
	Number uint64 `json:"number"`
}

// OrderRight is the right to order the engines of a zone. It holds as long as its VM holds its
// lease in this incarnation, and is given to another VM only after that one was removed from
// the membership, was started anew or gave it up.
type OrderRight struct {
	Zone        string `json:"zone"`
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	// Number is the fencing number of its orders.
	Number uint64 `json:"number"`
	// First says that nobody had the right before.
	First bool `json:"first,omitempty"`
	// Released says that its holder gave it back.
	Released bool `json:"given_up,omitempty"`
}

// orderResource is the resource of a zone's fencing numbers.
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
	// A number refused by an engine may come from another deployment's log.
	m.fencing.last = max(m.fencing.last, t.RefusedNumber)
	issued := m.fencing.issue(&IssueFencing{Resource: orderResource(t.Zone), Holder: t.VM})
	right := OrderRight{Zone: t.Zone, VM: t.VM, Incarnation: t.Incarnation, Number: issued.Number, First: !known}
	m.orderRights[t.Zone] = right
	return Result{OrderRight: &right}
}

// orderRightValid reports whether the holder of a right may still act under it.
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
