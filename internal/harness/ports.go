package harness

import (
	"fmt"
	"math/rand"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports are taken below the range that the kernel gives to outgoing connections, so that none
// is taken between being chosen and being listened on.
const (
	firstPort = 12_000
	lastPort  = 31_999
	// portTries bounds the search for one free port.
	portTries = 1_000
)

// ports hands out loopback addresses that are free, each once.
type ports struct {
	mu   sync.Mutex
	next int
}

func newPorts() *ports {
	return &ports{next: firstPort + rand.Intn(lastPort-firstPort)}
}

// take returns a free address.
func (p *ports) take() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range portTries {
		addr := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		if p.next > lastPort {
			p.next = firstPort
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", errors.Wrap(err, "harness: cannot free a port")
		}
		return addr, nil
	}
	return "", errors.New("harness: no free port")
}
