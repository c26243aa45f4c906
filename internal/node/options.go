// Package node runs one VM of a fleet whose VMs find each other by seeds: nobody is told how
// many there are, nor where. A VM has one role. Control VMs replicate the operators' document,
// take the registrations of upstreams, and tell all other VMs what changes. Store VMs replicate
// budgets and conversations. Entry VMs carry callers' requests.
//
// A VM is named by the address at which it listens for the others, so that a machine at another
// address is another VM, and one that comes back without its disk is the same VM with a new
// replica.
package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"egretramp/internal/catalog"
	"egretramp/internal/events"
	"egretramp/internal/proxy"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
)

// Role of a VM.
type Role string

// Roles.
const (
	Entry   Role = "entry"
	Control Role = "control"
	Store   Role = "store"
)

// Settings are what a VM is told about itself.
type Settings struct {
	Name   string // the operators' name for it
	Role   Role
	Zone   string
	Region string
	// Peers is the address for other VMs; it is the VM's name among them.
	Peers string
	// Callers and Ready are an entry VM's listeners, Control a control VM's.
	Callers string
	Ready   string
	Control string
	// Metrics is the listener for counters, empty for none.
	Metrics string
	// Seeds are the addresses for other VMs of some control VMs.
	Seeds []string
	// FirstStart says that the fleet starts for the first time, with empty disks.
	FirstStart bool
	DataFolder string
	// MemoryBytes is what the process may use.
	MemoryBytes int64
	// LostDisks is how many disks may be lost at once.
	LostDisks int
	// Heartbeat is the time between two registrations of an upstream.
	Heartbeat time.Duration
	// Drain is how long an upstream goes on serving after its farewell is acknowledged.
	Drain time.Duration
	// Grace is the time from SIGTERM to the end.
	Grace time.Duration
	// AckTimeout bounds the acknowledgement of an order.
	AckTimeout time.Duration
}

// Voters is the number of replicas that keeps every acknowledged write through the loss of
// LostDisks disks.
func (s *Settings) Voters() int { return 2*s.LostDisks + 1 }

// StoreReplicas is the number of VMs that hold a group of the store: its voters, and one to take the place of
// the first that is lost. Each copy costs its leader and the links between zones as much as a voter.
func (s *Settings) StoreReplicas() int { return s.Voters() + min(s.LostDisks, 1) }

// ControlService is what a control VM does for operators and upstreams.
type ControlService interface {
	// PutDocument puts a checked document in force. An error means that the outcome is unknown.
	PutDocument(ctx context.Context, d catalog.Document) (catalog.Result, error)
	// Document returns the document in force, as confirmed by a majority after the call.
	Document(ctx context.Context) (catalog.Document, error)
	Register(u registry.Upstream)
	Leave(id string)
	// Empty orders a store VM, by its operators' name, to be emptied.
	Empty(ctx context.Context, name string) error
	// Emptied reports whether a store VM holds nothing any more.
	Emptied(ctx context.Context, name string) (bool, error)
}

// Options configure a Node.
type Options struct {
	Settings Settings
	// Reload reads the settings again.
	Reload   func() (Settings, error)
	Protocol proxy.Protocol
	// Decode reads and checks an operators' document.
	Decode func(data []byte) (*routing.Snapshot, error)
	// ControlHandler serves operators and upstreams, ReadyHandler the balancer's checks.
	ControlHandler func(s ControlService) http.Handler
	ReadyHandler   func(ready func() bool) http.Handler
	Events         *events.Logger
	// LinesDropped returns the number of log lines dropped so far; nil if none ever is.
	LinesDropped func() int64
	Listen       func(address string) (net.Listener, error) // default net.Listen
	Version      string
}
