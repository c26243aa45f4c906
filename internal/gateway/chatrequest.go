package gateway

import (
	"bytes"
	"encoding/json"
	"io"

	"egretramp/internal/refusal"
)

// chatRequest is a caller's chat completion request. Unknown fields are forwarded unchanged.
type chatRequest struct {
	fields       map[string]json.RawMessage
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int64 // 0: not given
	choices      int
	messages     []json.RawMessage
}

const (
	maxMessages     = 10_000
	maxTokensInCall = 10_000_000
)

// parseChat parses and validates the body of a chat completion request.
func parseChat(body []byte) (*chatRequest, *refusal.Refusal) {
	c := &chatRequest{choices: 1}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&c.fields); err != nil || c.fields == nil {
		return nil, badRequest("bad_json", "the body must be a JSON object")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, badRequest("bad_json", "the body has something after its JSON object")
	}
	var streamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}
	var maxTokens, maxCompletionTokens int64
	for _, f := range []struct {
		name  string
		value any
	}{
		{"model", &c.model},
		{"stream", &c.stream},
		{"stream_options", &streamOptions},
		{"max_tokens", &maxTokens},
		{"max_completion_tokens", &maxCompletionTokens},
		{"n", &c.choices},
		{"messages", &c.messages},
	} {
		raw, ok := c.fields[f.name]
		if !ok || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, f.value); err != nil {
			return nil, badRequest("bad_field", "the field "+f.name+" has the wrong type")
		}
	}
	c.includeUsage = streamOptions.IncludeUsage
	c.maxTokens = max(maxTokens, maxCompletionTokens)
	return c, c.check()
}

func (c *chatRequest) check() *refusal.Refusal {
	switch {
	case c.model == "":
		return badRequest("missing_model", "the field model is missing")
	case len(c.messages) == 0:
		return badRequest("missing_messages", "the field messages is missing or empty")
	case len(c.messages) > maxMessages:
		return badRequest("too_many_messages", "the conversation has more than 10000 messages")
	case c.maxTokens < 0 || c.maxTokens > maxTokensInCall:
		return badRequest("bad_field", "max_tokens must be from 1 to 10000000")
	case c.choices < 1 || c.choices > 16:
		return badRequest("bad_field", "n must be from 1 to 16")
	}
	for _, m := range c.messages {
		if len(m) == 0 || m[0] != '{' {
			return badRequest("bad_field", "each of the messages must be an object")
		}
	}
	return nil
}

// engineBody returns the body sent to an engine. It always requests a stream with usage, so that an
// interrupted answer can be resumed whether or not the caller requested a stream.
func (c *chatRequest) engineBody(model string, maxTokens int64, messages []json.RawMessage) ([]byte, error) {
	fields := make(map[string]any, len(c.fields)+4)
	for name, raw := range c.fields {
		fields[name] = raw
	}
	fields["model"] = model
	fields["messages"] = messages
	fields["stream"] = true
	fields["stream_options"] = map[string]bool{"include_usage": true}
	if c.maxTokens == 0 {
		fields["max_tokens"] = maxTokens
	}
	return json.Marshal(fields)
}

// canonical returns the request in canonical form, so that equal requests have equal hashes.
func (c *chatRequest) canonical() []byte {
	data, err := json.Marshal(c.fields) // sorted by name; values are compacted
	if err != nil {
		return nil
	}
	return data
}

// decoded returns the body with its JSON escapes resolved, to search it for a key.
func (c *chatRequest) decoded() []byte {
	data, err := json.Marshal(c.fields)
	if err != nil {
		return nil
	}
	return unescapeJSON(data)
}

// unescapeJSON re-encodes JSON so that no character that a key may contain is escaped.
func unescapeJSON(data []byte) []byte {
	var value any
	if json.Unmarshal(data, &value) != nil {
		return nil
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if encoder.Encode(value) != nil {
		return nil
	}
	return out.Bytes()
}
