// Package api defines what the administration API and its clients say to each other: paths,
// requests, answers and errors, all in JSON. None of them carries keys, prompts or secrets.
package api

import "egretramp/internal/config"

// Paths of the API.
const (
	PathApply     = "/v1/apply"         // POST, body: the operators' file; ?operator=NAME&wait=SECONDS&request_id=ID
	PathWithdraw  = "/v1/keys/withdraw" // POST, body: WithdrawRequest
	PathStatus    = "/v1/status"        // GET: Status; ?config=true
	PathDump      = "/v1/dump"          // GET: the state of this process, for people to read
	PathPrograms  = "/v1/programs"      // GET: Programs; ?account=NAME&limit=N
	PathUpstreams = "/v1/upstreams"     // GET: Upstreams
	PathPlacement = "/v1/placement"     // GET: Placement
	PathInForce   = "/v1/in_force"      // GET: InForce
	PathLinks     = "/v1/faults/links"  // POST, body: Links; only where the settings allow fault injection
	PathVars      = "/debug/vars"       // GET: expvar
)

// Bounds of requests.
const (
	MaxWithdrawBytes = 2 << 20 // bytes of a WithdrawRequest
	MaxLinksBytes    = 1 << 20 // bytes of a Links
	MaxWaitSeconds   = 60      // of an apply
	DefaultPrograms  = 100     // programs listed
	MaxPrograms      = 1000
)

// Applied answers an accepted file. It is the same when the file is sent again.
type Applied struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	// Operator and RequestID are those of the first request that brought the file.
	Operator  string `json:"operator"`
	RequestID string `json:"request_id,omitempty"`
	// Newest is the generation in force at the control group; above Generation if the file was
	// replaced since.
	Newest uint64 `json:"newest"`
	// InForce says how far the file has come, if the request asked to wait.
	InForce *InForce `json:"in_force,omitempty"`
}

// WithdrawRequest names keys that have to stop working for good.
type WithdrawRequest struct {
	KeyIDs []string `json:"key_ids"`
}

// Withdrawn answers a WithdrawRequest; each list is sorted.
type Withdrawn struct {
	Now     []string `json:"now"`
	Already []string `json:"already"`
	// Pending are withdrawn on the VMs that this side of the fleet reaches; the control group,
	// which has no majority here, records them later.
	Pending []string `json:"pending,omitempty"`
	// Unknown IDs are in no accepted file.
	Unknown []string `json:"unknown"`
}

// Links are the links to other VMs that fault injection cuts; they replace those cut before.
type Links struct {
	// Cut are the VMs that nothing is sent to and nothing is heard from.
	Cut []string `json:"cut"`
	// CutTo are the VMs that nothing is sent to.
	CutTo []string `json:"cut_to,omitempty"`
}

// Status is what one VM knows of itself and the fleet.
type Status struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	// Control says that the VM is a replica of the control group.
	Control bool `json:"control"`
	// Leader is the control group's leader as far as known.
	Leader string `json:"leader,omitempty"`
	// ControlReachable says that the VM has heard from the control group in the last seconds.
	ControlReachable bool `json:"control_reachable"`
	// Serving says that the VM may serve keyed work now, under Generation.
	Serving       bool   `json:"serving"`
	Draining      bool   `json:"draining"`
	Generation    uint64 `json:"generation"`
	ConfigHash    string `json:"config_hash"`
	Operator      string `json:"operator"`
	WithdrawnKeys int    `json:"withdrawn_keys"`
	Epoch         uint64 `json:"epoch"`
	VMs           []VM   `json:"vms"`
	// Config is the file in force without secrets and hashes, if the request asked for it; the
	// server fills it in.
	Config *config.File `json:"config,omitempty"`
	// ConfigText is the file in force as it was applied. It never leaves the process.
	ConfigText string `json:"-"`
}

// VM is one VM of the fleet.
type VM struct {
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Incarnation int64  `json:"incarnation"`
	Control     bool   `json:"control"`
	// Alive says that it was heard from in the last seconds.
	Alive bool `json:"alive"`
	// Admin is the address of its administration API.
	Admin string `json:"admin"`
}

// Programs lists programs, ended ones included until they are forgotten.
type Programs struct {
	Programs []Program `json:"programs"`
	// Total counts all that match, also those above the limit.
	Total int `json:"total"`
	// Silent names the program groups that did not answer, whose programs are not listed.
	Silent []string `json:"silent,omitempty"`
}

// Program is one program, without its history.
type Program struct {
	Program      string `json:"program"`
	Account      string `json:"account"` // canonical ID
	Parent       string `json:"parent,omitempty"`
	State        string `json:"state"`
	Turn         int64  `json:"turn"`
	TokensUsed   int64  `json:"tokens_used"`
	TokensBudget int64  `json:"tokens_budget"`
	CallsUsed    int64  `json:"calls_used"`
	CallsBudget  int64  `json:"calls_budget"`
	// Engines hold memory for the program, each as ZONE/NAME.
	Engines []string `json:"engines,omitempty"`
	// DeadlineMS is in Unix milliseconds; 0: none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// Upstreams lists the upstreams that the VM knows of.
type Upstreams struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one upstream.
type Upstream struct {
	Upstream      string              `json:"upstream"`
	Class         string              `json:"class"`
	Kind          config.UpstreamKind `json:"kind"`
	Zone          string              `json:"zone"`
	Address       string              `json:"address"`
	Serves        []string            `json:"serves"`
	State         string              `json:"state"`
	Slots         int                 `json:"slots"`
	Running       int                 `json:"running"`
	Waiting       int                 `json:"waiting"`
	KVTokens      int64               `json:"kv_tokens"`
	KVTokensUsed  int64               `json:"kv_tokens_used"`
	ChecksFencing bool                `json:"checks_fencing"`
	// AgeMS is the time since its last announcement. Milliseconds.
	AgeMS int64 `json:"age_ms"`
}
