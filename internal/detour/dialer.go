package detour

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"egretramp/internal/events"
	"egretramp/internal/peer"
	"egretramp/internal/upconn"
)

const (
	// headStart is how long a direct dial is alone before a detour is tried as well: many times the latency within
	// a region.
	headStart = 60 * time.Millisecond
	// detourTimeout bounds the opening of a detour, through up to maxVMs VMs.
	detourTimeout = 250 * time.Millisecond
	// nextVMDelay is how long a VM may take to open a detour before the next one is asked as well.
	nextVMDelay = 60 * time.Millisecond
	// maxVMs is the number of VMs that are asked for one connection.
	maxVMs = 3
	// goodFor is how long a VM that opened a detour is preferred.
	goodFor = 2 * time.Second
	// badFor is how long a VM that could not be reached, or reaches no upstream itself, isn't asked again.
	badFor = time.Second
	// surveyInterval is the shortest time between two surveys.
	surveyInterval = 300 * time.Millisecond
	// probeInterval is the time between two direct dials while this VM is cut off.
	probeInterval = 500 * time.Millisecond
	// silenceBeforeCheck is how long requests may wait for upstreams that all send nothing before the direct paths
	// are checked. An engine that is busy may take as long; the check then finds its path in order.
	silenceBeforeCheck = 300 * time.Millisecond
)

// Codes of the errors of VMs that are asked for a detour.
const (
	CodeRefused     = "upstream_refused"     // the upstream's host refused the connection
	CodeUnreachable = "upstream_unreachable" // this VM doesn't reach the upstream either
	CodeUnavailable = "vm_unavailable"       // this VM reaches no upstream itself, or is stopping
	CodeUnknown     = "upstream_unknown"     // no upstream is registered at the address
	CodeOverloaded  = "too_many_tunnels"
	CodeEvacuated   = "zone_evacuated" // the upstream's zone is out of service
)

var errNoDetour = errors.New("detour: no other entry VM reaches the upstream")

// Options configures a Dialer.
type Options struct {
	// Direct opens a connection to an upstream.
	Direct upconn.DialFunc
	// Tunnel opens a connection to an upstream through another VM.
	Tunnel func(ctx context.Context, vm, address string) (net.Conn, error)
	// VMs returns other entry VMs that may reach upstreams, nearest first.
	VMs func(ctx context.Context) []string
	// Upstreams returns the addresses of the upstreams that serve.
	Upstreams func() []string
	// OnChange is called when this VM is cut off from all upstreams, and when it isn't any more. silent says whether
	// packets are dropped.
	OnChange func(cut, silent bool)
	Clock    func() time.Duration
	Events   *events.Logger
}

// Dialer opens connections to upstreams, directly or through another entry VM. It is safe for concurrent use.
type Dialer struct {
	opts  Options
	paths *Paths

	mu         sync.Mutex
	goodUntil  map[string]time.Duration // by VM
	badUntil   map[string]time.Duration // by VM
	lastSurvey time.Duration
	surveying  bool
	lastProbe  time.Duration
	probed     int // number of probes, which rotates through the upstreams
	detours    int64
}

// New returns a dialer.
func New(opts Options) *Dialer {
	return &Dialer{opts: opts, paths: NewPaths(), goodUntil: map[string]time.Duration{}, badUntil: map[string]time.Duration{}}
}

// Cut reports whether this VM reaches no upstream itself.
func (d *Dialer) Cut() bool {
	cut, _ := d.paths.Cut()
	return cut
}

// Detoured reports whether connections to an upstream should lead through another VM at present.
func (d *Dialer) Detoured(address string) bool { return d.paths.Detoured(d.opts.Clock(), address) }

// Silenced reports whether this VM reaches no upstream itself because packets are dropped, so that open connections
// bring nothing either.
func (d *Dialer) Silenced() bool {
	_, silent := d.paths.Cut()
	return silent
}

// Detours returns the number of connections opened through other VMs.
func (d *Dialer) Detours() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detours
}

// dialed is the result of a dial.
type dialed struct {
	conn net.Conn
	err  error
}

func (r dialed) result() Result {
	switch {
	case r.err == nil:
		return Connected
	case upconn.RefusedByHost(r.err):
		return Refused
	}
	return Silent
}

// Dial implements upconn.DialFunc. It dials directly, and through another VM as well if that fails or takes long. The
// other way round while the direct path is known to fail. An error wraps ECONNREFUSED only if the upstream's host
// refused another VM too, or if none could be asked.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.Detoured(address) {
		conn, err := d.dialDetour(ctx, address)
		if err == nil || upconn.RefusedByHost(err) || d.Cut() {
			return conn, err
		}
	}
	directDue := make(chan dialed, 1)
	go func() {
		conn, err := d.opts.Direct(ctx, address)
		directDue <- dialed{conn, err}
	}()
	timer := time.NewTimer(headStart)
	defer timer.Stop()
	var direct *dialed
	select {
	case r := <-directDue:
		if r.err == nil || ctx.Err() != nil {
			return r.conn, r.err
		}
		direct = &r
	case <-timer.C:
	}
	return d.race(ctx, address, directDue, direct)
}

// race opens a detour beside a direct dial, whose result is due on directDue unless direct holds it already, and
// returns the connection that is open first.
func (d *Dialer) race(ctx context.Context, address string, directDue <-chan dialed, direct *dialed) (net.Conn, error) {
	detourDue := make(chan dialed, 1)
	go func() {
		conn, err := d.dialDetour(ctx, address)
		detourDue <- dialed{conn, err}
	}()
	var detour *dialed
	for direct == nil || detour == nil {
		select {
		case r := <-directDue:
			direct = &r
			if r.err == nil {
				if detour == nil {
					go closeWhenOpen(detourDue)
				}
				d.observe(Attempt{Address: address, Direct: Connected})
				return r.conn, nil
			}
		case r := <-detourDue:
			detour = &r
			if r.err == nil {
				if direct == nil {
					go d.observeLate(address, directDue)
				} else {
					d.observe(Attempt{Address: address, Direct: direct.result(), Detour: Connected})
				}
				return r.conn, nil
			}
		}
	}
	return nil, d.failure(ctx, address, *direct, *detour)
}

// failure returns the error when both ways failed.
func (d *Dialer) failure(ctx context.Context, address string, direct, detour dialed) error {
	if ctx.Err() != nil {
		return direct.err // the dials were cut short, which shows nothing
	}
	refused := detour.result() == Refused
	if !refused && !isUnreachable(detour.err) {
		return direct.err // no other VM tried to reach the upstream
	}
	d.observe(Attempt{Address: address, Direct: direct.result(), Detour: detour.result()})
	if refused {
		return detour.err
	}
	// Doesn't wrap the direct dial's error: a refusal may come from the partition, not from the upstream's host.
	return errors.Newf("detour: neither directly (%v) nor through another VM (%v)", direct.err, detour.err)
}

// isUnreachable reports whether another VM doesn't reach the upstream either.
func isUnreachable(err error) bool {
	return hasCode(err, CodeUnreachable) || hasCode(err, CodeUnavailable)
}

// hasCode reports whether another VM answered with an error code.
func hasCode(err error, code string) bool {
	var remote *peer.RemoteError
	return errors.As(err, &remote) && remote.Code == code
}

// closeWhenOpen closes a connection that isn't needed any more.
func closeWhenOpen(due <-chan dialed) {
	if r := <-due; r.err == nil {
		_ = r.conn.Close()
	}
}

// observeLate records the result of a direct dial that a detour was faster than.
func (d *Dialer) observeLate(address string, direct <-chan dialed) {
	r := <-direct
	if r.err == nil {
		_ = r.conn.Close()
	}
	d.observe(Attempt{Address: address, Direct: r.result(), Detour: Connected})
}

// observe records an attempt and acts on the consequence.
func (d *Dialer) observe(a Attempt) {
	d.act(d.paths.Observe(d.opts.Clock(), a), a)
}

func (d *Dialer) act(change Change, a Attempt) {
	switch change {
	case Suspected:
		d.opts.Events.Emit(events.DetourPathFailed, zap.String("address", a.Address), zap.Bool("refused", a.Direct == Refused))
		go d.survey(a.Address)
	case CutOff, Healed:
		cut, silent := d.paths.Cut()
		if cut {
			d.opts.Events.Emit(events.DetourCutOff, zap.Bool("silent", silent))
		} else {
			d.opts.Events.Emit(events.DetourHealed, zap.String("address", a.Address))
		}
		d.opts.OnChange(cut, silent)
	}
}

// survey dials some other upstreams both ways, to find out whether this VM is cut off from all.
func (d *Dialer) survey(suspect string) {
	d.mu.Lock()
	if d.surveying || d.lastSurvey > 0 && d.opts.Clock()-d.lastSurvey < surveyInterval {
		d.mu.Unlock()
		return
	}
	d.surveying = true
	d.mu.Unlock()
	attempts := d.attemptBothWays(d.sample(suspect))
	d.mu.Lock()
	d.surveying, d.lastSurvey = false, d.opts.Clock()
	d.mu.Unlock()
	d.act(d.paths.Survey(d.opts.Clock(), attempts), Attempt{Address: suspect})
}

// sample returns up to surveySize random upstreams other than the given one.
func (d *Dialer) sample(except string) []string {
	all := slices.DeleteFunc(slices.Clone(d.opts.Upstreams()), func(a string) bool { return a == except })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), surveySize)]
}

// attemptBothWays dials upstreams directly, and those that fail through another VM. It closes the connections.
func (d *Dialer) attemptBothWays(addresses []string) []Attempt {
	attempts := make([]Attempt, len(addresses))
	var wg conc.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			a := Attempt{Address: address, Direct: d.try(d.opts.Direct, address)}
			if a.Direct != Connected {
				a.Detour = d.try(d.dialDetour, address)
			}
			attempts[i] = a
		})
	}
	wg.Wait()
	return attempts
}

// try opens a connection and closes it again.
func (d *Dialer) try(dial upconn.DialFunc, address string) Result {
	ctx, cancel := context.WithTimeout(context.Background(), detourTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	return dialed{conn, err}.result()
}

// Check is called periodically. While this VM is cut off, it probes whether an upstream can be reached again;
// else it checks the path to an upstream that requests wait for, if nothing came from any upstream for some time.
func (d *Dialer) Check(waitingFor string, silentFor time.Duration) {
	now := d.opts.Clock()
	if d.Cut() {
		if address, due := d.nextProbe(now); due {
			go d.observe(Attempt{Address: address, Direct: d.try(d.opts.Direct, address)})
		}
		return
	}
	if waitingFor != "" && silentFor >= silenceBeforeCheck {
		go d.checkPath(waitingFor)
	}
}

// nextProbe returns the upstream to probe now, and whether a probe is due.
func (d *Dialer) nextProbe(now time.Duration) (string, bool) {
	upstreams := d.opts.Upstreams()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(upstreams) == 0 || now-d.lastProbe < probeInterval {
		return "", false
	}
	d.lastProbe = now
	d.probed++
	return upstreams[d.probed%len(upstreams)], true
}

// checkPath dials an upstream both ways.
func (d *Dialer) checkPath(address string) {
	d.mu.Lock()
	now := d.opts.Clock()
	due := now-d.lastProbe >= probeInterval
	if due {
		d.lastProbe = now
	}
	d.mu.Unlock()
	if !due {
		return
	}
	for _, a := range d.attemptBothWays([]string{address}) {
		d.observe(a)
	}
}

// dialDetour opens a connection through another VM.
func (d *Dialer) dialDetour(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	vms := d.order(d.opts.VMs(ctx))
	if len(vms) == 0 {
		return nil, errNoDetour
	}
	results := make(chan dialed, len(vms))
	timer := time.NewTimer(0)
	defer timer.Stop()
	started, due := 0, 0
	var lastErr error
	for started < len(vms) || due > 0 {
		select {
		case <-timer.C:
			if started < len(vms) {
				vm := vms[started]
				started++
				due++
				go func() { results <- d.tunnel(ctx, vm, address) }()
				timer.Reset(nextVMDelay)
			}
		case r := <-results:
			due--
			if r.err == nil || upconn.RefusedByHost(r.err) {
				go closeAll(results, due)
				return r.conn, r.err
			}
			if lastErr == nil || isUnreachable(r.err) {
				lastErr = r.err
			}
			timer.Reset(0)
		}
	}
	return nil, lastErr
}

// closeAll closes the connections of dials whose results are still due.
func closeAll(results <-chan dialed, due int) {
	for range due {
		closeWhenOpen(results)
	}
}

// tunnel opens a connection through one VM.
func (d *Dialer) tunnel(ctx context.Context, vm, address string) dialed {
	conn, err := d.opts.Tunnel(ctx, vm, address)
	refused := hasCode(err, CodeRefused)
	now := d.opts.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil || refused {
		d.goodUntil[vm] = now + goodFor
		delete(d.badUntil, vm)
	} else if !hasCode(err, CodeUnreachable) && !hasCode(err, CodeEvacuated) && !errors.Is(ctx.Err(), context.Canceled) { // canceled: another VM was faster
		d.badUntil[vm] = now + badFor
		delete(d.goodUntil, vm)
	}
	if err == nil {
		d.detours++
		return dialed{conn: conn}
	}
	if refused {
		err = errors.CombineErrors(errors.Wrapf(unix.ECONNREFUSED, "detour: through %s", vm), err)
	}
	return dialed{err: err}
}

// order returns the VMs to ask for a detour, in this order: those that opened one lately, at random so that they share
// the load, then the others, but none that was of no help lately. There are at most maxVMs.
func (d *Dialer) order(vms []string) []string {
	now := d.opts.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	var good, other []string
	for _, vm := range vms {
		switch {
		case d.goodUntil[vm] > now:
			good = append(good, vm)
		case d.badUntil[vm] <= now:
			other = append(other, vm)
		}
	}
	rand.Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	ordered := append(good, other...)
	return ordered[:min(len(ordered), maxVMs)]
}
