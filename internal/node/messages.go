package node

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"egretramp/internal/catalog"
	"egretramp/internal/registry"
	"egretramp/internal/suspect"
)

// Methods that VMs call at each other.
const (
	methodWatch  = "node.watch"
	methodPermit = "node.permit"
	// methodPool asks any control VM for permits from the pooled shares of VMs that have lost the coordinator.
	methodPool   = "node.permit_pool"
	methodStatus = "node.status"
	methodStrike = "node.strike"
	// methodEntryVMs asks a control VM for entry VMs that reach upstreams.
	methodEntryVMs = "node.entry_vms"
)

// vmInfo describes a VM. All fields but Silent are reported by the VM itself.
type vmInfo struct {
	VM     string `cbor:"1,keyasint"` // address
	Name   string `cbor:"2,keyasint"`
	Role   Role   `cbor:"3,keyasint"`
	Zone   string `cbor:"4,keyasint"`
	Silent bool   `cbor:"5,keyasint,omitempty"` // no recent watch request at the reporting VM
	CutOff bool   `cbor:"6,keyasint,omitempty"` // an entry VM that reaches no upstream itself, or is stopping
	// Evacuates is set for a control VM whose release knows catalog.SetEvacuation.
	Evacuates bool `cbor:"7,keyasint,omitempty"`
}

// watchRequest requests the changes at a control VM since the given versions. It is also the sender's
// heartbeat.
type watchRequest struct {
	From      vmInfo `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"` // of the control VM's process
	Upstreams uint64 `cbor:"3,keyasint"`
	Fleet     uint64 `cbor:"4,keyasint"`
	Document  uint64 `cbor:"5,keyasint"` // the sender's version of the operators' document
	WaitMs    int64  `cbor:"6,keyasint"`
	Suspects  uint64 `cbor:"7,keyasint"`
	// Leaving are the upstreams of which the sender has learnt from their responses that they leave, since its last
	// request that this process of the control VM answered.
	Leaving []registry.LeavingNotice `cbor:"8,keyasint,omitempty"`
	// Evacuation is the sender's version of the zones that are out of service.
	Evacuation uint64 `cbor:"9,keyasint,omitempty"`
	// FetchesDocument is set by an entry VM that fetches the document by methodDocument. Announced is the version that the
	// control VM has announced to it.
	FetchesDocument bool   `cbor:"20,keyasint,omitempty"`
	Announced       uint64 `cbor:"21,keyasint,omitempty"`
}

// watchResponse contains the changes since the versions in a watchRequest.
type watchResponse struct {
	Epoch            uint64              `cbor:"1,keyasint"`
	Upstreams        []registry.Upstream `cbor:"2,keyasint,omitempty"`
	UpstreamsVersion uint64              `cbor:"3,keyasint"`
	Fleet            *fleetState         `cbor:"4,keyasint,omitempty"`
	FleetVersion     uint64              `cbor:"5,keyasint"`
	Document         *catalog.Document   `cbor:"6,keyasint,omitempty"`
	Suspects         []suspect.Record    `cbor:"7,keyasint,omitempty"`
	SuspectsVersion  uint64              `cbor:"8,keyasint"`
	Evacuation       *evacuation         `cbor:"9,keyasint,omitempty"`
	// DocumentVersion is the version of the control VM's document, if FetchesDocument is set in the request.
	DocumentVersion uint64 `cbor:"20,keyasint,omitempty"`
}

// evacuation holds the zones that are out of service.
type evacuation struct {
	Version uint64   `cbor:"1,keyasint"` // catalog.State.EvacuationVersion
	Zones   []string `cbor:"2,keyasint"`
}

// strikeReport contains records of requests that crashed upstreams, for a control VM.
type strikeReport struct {
	Records []suspect.Record `cbor:"1,keyasint"`
}

// fleetState is a control VM's view of the fleet.
type fleetState struct {
	Control  []vmInfo   `cbor:"1,keyasint"`
	Stores   []vmInfo   `cbor:"2,keyasint"`
	Shards   [][]string `cbor:"3,keyasint"` // the initial members of each group of the store
	Emptying []string   `cbor:"4,keyasint"`
	Entries  int        `cbor:"5,keyasint"` // when the state was sent; a change of it alone is not sent
}

// storeStatus is a store VM's response to methodStatus.
type storeStatus struct {
	Groups []groupStatus `cbor:"1,keyasint"`
}

// groupStatus is a replica's view of its group.
type groupStatus struct {
	Group   uint64   `cbor:"1,keyasint"`
	Leads   bool     `cbor:"2,keyasint"`
	Members []string `cbor:"3,keyasint"` // VMs, learners included
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "node: cannot encode %T", v))
	}
	return data
}

func decode[T any](data []byte) (T, error) {
	var v T
	err := cbor.Unmarshal(data, &v)
	return v, errors.Wrapf(err, "node: decode %T", v)
}
