package harness

import (
	"bufio"
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/config"
	"egretramp/internal/fakes"
	"egretramp/internal/loopback"
)

// UpstreamSpec describes a simulated upstream that runs as a process.
type UpstreamSpec struct {
	Name   string
	Zone   string
	Kind   config.UpstreamKind
	Class  string
	Secret string
	Serves []string
	// Aliases maps additional names of a model to the name that answers are derived from.
	Aliases map[string]string
	// Args holds additional arguments for egretramp-fake.
	Args []string
}

// Upstream is a simulated upstream. It keeps its address across restarts.
type Upstream struct {
	*Process
	Spec    UpstreamSpec
	Address string
	Control *fakes.Client
	records string
}

// AddUpstream adds a simulated upstream without starting it. It will announce itself to the VMs of
// its own zone before others.
func (f *Fleet) AddUpstream(spec UpstreamSpec) (*Upstream, error) {
	addr, err := loopback.Address()
	if err != nil {
		return nil, err
	}
	records := filepath.Join(f.opts.Dir, spec.Name+".records")
	args := []string{
		"--kind", string(spec.Kind), "--name", spec.Name, "--zone", spec.Zone,
		"--class", spec.Class, "--secret", spec.Secret, "--listen", addr,
		"--announce", strings.Join(f.announceTo(spec.Zone), ","),
		"--serves", strings.Join(spec.Serves, ","), "--record-to", records,
	}
	for name, model := range spec.Aliases {
		args = append(args, "--alias", name+"="+model)
	}
	u := &Upstream{
		Process: NewProcess(spec.Name, f.logs(), f.program(fakeProgram), append(args, spec.Args...)...),
		Spec:    spec,
		Address: addr,
		Control: fakes.NewClient(addr),
		records: records,
	}
	f.Upstreams = append(f.Upstreams, u)
	return u, nil
}

func (f *Fleet) announceTo(zone string) []string {
	var own, others []string
	for _, vm := range f.VMs {
		if vm.Settings.Zone == zone {
			own = append(own, vm.Settings.Listen.Upstreams)
			continue
		}
		others = append(others, vm.Settings.Listen.Upstreams)
	}
	return slices.Concat(own, others)
}

// StartUpstreams starts all upstreams, waits until they respond, and makes them watch received
// data for the given strings.
func (f *Fleet) StartUpstreams(ctx context.Context, watch []string) error {
	for _, u := range f.Upstreams {
		if err := u.Start(); err != nil {
			return err
		}
	}
	for _, u := range f.Upstreams {
		if err := u.WaitReady(ctx); err != nil {
			return err
		}
		if err := u.Control.Watch(ctx, watch); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the upstream responds or ctx ends.
func (u *Upstream) WaitReady(ctx context.Context) error {
	return u.retryUntilReady(ctx, func(ctx context.Context) error {
		_, err := u.Control.Faults(ctx)
		return err
	})
}

// Records returns the upstream's records from all its starts.
func (u *Upstream) Records() (fakes.Records, error) {
	return fakes.ReadRecords(u.records)
}

// Pause between attempts while waiting for a process, and the timeout of one attempt.
const (
	readyInterval       = 50 * time.Millisecond
	readyAttemptTimeout = time.Second
)

// retryUntilReady calls try until it succeeds, ctx ends, or the process exits.
func (p *Process) retryUntilReady(ctx context.Context, try func(context.Context) error) error {
	for {
		limited, cancel := context.WithTimeout(ctx, readyAttemptTimeout)
		err := try(limited)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-p.Exited():
			return errors.Newf("harness: %s exited; its output ends with:\n%s", p.Name, indent(p.LogTail()))
		case <-ctx.Done():
			return errors.Wrapf(err, "harness: %s did not become ready; its output ends with:\n%s\nlast attempt", p.Name, indent(p.LogTail()))
		case <-time.After(readyInterval):
		}
	}
}

func indent(text string) string {
	var b strings.Builder
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		fmt.Fprintf(&b, "    %s\n", lines.Text())
	}
	return strings.TrimSuffix(b.String(), "\n")
}
