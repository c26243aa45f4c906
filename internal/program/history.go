package program

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// HashMessages returns the hash of a history: a hash chain over its messages, nil if there are
// none.
func HashMessages(messages [][]byte) []byte {
	var head []byte
	for _, message := range messages {
		head = extendHash(head, message)
	}
	return head
}

// extendHash returns the hash of a history after one more message.
func extendHash(head, message []byte) []byte {
	h := sha256.New()
	h.Write(head)
	sum := sha256.Sum256(message)
	h.Write(sum[:])
	return h.Sum(nil)
}

// matches reports whether a prefix is exactly the recorded history.
func (p *program) matches(prefix *Prefix) bool {
	return prefix.Messages == len(p.history) && bytes.Equal(prefix.Hash, p.historyHash)
}

// appendHistory appends messages to the history. Its cost does not depend on the history's length.
func (p *program) appendHistory(messages [][]byte) {
	for _, message := range messages {
		p.history = append(p.history, message)
		p.historyHash = extendHash(p.historyHash, message)
		p.bytes += int64(len(message)) + messageOverheadBytes
	}
}

// ignoredMembers are members of chat messages that are dropped if they are empty: servers add them,
// and clients may or may not send them back.
var ignoredMembers = []string{"refusal", "annotations", "audio", "function_call", "tool_calls"}

// CanonicalMessage returns a chat message in the form in which the history stores and compares it:
// members sorted, no white space, no null members, none of the empty members that servers add.
func CanonicalMessage(message []byte) ([]byte, error) {
	dec := json.NewDecoder(bytes.NewReader(message))
	dec.UseNumber()
	var members map[string]any
	if err := dec.Decode(&members); err != nil {
		return nil, errors.Wrap(err, "program: a message is not a JSON object")
	}
	if dec.More() {
		return nil, errors.New("program: more than one JSON value in a message")
	}
	for name, value := range members {
		if value == nil {
			delete(members, name)
		}
	}
	for _, name := range ignoredMembers {
		if isEmpty(members[name]) {
			delete(members, name)
		}
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(members); err != nil {
		return nil, errors.Wrap(err, "program: cannot encode a message")
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

func isEmpty(value any) bool {
	switch v := value.(type) {
	case string:
		return v == ""
	case []any:
		return len(v) == 0
	}
	return false
}
