// Package control implements the state machine of the control group. The state comprises the
// configuration in force, withdrawn keys, the fleet's membership, bucket splits, fencing numbers,
// order rights and load permits.
//
// Machine is deterministic: its state depends only on the commands applied to it, in log order.
// It uses no lock, clock, socket or random source, and no result depends on map order, so all
// replicas are identical byte for byte. It must be used by one goroutine. Follower is the part
// of the state that a VM outside the group keeps, merged from the state of other VMs.
//
// Commands and results are encoded as JSON. Whether a file is accepted depends on config.Parse,
// so all replicas of a group must run the same checks: a release that changes them must be
// deployed to every replica before the first file on which the checks differ is applied.
package control

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"egretramp/internal/config"
)

// Limits of a command.
const (
	// MaxTextBytes limits the size of a configuration file. Bytes.
	MaxTextBytes = config.MaxBytes
	// MaxCommandBytes limits the size of an encoded command. Bytes; JSON escaping uses up to 6 bytes
	// for one byte of text.
	MaxCommandBytes = 6*MaxTextBytes + 4096
	// MaxWithdrawnIDs limits the number of key IDs in one WithdrawKeys command.
	MaxWithdrawnIDs = 10_000
	// MaxNameLength limits the names of operators, requests, VMs, resources and holders.
	// Characters.
	MaxNameLength = 128
)

// Command is an entry of the control group's log. Exactly one field is set.
type Command struct {
	ApplyConfig  *ApplyConfig  `json:"apply_config,omitempty"`
	WithdrawKeys *WithdrawKeys `json:"withdraw_keys,omitempty"`
	RegisterVM   *RegisterVM   `json:"register_vm,omitempty"`
	RemoveVM     *RemoveVM     `json:"remove_vm,omitempty"`
	IssueFencing *IssueFencing `json:"issue_fencing,omitempty"`

	RecordAgreedSplit *RecordAgreedSplit `json:"record_agreed_split,omitempty"`

	AcquireOrderRight *AcquireOrderRight `json:"take_orders,omitempty"`
	ReleaseOrderRight *ReleaseOrderRight `json:"give_up_orders,omitempty"`
	AcquireLoadPermit *AcquireLoadPermit `json:"take_load,omitempty"`
	ReleaseLoadPermit *ReleaseLoadPermit `json:"return_load,omitempty"`
}

// ApplyConfig replaces the configuration in force, entirely or not at all.
type ApplyConfig struct {
	// Text is the configuration file, at most MaxTextBytes long.
	Text string `json:"text"`
	// Hash is the SHA-256 of Text in lower-case hex.
	Hash string `json:"hash"`
	// Operator is the operator who applies the file. Refusals of later files include it.
	Operator string `json:"operator"`
	// RequestID is the ID of the first request that submitted the file.
	RequestID string `json:"request_id,omitempty"`
}

// WithdrawKeys permanently withdraws client keys.
type WithdrawKeys struct {
	IDs []string `json:"ids"`
}

// RegisterVM adds an incarnation of a VM, which is one start of it, to the membership.
type RegisterVM struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Incarnation increases with each start of the VM and is at least 1.
	Incarnation int64     `json:"incarnation"`
	Addresses   Addresses `json:"addresses"`
}

// Addresses are the IP:port addresses of a VM's listeners.
type Addresses struct {
	Callers   string `json:"callers,omitempty"`
	Upstreams string `json:"upstreams,omitempty"`
	Peers     string `json:"peers,omitempty"`
	Admin     string `json:"admin,omitempty"`
}

// RemoveVM removes a VM from the membership, unless it has restarted after Incarnation.
type RemoveVM struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
}

// IssueFencing issues a new fencing number for a resource to a holder.
type IssueFencing struct {
	Resource string `json:"resource"`
	Holder   string `json:"holder"`
}

// ErrCommand is wrapped by errors that report an invalid command.
var ErrCommand = errors.New("control: invalid command")

// NewApplyConfig validates a file and returns the command that applies it. The error is a
// jsonfile.Problems that refers to the file by name.
func NewApplyConfig(name string, text []byte, operator, requestID string) (Command, error) {
	if _, err := config.Parse(name, text); err != nil {
		return Command{}, err
	}
	return Command{ApplyConfig: &ApplyConfig{
		Text:      string(text),
		Hash:      HashText(string(text)),
		Operator:  operator,
		RequestID: requestID,
	}}, nil
}

// HashText returns the hash that identifies a configuration file: its SHA-256 in hex.
func HashText(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Encode encodes the command as a log entry. Errors wrap ErrCommand.
func (c Command) Encode() ([]byte, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(c)
	if err != nil {
		return nil, invalid("it can't be encoded: %v", err)
	}
	return data, nil
}

// DecodeCommand decodes and validates a log entry. Errors wrap ErrCommand.
func DecodeCommand(data []byte) (Command, error) {
	if len(data) > MaxCommandBytes {
		return Command{}, invalid("the command has %d bytes, more than %d", len(data), MaxCommandBytes)
	}
	var c Command
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return Command{}, invalid("it can't be decoded: %v", err)
	}
	if decoder.More() {
		return Command{}, invalid("bytes follow the command")
	}
	if err := c.validate(); err != nil {
		return Command{}, err
	}
	return c, nil
}

func invalid(format string, args ...any) error {
	return errors.Wrapf(ErrCommand, format, args...)
}

// validate checks the bounds of the command and that exactly one field is set.
func (c Command) validate() error {
	set := 0
	var err error
	for _, check := range []struct {
		set      bool
		validate func() error
	}{
		{c.ApplyConfig != nil, c.ApplyConfig.validate},
		{c.WithdrawKeys != nil, c.WithdrawKeys.validate},
		{c.RegisterVM != nil, c.RegisterVM.validate},
		{c.RemoveVM != nil, c.RemoveVM.validate},
		{c.IssueFencing != nil, c.IssueFencing.validate},
		{c.RecordAgreedSplit != nil, c.RecordAgreedSplit.validate},
		{c.AcquireOrderRight != nil, c.AcquireOrderRight.validate},
		{c.ReleaseOrderRight != nil, c.ReleaseOrderRight.validate},
		{c.AcquireLoadPermit != nil, c.AcquireLoadPermit.validate},
		{c.ReleaseLoadPermit != nil, c.ReleaseLoadPermit.validate},
	} {
		if check.set {
			set++
			err = errors.CombineErrors(err, check.validate())
		}
	}
	if set != 1 {
		return invalid("a command has exactly one field set, not %d", set)
	}
	return err
}

func (a *ApplyConfig) validate() error {
	if len(a.Text) > MaxTextBytes {
		return invalid("the configuration has %d bytes, more than %d", len(a.Text), MaxTextBytes)
	}
	if a.Hash != HashText(a.Text) {
		return invalid("the hash is not that of the configuration's text")
	}
	if a.RequestID != "" {
		return firstError(checkName("operator", a.Operator), checkName("request ID", a.RequestID))
	}
	return checkName("operator", a.Operator)
}

func (w *WithdrawKeys) validate() error {
	if len(w.IDs) == 0 || len(w.IDs) > MaxWithdrawnIDs {
		return invalid("%d key IDs; allowed are 1 to %d", len(w.IDs), MaxWithdrawnIDs)
	}
	for _, id := range w.IDs {
		if err := checkName("key ID", id); err != nil {
			return err
		}
	}
	return nil
}

func (r *RegisterVM) validate() error {
	if r.Incarnation < 1 {
		return invalid("incarnation %d is below 1", r.Incarnation)
	}
	return firstError(checkName("VM", r.VM), checkName("zone", r.Zone))
}

func (r *RemoveVM) validate() error {
	if r.Incarnation < 1 {
		return invalid("incarnation %d is below 1", r.Incarnation)
	}
	return checkName("VM", r.VM)
}

func (i *IssueFencing) validate() error {
	return firstError(checkName("resource", i.Resource), checkName("holder", i.Holder))
}

func (r *RecordAgreedSplit) validate() error {
	if r.Split < 1 {
		return invalid("split %d is below 1", r.Split)
	}
	return nil
}

func checkName(field, name string) error {
	length := utf8.RuneCountInString(name)
	if length < 1 || length > MaxNameLength || !utf8.ValidString(name) {
		return invalid("%s %.40q has %d characters; allowed are 1 to %d of UTF-8", field, name, length, MaxNameLength)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
