// Package config implements the operators' file: its schema, its checks, and the lookup of client
// accounts, services and models by any of their names.
//
// A file is accepted or rejected as a whole. The checks here depend only on the file itself; those
// that depend on earlier files (generation order, withdrawn keys) are in package control.
package config

// File is the content of an operators' file, which is JSON with comments. It is the complete
// configuration of a fleet.
type File struct {
	// Generation orders the files: a file replaces another only if its generation is higher. At
	// least 1.
	Generation uint64 `json:"generation" check:"min=1,max=9007199254740991"`
	// Schemes are the naming schemes, three in a migrated deployment. Each client account, service
	// and model may have one name in each scheme.
	Schemes []string `json:"schemes" check:"format=id"`
	// CutoffLimitSeconds is how long a zone without contact to the control VMs keeps serving keyed
	// requests under its last configuration. Seconds; default 600.
	CutoffLimitSeconds float64 `json:"cutoff_limit_seconds,omitempty" check:"above=0,max=604800"`
	// ClientAccounts are the callers' accounts.
	ClientAccounts []ClientAccount `json:"client_accounts"`
	// Models are the models that engines serve.
	Models []Model `json:"models"`
	// Services are the plain services and the tool services.
	Services []Service `json:"services"`
	// Routes define which accounts may call which models and services. A call without a matching
	// route is refused.
	Routes []Route `json:"routes"`
	// Upstreams are the classes of upstreams that may register by announcement.
	Upstreams []UpstreamClass `json:"upstreams"`
	// Placement configures the automatic loading and unloading of models on engines. Default: off.
	Placement Placement `json:"placement,omitempty"`
}

// Placement configures how models are placed on engines.
type Placement struct {
	// Enabled allows load and unload orders to be sent to engines. Default false.
	Enabled bool `json:"enabled,omitempty"`
	// LoadsUnderWay is the maximum number of concurrent loads from the weight store in the whole fleet.
	// Default 2.
	LoadsUnderWay int `json:"loads_under_way,omitempty" check:"min=1,max=10000"`
	// LoadsPerSecond is the maximum rate at which loads start in the whole fleet. The burst is the
	// loads of one second, at least one. Loads per second; default 0.5.
	LoadsPerSecond float64 `json:"loads_per_second,omitempty" check:"above=0,max=10000"`
	// LoadTimeoutSeconds is the timeout of one load. Seconds; default 60.
	LoadTimeoutSeconds float64 `json:"load_timeout_seconds,omitempty" check:"min=0.1,max=3600"`
	// MinChangeSeconds is the minimum time between two changes of one engine, and the time after a
	// takeover in which the new VM sends no orders. Seconds, at least LoadTimeoutSeconds; default 120,
	// or LoadTimeoutSeconds if that is more.
	MinChangeSeconds float64 `json:"min_change_seconds,omitempty" check:"min=0.1,max=86400"`
	// PressedSeconds is how long a model must have too few replicas before one is added. Seconds;
	// default 3.
	PressedSeconds float64 `json:"pressed_seconds,omitempty" check:"min=0.1,max=3600"`
	// IdleSeconds is how long a model must have a surplus replica before one is unloaded in favour of
	// another model. Seconds; default 30.
	IdleSeconds float64 `json:"idle_seconds,omitempty" check:"min=0.1,max=86400"`
	// PlanSeconds is the interval at which the placement is planned. Seconds; default 5.
	PlanSeconds float64 `json:"plan_seconds,omitempty" check:"min=0.1,max=3600"`
}

// Named has the fields common to client accounts, models and services: a canonical ID, which limits,
// budgets and records refer to, and at most one name in each naming scheme.
type Named struct {
	// ID is the canonical ID: 1 to 64 characters of a-z, 0-9, '.', '_' and '-'.
	ID string `json:"id" check:"format=id"`
	// Names maps a naming scheme to the name in it. Unlike an ID, a name may also contain capitals,
	// '/' and ':'.
	Names map[string]string `json:"names,omitempty" check:"format=name"`
}

// ClientAccount has the limits and keys of a caller's account.
type ClientAccount struct {
	Named
	// RatePerSecond is the sustained request rate in the whole fleet. Requests per second, above 0.
	RatePerSecond float64 `json:"rate_per_second" check:"above=0,max=1000000"`
	// Burst is the maximum burst of requests in the whole fleet. Requests, at least 1.
	Burst float64 `json:"burst" check:"min=1,max=10000000"`
	// Weight is the account's weight in fair queueing. Default 1.
	Weight float64 `json:"weight,omitempty" check:"above=0,max=1000000"`
	// CutoffLimitSeconds overrides the file's value for this account. Seconds.
	CutoffLimitSeconds float64 `json:"cutoff_limit_seconds,omitempty" check:"above=0,max=604800"`
	// ProgramTokens is the token budget of one program, including its sub-agents. Default 1,000,000.
	ProgramTokens int64 `json:"program_tokens,omitempty" check:"min=1,max=1000000000000"`
	// ProgramCalls is the call budget of one program, including its sub-agents. Default 1,000.
	ProgramCalls int64 `json:"program_calls,omitempty" check:"min=1,max=1000000000"`
	// Keys are the valid keys. A key that a later file omits is withdrawn permanently.
	Keys []Key `json:"keys"`
}

// Key is a caller's key, of which only the hash is stored.
type Key struct {
	// ID identifies the key in reports and withdrawals. It is unique in the file and is never reused.
	ID string `json:"id" check:"format=id"`
	// SHA256 is the SHA-256 of the key, 64 lower-case hex digits.
	SHA256 string `json:"sha256" check:"format=sha256"`
}

// Model is a model that engines serve.
type Model struct {
	Named
	// MaxTokens is the completion length reserved for a call that does not specify one. Tokens;
	// default 1,024.
	MaxTokens int64 `json:"max_tokens,omitempty" check:"min=1,max=10000000"`
	// MemoryMB is the memory that the model's weights need on an engine. Megabytes; default 0: not
	// counted.
	MemoryMB int64 `json:"memory_mb,omitempty" check:"min=1,max=100000000"`
	// AdapterOf is the ID or any name of the base model of an adapter, which is loaded only where the
	// base model is. Default: the model is no adapter.
	AdapterOf string `json:"adapter_of,omitempty" check:"format=name"`
	// KeepIn are the zones that always keep a replica. Default empty: each zone that has a replica
	// keeps one.
	KeepIn []string `json:"keep_in,omitempty" check:"format=host"`
}

// Service is a plain service or a tool service.
type Service struct {
	Named
	// Repeatable marks every call as safe to repeat. Default false: only GET and HEAD are.
	Repeatable bool `json:"repeatable,omitempty"`
	// TimeoutSeconds is the timeout of a call. Seconds; default 30.
	TimeoutSeconds float64 `json:"timeout_seconds,omitempty" check:"above=0,max=86400"`
	// Concurrency is the maximum number of concurrent calls to one upstream. Default 64.
	Concurrency int `json:"concurrency,omitempty" check:"min=1,max=100000"`
}

// Route allows calls to one model or service.
type Route struct {
	// ID identifies the route in reports.
	ID string `json:"id" check:"format=id"`
	// Model is the ID or any name of the model that the route allows; "*" for all models.
	Model string `json:"model,omitempty" check:"format=reference"`
	// Service is the ID or any name of the service that the route allows. A route has either a model
	// or a service.
	Service string `json:"service,omitempty" check:"format=name"`
	// PathPrefix restricts a service route to the paths below it; it starts with '/'. Default "/".
	PathPrefix string `json:"path_prefix,omitempty" check:"format=path"`
	// Open admits callers without a key. Default false. Only service routes may be open.
	Open bool `json:"open,omitempty"`
	// Accounts are the IDs or names of the client accounts that may use the route. Empty: all of them.
	Accounts []string `json:"accounts,omitempty" check:"format=name"`
	// TimeoutSeconds overrides the service's timeout on this route. Seconds.
	TimeoutSeconds float64 `json:"timeout_seconds,omitempty" check:"above=0,max=86400"`
}

// UpstreamKind is the type of an upstream.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine      UpstreamKind = "engine"
	KindService     UpstreamKind = "service"
	KindWeightStore UpstreamKind = "weight_store"
)

// UpstreamClass describes a set of upstreams whose announcements are accepted.
type UpstreamClass struct {
	// ID identifies the class in announcements.
	ID string `json:"id" check:"format=id"`
	// Kind is the type of these upstreams.
	Kind UpstreamKind `json:"kind" check:"oneof=engine|service|weight_store"`
	// Secret signs the announcements (HMAC-SHA256). At least 16 characters.
	Secret string `json:"secret" check:"minlen=16"`
	// Serves are the IDs or names of the models or services that the class may announce; empty: all.
	Serves []string `json:"serves,omitempty" check:"format=name"`
	// Zones are the zones in which the class may send announcements; empty: all.
	Zones []string `json:"zones,omitempty" check:"format=host"`
}

// Limits of a file.
const (
	// MaxBytes is the maximum size of the text. Bytes; about twice the size of a file with 9,900
	// accounts of two keys each.
	MaxBytes = 8 << 20
	// MaxSchemes is the maximum number of naming schemes.
	MaxSchemes = 3
)

// AllModels as the model of a route allows all models.
const AllModels = "*"

// Defaults of the optional fields.
const (
	DefaultCutoffLimitSeconds    = 600
	DefaultWeight                = 1
	DefaultProgramTokens         = 1_000_000
	DefaultProgramCalls          = 1_000
	DefaultModelMaxTokens        = 1_024
	DefaultServiceTimeoutSeconds = 30
	DefaultServiceConcurrency    = 64
	DefaultPathPrefix            = "/"

	DefaultLoadsUnderWay      = 2
	DefaultLoadsPerSecond     = 0.5
	DefaultLoadTimeoutSeconds = 60
	DefaultMinChangeSeconds   = 120
	DefaultPressedSeconds     = 3
	DefaultIdleSeconds        = 30
	DefaultPlanSeconds        = 5
)
