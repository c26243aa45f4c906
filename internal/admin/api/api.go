// Package api defines the messages between the administration API and its clients: paths,
// requests, responses and errors, all in JSON. None of them contains keys, prompts or secrets.
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

// Limits of requests.
const (
	MaxWithdrawBytes = 2 << 20 // bytes of a WithdrawRequest
	MaxLinksBytes    = 1 << 20 // bytes of a Links
	MaxWaitSeconds   = 60      // longest wait of an apply request
	DefaultPrograms  = 100     // default limit of a list of programs
	MaxPrograms      = 1000    // highest limit of a list of programs
)

// Applied is the response to an accepted file. Sending the same file again returns the same
// Generation, Hash, Operator and RequestID.
type Applied struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	// Operator and RequestID are those of the first request that sent the file.
	Operator  string `json:"operator"`
	RequestID string `json:"request_id,omitempty"`
	// Newest is the generation in force at the control group. It is above Generation if the file
	// has been replaced since.
	Newest uint64 `json:"newest"`
	// InForce is the generation in force on each VM; set only if the request has a wait.
	InForce *InForce `json:"in_force,omitempty"`
}

// WithdrawRequest lists keys to revoke permanently.
type WithdrawRequest struct {
	KeyIDs []string `json:"key_ids"`
}

// Withdrawn is the response to a WithdrawRequest. Each list is sorted.
type Withdrawn struct {
	Now     []string `json:"now"`
	Already []string `json:"already"`
	// Pending are the IDs withdrawn only on the VMs on this side of a partition. The control
	// group, which has no majority here, records them later.
	Pending []string `json:"pending,omitempty"`
	// Unknown are the IDs that are in no accepted file.
	Unknown []string `json:"unknown"`
}

// Links lists the links to other VMs that fault injection blocks. It replaces the previous list.
type Links struct {
	// Cut are the VMs whose links are blocked in both directions.
	Cut []string `json:"cut"`
	// CutTo are the VMs to which nothing is sent; messages from them are still received.
	CutTo []string `json:"cut_to,omitempty"`
}

// Status is the state of one VM and its view of the fleet.
type Status struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	// Control reports whether the VM is a replica of the control group.
	Control bool `json:"control"`
	// Leader is the control group's leader; empty if unknown.
	Leader string `json:"leader,omitempty"`
	// ControlReachable reports whether the VM received a message from the control group within the
	// last seconds.
	ControlReachable bool `json:"control_reachable"`
	// Serving reports whether the VM may currently serve keyed requests, under Generation.
	Serving       bool   `json:"serving"`
	Draining      bool   `json:"draining"`
	Generation    uint64 `json:"generation"`
	ConfigHash    string `json:"config_hash"`
	Operator      string `json:"operator"`
	WithdrawnKeys int    `json:"withdrawn_keys"`
	Epoch         uint64 `json:"epoch"`
	VMs           []VM   `json:"vms"`
	// Config is the file in force without secrets and hashes. The server sets it if the request
	// has config=true.
	Config *config.File `json:"config,omitempty"`
	// ConfigText is the text of the file in force as it was applied. It is never sent to clients.
	ConfigText string `json:"-"`
}

// VM is the state of one VM of the fleet as seen by the responding VM.
type VM struct {
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Incarnation int64  `json:"incarnation"`
	Control     bool   `json:"control"`
	// Alive reports whether a message from the VM was received within the last seconds.
	Alive bool `json:"alive"`
	// Admin is the address of its administration API.
	Admin string `json:"admin"`
}

// Programs lists programs, including ended ones that are still retained.
type Programs struct {
	Programs []Program `json:"programs"`
	// Total is the number of matching programs, including those beyond the limit.
	Total int `json:"total"`
	// Silent are the program groups that did not respond; their programs are not listed.
	Silent []string `json:"silent,omitempty"`
}

// Program is the state of one program, without its history.
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
	// Engines are the engines that hold memory for the program, each as ZONE/NAME.
	Engines []string `json:"engines,omitempty"`
	// DeadlineMS is the deadline in Unix milliseconds; 0 if there is none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// Upstreams lists the upstreams in a VM's directory.
type Upstreams struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is the registration and the load of one upstream.
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
	// AgeMS is the time since its last announcement, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}
