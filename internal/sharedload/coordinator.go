package sharedload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxProcesses bounds the processes that have a number, maxProcessName the length of their names.
	maxProcesses   = 8192
	maxProcessName = 512
	// numberRetention is how long a number is kept that no VM reports or asks for.
	numberRetention = 60 * time.Second
	// sweepInterval is the time between two searches for silent VMs and unused numbers.
	sweepInterval = 100 * time.Millisecond
	// maxZones bounds the zones of View.Origins.
	maxZones = 64
	// warmUp is how long a new coordinator gives no views. It has reports of a part of the VMs only, and upstreams that the
	// others fill would seem idle to all. VMs report at least each 200 ms, the first time without numbers.
	warmUp = MaxAge
)

// Coordinator sums the reports of all entry VMs. It is not safe for concurrent use.
type Coordinator struct {
	epoch    uint64
	started  time.Duration
	numbers  map[string]uint32
	names    map[uint32]*process
	next     uint32
	vms      map[string]*vmReport
	sweptAt  time.Duration
	rejected int
	// weight returns the weight of a client account's share.
	weight func(account string) float64
	// overShare are the accounts above their share as of overShareAt.
	overShare   []string
	overShareAt time.Duration
}

// process is an upstream's process with the sums of all reports of it.
type process struct {
	name     string
	usedAt   time.Duration
	inflight int
	// slowdown is the sum of slowdown x samples, in slowdownUnit.
	slowdown uint64
	samples  int
	attempts int
	failed   int
}

// vmReport is the last report of a VM.
type vmReport struct {
	started, sequence uint64
	at                time.Duration
	zone              string
	rows              map[uint32]reportRow
	accounts          []Account
	viewAt            time.Duration // when a view was sent
	hasView           bool
}

// NewCoordinator returns a coordinator that starts now, without reports. epoch differs from that of each other one.
func NewCoordinator(now time.Duration, epoch uint64) *Coordinator {
	return &Coordinator{epoch: epoch, started: now, numbers: map[string]uint32{}, names: map[uint32]*process{}, vms: map[string]*vmReport{}, weight: func(string) float64 { return 0 }}
}

// SetWeights sets the function that returns the weight of a client account's share of the programs, 0 for the average.
func (c *Coordinator) SetWeights(weight func(account string) float64) { c.weight = weight }

// Rejected returns the number of reports and rows that were ignored: repeated or late ones, and those that name an
// unknown upstream or can't be true.
func (c *Coordinator) Rejected() int { return c.rejected }

// Grant handles a report.
func (c *Coordinator) Grant(now time.Duration, vm string, r Request) Grant {
	c.sweep(now)
	c.apply(now, vm, r)
	g := Grant{Epoch: c.epoch, Numbers: c.number(now, r.Ask)}
	own := c.vms[vm]
	rows := len(c.names)
	interval := max(viewInterval, time.Duration(rows*bytesPerRow)*time.Second/viewBytesPerSecond)
	if own != nil && now-c.started >= warmUp && (!own.hasView || now-own.viewAt >= interval) {
		own.viewAt, own.hasView = now, true
		g.View = c.view(now, own)
	}
	return g
}

// apply replaces a VM's previous report.
func (c *Coordinator) apply(now time.Duration, vm string, r Request) {
	old := c.vms[vm]
	if old != nil && old.started == r.Started && r.Sequence <= old.sequence || len(r.Rows)%reportFields != 0 {
		c.rejected++
		return
	}
	report := &vmReport{started: r.Started, sequence: r.Sequence, at: now, zone: r.Zone, rows: map[uint32]reportRow{}}
	if old != nil {
		report.viewAt, report.hasView = old.viewAt, old.hasView
		c.forget(vm, old)
	}
	accounts, rejected := validAccounts(r.Accounts)
	report.accounts = accounts
	c.rejected += rejected
	c.vms[vm] = report
	if r.Epoch != c.epoch {
		return // the numbers are those of another coordinator
	}
	for f := range slices.Chunk(r.Rows, reportFields) {
		row, p := reportRow{f[1], f[2], f[3], f[4], f[5]}, c.names[f[0]]
		if _, repeated := report.rows[f[0]]; p == nil || repeated || !row.valid() {
			c.rejected++
			continue
		}
		report.rows[f[0]] = row
		p.usedAt = now
		p.add(row, 1)
	}
}

// add adds a row to the sums sign times.
func (p *process) add(r reportRow, sign int) {
	p.inflight += sign * int(r.inflight)
	p.slowdown += uint64(int64(sign) * int64(r.slowdown) * int64(r.samples)) // wraps back when it is subtracted
	p.samples += sign * int(r.samples)
	p.attempts += sign * int(r.attempts)
	p.failed += sign * int(r.failed)
}

// forget removes a VM's report from the sums.
func (c *Coordinator) forget(vm string, report *vmReport) {
	for number, row := range report.rows {
		if p := c.names[number]; p != nil {
			p.add(row, -1)
		}
	}
	delete(c.vms, vm)
}

// number returns the numbers of processes, and gives new ones.
func (c *Coordinator) number(now time.Duration, ask []string) map[string]uint32 {
	var numbers map[string]uint32
	for _, name := range ask {
		number, known := c.numbers[name]
		if !known {
			if name == "" || len(name) > maxProcessName || len(c.names) >= maxProcesses {
				c.rejected++
				continue
			}
			number = c.next
			c.next++
			c.numbers[name], c.names[number] = number, &process{name: name}
		}
		c.names[number].usedAt = now
		if numbers == nil {
			numbers = map[string]uint32{}
		}
		numbers[name] = number
	}
	return numbers
}

// view returns the view for a VM: without its own requests in flight, which it knows better.
func (c *Coordinator) view(now time.Duration, own *vmReport) *View {
	v := &View{AgeMs: c.meanAge(now).Milliseconds()}
	for number, p := range c.names {
		others := p.inflight - int(own.rows[number].inflight)
		if others == 0 && p.samples == 0 && p.attempts == 0 && p.failed == 0 {
			continue
		}
		slowdown := uint32(0)
		if p.samples > 0 {
			slowdown = uint32(p.slowdown / uint64(p.samples))
		}
		v.Rows = append(v.Rows, number, uint32(others), slowdown, uint32(p.attempts), uint32(p.failed))
	}
	v.Origins, v.OverShare = c.origins(), c.accountsOverShare(now)
	return v
}

// meanAge returns the mean age of the reports, of which there is at least one.
func (c *Coordinator) meanAge(now time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, report := range c.vms {
		sum += now - report.at
	}
	return sum / time.Duration(len(c.vms))
}

// origins returns the attempts by zone.
func (c *Coordinator) origins() []Origin {
	byZone := map[string]int{}
	for _, report := range c.vms {
		if _, known := byZone[report.zone]; !known && len(byZone) >= maxZones {
			continue
		}
		attempts := 0
		for _, row := range report.rows {
			attempts += int(row.attempts)
		}
		byZone[report.zone] += attempts
	}
	origins := make([]Origin, 0, len(byZone))
	for zone, n := range byZone {
		origins = append(origins, Origin{Zone: zone, PerSecond: n})
	}
	slices.SortFunc(origins, func(a, b Origin) int { return cmp.Compare(a.Zone, b.Zone) })
	return origins
}

// sweep removes the reports of silent VMs, and numbers that are no longer used.
func (c *Coordinator) sweep(now time.Duration) {
	if now-c.sweptAt < sweepInterval {
		return
	}
	c.sweptAt = now
	for vm, report := range c.vms {
		if now-report.at > MaxAge {
			c.forget(vm, report)
		}
	}
	for number, p := range c.names {
		if now-p.usedAt > numberRetention {
			delete(c.numbers, p.name)
			delete(c.names, number)
		}
	}
}
