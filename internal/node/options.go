// Package node runs one VM of a fleet whose VMs discover each other through seed addresses: neither
// the number of VMs nor their addresses are configured. A VM has one role. Control VMs replicate the
// operators' document, receive the registrations of upstreams, and send changes to all other VMs.
// Store VMs replicate budgets and conversations. Entry VMs forward callers' requests.
//
// A VM is identified by the address at which it listens for other VMs: a machine with another address
// is another VM, and one that returns without its disk is the same VM with a new replica.
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
	"egretramp/internal/upconn"
)

// Role is the kind of work that a VM does.
type Role string

const (
	// Entry VMs forward callers' requests to upstreams.
	Entry Role = "entry"
	// Control VMs replicate the operators' document and distribute changes to all VMs.
	Control Role = "control"
	// Store VMs replicate budgets and conversations.
	Store Role = "store"
)

// Settings is the configuration of one VM.
type Settings struct {
	Name   string // used by operators
	Role   Role
	Zone   string
	Region string
	// Zones maps the fleet's availability zones to their regions. If it is empty, the zones are those of the known VMs
	// and of the registered upstreams.
	Zones map[string]string
	// Peers is the address at which the VM listens for other VMs. It identifies the VM in the fleet.
	Peers string
	// Callers and Ready are the listen addresses of an entry VM for requests and for the balancer's
	// checks, Control is that of a control VM for operators and upstreams.
	Callers string
	Ready   string
	Control string
	// Metrics is the listen address for metrics, empty for none.
	Metrics string
	// Seeds are the Peers addresses of some control VMs.
	Seeds []string
	// FirstStart is true if the fleet starts for the first time, with empty disks.
	FirstStart bool
	DataFolder string
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// CallerMemoryBytes is the part of it that is used for callers, 0 for the default (callermem.DefaultBytes).
	CallerMemoryBytes int64
	// MaxDescriptors is the number of files and connections that the process may have open, 0 for no limit.
	MaxDescriptors int
	// LostDisks is the number of disks that may be lost at the same time.
	LostDisks int
	// Heartbeat is the time between two registrations of an upstream.
	Heartbeat time.Duration
	// Drain is how long an upstream continues to serve after the announcement of its shutdown is
	// acknowledged.
	Drain time.Duration
	// Grace is the time from SIGTERM until the process must have exited.
	Grace time.Duration
	// AckTimeout bounds the time until an operator's command is acknowledged.
	AckTimeout time.Duration
	// ZoneMegabyteCost is the time of callers that a megabyte (10^6 bytes) between zones is worth, when requests are
	// placed by the load of all VMs; 0 for the default, negative if it is worth nothing.
	ZoneMegabyteCost time.Duration
}

// Voters returns the number of replicas with which every acknowledged write survives the loss of
// LostDisks disks.
func (s *Settings) Voters() int { return 2*s.LostDisks + 1 }

// StoreReplicas returns the number of VMs that hold a group of the store: its voters, and one spare
// that replaces the first lost voter, unless LostDisks is 0. There is only one, since a spare costs the
// leader and the links between zones as much as a voter.
func (s *Settings) StoreReplicas() int { return s.Voters() + min(s.LostDisks, 1) }

// ControlService handles the requests of operators and upstreams at a control VM.
type ControlService interface {
	// PutDocument activates a validated document. An error means that the outcome is unknown.
	PutDocument(ctx context.Context, d catalog.Document) (catalog.Result, error)
	// Document returns the active document, confirmed by a majority after the call.
	Document(ctx context.Context) (catalog.Document, error)
	// SetEvacuation takes an availability zone out of service or returns it to service. It returns nil once that is
	// durable, ErrUnknownZone, or an error after which the outcome is unknown. ctx ends when the sender disconnects: an
	// order whose sender is gone before it is proposed isn't executed.
	SetEvacuation(ctx context.Context, zone string, evacuated bool) error
	// Evacuated returns the zones that are out of service, sorted, confirmed by a majority after the call.
	Evacuated(ctx context.Context) ([]string, error)
	// Register records the registration of an upstream, which is also its heartbeat.
	Register(u registry.Upstream)
	// Leave records that an upstream has announced its shutdown.
	Leave(id string)
	// RefuseRegistration records that a registration from a network address names no usable upstream.
	RefuseRegistration(from string, reason error)
	// Empty starts to move all replicas off the store VM with the given Settings.Name.
	Empty(ctx context.Context, name string) error
	// Emptied reports whether a store VM that is being emptied is no longer a member of any group.
	Emptied(ctx context.Context, name string) (bool, error)
}

// Options configure a Node.
type Options struct {
	Settings Settings
	// Reload returns the current settings.
	Reload   func() (Settings, error)
	Protocol proxy.Protocol
	// Decode parses and validates an operators' document.
	Decode func(data []byte) (*routing.Snapshot, error)
	// ControlHandler returns the HTTP handler for operators and upstreams, ReadyHandler the one for the
	// balancer's checks.
	ControlHandler func(s ControlService) http.Handler
	ReadyHandler   func(ready func() bool) http.Handler
	Events         *events.Logger
	// LinesDropped returns the number of log lines dropped so far. It is nil if lines are never dropped.
	LinesDropped func() int64
	Listen       func(address string) (net.Listener, error) // default net.Listen
	// DialUpstream opens a direct connection to an upstream; default upconn.Dial.
	DialUpstream upconn.DialFunc
	Version      string
}
