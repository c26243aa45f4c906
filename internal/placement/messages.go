package placement

import "time"

// Kinds of messages and methods of calls between VMs.
const (
	KindUnserved = "placement.unserved"
	KindReport   = "placement.report"
	MethodStatus = "placement.status"
)

// Maximum ages of messages from other VMs.
const (
	maxUnservedAge = 3 * time.Second
	// maxReportPlans is the maximum age of another zone's report, in times between two plans.
	maxReportPlans = 3
)

// Unserved is sent to the VMs that order zones. It has the calls that found no replica.
type Unserved struct {
	Zone  string         `json:"zone"`
	Calls map[string]int `json:"calls"` // calls a second, by model
}

// Report is sent to the VMs that order other zones. It has the replicas that this zone could load
// (Spare) and those that it is loading (Coming), by model.
type Report struct {
	Zone   string         `json:"zone"`
	Spare  map[string]int `json:"spare,omitempty"`
	Coming map[string]int `json:"coming,omitempty"`
}

// Status is the state of the VM that orders a zone, for operators.
type Status struct {
	Zone string `json:"zone"`
	VM   string `json:"vm"`
	// Enabled reports whether the configuration in force enables placement.
	Enabled bool `json:"enabled"`
	// Right is the VM's right to order the zone, nil if it has none.
	Right *Right `json:"right,omitempty"`
	// Reachable reports whether the VM holds its lease and its zone has contact with the control group.
	// Otherwise no order is sent.
	Reachable bool `json:"reachable"`
	// Ready reports whether orders may be sent; see Orderer.Ready.
	Ready bool `json:"ready"`
	// UnderWay is the number of load permits held in the fleet, as last received.
	UnderWay int      `json:"loads_under_way"`
	Plan     Plan     `json:"plan"`
	Engines  []Engine `json:"engines,omitempty"`
	Orders   []Order  `json:"orders,omitempty"`
	Results  []Result `json:"results,omitempty"`
}

// received is a message of another VM and the time of its receipt.
type received[T any] struct {
	content T
	at      time.Duration
}
