package control

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"egretramp/internal/jsonfile"
)

// Result is the result of a command. Exactly one field is set.
type Result struct {
	// Applied is the result of ApplyConfig.
	Applied *Applied `json:"applied,omitempty"`
	// Withdrawn is the result of WithdrawKeys.
	Withdrawn *Withdrawn `json:"withdrawn,omitempty"`
	// Members is the result of RegisterVM and RemoveVM.
	Members *MembersChange `json:"members,omitempty"`
	// Fencing is the result of IssueFencing.
	Fencing *Fencing `json:"fencing,omitempty"`
	// Splits is the result of RecordAgreedSplit.
	Splits *Splits `json:"splits,omitempty"`
	// OrderRight is the result of AcquireOrderRight and ReleaseOrderRight.
	OrderRight *OrderRight `json:"orders,omitempty"`
	// Load is the result of AcquireLoadPermit and ReleaseLoadPermit.
	Load *LoadPermitResult `json:"load,omitempty"`
	// Refusal is the result of any command that was refused; it changed nothing.
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Acceptance records the first time a file was accepted. It stays the same when the file is sent
// again.
type Acceptance struct {
	Generation uint64 `json:"generation"`
	// Hash is the SHA-256 of the text in lower-case hex.
	Hash      string `json:"hash"`
	Operator  string `json:"operator"`
	RequestID string `json:"request_id,omitempty"`
	// Index is the index of the log entry that applied the file.
	Index uint64 `json:"index"`
}

// Applied reports that a file was accepted.
type Applied struct {
	Acceptance
	// InForce is the generation now in force. It is above the accepted one if the file was resent
	// after a newer one was applied.
	InForce uint64 `json:"in_force"`
}

// Withdrawn reports the outcome for each key ID of a WithdrawKeys command. Each list is sorted.
type Withdrawn struct {
	Now     []string `json:"now,omitempty"`
	Already []string `json:"already,omitempty"`
	// Unknown lists IDs that are in no accepted file, so that there is nothing to withdraw.
	Unknown []string `json:"unknown,omitempty"`
}

// MembersChange reports the epoch after a RegisterVM or RemoveVM and whether it changed.
type MembersChange struct {
	Epoch   uint64 `json:"epoch"`
	Changed bool   `json:"changed"`
}

// Fencing is an issued fencing number.
type Fencing struct {
	Resource string `json:"resource"`
	Holder   string `json:"holder"`
	// Number is higher than every number issued before, for any resource.
	Number uint64 `json:"number"`
}

// Code is the reason for a refusal.
type Code string

// The reasons for a refusal.
const (
	CodeMalformed       Code = "malformed_command" // the command is invalid
	CodeAlreadyApplied  Code = "already_applied"   // the log index is not above the last one applied
	CodeBadFile         Code = "bad_file"          // the file is invalid; see Problems
	CodeGenerationTaken Code = "generation_taken"  // another file has this generation
	CodeGenerationOld   Code = "generation_old"    // a newer generation is in force
	CodeWithdrawnKey    Code = "withdrawn_key"     // the file lists a withdrawn key ID or hash
	CodeKeyReused       Code = "key_reused"        // the file pairs a key ID or hash in force with a different hash or ID
	CodeOldIncarnation  Code = "old_incarnation"   // the VM has been restarted or removed since
	CodeNotMember       Code = "not_a_member"      // the VM is not a member in this incarnation
	CodeOrderRightHeld  Code = "orders_held"       // another VM holds the right to order the zone's engines
	CodeOrderRightLost  Code = "orders_lost"       // the fencing number is not the one in force
)

// Refusal explains why a command was refused.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// InForce is the file in force, if the generation was refused.
	InForce *Acceptance `json:"winner,omitempty"`
	// KeyIDs lists the IDs of the refused keys, in file order.
	KeyIDs []string `json:"key_ids,omitempty"`
	// Problems lists the errors in an invalid file.
	Problems jsonfile.Problems `json:"problems,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// DecodeResult decodes the return value of Machine.Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return Result{}, errors.Wrap(err, "control: cannot decode a result")
	}
	return r, nil
}

func (r Result) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("control: cannot encode a result: " + err.Error())
	}
	return data
}

func refuse(code Code, message string) Result {
	return Result{Refusal: &Refusal{Code: code, Message: message}}
}
