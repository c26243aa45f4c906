package node

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/suspect"
)

const (
	// strikeReportInterval is how often reports that failed are repeated, and how often control VMs that
	// were restarted are looked for.
	strikeReportInterval = 500 * time.Millisecond
	// strikeReportTimeout bounds one report to a control VM.
	strikeReportTimeout = 400 * time.Millisecond
)

// strikeReporter sends the records of requests that crashed upstreams from an entry VM to all control VMs,
// which pass them on to the other VMs. A control VM that was restarted gets all records of this VM, since
// it may have lost its own.
type strikeReporter struct {
	tracker *suspect.Tracker
	calls   peerCaller
	// epochs returns the epochs of the control VMs that respond.
	epochs func() map[string]uint64

	mu       sync.Mutex
	reported map[string]reportedStrikes // by control VM
}

// reportedStrikes is what a control VM has acknowledged.
type reportedStrikes struct {
	epoch   uint64 // of the control VM
	version uint64 // of the tracker's changes
}

// run sends reports until ctx ends.
func (r *strikeReporter) run(ctx context.Context) {
	timer := time.NewTimer(strikeReportInterval)
	defer timer.Stop()
	for {
		changed := r.round(ctx)
		timer.Reset(strikeReportInterval)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-timer.C:
		}
	}
}

// round sends each control VM the records that it lacks. It returns a channel that is closed on the next
// change of a record.
func (r *strikeReporter) round(ctx context.Context) <-chan struct{} {
	version, changed := r.tracker.Version()
	if version == 0 {
		return changed
	}
	epochs := r.epochs()
	r.forgetOthers(epochs)
	var wg conc.WaitGroup
	for vm, epoch := range epochs {
		wg.Go(func() { r.report(ctx, vm, epoch) })
	}
	wg.Wait()
	return changed
}

// forgetOthers removes the state of control VMs that don't respond.
func (r *strikeReporter) forgetOthers(epochs map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm := range r.reported {
		if _, ok := epochs[vm]; !ok {
			delete(r.reported, vm)
		}
	}
}

// report sends a control VM the records that changed since its last acknowledgement.
func (r *strikeReporter) report(ctx context.Context, vm string, epoch uint64) {
	r.mu.Lock()
	last, known := r.reported[vm]
	r.mu.Unlock()
	var records []suspect.Record
	var version uint64
	if known && last.epoch == epoch {
		records, version, _ = r.tracker.OwnSince(last.version)
	} else {
		records, version, _ = r.tracker.Since(0)
	}
	if len(records) > 0 {
		ctx, cancel := context.WithTimeout(ctx, strikeReportTimeout)
		defer cancel()
		if _, err := r.calls.Call(ctx, vm, methodStrike, encode(strikeReport{Records: records})); err != nil {
			return // repeated after strikeReportInterval; the watch logs that the control VM is unreachable
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported[vm] = reportedStrikes{epoch: epoch, version: version}
}

// mergeSuspects merges records that another VM reported, and logs those that changed.
func mergeSuspects(tracker *suspect.Tracker, log *events.Logger, from string, records []suspect.Record) {
	for _, rec := range tracker.Merge(records) {
		log.Emit(events.NodeStrikeReceived, zap.String("fingerprint", string(rec.Fingerprint)), zap.String("subject", rec.Subject),
			zap.Int("strikes", len(rec.Struck)), zap.Uint64("version", rec.Version), zap.String("from", from))
	}
}
