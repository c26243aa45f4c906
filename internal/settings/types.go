// Package settings reads a process's own settings file: who it is, where it listens, and
// which other VMs it starts from. Everything shared is in the operators' file instead.
package settings

// Settings is the file, JSON with comments.
type Settings struct {
	// VM is this VM's name, unique in the fleet: 1 to 64 characters of a-z, 0-9 and '-'.
	VM string `json:"vm" check:"format=host"`
	// Zone is the availability zone that the VM stands in.
	Zone string `json:"zone" check:"format=host"`
	// Listen are the addresses that the daemon listens on, IP:port each.
	Listen Listen `json:"listen"`
	// DataFolder is where a VM with a disk keeps its state. Empty: no disk, entry role only.
	DataFolder string `json:"data_folder,omitempty"`
	// Peers are the VMs known at start: all control VMs and this one. Others join by themselves.
	Peers []Peer `json:"peers"`
	// ShutdownLimitSeconds bounds a graceful shutdown. Seconds; default 600.
	ShutdownLimitSeconds float64 `json:"shutdown_limit_seconds,omitempty" check:"above=0,max=86400"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level,omitempty" check:"oneof=debug|info|warn|error"`
	// TLS protects the connections between VMs and the administration API. Absent: neither is
	// protected, and both belong on a network of their own.
	TLS TLS `json:"tls,omitempty,omitzero"`
	// FaultInjection lets the administration API cut this VM's links to other VMs. For test
	// fleets only. Default false.
	FaultInjection bool `json:"fault_injection,omitempty"`
}

// TLS names the files, PEM, by which a VM proves which one it is and checks others. They are
// read again when they change.
type TLS struct {
	// Certificate is the path of this VM's certificate. It names the VM.
	Certificate string `json:"certificate" check:"minlen=1"`
	// Key is the path of the certificate's private key.
	Key string `json:"key" check:"minlen=1"`
	// Authority is the path of the certificates of the authorities that are trusted.
	Authority string `json:"authority" check:"minlen=1"`
	// Mode is accept (protected and plain connections are let in, plain ones are dialled), dial
	// (both are let in, protected ones are dialled) or require. Default require.
	Mode string `json:"mode,omitempty" check:"oneof=accept|dial|require"`
}

// On reports whether the file has the block.
func (t TLS) On() bool { return t != TLS{} }

// Listen are the four listeners of a daemon.
type Listen struct {
	// Callers takes callers' HTTP requests.
	Callers string `json:"callers" check:"format=address"`
	// Upstreams takes upstreams' announcements.
	Upstreams string `json:"upstreams" check:"format=address"`
	// Peers takes connections from other VMs.
	Peers string `json:"peers" check:"format=address"`
	// Admin takes operators' requests.
	Admin string `json:"admin" check:"format=address"`
}

// Peer is one VM as known at start.
type Peer struct {
	// VM is its name.
	VM string `json:"vm" check:"format=host"`
	// Zone is its availability zone.
	Zone string `json:"zone" check:"format=host"`
	// Address is its listener for other VMs, IP:port.
	Address string `json:"address" check:"format=address"`
	// Control says that it has a data folder and is an initial voter of the replicated groups.
	Control bool `json:"control,omitempty"`
}

// Bounds of a settings file.
const (
	MaxBytes        = 1 << 20 // bytes of text
	MaxControlPeers = 8       // VMs that may be set aside for control
)

// Defaults of the optional fields.
const (
	DefaultShutdownLimitSeconds = 600
	DefaultLogLevel             = "info"
	DefaultTLSMode              = "require"
)
