package fakes

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
)

// Message is one message of a conversation. A list of content parts is decoded as the
// concatenated text of the parts.
type Message struct {
	Role       string
	Content    string
	Name       string
	ToolCallID string
	ToolCalls  json.RawMessage
}

type messageJSON struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content"`
	Name       string          `json:"name,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
}

type contentPart struct {
	Text string `json:"text"`
}

// MarshalJSON encodes the content as a single string.
func (m Message) MarshalJSON() ([]byte, error) {
	content, err := json.Marshal(m.Content)
	if err != nil {
		return nil, err
	}
	return json.Marshal(messageJSON{m.Role, content, m.Name, m.ToolCallID, m.ToolCalls})
}

// UnmarshalJSON accepts content that is a string, null or a list of parts.
func (m *Message) UnmarshalJSON(data []byte) error {
	var raw messageJSON
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	*m = Message{Role: raw.Role, Name: raw.Name, ToolCallID: raw.ToolCallID, ToolCalls: raw.ToolCalls}
	if len(raw.Content) == 0 || bytes.Equal(raw.Content, []byte("null")) {
		return nil
	}
	if raw.Content[0] != '[' {
		return json.Unmarshal(raw.Content, &m.Content)
	}
	var parts []contentPart
	if err := json.Unmarshal(raw.Content, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		m.Content += p.Text
	}
	return nil
}

// vocabulary holds the words from which answers are generated.
var vocabulary = strings.Fields(`amber basket candle door ember field garden harbour island
	jacket kettle lantern market needle orchard paper quarry ribbon saddle table umbrella
	valley window yarn zinc arch bridge copper dune engine ferry glass`)

// An answer has shortestAnswer to shortestAnswer+answerSpread-1 tokens, unless the prompt or a
// token limit sets its length.
const (
	shortestAnswer = 6
	answerSpread   = 20
)

// answerWordsPrefix in the last message sets the answer's length in words, as in "words:200".
const answerWordsPrefix = "words:"

// Digest returns the SHA-256 of a model and a conversation in lower-case hex.
func Digest(model string, messages []Message) string {
	sum := conversationSum(model, messages)
	return hex.EncodeToString(sum[:])
}

func conversationSum(model string, messages []Message) [sha256.Size]byte {
	h := sha256.New()
	field := func(s string) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	field(model)
	for _, m := range messages {
		field(m.Role)
		field(m.Content)
		field(m.Name)
		field(m.ToolCallID)
		field(canonicalJSON(m.ToolCalls))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// canonicalJSON re-encodes data with sorted keys and no spaces. Invalid JSON is returned as it is.
func canonicalJSON(data json.RawMessage) string {
	if len(data) == 0 {
		return ""
	}
	var v any
	if json.Unmarshal(data, &v) != nil {
		return string(data)
	}
	out, err := json.Marshal(v)
	if err != nil {
		return string(data)
	}
	return string(out)
}

// Answer returns the words of the deterministic answer to a conversation, truncated to maxTokens
// if that is above 0. The completion's text is these words joined by single spaces.
func Answer(model string, messages []Message, maxTokens int) []string {
	sum := conversationSum(model, messages)
	n := answerLength(sum, messages)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	words := make([]string, n)
	block := sum
	for i := range words {
		at := i % sha256.Size
		if i > 0 && at == 0 {
			block = sha256.Sum256(block[:])
		}
		words[i] = vocabulary[int(block[at])%len(vocabulary)]
	}
	return words
}

func answerLength(sum [sha256.Size]byte, messages []Message) int {
	if len(messages) > 0 {
		for _, w := range strings.Fields(messages[len(messages)-1].Content) {
			digits, found := strings.CutPrefix(w, answerWordsPrefix)
			if n, err := strconv.Atoi(digits); found && err == nil && n > 0 {
				return n
			}
		}
	}
	return shortestAnswer + int(sum[0])%answerSpread
}

// Tokens returns the tokens of a conversation: the whitespace-separated words of all message
// contents.
func Tokens(messages []Message) []string {
	var tokens []string
	for _, m := range messages {
		tokens = append(tokens, strings.Fields(m.Content)...)
	}
	return tokens
}
