package control

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"egretramp/internal/jsonfile"
)

// Result answers a command. Exactly one field is set.
type Result struct {
	// Applied answers ApplyConfig.
	Applied *Applied `json:"applied,omitempty"`
	// Withdrawn answers WithdrawKeys.
	Withdrawn *Withdrawn `json:"withdrawn,omitempty"`
	// Members answers RegisterVM and RemoveVM.
	Members *MembersChange `json:"members,omitempty"`
	// Fencing answers IssueFencing.
	Fencing *Fencing `json:"fencing,omitempty"`
	// Splits answers RecordAgreedSplit.
	Splits *Splits `json:"splits,omitempty"`
	// OrderRight answers TakeOrders and GiveUpOrders.
	OrderRight *OrderRight `json:"orders,omitempty"`
	// Load answers TakeLoad and ReturnLoad.
	Load *LoadPermitResult `json:"load,omitempty"`
	// Refusal answers a command that changed nothing.
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Acceptance is the first acceptance of a file. It is the same however often the file is sent.
type Acceptance struct {
	Generation uint64 `json:"generation"`
	// Hash is the lower-case hex SHA-256 of the text.
	Hash      string `json:"hash"`
	Operator  string `json:"operator"`
	RequestID string `json:"request_id,omitempty"`
	// Index is the log index that accepted it.
	Index uint64 `json:"index"`
}

// Applied says that a file is accepted.
type Applied struct {
	Acceptance
	// InForce is the generation in force now, above the accepted one if the file was sent
	// again after a newer one.
	InForce uint64 `json:"in_force"`
}

// Withdrawn says what became of the IDs of a WithdrawKeys, each list sorted.
type Withdrawn struct {
	Now     []string `json:"now,omitempty"`
	Already []string `json:"already,omitempty"`
	// Unknown IDs are in no accepted file, so there is nothing to withdraw.
	Unknown []string `json:"unknown,omitempty"`
}

// MembersChange says what became of a RegisterVM or RemoveVM.
type MembersChange struct {
	Epoch   uint64 `json:"epoch"`
	Changed bool   `json:"changed"`
}

// Fencing is an issued fencing number.
type Fencing struct {
	Resource string `json:"resource"`
	Holder   string `json:"holder"`
	// Number is above all that were issued before, for any resource.
	Number uint64 `json:"number"`
}

// Code names a reason for refusing a command.
type Code string

// The reasons.
const (
	CodeMalformed       Code = "malformed_command" // no machine accepts it
	CodeAlreadyApplied  Code = "already_applied"   // the log index is not above the last
	CodeBadFile         Code = "bad_file"          // Problems says why
	CodeGenerationTaken Code = "generation_taken"  // another text has this generation
	CodeGenerationOld   Code = "generation_old"    // a newer generation is in force
	CodeWithdrawnKey    Code = "withdrawn_key"     // the file lists a withdrawn key ID or hash
	CodeKeyReused       Code = "key_reused"        // the file gives a key ID to another key, or a key another ID
	CodeOldIncarnation  Code = "old_incarnation"   // the VM was started again or removed since
	CodeNotMember       Code = "not_a_member"      // the VM is not in the membership in this incarnation
	CodeOrderRightHeld  Code = "orders_held"       // another VM has the right to order the zone
	CodeOrderRightLost  Code = "orders_lost"       // the fencing number is not the one in force
)

// Refusal says why a command changed nothing.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// InForce is the file in force, where a generation was refused.
	InForce *Acceptance `json:"winner,omitempty"`
	// KeyIDs are the offending keys of a file, in file order.
	KeyIDs []string `json:"key_ids,omitempty"`
	// Problems are what is wrong with a file.
	Problems jsonfile.Problems `json:"problems,omitempty"`
}

// Error makes a Refusal an error.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// DecodeResult reads what Machine.Apply returned.
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
