// Package loopback hands out addresses for listeners of tests, demos and measurements on one
// machine.
//
// The kernel gives a port that was free a moment ago to the next outgoing connection, so that a
// listener opened later fails, and a dial to a closed port of the same address may even connect
// to itself. The addresses of this package are safe from both: each process has an IP number of
// its own in 127.0.0.0/8, while outgoing connections to it start at 127.0.0.1, and no address is
// handed out twice.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Ports lie below the range that the kernel gives to outgoing connections.
const (
	firstPort = 12_000
	lastPort  = 31_999
)

// maxPID is the largest process number of Linux.
const maxPID = 1<<22 - 1

// ErrExhausted is returned once all ports of the process were handed out.
var ErrExhausted = errors.New("loopback: no address is left")

var allocated atomic.Int64

// IP returns the IP number that belongs to the process with this number: 127.1.0.0 to
// 127.64.255.255.
func IP(pid int) net.IP {
	n := pid & maxPID
	return net.IPv4(127, byte(1+n>>16), byte(n>>8), byte(n))
}

// Address returns an address, IP:port, that nothing listens on. Error: ErrExhausted.
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

// isFree reports whether nothing listens on an address, as processes started by an earlier process
// of the same number may do.
func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
