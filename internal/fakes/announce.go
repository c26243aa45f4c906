package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/upstream/wire"
)

// announceTimeout limits one announcement request.
const announceTimeout = time.Second

// maxKnownVMs is the size of the VM list above which addresses from replies are ignored.
const maxKnownVMs = 32

// loadSamplesPerLag is the number of load samples taken per Options.LoadLag.
const loadSamplesPerLag = 4

// errDeparted is returned for a regular announcement that is built after the goodbye.
var errDeparted = errors.New("fakes: no announcement after the goodbye")

// announcer sends the stand-in's announcements to one VM and fails over to the next on error.
type announcer struct {
	opts        Options
	address     string
	worker      worker
	faults      *faults
	client      *http.Client
	incarnation int64

	mu       sync.Mutex
	departed bool // set by goodbye; no regular announcement is built afterwards
	vms      []string
	next     int
	sequence uint64
	samples  []loadReport
}

func newAnnouncer(opts Options, incarnation int64, address string, w worker, f *faults) *announcer {
	return &announcer{
		opts:    opts,
		address: address,
		worker:  w,
		faults:  f,
		// A new connection per announcement, so that an unresponsive connection is never reused.
		client: &http.Client{
			Timeout:   announceTimeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
		incarnation: incarnation,
		vms:         slices.Clone(opts.AnnounceTo),
	}
}

// run samples the load and sends announcements until ctx is done.
func (a *announcer) run(ctx context.Context) {
	if len(a.vms) == 0 {
		return
	}
	sample := time.NewTicker(a.opts.LoadLag / loadSamplesPerLag)
	defer sample.Stop()
	send := time.NewTicker(a.opts.AnnounceInterval)
	defer send.Stop()
	a.takeSample()
	a.announceToCurrent(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sample.C:
			a.takeSample()
		case <-send.C:
			a.announceToCurrent(ctx)
		}
	}
}

// goodbye sends the goodbye to the known VMs in turn until one accepts it, and reports whether
// one did. It does not wait for an announcement that is still in flight.
func (a *announcer) goodbye(ctx context.Context) bool {
	a.mu.Lock()
	a.departed = true
	order := make([]string, len(a.vms))
	for i := range a.vms {
		order[i] = a.vms[(a.next+i)%len(a.vms)]
	}
	a.mu.Unlock()
	for _, vm := range order {
		if accepted, _ := a.announce(ctx, vm, true); accepted {
			return true
		}
	}
	return false
}

// announceToCurrent sends an announcement to the current VM and switches to the next VM if the
// request fails.
func (a *announcer) announceToCurrent(ctx context.Context) {
	a.mu.Lock()
	vm := a.vms[a.next%len(a.vms)]
	a.mu.Unlock()
	if _, err := a.announce(ctx, vm, false); err != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.next++
	}
}

// announce sends one announcement to vm and reports whether it was accepted.
func (a *announcer) announce(ctx context.Context, vm string, goodbye bool) (accepted bool, err error) {
	if a.faults.get().StopAnnouncing {
		return false, nil
	}
	body, err := a.build(goodbye)
	if err != nil {
		return false, err
	}
	reply, err := a.post(ctx, vm, body)
	if err != nil {
		return false, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addVMs(reply.VMs)
	return reply.Accepted, nil
}

func (a *announcer) post(ctx context.Context, vm string, body []byte) (wire.AnnounceReply, error) {
	var reply wire.AnnounceReply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm+wire.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderSignature, wire.Sign(a.opts.Secret, body))
	resp, err := a.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return reply, err
	}
	if resp.StatusCode != http.StatusOK {
		return reply, errors.Newf("fakes: announcement answered with status %d", resp.StatusCode)
	}
	return reply, json.Unmarshal(data, &reply)
}

func (a *announcer) build(goodbye bool) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.departed && !goodbye {
		return nil, errDeparted
	}
	a.sequence++
	load := a.laggingLoad()
	ann := wire.Announcement{
		Upstream:      a.opts.Name,
		Class:         a.opts.Class,
		Incarnation:   a.incarnation,
		Sequence:      a.sequence,
		SentAtMS:      time.Now().UnixMilli(),
		Zone:          a.opts.Zone,
		Kind:          a.opts.Kind,
		Address:       a.address,
		Serves:        a.worker.serves(),
		Goodbye:       goodbye,
		ChecksFencing: load.hasFencing,
		CanResume:     load.canResume,
		Limits: wire.Limits{
			Slots: load.slots, KVTokens: load.kvLimit, Models: a.opts.Engine.Models, MemoryMB: a.opts.Engine.MemoryMB,
		},
		Load: wire.Load{Running: load.running, Waiting: load.waiting, KVTokensUsed: load.kvTokens},
	}
	if ann.Serves == nil {
		ann.Serves = []string{}
	}
	return json.Marshal(ann)
}

// addVMs adds the VM addresses from a reply, up to maxKnownVMs. The caller holds mu.
func (a *announcer) addVMs(vms []string) {
	for _, vm := range vms {
		if len(a.vms) < maxKnownVMs && !slices.Contains(a.vms, vm) {
			a.vms = append(a.vms, vm)
		}
	}
}

func (a *announcer) takeSample() {
	report := a.worker.load()
	report.at = time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.samples = append(a.samples, report)
	for len(a.samples) > 1 && time.Since(a.samples[1].at) >= a.opts.LoadLag {
		a.samples = a.samples[1:]
	}
}

// laggingLoad returns the newest sample that is at least LoadLag old, or the oldest one if none
// is. The caller holds mu.
func (a *announcer) laggingLoad() loadReport {
	if len(a.samples) == 0 {
		return a.worker.load()
	}
	return a.samples[0]
}
