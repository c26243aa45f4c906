// Package loopback allocates listener addresses for tests, demos and benchmarks on one machine.
//
// The kernel may assign a port that was free a moment ago to the next outgoing connection, so that
// a listener opened later fails, and a dial to a closed port of the same address may even connect
// to itself. The addresses of this package avoid both: each process has its own IP address in
// 127.0.0.0/8, while outgoing connections to it have the source address 127.0.0.1, and no address
// is allocated twice.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Range of allocated ports, below the kernel's ephemeral ports.
const (
	firstPort = 12_000
	lastPort  = 31_999
)

// maxPID is the largest process ID on Linux.
const maxPID = 1<<22 - 1

// ErrExhausted is returned once all ports of the process have been allocated.
var ErrExhausted = errors.New("loopback: no address is left")

var allocated atomic.Int64

// IP returns the loopback address of the process with this ID, from 127.1.0.0 to 127.64.255.255.
func IP(pid int) net.IP {
	n := pid & maxPID
	return net.IPv4(127, byte(1+n>>16), byte(n>>8), byte(n))
}

// Address returns an unused address, IP:port, of this process. It returns ErrExhausted when none is
// left.
func Address() (string, error) {
	ip := IP(os.Getpid()).String()
	for {
		port := firstPort + allocated.Add(1) - 1
		if port > lastPort {
			return "", ErrExhausted
		}
		address := net.JoinHostPort(ip, strconv.FormatInt(port, 10))
		if isFree(address) {
			return address, nil
		}
	}
}

// isFree reports whether an address can be listened on. It may be in use by child processes of an
// earlier process with the same ID.
func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
