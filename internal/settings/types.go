// Package settings reads the settings file of one process: the VM's name and zone, its listeners,
// and the VMs that it connects to at start. Configuration shared by the fleet is in the operators'
// file, see package config.
package settings

// Settings is the content of a settings file, which is JSON with comments.
type Settings struct {
	// VM is this VM's name, unique in the fleet: 1 to 64 characters of a-z, 0-9 and '-'.
	VM string `json:"vm" check:"format=host"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone" check:"format=host"`
	// Listen has the addresses that the daemon listens on, each IP:port.
	Listen Listen `json:"listen"`
	// DataFolder is the directory for persistent state. Empty: the VM has no disk, only the entry role.
	DataFolder string `json:"data_folder,omitempty"`
	// Peers are the VMs known at start: all control VMs and this one. Other VMs join on
	// their own.
	Peers []Peer `json:"peers"`
	// ShutdownLimitSeconds is the longest time a graceful shutdown may take. Seconds; default 600.
	ShutdownLimitSeconds float64 `json:"shutdown_limit_seconds,omitempty" check:"above=0,max=86400"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error. Default info.
	LogLevel string `json:"log_level,omitempty" check:"oneof=debug|info|warn|error"`
	// TLS secures the connections between VMs and the administration API. Absent: both are plain
	// text and should be on a separate network.
	TLS TLS `json:"tls,omitempty,omitzero"`
	// FaultInjection allows the administration API to cut this VM's links to other VMs. Only for
	// test fleets. Default false.
	FaultInjection bool `json:"fault_injection,omitempty"`
}

// TLS configures mutual authentication between VMs. The files are PEM, and are reloaded when they
// change.
type TLS struct {
	// Certificate is the path of this VM's certificate, which contains the VM's name.
	Certificate string `json:"certificate" check:"minlen=1"`
	// Key is the path of the certificate's private key.
	Key string `json:"key" check:"minlen=1"`
	// Authority is the path of the trusted certificate authorities' certificates.
	Authority string `json:"authority" check:"minlen=1"`
	// Mode is accept (accepts TLS and plain connections, dials plain ones), dial (accepts both, dials
	// TLS) or require (TLS only). Default require.
	Mode string `json:"mode,omitempty" check:"oneof=accept|dial|require"`
}

// On reports whether the file has a TLS block.
func (t TLS) On() bool { return t != TLS{} }

// Listen has the addresses of the daemon's four listeners.
type Listen struct {
	// Callers is for callers' HTTP requests.
	Callers string `json:"callers" check:"format=address"`
	// Upstreams is for upstreams' announcements.
	Upstreams string `json:"upstreams" check:"format=address"`
	// Peers is for connections from other VMs.
	Peers string `json:"peers" check:"format=address"`
	// Admin is for operators' requests to the administration API.
	Admin string `json:"admin" check:"format=address"`
}

// Peer describes a VM known at start.
type Peer struct {
	// VM is the name of the VM.
	VM string `json:"vm" check:"format=host"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone" check:"format=host"`
	// Address is the IP:port that the VM listens on for other VMs.
	Address string `json:"address" check:"format=address"`
	// Control marks a VM that has a data folder and is an initial voter of the replicated groups.
	Control bool `json:"control,omitempty"`
}

// Limits of a settings file.
const (
	MaxBytes        = 1 << 20 // bytes
	MaxControlPeers = 8       // VMs with the control role
)

// Defaults of the optional fields.
const (
	DefaultShutdownLimitSeconds = 600
	DefaultLogLevel             = "info"
	DefaultTLSMode              = "require"
)
