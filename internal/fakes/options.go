package fakes

import (
	"time"

	"egretramp/internal/config"
)

// Options configures a stand-in. Fields that are zero take the defaults given below.
type Options struct {
	Kind   config.UpstreamKind
	Name   string // unique upstream name
	Class  string // upstream class in the operators' file
	Secret string // signs announcements
	Zone   string
	Listen string // IP:port; default 127.0.0.1:0
	// AnnounceTo lists the upstream listener addresses of VMs. If empty, the stand-in does not
	// announce itself.
	AnnounceTo []string
	// Serves lists the names of the announced models or services, including aliases.
	Serves []string
	// Aliases maps additional names of a model to the name that its answers are derived from.
	Aliases map[string]string
	// AnnounceInterval is the interval between announcements. Default 500 ms.
	AnnounceInterval time.Duration
	// LoadLag is the age of the reported load. Default 300 ms.
	LoadLag time.Duration
	// Watch lists byte strings to search for in all received bytes.
	Watch []string
	// ReceivedLimit limits the received bytes that are retained. Bytes; default 8 MiB.
	ReceivedLimit int
	// RecordTo is the path of the file to which records are appended, so that ReadRecords can
	// read them after a crash. Empty: no file.
	RecordTo string
	// Seed initializes the random generator used for Faults.ErrorRate.
	Seed int64
	// Faults are the initial fault switches.
	Faults Faults
	// StopLinger is how long calls are still accepted after the goodbye of a graceful stop. Default 0.
	StopLinger time.Duration
	// OnCrash is called on a crash. If nil, a crash resets the listener and all connections.
	OnCrash func()

	Engine      EngineOptions
	Service     ServiceOptions
	WeightStore WeightStoreOptions
}

// EngineOptions configures an engine's capacity, speed and capabilities.
type EngineOptions struct {
	Slots           int           // maximum calls in the batch; default 8
	KVTokens        int64         // tokens of KV memory; default 100,000
	StepTime        time.Duration // base duration of a step; default 2 ms
	StepPerCall     time.Duration // added to a step per call in the batch; default 100 µs
	PrefillPerToken time.Duration // added to a step per uncached prompt token; default 10 µs
	// ResumeGrace is how long a call without a reader continues before it is cancelled. Default 2 s.
	ResumeGrace time.Duration
	// Retention is how long a finished call can be resumed. Default 30 s.
	Retention time.Duration
	// CacheEventDelay is the age at which cache events become visible. Default 500 ms.
	CacheEventDelay time.Duration
	// CacheEventGap drops every n-th cache event; default 7, negative for none.
	CacheEventGap int
	// LoadTime is the time to load a model. Default 50 ms.
	LoadTime time.Duration
	// WeightStore is the address from which model weights are fetched; empty: no fetch.
	WeightStore string
	// Models is the maximum number of loaded models; 0: unlimited, and no limit is announced.
	Models int
	// MemoryMB is the announced memory for weights. Megabytes; 0: none is announced.
	MemoryMB int64
	// NoResume disables resuming of streams.
	NoResume bool
}

// ServiceOptions configures a service's capacity and speed.
type ServiceOptions struct {
	Slots    int           // default 64
	WorkTime time.Duration // default 1 ms; a request can override it with work_ms
}

// WeightStoreOptions configures a weight store's rate limit and responses.
type WeightStoreOptions struct {
	RatePerSecond float64 // default 2
	Burst         float64 // default 2
	Bytes         int     // size of a model's weights; default 64 KiB
	// FetchTime is the duration of a fetch. Default 0.
	FetchTime time.Duration
}

// Faults holds the fault switches of a stand-in. It is the JSON body of POST /_fake/faults.
type Faults struct {
	// CrashMark makes the stand-in crash on a request whose path or body contains it.
	CrashMark string `json:"crash_mark,omitempty"`
	// Hang makes the stand-in run calls without ever answering them.
	Hang bool `json:"hang,omitempty"`
	// Silence is an action: connections open at this moment permanently stop sending and
	// receiving data, without a FIN. New connections work.
	Silence bool `json:"silence,omitempty"`
	// LateMS delays each answer. Milliseconds.
	LateMS int `json:"late_ms,omitempty"`
	// Crossed swaps the answers of two concurrent calls.
	Crossed bool `json:"crossed,omitempty"`
	// TruncateAfter aborts the connection after this number of chunks of a stream, or in the
	// middle of a non-streamed answer.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// IgnoreFencing makes an engine execute orders with an outdated fencing number.
	IgnoreFencing bool `json:"ignore_fencing,omitempty"`
	// LoseOrderAnswers makes an engine execute orders and abort the connection instead of
	// answering.
	LoseOrderAnswers bool `json:"lose_order_answers,omitempty"`
	// StopAnnouncing stops announcements without a goodbye.
	StopAnnouncing bool `json:"stop_announcing,omitempty"`
	// ErrorRate is the fraction (0 to 1) of requests that are answered with status 500 without
	// being run.
	ErrorRate float64 `json:"error_rate,omitempty"`
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o *Options) setDefaults() {
	orDefault(&o.Listen, "127.0.0.1:0")
	orDefault(&o.AnnounceInterval, 500*time.Millisecond)
	orDefault(&o.LoadLag, 300*time.Millisecond)
	orDefault(&o.ReceivedLimit, 8<<20)
	e := &o.Engine
	orDefault(&e.Slots, 8)
	orDefault(&e.KVTokens, 100_000)
	orDefault(&e.StepTime, 2*time.Millisecond)
	orDefault(&e.StepPerCall, 100*time.Microsecond)
	orDefault(&e.PrefillPerToken, 10*time.Microsecond)
	orDefault(&e.ResumeGrace, 2*time.Second)
	orDefault(&e.Retention, 30*time.Second)
	orDefault(&e.CacheEventDelay, 500*time.Millisecond)
	orDefault(&e.CacheEventGap, 7)
	orDefault(&e.LoadTime, 50*time.Millisecond)
	orDefault(&o.Service.Slots, 64)
	orDefault(&o.Service.WorkTime, time.Millisecond)
	orDefault(&o.WeightStore.RatePerSecond, 2)
	orDefault(&o.WeightStore.Burst, 2)
	orDefault(&o.WeightStore.Bytes, 64<<10)
}
