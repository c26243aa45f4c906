package callermem

const (
	// fileDescriptors are reserved for files, as the users' platform does.
	fileDescriptors = 200
	// minConns is the least number of connections of a listener.
	minConns = 8
)

// Connections are the largest numbers of connections that a process accepts, 0 for no limit. The remaining descriptors are for
// connections that it opens itself: to upstreams, to other VMs, and for checks.
type Connections struct {
	Callers   int // of an entry VM, or operators and upstreams of a control VM
	Peers     int // other VMs
	Auxiliary int // each of the addresses for metrics and for readiness checks
}

// SplitDescriptors returns the numbers for a process with the given limit of descriptors, 0 for none. Other VMs connect to VMs that
// aren't entry VMs most.
func SplitDescriptors(limit int, isEntry bool) Connections {
	if limit <= 0 {
		return Connections{}
	}
	free := max(limit-fileDescriptors, 0)
	share := func(percent int) int { return max(free*percent/100, minConns) }
	if isEntry {
		return Connections{Callers: share(60), Peers: share(15), Auxiliary: share(2)}
	}
	return Connections{Callers: share(30), Peers: share(50), Auxiliary: share(2)}
}
