package daemon

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"egretramp/internal/admin"
	"egretramp/internal/config"
	"egretramp/internal/fakes"
)

// benchRate is a rate limit, in calls per second, that one machine can't reach.
const benchRate = 1e6

// resourceUsage holds the cumulative resource usage of a testFleet: CPU time of the whole test process, and traffic
// between the VMs.
type resourceUsage struct {
	at                    time.Time
	cpu                   time.Duration
	sent, messages, calls int64
}

func (f *testFleet) resourceUsage() resourceUsage {
	var usage syscall.Rusage
	require.NoError(f.t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	c := resourceUsage{at: time.Now(), cpu: time.Duration(usage.Utime.Nano() + usage.Stime.Nano())}
	for _, d := range f.daemons {
		c.sent += d.node.Stats().BytesSent.Load()
		c.messages += d.node.Stats().MessagesSent.Load()
		c.calls += d.node.Stats().CallsMade.Load()
	}
	return c
}

// measureIdle returns the bytes sent between VMs and the CPU nanoseconds of an idle fleet, per second.
func (f *testFleet) measureIdle() (bytes, cpu float64) {
	const span = 4 * time.Second
	time.Sleep(time.Second)
	from := f.resourceUsage()
	time.Sleep(span)
	to := f.resourceUsage()
	return float64(to.sent-from.sent) / span.Seconds(), float64(to.cpu-from.cpu) / span.Seconds()
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func reportLatencies(b *testing.B, name string, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, name+"-p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, name+"-p99-ms")
}

// benchFile returns baseFile with benchRate as the rate limit of its accounts, and with the given number
// of additional client accounts.
func benchFile(generation uint64, accounts int) config.File {
	file := baseFile(generation)
	for i := range file.ClientAccounts {
		file.ClientAccounts[i].RatePerSecond, file.ClientAccounts[i].Burst = benchRate, benchRate
	}
	for i := range accounts {
		id := fmt.Sprintf("account-%04d", i)
		file.ClientAccounts = append(file.ClientAccounts, account(id, "LEDGER-"+id, "sk-"+id+"-0123456789"))
	}
	return file
}

// BenchmarkFleet_Apply applies one configuration after another through one of three VMs, each in a zone
// of its own. It reports the time until a configuration is in force on all of them, and the resource
// usage of a change above that of the idle fleet.
func BenchmarkFleet_Apply(b *testing.B) {
	for _, accounts := range []int{8, 990, 9_900} {
		b.Run(fmt.Sprintf("%d accounts", accounts), func(b *testing.B) {
			f := newTestFleet(b)
			f.apply(benchFile(1, accounts))
			bytes, cpu := f.measureIdle()
			accepted, inForce := newLatencies(), newLatencies()
			text := 0
			from := f.resourceUsage()
			b.ResetTimer()
			for i := range b.N {
				text = f.timeApply(benchFile(uint64(i)+2, accounts), accepted, inForce)
			}
			b.StopTimer()
			to := f.resourceUsage()
			seconds := to.at.Sub(from.at).Seconds()
			vms := float64(len(f.daemons) * b.N)
			reportLatencies(b, "accepted", accepted)
			reportLatencies(b, "in-force", inForce)
			b.ReportMetric(float64(text), "text-B")
			b.ReportMetric((float64(to.sent-from.sent)-bytes*seconds)/vms, "sent-B/change/VM")
			b.ReportMetric((float64(to.cpu-from.cpu)-cpu*seconds)/vms/1e6, "cpu-ms/change/VM")
			b.ReportMetric(bytes/float64(len(f.daemons)), "rest-sent-B/s/VM")
			b.ReportMetric(cpu/float64(len(f.daemons))/1e6, "rest-cpu-ms/s/VM")
		})
	}
}

func (f *testFleet) timeApply(file config.File, accepted, inForce *hdrhistogram.Histogram) int {
	text := []byte(mustText(f.t, file))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	start := time.Now()
	_, err := (&backend{daemon: f.daemons[0]}).Apply(ctx, admin.ApplyRequest{Text: text, Operator: "bench"})
	require.NoError(f.t, err)
	require.NoError(f.t, accepted.RecordValue(time.Since(start).Microseconds()))
	for _, d := range f.daemons {
		for d.fleet.View().Acceptance.Generation < file.Generation {
			require.NoError(f.t, ctx.Err(), "the generation is not in force on every VM")
			time.Sleep(200 * time.Microsecond)
		}
	}
	require.NoError(f.t, inForce.RecordValue(time.Since(start).Microseconds()))
	return len(text)
}

// fastEngine starts an engine that responds immediately, so that benchmarks measure the system's own
// latency.
func (f *testFleet) fastEngine() *fakes.Fake {
	return f.fake(fakes.Options{
		Kind: config.KindEngine, Name: "engine-0", Zone: "zone0", Class: "engines", Secret: engineRoot, Serves: []string{"WIG/L"},
		Engine: fakes.EngineOptions{Slots: 256, KVTokens: 100_000_000, StepTime: time.Microsecond, StepPerCall: 1, PrefillPerToken: 1},
	})
}

// BenchmarkFleet_Turn runs calls with three VMs and one engine that responds immediately: directly to the
// engine, as programs of one call, and as the first turns of programs. It reports the latency of a call,
// and the traffic between VMs and CPU time of a call above those of the idle fleet. Callers and engine
// run in this process too, so the CPU time includes theirs.
func BenchmarkFleet_Turn(b *testing.B) {
	f := newTestFleet(b)
	f.apply(benchFile(1, 0))
	engine := f.fastEngine()
	f.waitForReplicas(1)
	straight := "http://" + engine.Addr() + "/v1/chat/completions"
	var programs atomic.Int64
	calls := map[string]func(caller int){
		"straight to the engine": func(int) { f.post(straight) },
		"one call":               func(caller int) { f.post(f.callers(caller), "Authorization", "Bearer "+keyAna) },
		"first turn": func(caller int) {
			program := fmt.Sprint("p-", programs.Add(1))
			f.post(f.callers(caller), "Authorization", "Bearer "+keyAna, headerProgram, program, headerTurn, "1")
		},
	}
	for _, name := range slices.Sorted(maps.Keys(calls)) {
		for _, callers := range []int{1, 32} {
			b.Run(fmt.Sprintf("%s/%d callers", name, callers), func(b *testing.B) {
				benchCalls(b, f, callers, calls[name])
			})
		}
	}
}

// BenchmarkFleet_FirstTurnByHome creates programs with each kind of home, through the VM in the engine's
// zone, and runs their first turns.
func BenchmarkFleet_FirstTurnByHome(b *testing.B) {
	f := newTestFleet(b)
	f.apply(benchFile(1, 0))
	f.fastEngine()
	f.waitForReplicas(1)
	var programs atomic.Int64
	for _, home := range []string{"majority", "zone"} {
		b.Run(home, func(b *testing.B) {
			benchCalls(b, f, 1, func(int) {
				p := f.create(0, fmt.Sprintf(`{"name":"p-%d","home":%q}`, programs.Add(1), home)).program(b)
				f.post(f.callers(0), "Authorization", "Bearer "+keyAna, headerProgram, p.ID, headerTurn, "1")
			})
		})
	}
}

// BenchmarkFleet_Rest reports the resource usage of three idle VMs.
func BenchmarkFleet_Rest(b *testing.B) {
	f := newTestFleet(b)
	f.apply(benchFile(1, 0))
	for range b.N {
		bytes, cpu := f.measureIdle()
		vms := float64(len(f.daemons))
		b.ReportMetric(bytes/vms, "B/s/VM")
		b.ReportMetric(cpu/vms/1e6, "cpu-ms/s/VM")
		b.ReportMetric(float64(runtime.NumGoroutine())/vms, "goroutines/VM")
	}
}

// callers returns the chat URL of the VM that serves a caller; callers are spread over the VMs.
func (f *testFleet) callers(caller int) string {
	return "http://" + f.daemons[caller%len(f.daemons)].settings.Listen.Callers + "/v1/chat/completions"
}

// post sends a chat call and fails the test unless the answer is 200.
func (f *testFleet) post(url string, headers ...string) {
	r, err := f.tryPost(url, chatBody(f.t, []fakes.Message{user("a powdered wig, please")}, false), headers...)
	if err != nil || r.status != http.StatusOK {
		f.t.Errorf("%v %d %s", err, r.status, r.body)
	}
}

// benchCalls runs b.N calls from concurrent callers and reports their latency and resource usage.
func benchCalls(b *testing.B, f *testFleet, callers int, call func(caller int)) {
	for caller := range len(f.daemons) {
		call(caller)
	}
	bytes, cpu := f.measureIdle()
	histograms := make([]*hdrhistogram.Histogram, callers)
	from := f.resourceUsage()
	b.ResetTimer()
	var wg conc.WaitGroup
	for c := range callers {
		histograms[c] = newLatencies()
		wg.Go(func() {
			for i := c; i < b.N; i += callers {
				start := time.Now()
				call(c)
				_ = histograms[c].RecordValue(time.Since(start).Microseconds())
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	to := f.resourceUsage()
	all := newLatencies()
	for _, h := range histograms {
		all.Merge(h)
	}
	seconds := to.at.Sub(from.at).Seconds()
	n := float64(b.N)
	reportLatencies(b, "call", all)
	b.ReportMetric(n/seconds, "calls/s")
	b.ReportMetric((float64(to.sent-from.sent)-bytes*seconds)/n, "peer-B/call")
	b.ReportMetric(float64(to.messages-from.messages+to.calls-from.calls)/n, "peer-messages/call")
	b.ReportMetric((float64(to.cpu-from.cpu)-cpu*seconds)/n/1000, "cpu-us/call")
}

// BenchmarkGateway_OpenStreams reports the memory of an open stream: the growth of this process, which
// also holds the caller's and the engine's ends, minus the growth for the same number of streams directly
// to the engine.
func BenchmarkGateway_OpenStreams(b *testing.B) {
	const streams = 200
	f := newTestFleet(b)
	f.apply(benchFile(1, 0))
	engine := f.fastEngine()
	f.waitForReplicas(1)
	f.post(f.callers(0), "Authorization", "Bearer "+keyAna)
	engine.SetFaults(fakes.Faults{Hang: true})
	for range b.N {
		straight := f.memoryGrowth(streams, func() int { return 0 }, "http://"+engine.Addr()+"/v1/chat/completions")
		through := f.memoryGrowth(streams, f.daemons[0].gateway.InFlight, f.callers(0), "Authorization", "Bearer "+keyAna)
		b.ReportMetric(float64(straight)/streams, "straight-B/stream")
		b.ReportMetric(float64(through-straight)/streams, "B/stream")
	}
}

// memoryGrowth opens streams that get no response and returns by how many bytes the memory in use grows.
func (f *testFleet) memoryGrowth(streams int, inFlight func() int, url string, headers ...string) int64 {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	before := memoryInUse()
	body := chatBody(f.t, []fakes.Message{user("long")}, true)
	for range streams {
		wg.Go(func() { f.postAndDiscard(ctx, url, body, headers...) })
	}
	const settle = 3 * time.Second
	time.Sleep(settle)
	if len(headers) > 0 {
		require.Equal(f.t, streams, inFlight())
	}
	after := memoryInUse()
	cancel()
	wg.Wait()
	f.eventually("the streams are still open", func() bool { return inFlight() == 0 })
	return after - before
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// benchClient keeps enough idle connections for all concurrent callers.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func (f *testFleet) request(ctx context.Context, url, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return benchClient.Do(req)
}

func (f *testFleet) tryPost(url, body string, headers ...string) (reply, error) {
	resp, err := f.request(context.Background(), url, body, headers...)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(data)}, err
}

// postAndDiscard sends a request, discards the response and returns when the response or ctx ends.
func (f *testFleet) postAndDiscard(ctx context.Context, url, body string, headers ...string) {
	resp, err := f.request(ctx, url, body, headers...)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
