package fakes

import (
	"time"

	"egretramp/internal/config"
)

// Options describe a stand-in. Zero fields take the defaults below.
type Options struct {
	Kind   config.UpstreamKind
	Name   string // unique upstream name
	Class  string // upstream class in the operators' file
	Secret string // signs announcements
	Zone   string
	Listen string // IP:port; default 127.0.0.1:0
	// AnnounceTo are upstream listeners of VMs. Empty: the stand-in does not announce itself.
	AnnounceTo []string
	// Serves are the models or services announced, under any name.
	Serves []string
	// Aliases map further names of a model to the name that its answers are derived from.
	Aliases map[string]string
	// AnnounceInterval is the pause between announcements. Default 500 ms.
	AnnounceInterval time.Duration
	// LoadLag is the age of the load that is reported. Default 300 ms.
	LoadLag time.Duration
	// Watch are byte strings that are searched for in all that is received.
	Watch []string
	// ReceivedLimit bounds the received bytes that are kept. Bytes; default 8 MiB.
	ReceivedLimit int
	// RecordTo is a file that records are appended to, to be read with ReadRecords after a
	// crash. Empty: none.
	RecordTo string
	// Seed feeds the random choices (error rate).
	Seed int64
	// Faults in force from the start.
	Faults Faults
	// StopLinger is how long calls are taken after the goodbye of a graceful stop. Default 0.
	StopLinger time.Duration
	// OnCrash is what a crash does; nil resets the listener and all connections.
	OnCrash func()

	Engine      EngineOptions
	Service     ServiceOptions
	WeightStore WeightStoreOptions
}

// EngineOptions are an engine's size and speed.
type EngineOptions struct {
	Slots           int           // calls in one batch; default 8
	KVTokens        int64         // tokens of KV memory; default 100,000
	StepTime        time.Duration // one step of an empty batch; default 2 ms
	StepPerCall     time.Duration // added per call in the batch; default 100 µs
	PrefillPerToken time.Duration // per prompt token that is not cached; default 10 µs
	// ResumeGrace is how long a call without a reader goes on. Default 2 s.
	ResumeGrace time.Duration
	// Retention is how long a finished call can be resumed. Default 30 s.
	Retention time.Duration
	// CacheEventDelay is the age at which cache events become visible. Default 500 ms.
	CacheEventDelay time.Duration
	// CacheEventGap drops every n-th cache event; default 7, negative for none.
	CacheEventGap int
	// LoadTime is what loading a model takes. Default 50 ms.
	LoadTime time.Duration
	// WeightStore is the address that models are fetched from; empty: nothing is fetched.
	WeightStore string
	// Models is how many models the engine holds at once; 0: any number, and none is announced.
	Models int
	// MemoryMB is the memory for weights that it announces. Megabytes; 0: none is announced.
	MemoryMB int64
	// NoResume makes the engine one that cannot resume streams.
	NoResume bool
}

// ServiceOptions are a service's size and speed.
type ServiceOptions struct {
	Slots    int           // default 64
	WorkTime time.Duration // default 1 ms; a request may ask for another
}

// WeightStoreOptions are a weight store's rate limit.
type WeightStoreOptions struct {
	RatePerSecond float64 // default 2
	Burst         float64 // default 2
	Bytes         int     // length of a model's weights; default 64 KiB
	// FetchTime is how long a fetch takes. Default 0.
	FetchTime time.Duration
}

// Faults are the fault switches of a stand-in, in JSON for POST /_fake/faults.
type Faults struct {
	// CrashMark makes the stand-in crash on a request whose path or body contains it.
	CrashMark string `json:"crash_mark,omitempty"`
	// Hang runs calls but never answers.
	Hang bool `json:"hang,omitempty"`
	// Silence is an action: connections open at this moment go silent for good, without a
	// FIN. New connections work.
	Silence bool `json:"silence,omitempty"`
	// LateMS delays each answer. Milliseconds.
	LateMS int `json:"late_ms,omitempty"`
	// Crossed swaps the answers of two calls that are under way at the same time.
	Crossed bool `json:"crossed,omitempty"`
	// TruncateAfter breaks the connection after so many chunks of a stream, or in the middle
	// of a whole answer.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// IgnoreFencing obeys orders with an old fencing number.
	IgnoreFencing bool `json:"ignore_fencing,omitempty"`
	// LoseOrderAnswers carries orders out and breaks the connection instead of answering.
	LoseOrderAnswers bool `json:"lose_order_answers,omitempty"`
	// StopAnnouncing ends announcements without a goodbye.
	StopAnnouncing bool `json:"stop_announcing,omitempty"`
	// ErrorRate is the part of requests answered with status 500 without being run, 0 to 1.
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
