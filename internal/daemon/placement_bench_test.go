package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/fakes"
)

const (
	placementBenchSeed = 1
	placementBenchTime = 20 * time.Second
	placementBenchRate = 55 // calls a second for wig-small, of which one engine serves about 40
)

// BenchmarkFleet_Placement sends more seeded calls for a model than its one replica can serve, while three
// engines have no model loaded, without placement and with it. With placement it first reports how long
// it takes until a model without a replica is served, which leaves two engines without a model.
func BenchmarkFleet_Placement(b *testing.B) {
	for _, enabled := range []bool{false, true} {
		b.Run(fmt.Sprintf("enabled=%v", enabled), func(b *testing.B) {
			for b.Loop() {
				benchPlacement(b, enabled)
			}
		})
	}
}

func benchPlacement(b *testing.B, enabled bool) {
	f := newTestFleet(b)
	file := placementFile(1)
	file.Placement.Enabled = enabled
	file.Placement.LoadsUnderWay, file.Placement.PlanSeconds = 2, 1
	file.Models = append(file.Models, config.Model{Named: config.Named{ID: "wig-rare"}})
	f.apply(file)
	store := f.store()
	f.placedEngine("large", "zone0", store, "WIG/L")
	f.placedEngine("small", "zone0", store, "wig-small")
	for i := range 3 {
		f.placedEngine(fmt.Sprint("free", i), fmt.Sprintf("zone%d", i), store)
	}
	f.waitForReplicas(2)
	if enabled {
		from := time.Now()
		f.eventually("wig-rare is not served", func() bool { return f.callModel("wig-rare", 8).status == http.StatusOK })
		b.ReportMetric(float64(time.Since(from).Milliseconds()), "demand-to-served-ms")
	}
	waits, refused := f.sendSeededCalls()
	b.ReportMetric(float64(waits.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(waits.ValueAtQuantile(95))/1000, "p95-ms")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(float64(waits.TotalCount()), "answered")
	loads, err := fakes.NewClient(store.Addr()).Runs(context.Background())
	require.NoError(b, err)
	b.ReportMetric(float64(len(loads)), "loads")
	b.ReportMetric(float64(len(loads)*64<<10), "weight-bytes")
	b.ReportMetric(float64(f.violations(store).MostUnderWay), "loads-at-once")
}

func (f *testFleet) callModel(model string, tokens int) reply {
	r, err := f.trySend(0, http.MethodPost, "/v1/chat/completions", keyAna, fmt.Sprintf(
		`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"`+strings.Repeat("word ", 20)+`"}]}`, model, tokens))
	if err != nil {
		return reply{}
	}
	return r
}

// sendSeededCalls sends calls at seeded times and returns the latencies of the answered calls and the number
// of refused ones.
func (f *testFleet) sendSeededCalls() (*hdrhistogram.Histogram, int) {
	r := rand.New(rand.NewPCG(placementBenchSeed, 0))
	took := newLatencies()
	results := make(chan time.Duration, placementBenchRate*200)
	var calls conc.WaitGroup
	end := time.Now().Add(placementBenchTime)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.ExpFloat64() / placementBenchRate * float64(time.Second)))
		calls.Go(func() {
			from := time.Now()
			if f.callModel("wig-small", 100).status != http.StatusOK {
				results <- -1
				return
			}
			results <- time.Since(from)
		})
	}
	calls.Wait()
	close(results)
	refused := 0
	for d := range results {
		if d < 0 {
			refused++
			continue
		}
		_ = took.RecordValue(d.Microseconds())
	}
	return took, refused
}
