// Command egretramp-fake runs one fake upstream: an engine, a service or a weight store.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"egretramp/internal/command"
	"egretramp/internal/config"
	"egretramp/internal/fakes"
)

// exitCrash is the exit code of an injected crash.
const exitCrash = 3

type options struct {
	Kind     string            `long:"kind" required:"true" description:"what it stands in for: engine, service or weight_store"`
	Name     string            `long:"name" required:"true" description:"unique upstream name"`
	Zone     string            `long:"zone" required:"true" description:"availability zone"`
	Class    string            `long:"class" required:"true" description:"upstream class in the operators' file"`
	Secret   string            `long:"secret" required:"true" description:"signs announcements"`
	Listen   string            `long:"listen" default:"127.0.0.1:0" description:"IP:port"`
	Announce string            `long:"announce" description:"upstream listeners of VMs, separated by commas"`
	Serves   string            `long:"serves" description:"models or services, separated by commas"`
	Alias    map[string]string `long:"alias" key-value-delimiter:"=" description:"NAME=MODEL: a further name of a model"`
	Watch    []string          `long:"watch" description:"byte string to look for in all that arrives"`
	RecordTo string            `long:"record-to" description:"file that records are appended to"`
	Seed     int64             `long:"seed" default:"1" description:"for random faults"`
	Linger   time.Duration     `long:"stop-linger" default:"1s" description:"how long calls are taken after the goodbye"`
	StopWait time.Duration     `long:"stop-wait" default:"10s" description:"how long calls under way may take at a graceful stop"`

	Slots           int           `long:"slots" description:"calls in one batch, or concurrent calls of a service"`
	KVTokens        int64         `long:"kv-tokens" description:"tokens of KV memory"`
	StepTime        time.Duration `long:"step-time" description:"one step of an empty batch"`
	StepPerCall     time.Duration `long:"step-per-call" description:"added per call in the batch"`
	PrefillPerToken time.Duration `long:"prefill-per-token" description:"per prompt token that is not cached"`
	WeightStore     string        `long:"weight-store" description:"address that models are fetched from"`
	NoResume        bool          `long:"no-resume" description:"streams cannot be resumed"`
	WorkTime        time.Duration `long:"work-time" description:"work time of a service call"`
	Rate            float64       `long:"rate" description:"requests a second of a weight store"`
	Burst           float64       `long:"burst" description:"burst of a weight store"`

	CrashMark     string  `long:"crash-mark" description:"crash on a request that contains it"`
	IgnoreFencing bool    `long:"ignore-fencing" description:"obey orders with an old fencing number"`
	ErrorRate     float64 `long:"error-rate" description:"part of requests that fail with status 500"`
}

func main() {
	var o options
	os.Exit(command.Main(os.Args[1:], &o, func(ctx context.Context) error { return run(ctx, o) }))
}

func run(ctx context.Context, o options) error {
	f, err := fakes.New(o.fakeOptions())
	if err != nil {
		return err
	}
	if err := f.Start(); err != nil {
		return err
	}
	fmt.Println("listening", f.Addr())
	<-ctx.Done()
	limit, cancel := context.WithTimeout(context.Background(), o.StopWait)
	defer cancel()
	f.Stop(limit)
	return nil
}

func (o options) fakeOptions() fakes.Options {
	return fakes.Options{
		Kind:       config.UpstreamKind(o.Kind),
		Name:       o.Name,
		Class:      o.Class,
		Secret:     o.Secret,
		Zone:       o.Zone,
		Listen:     o.Listen,
		AnnounceTo: splitList(o.Announce),
		Serves:     splitList(o.Serves),
		Aliases:    o.Alias,
		Watch:      o.Watch,
		RecordTo:   o.RecordTo,
		Seed:       o.Seed,
		StopLinger: o.Linger,
		OnCrash:    func() { os.Exit(exitCrash) },
		Faults: fakes.Faults{
			CrashMark:     o.CrashMark,
			IgnoreFencing: o.IgnoreFencing,
			ErrorRate:     o.ErrorRate,
		},
		Engine: fakes.EngineOptions{
			Slots:           o.Slots,
			KVTokens:        o.KVTokens,
			StepTime:        o.StepTime,
			StepPerCall:     o.StepPerCall,
			PrefillPerToken: o.PrefillPerToken,
			WeightStore:     o.WeightStore,
			NoResume:        o.NoResume,
		},
		Service:     fakes.ServiceOptions{Slots: o.Slots, WorkTime: o.WorkTime},
		WeightStore: fakes.WeightStoreOptions{RatePerSecond: o.Rate, Burst: o.Burst},
	}
}

func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
