// Package sharedload tells each entry VM the load that all entry VMs cause at the upstreams. Each VM reports its part to
// a coordinator, with its requests for permits, and gets back the sum of the others' parts.
//
// Both sides perform no I/O and read no clock; their owners provide the time and the network.
package sharedload

import "time"

const (
	// MaxAge is the age from which a view is not used, and from which a VM's report no longer counts.
	MaxAge = 600 * time.Millisecond
	// viewInterval is the shortest time between two views that are sent to a VM.
	viewInterval = 100 * time.Millisecond
	// viewBytesPerSecond bounds what the views for a VM take of its link; larger views are sent less often.
	viewBytesPerSecond = 20_000
	// bytesPerRow is about the size of a row of a view.
	bytesPerRow = 7
	// minVMs is the smallest fleet that shares load. In the trial of docs/scheduling.md 7 VMs did not gain from it: a VM that makes
	// a seventh of all requests sees enough.
	minVMs = 8
)

// Sample is what a VM knows of an upstream's process from its own requests.
type Sample struct {
	Process  string
	Inflight int // requests in flight
	// Slowdown is the time between events relative to that of an idle upstream, over Samples events of the last second.
	Slowdown float64
	Samples  int
	// Attempts and Failed are the attempts that began and that failed in the last second.
	Attempts int
	Failed   int
}

// Upstream is the load that the other VMs cause at an upstream, and how all VMs find it.
type Upstream struct {
	Others int // requests of other VMs in flight
	// Slowdown is as in Sample, over all VMs; 0 without recent samples.
	Slowdown float64
	// FailureShare is an estimate of the share of attempts that fail, from those of the last second, 0 to 1.
	FailureShare float64
	Age          time.Duration // of the view
}

// Origin is a zone with the attempts that its VMs make in a second.
type Origin struct {
	Zone      string `cbor:"1,keyasint"`
	PerSecond int    `cbor:"2,keyasint"`
}

// Needed reports whether VMs need the load of each other to place requests well: if each has less than one upstream's
// slots, and there are many of them. slots are those of a service's upstreams. Where a VM fills several upstreams, it sees most of
// what matters.
func Needed(slots []int, vms int) bool {
	sum, largest := 0, 0
	for _, n := range slots {
		sum += n
		largest = max(largest, n)
	}
	return vms >= minVMs && sum < largest*vms
}

// Request is a VM's report.
type Request struct {
	// Sequence increases with each report of a process of the VM, which Started identifies.
	Started  uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	Zone     string `cbor:"3,keyasint"` // of the VM
	// Epoch is that of the coordinator that gave the numbers in Rows.
	Epoch uint64 `cbor:"4,keyasint"`
	// Ask are processes of upstreams whose numbers the VM needs.
	Ask []string `cbor:"5,keyasint,omitempty"`
	// Rows holds the fields of reportRow for each upstream that the VM uses.
	Rows []uint32 `cbor:"6,keyasint,omitempty"`
	// Accounts are the client accounts with programs on the VM.
	Accounts []Account `cbor:"7,keyasint,omitempty"`
}

// Account is a client account with the numbers of its programs on a VM.
type Account struct {
	Name    string `cbor:"1,keyasint"`
	Active  int    `cbor:"2,keyasint,omitempty"` // in progress
	Refused int    `cbor:"3,keyasint,omitempty"` // refused within the last second
}

// Grant is the coordinator's answer.
type Grant struct {
	Epoch   uint64            `cbor:"1,keyasint"`
	Numbers map[string]uint32 `cbor:"2,keyasint,omitempty"` // of Request.Ask
	// View is nil if the VM got one shortly before, or if the coordinator is new.
	View *View `cbor:"3,keyasint,omitempty"`
}

// View is the load that the other VMs cause.
type View struct {
	// Rows holds the fields of viewRow for each upstream that isn't idle.
	Rows    []uint32 `cbor:"1,keyasint,omitempty"`
	Origins []Origin `cbor:"2,keyasint,omitempty"`
	AgeMs   int64    `cbor:"3,keyasint"` // mean age of the reports
	// OverShare are accounts with more than their share of the programs while others are refused.
	OverShare []string `cbor:"4,keyasint,omitempty"`
}

// Numbers of fields of a row in Request.Rows and View.Rows.
const (
	reportFields = 6 // number, in flight, slowdown, samples, attempts, failed
	viewFields   = 5 // number, in flight of the others, slowdown, attempts, failed
)

// slowdownUnit is the unit in which slowdowns are sent: typical ones then take two bytes.
const slowdownUnit = 1.0 / 64

// Bounds of what a report may say of an upstream.
const (
	maxInflight = 1 << 16
	maxSlowdown = 64
	maxCount    = 1 << 16
	// maxAccounts bounds the accounts of a report, maxOverShare those of a view, and maxAccountName their names.
	maxAccounts    = 256
	maxOverShare   = 32
	maxAccountName = 256
)

// reportRow is a VM's report of one upstream.
type reportRow struct {
	inflight, slowdown, samples, attempts, failed uint32
}

// valid reports whether a row may be true.
func (r reportRow) valid() bool {
	return r.inflight <= maxInflight && r.slowdown <= maxSlowdown/slowdownUnit && r.samples <= maxCount &&
		r.attempts <= maxCount && r.failed <= maxCount
}

// bounded converts a count for a row.
func bounded(n int) uint32 { return uint32(min(max(n, 0), maxCount)) }
