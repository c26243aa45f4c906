package membership

import "time"

// GossipKind is the type of a Gossip message.
type GossipKind string

// The kinds of Gossip messages.
const (
	GossipPing    GossipKind = "ping"     // requests an ack
	GossipAck     GossipKind = "ack"      // answers a ping
	GossipPingReq GossipKind = "ping_req" // requests a ping of Target on the sender's behalf
	GossipRelay   GossipKind = "relay"    // reports that Target answered the ping requested by a ping_req
	GossipLeave   GossipKind = "leave"    // the sender leaves the fleet
)

// Gossip is a one-way message between the trackers of two VMs, sent as JSON.
type Gossip struct {
	Kind        GossipKind `json:"k"`
	Incarnation uint64     `json:"i"`           // of the sender
	Sequence    uint64     `json:"s,omitempty"` // of the ping
	Target      string     `json:"t,omitempty"` // of a ping_req or relay
	Digest      []byte     `json:"d,omitempty"` // opaque to the tracker
	Rumours     []Rumour   `json:"r,omitempty"` // at most MaxRumours
}

// Rumour is a change of a VM's state that is spread by gossip.
type Rumour struct {
	VM          string `json:"v"`
	Incarnation uint64 `json:"i"`
	State       State  `json:"s"`
}

// GossipSend is a Gossip message that the host sends to the VM To.
type GossipSend struct {
	To     string
	Gossip Gossip
}

// DenyList contains the VMs whose leases no VM of their zone may renew. A list replaces another
// only if its version is higher.
type DenyList struct {
	Version DenyVersion `json:"version"`
	VMs     []string    `json:"vms,omitempty"`
}

// DenyVersion is the version of a deny list, ordered by Term and then Sequence. Term is that of the
// leader that created the list.
type DenyVersion struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether v is older than w.
func (v DenyVersion) Less(w DenyVersion) bool {
	if v.Term != w.Term {
		return v.Term < w.Term
	}
	return v.Sequence < w.Sequence
}

// Settled is the state that all VMs concerned have confirmed. Its fields never decrease.
type Settled struct {
	// ZoneEpoch is an epoch such that all VMs of the receiver's zone confirmed it or a later one,
	// and thus have stopped using what it took from them.
	ZoneEpoch uint64 `json:"zone_epoch"`
	// AgreedSplit is the last split of the client accounts' buckets over the zones (see package
	// ratelimit) under which, at one moment, every VM of the fleet acted.
	AgreedSplit uint64 `json:"agreed_split"`
}

// merge returns the higher value of each field.
func (s Settled) merge(o Settled) Settled {
	return Settled{ZoneEpoch: max(s.ZoneEpoch, o.ZoneEpoch), AgreedSplit: max(s.AgreedSplit, o.AgreedSplit)}
}

// Confirmed is the state that a VM confirms to have applied.
type Confirmed struct {
	VM          string      `json:"vm"`
	Incarnation uint64      `json:"incarnation"`
	Epoch       uint64      `json:"epoch"`      // in force at the VM
	Generation  uint64      `json:"generation"` // of the configuration in force at the VM
	Split       uint64      `json:"split"`      // in force at the VM
	Deny        DenyVersion `json:"deny"`       // the VM renews no lease of a VM on this list
}

// RenewRequest requests a lease that is valid for LeaseDuration from the sending of the request.
type RenewRequest struct {
	Confirmed
	Zone     string  `json:"zone"`
	Sequence uint64  `json:"sequence"`
	Settled  Settled `json:"settled,omitzero"` // as known to the sender, for a new leader that doesn't have it
	// Address is where the sender accepts connections from other VMs, as IP:port. It is set only if
	// the sender is not a member, because control may not know its address.
	Address string `json:"address,omitempty"`
	// Sponsored lists the VMs whose lease the sender renewed recently, with what they confirmed.
	Sponsored []Confirmed `json:"sponsored,omitempty"`
}

// RenewAnswer is the answer to a RenewRequest. Control sends it only if its leader confirmed its
// leadership by a quorum after it received the request.
type RenewAnswer struct {
	VM          string `json:"vm"`          // of the requester
	Incarnation uint64 `json:"incarnation"` // of the requester's process
	Sequence    uint64 `json:"sequence"`
	Granted     bool   `json:"granted"`
	Control     bool   `json:"control"`    // sent by control, not by a VM of the zone
	Epoch       uint64 `json:"epoch"`      // in force at the sender
	Generation  uint64 `json:"generation"` // in force at the sender
	// ContactAge is the time since the last contact of the sender's zone with control; 0 if the
	// sender is control.
	ContactAge time.Duration `json:"contact_age,omitempty"` // nanoseconds
	// Deny and Settled are omitted if the request shows that the VM already has them.
	Deny    DenyList `json:"deny,omitzero"`
	Settled Settled  `json:"settled,omitzero"`
}

// Goodbye announces that a VM has stopped and no longer acts under this incarnation.
type Goodbye struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// ToControl is the value of LeaseSend.To for the leader of the control group.
const ToControl = ""

// LeaseSend is a message that the host sends to a VM's Holder or to control.
type LeaseSend struct {
	To string
	LeaseMessage
}

// LeaseMessage is a one-way message about leases, sent as JSON. Exactly one field is set.
type LeaseMessage struct {
	Renew   *RenewRequest `json:"renew,omitempty"`
	Answer  *RenewAnswer  `json:"answer,omitempty"`
	Goodbye *Goodbye      `json:"goodbye,omitempty"`
}
