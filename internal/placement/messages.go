package placement

import "time"

// Methods and kinds of messages between VMs.
const (
	KindUnserved = "placement.unserved"
	KindReport   = "placement.report"
	MethodStatus = "placement.status"
)

// Ages up to which what other VMs said counts.
const (
	maxUnservedAge = 3 * time.Second
	// maxReportPlans is for how many times between two plans the report of another zone counts.
	maxReportPlans = 3
)

// Unserved tells the VMs that order engines which calls found no replica.
type Unserved struct {
	Zone  string         `json:"zone"`
	Calls map[string]int `json:"calls"` // by model
}

// Report tells the VMs that order other zones what this zone could load, and is loading.
type Report struct {
	Zone   string         `json:"zone"`
	Spare  map[string]int `json:"spare,omitempty"`
	Coming map[string]int `json:"coming,omitempty"`
}

// Status is what the VM that orders a zone knows, for operators.
type Status struct {
	Zone string `json:"zone"`
	VM   string `json:"vm"`
	// Enabled says that the configuration in force lets orders be given.
	Enabled bool `json:"enabled"`
	// Right is the VM's right to order the zone, if it has one.
	Right *Right `json:"right,omitempty"`
	// Reachable says that the VM has a lease and its zone hears control: else nothing is ordered.
	Reachable bool `json:"reachable"`
	// Ready says that orders are given.
	Ready bool `json:"ready"`
	// UnderWay are the load permits that were held in the fleet as last heard.
	UnderWay int      `json:"loads_under_way"`
	Plan     Plan     `json:"plan"`
	Engines  []Engine `json:"engines,omitempty"`
	Orders   []Order  `json:"orders,omitempty"`
	Results  []Result `json:"results,omitempty"`
}

// received is what another VM said, and when.
type received[T any] struct {
	content T
	at      time.Duration
}
