package soak

import (
	"context"
	"sync"
	"time"

	"egretramp/internal/harness"
)

// Timing of the polls of VMs.
const (
	pollPause   = 150 * time.Millisecond
	pollTimeout = time.Second
)

// observation is the status that a VM reported. A VM that did not answer has none.
type observation struct {
	vm         string
	from, to   time.Time // of the request
	generation uint64
	hash       string
	// serving reports whether the VM was serving under the generation.
	serving bool
}

// poller polls the VMs for the generation that is in force on them.
type poller struct {
	mu   sync.Mutex
	list []observation
}

// run polls one VM until ctx ends.
func (p *poller) run(ctx context.Context, vm *harness.VM) {
	for ctx.Err() == nil {
		p.poll(ctx, vm)
		sleep(ctx, pollPause)
	}
}

func (p *poller) poll(ctx context.Context, vm *harness.VM) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	o := observation{vm: vm.Name, from: time.Now()}
	status, err := vm.Status(ctx)
	if err != nil {
		return
	}
	o.to, o.generation, o.hash, o.serving = time.Now(), status.Generation, status.ConfigHash, status.Serving
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, o)
}

func (p *poller) all() []observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]observation(nil), p.list...)
}
