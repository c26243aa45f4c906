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

// DenyList names the VMs whose lease no VM of their zone may renew. A list replaces another
// only if its version is higher.
type DenyList struct {
	Version DenyVersion `json:"version"`
	VMs     []string    `json:"vms,omitempty"`
}

// DenyVersion orders the deny lists: Term is that of the leader that made the list.
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

// Settled says what all VMs concerned have confirmed. Each field is a fact that stays true and
// only grows.
type Settled struct {
	// ZoneEpoch: all VMs of the receiver's zone confirmed this epoch or a later one, and so
	// have stopped what it took from them.
	ZoneEpoch uint64 `json:"zone_epoch"`
	// AgreedSplit: at one moment every VM of the fleet acted under exactly this split of the
	// client accounts' buckets over the zones (see package ratelimit).
	AgreedSplit uint64 `json:"agreed_split"`
}

// merge takes the later facts of both.
func (s Settled) merge(o Settled) Settled {
	return Settled{ZoneEpoch: max(s.ZoneEpoch, o.ZoneEpoch), AgreedSplit: max(s.AgreedSplit, o.AgreedSplit)}
}

// Confirmed is what a VM confirms to have learned and to keep to.
type Confirmed struct {
	VM          string      `json:"vm"`
	Incarnation uint64      `json:"incarnation"`
	Epoch       uint64      `json:"epoch"`      // in force at the VM
	Generation  uint64      `json:"generation"` // of the configuration in force at the VM
	Split       uint64      `json:"split"`      // in force at the VM
	Deny        DenyVersion `json:"deny"`       // the VM renews no lease against this list
}

// RenewRequest asks for a lease until LeaseDuration after it was sent.
type RenewRequest struct {
	Confirmed
	Zone     string  `json:"zone"`
	Sequence uint64  `json:"sequence"`
	Settled  Settled `json:"settled,omitzero"` // as the sender knows it; a new leader does not
	// Address is where the sender takes connections from VMs, IP:port. Only a VM that is no member
	// says so: control may not know it.
	Address string `json:"address,omitempty"`
	// Sponsored are the VMs whose lease the sender renewed of late, with what they confirmed.
	Sponsored []Confirmed `json:"sponsored,omitempty"`
}

// RenewAnswer answers a RenewRequest. Control sends it only after its leader confirmed by a
// quorum, after it received the request, that it still leads.
type RenewAnswer struct {
	VM          string `json:"vm"`          // that asked
	Incarnation uint64 `json:"incarnation"` // of the VM that asked
	Sequence    uint64 `json:"sequence"`
	Granted     bool   `json:"granted"`
	Control     bool   `json:"control"`    // from control itself
	Epoch       uint64 `json:"epoch"`      // in force at the sender
	Generation  uint64 `json:"generation"` // in force at the sender
	// ContactAge is how long ago the sender's zone last heard control; 0 from control itself.
	ContactAge time.Duration `json:"contact_age,omitempty"` // nanoseconds
	// Deny and Settled are left out where the request shows that the VM knows them.
	Deny    DenyList `json:"deny,omitzero"`
	Settled Settled  `json:"settled,omitzero"`
}

// Goodbye says that a VM has stopped and acts no more under this incarnation.
type Goodbye struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// ToControl as the receiver of a LeaseSend means the leader of the control group.
const ToControl = ""

// LeaseSend is a message that the host delivers to a VM's Holder or to control.
type LeaseSend struct {
	To string
	LeaseMessage
}

// LeaseMessage is one of the messages about leases, sent one way as JSON. One field is set.
type LeaseMessage struct {
	Renew   *RenewRequest `json:"renew,omitempty"`
	Answer  *RenewAnswer  `json:"answer,omitempty"`
	Goodbye *Goodbye      `json:"goodbye,omitempty"`
}
