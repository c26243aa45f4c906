// Package config holds the operators' file: its schema, its checks, and the lookup of
// client accounts, services and models under all of their names.
//
// A file is accepted or refused as a whole. Checking it needs no state but the file; what
// depends on earlier files (generation order, withdrawn keys) is decided by package control.
package config

// File is the operators' file, JSON with comments. One file describes everything.
type File struct {
	// Generation orders the files: a file replaces another only with a higher one. At least 1.
	Generation uint64 `json:"generation" check:"min=1,max=9007199254740991"`
	// Schemes are the names of the naming schemes, three in a migrated deployment. Each
	// client account, service and model may have one name in each of them.
	Schemes []string `json:"schemes" check:"format=id"`
	// CutoffLimitSeconds is how long a zone that is cut off from control goes on with keyed
	// work under its last configuration. Seconds; default 600.
	CutoffLimitSeconds float64 `json:"cutoff_limit_seconds,omitempty" check:"above=0,max=604800"`
	// ClientAccounts are the callers' accounts.
	ClientAccounts []ClientAccount `json:"client_accounts"`
	// Models are the models that engines serve.
	Models []Model `json:"models"`
	// Services are the plain and tool services.
	Services []Service `json:"services"`
	// Routes say who may call what. A call that no route matches is refused.
	Routes []Route `json:"routes"`
	// Upstreams are the classes of upstreams that may announce themselves.
	Upstreams []UpstreamClass `json:"upstreams"`
	// Placement lets the system give engines orders to load and unload models. Default: it gives none.
	Placement Placement `json:"placement,omitempty"`
}

// Placement says how models are placed on engines.
type Placement struct {
	// Enabled lets orders be given. Default false.
	Enabled bool `json:"enabled,omitempty"`
	// LoadsUnderWay bounds the loads from the weight store that are under way in the whole fleet. Default 2.
	LoadsUnderWay int `json:"loads_under_way,omitempty" check:"min=1,max=10000"`
	// LoadsPerSecond bounds how often a load is begun in the whole fleet; as many as fit into one
	// second, and at least one, may come at once. Loads a second; default 0.5.
	LoadsPerSecond float64 `json:"loads_per_second,omitempty" check:"above=0,max=10000"`
	// LoadTimeoutSeconds is how long one load may take. Seconds; default 60.
	LoadTimeoutSeconds float64 `json:"load_timeout_seconds,omitempty" check:"min=0.1,max=3600"`
	// MinChangeSeconds is the least time between two changes of one engine, and the time in which
	// a VM that takes over from another orders nothing. Seconds, at least LoadTimeoutSeconds;
	// default 120, or LoadTimeoutSeconds if that is more.
	MinChangeSeconds float64 `json:"min_change_seconds,omitempty" check:"min=0.1,max=86400"`
	// PressedSeconds is how long a model must be short of replicas before one is added. Seconds;
	// default 3.
	PressedSeconds float64 `json:"pressed_seconds,omitempty" check:"min=0.1,max=3600"`
	// IdleSeconds is how long a model must have had a replica more than it needs before one is
	// unloaded for another model. Seconds; default 30.
	IdleSeconds float64 `json:"idle_seconds,omitempty" check:"min=0.1,max=86400"`
	// PlanSeconds is the time between two plans. Seconds; default 5.
	PlanSeconds float64 `json:"plan_seconds,omitempty" check:"min=0.1,max=3600"`
}

// Named is what client accounts, models and services have in common: a canonical ID, which
// limits, budgets and records hang on, and at most one name in each naming scheme.
type Named struct {
	// ID is the canonical ID: 1 to 64 characters of a-z, 0-9, '.', '_' and '-'.
	ID string `json:"id" check:"format=id"`
	// Names maps a naming scheme to the name there. A name may also contain capitals, '/' and ':'.
	Names map[string]string `json:"names,omitempty" check:"format=name"`
}

// ClientAccount is a caller's account.
type ClientAccount struct {
	Named
	// RatePerSecond is the sustained request rate over the whole fleet. Requests a second, above 0.
	RatePerSecond float64 `json:"rate_per_second" check:"above=0,max=1000000"`
	// Burst is how many requests may come at once over the whole fleet. Requests, at least 1.
	Burst float64 `json:"burst" check:"min=1,max=10000000"`
	// Weight is the account's part in fair queueing. Default 1.
	Weight float64 `json:"weight,omitempty" check:"above=0,max=1000000"`
	// CutoffLimitSeconds overrides the file's value for this account. Seconds.
	CutoffLimitSeconds float64 `json:"cutoff_limit_seconds,omitempty" check:"above=0,max=604800"`
	// ProgramTokens is the most tokens one program may use, sub-agents included. Default 1,000,000.
	ProgramTokens int64 `json:"program_tokens,omitempty" check:"min=1,max=1000000000000"`
	// ProgramCalls is the most calls one program may make, sub-agents included. Default 1,000.
	ProgramCalls int64 `json:"program_calls,omitempty" check:"min=1,max=1000000000"`
	// Keys are the keys in force. A key that a later file leaves out is withdrawn for good.
	Keys []Key `json:"keys"`
}

// Key is a caller's key, kept as a hash only.
type Key struct {
	// ID names the key in reports and withdrawals; it is unique in the file and never used again.
	ID string `json:"id" check:"format=id"`
	// SHA256 is the SHA-256 of the key, 64 lower-case hex digits.
	SHA256 string `json:"sha256" check:"format=sha256"`
}

// Model is a model that engines serve.
type Model struct {
	Named
	// MaxTokens is the completion length reserved for a call that names none. Tokens; default 1,024.
	MaxTokens int64 `json:"max_tokens,omitempty" check:"min=1,max=10000000"`
	// MemoryMB is the memory that its weights need on an engine. Megabytes; default 0: not counted.
	MemoryMB int64 `json:"memory_mb,omitempty" check:"min=1,max=100000000"`
	// AdapterOf is the model, under any of its names, that this one is an adapter of: it is
	// loaded only beside that model. Default: it is none.
	AdapterOf string `json:"adapter_of,omitempty" check:"format=name"`
	// KeepIn are the zones that always keep a replica. Default empty: each zone that has one
	// keeps one.
	KeepIn []string `json:"keep_in,omitempty" check:"format=host"`
}

// Service is a plain or tool service.
type Service struct {
	Named
	// Repeatable says that every call may be repeated. Default false: only GET and HEAD may.
	Repeatable bool `json:"repeatable,omitempty"`
	// TimeoutSeconds ends a call that hangs. Seconds; default 30.
	TimeoutSeconds float64 `json:"timeout_seconds,omitempty" check:"above=0,max=86400"`
	// Concurrency bounds the calls under way at one upstream. Default 64.
	Concurrency int `json:"concurrency,omitempty" check:"min=1,max=100000"`
}

// Route allows calls to one model or service.
type Route struct {
	// ID names the route in reports.
	ID string `json:"id" check:"format=id"`
	// Model is the model that the route leads to, under any of its names; "*" for all.
	Model string `json:"model,omitempty" check:"format=reference"`
	// Service is the service that the route leads to, under any of its names. A route has
	// either a model or a service.
	Service string `json:"service,omitempty" check:"format=name"`
	// PathPrefix narrows a service route to paths below it; it starts with '/'. Default "/".
	PathPrefix string `json:"path_prefix,omitempty" check:"format=path"`
	// Open lets callers in without a key. Default false. Only service routes may be open.
	Open bool `json:"open,omitempty"`
	// Accounts are the client accounts that may use the route, under any of their names.
	// Empty: all of them.
	Accounts []string `json:"accounts,omitempty" check:"format=name"`
	// TimeoutSeconds overrides the service's timeout on this route. Seconds.
	TimeoutSeconds float64 `json:"timeout_seconds,omitempty" check:"above=0,max=86400"`
}

// UpstreamKind is what an upstream does.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine      UpstreamKind = "engine"
	KindService     UpstreamKind = "service"
	KindWeightStore UpstreamKind = "weight_store"
)

// UpstreamClass admits the announcements of a set of upstreams.
type UpstreamClass struct {
	// ID is named in announcements.
	ID string `json:"id" check:"format=id"`
	// Kind is what these upstreams do.
	Kind UpstreamKind `json:"kind" check:"oneof=engine|service|weight_store"`
	// Secret signs the announcements (HMAC-SHA256). At least 16 characters.
	Secret string `json:"secret" check:"minlen=16"`
	// Serves are the models or services that the class may announce, under any name; empty: all.
	Serves []string `json:"serves,omitempty" check:"format=name"`
	// Zones are the zones that the class may announce itself in; empty: all.
	Zones []string `json:"zones,omitempty" check:"format=host"`
}

// Bounds of a file.
const (
	// MaxBytes bounds its text. Bytes; about twice what 9,900 accounts with two keys each need.
	MaxBytes = 8 << 20
	// MaxSchemes bounds the naming schemes.
	MaxSchemes = 3
)

// AllModels stands in a route for all models.
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
