package membership

import "time"

// GossipKind says what a Gossip message asks for.
type GossipKind string

// The kinds of gossip messages.
const (
	GossipPing    GossipKind = "ping"     // answer with an ack
	GossipAck     GossipKind = "ack"      // answers a ping
	GossipPingReq GossipKind = "ping_req" // ping Target on the sender's behalf
	GossipRelay   GossipKind = "relay"    // Target answered the ping that was asked for
	GossipLeave   GossipKind = "leave"    // the sender departs
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

// Rumour is a change of a VM's state that the sender knows of.
type Rumour struct {
	VM          string `json:"v"`
	Incarnation uint64 `json:"i"`
	State       State  `json:"s"`
}

// GossipSend is a message that the host delivers to a VM.
type GossipSend struct {
	To     string
	Gossip Gossip
}

// DenyList names the VMs of a zone whose lease no VM may renew on control's behalf. A list
// replaces another only if (Term, Sequence) is higher.
type DenyList struct {
	Term     uint64   `json:"term"`
	Sequence uint64   `json:"sequence"`
	VMs      []string `json:"vms,omitempty"`
}

// Settled says what all VMs concerned have confirmed to have learned. A VM that confirmed an
// epoch has stopped what that epoch took from it.
type Settled struct {
	ZoneEpoch       uint64 `json:"zone_epoch"`       // by all VMs of the receiver's zone
	FleetEpoch      uint64 `json:"fleet_epoch"`      // by all VMs
	FleetGeneration uint64 `json:"fleet_generation"` // configuration, by all VMs
}

// RenewRequest asks for a lease until LeaseDuration after it was sent.
type RenewRequest struct {
	VM          string   `json:"vm"`
	Zone        string   `json:"zone"`
	Incarnation uint64   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	Epoch       uint64   `json:"epoch"`               // in force at the sender
	Generation  uint64   `json:"generation"`          // of the configuration in force at the sender
	Sponsored   []string `json:"sponsored,omitempty"` // VMs whose lease the sender renewed of late
}

// RenewAnswer answers a RenewRequest. Control sends it only after its leader confirmed by a
// quorum, after it received the request, that it still leads.
type RenewAnswer struct {
	Sequence    uint64 `json:"sequence"`
	Incarnation uint64 `json:"incarnation"` // of the VM that asked
	Granted     bool   `json:"granted"`
	Epoch       uint64 `json:"epoch"`      // in force at the sender
	Generation  uint64 `json:"generation"` // in force at the sender
	// ContactAge is how long ago the sender's zone last heard control; 0 from control itself.
	ContactAge time.Duration `json:"contact_age,omitempty"` // nanoseconds
	Deny       DenyList      `json:"deny"`
	Settled    Settled       `json:"settled"`
}

// PromiseRequest asks a VM to renew no lease of the VMs on the list.
type PromiseRequest struct {
	Deny DenyList `json:"deny"`
}

// PromiseAnswer says that the sender keeps to the list with these numbers.
type PromiseAnswer struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	Term        uint64 `json:"term"`
	Sequence    uint64 `json:"sequence"`
}

// ToControl as the receiver of a LeaseSend means the leader of the control group.
const ToControl = ""

// LeaseSend is a message that the host delivers to a VM or to control. One field is set.
type LeaseSend struct {
	To string
	LeaseMessage
}

// LeaseMessage is one of the messages about leases, sent as JSON.
type LeaseMessage struct {
	Renew    *RenewRequest   `json:"renew,omitempty"`
	Answer   *RenewAnswer    `json:"answer,omitempty"`
	Promise  *PromiseRequest `json:"promise,omitempty"`
	Promised *PromiseAnswer  `json:"promised,omitempty"`
}
