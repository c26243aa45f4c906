package upstream

import (
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
)

// Usage is an engine's count of a call. Tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	PromptDetails    struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Assembler builds a whole completion from a stream's chunks.
type Assembler struct {
	head    completionHead
	choices map[int]*choice
	usage   *Usage
	raw     json.RawMessage // usage as the engine sent it
}

type completionHead struct {
	ID                string `json:"id"`
	Object            string `json:"object"`
	Created           int64  `json:"created"`
	Model             string `json:"model"`
	SystemFingerprint string `json:"system_fingerprint,omitempty"`
}

type streamChunk struct {
	completionHead
	Choices []struct {
		Index        int             `json:"index"`
		Delta        delta           `json:"delta"`
		FinishReason *string         `json:"finish_reason"`
		LogProbs     json.RawMessage `json:"logprobs"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

type delta struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	Refusal   *string         `json:"refusal"`
	ToolCalls []toolCallDelta `json:"tool_calls"`
}

type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

type choice struct {
	role, content, refusal string
	hasContent, hasRefusal bool
	tools                  map[int]*toolCallDelta
	finish                 *string
}

type message struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type wholeChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	completionHead
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// NewAssembler returns an assembler without chunks.
func NewAssembler() *Assembler {
	return &Assembler{choices: map[int]*choice{}}
}

// ErrBadChunk says that a chunk is not of the published shape.
var ErrBadChunk = errors.New("a chunk is not of the expected shape")

// Add takes the next chunk's payload.
func (a *Assembler) Add(data []byte) error {
	var c streamChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.WithSecondaryError(ErrBadChunk, err)
	}
	if a.head.ID == "" {
		a.head = c.completionHead
	}
	for _, part := range c.Choices {
		state := a.choice(part.Index)
		state.add(part.Delta)
		if part.FinishReason != nil {
			state.finish = part.FinishReason
		}
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		a.raw = c.Usage
		a.usage = &Usage{}
		if err := json.Unmarshal(c.Usage, a.usage); err != nil {
			return errors.WithSecondaryError(ErrBadChunk, err)
		}
	}
	return nil
}

func (a *Assembler) choice(index int) *choice {
	state, ok := a.choices[index]
	if !ok {
		state = &choice{role: "assistant", tools: map[int]*toolCallDelta{}}
		a.choices[index] = state
	}
	return state
}

func (c *choice) add(d delta) {
	if d.Role != "" {
		c.role = d.Role
	}
	if d.Content != nil {
		c.content += *d.Content
		c.hasContent = true
	}
	if d.Refusal != nil {
		c.refusal += *d.Refusal
		c.hasRefusal = true
	}
	for _, t := range d.ToolCalls {
		known, ok := c.tools[t.Index]
		if !ok {
			known = &toolCallDelta{Index: t.Index, Type: "function"}
			c.tools[t.Index] = known
		}
		if t.ID != "" {
			known.ID = t.ID
		}
		if t.Type != "" {
			known.Type = t.Type
		}
		known.Function.Name += t.Function.Name
		known.Function.Arguments += t.Function.Arguments
	}
}

func (c *choice) message() message {
	m := message{Role: c.role}
	if c.hasContent {
		m.Content = &c.content
	}
	if c.hasRefusal {
		m.Refusal = &c.refusal
	}
	indexes := make([]int, 0, len(c.tools))
	for i := range c.tools {
		indexes = append(indexes, i)
	}
	sort.Ints(indexes)
	for _, i := range indexes {
		t := c.tools[i]
		m.ToolCalls = append(m.ToolCalls, toolCall{ID: t.ID, Type: t.Type, Function: toolFunction(t.Function)})
	}
	return m
}

// Finished reports whether every choice has its finish reason: the answer is whole.
func (a *Assembler) Finished() bool {
	for _, c := range a.choices {
		if c.finish == nil {
			return false
		}
	}
	return len(a.choices) > 0
}

// Usage returns the engine's count; false if it sent none.
func (a *Assembler) Usage() (Usage, bool) {
	if a.usage == nil {
		return Usage{}, false
	}
	return *a.usage, true
}

// Message returns the first choice's message in JSON, as it enters a conversation.
func (a *Assembler) Message() ([]byte, error) {
	return json.Marshal(a.choice(0).message())
}

// Completion returns the whole completion in JSON.
func (a *Assembler) Completion() ([]byte, error) {
	whole := completion{completionHead: a.head, Usage: a.raw}
	whole.Object = "chat.completion"
	indexes := make([]int, 0, len(a.choices))
	for i := range a.choices {
		indexes = append(indexes, i)
	}
	sort.Ints(indexes)
	for _, i := range indexes {
		c := a.choices[i]
		whole.Choices = append(whole.Choices, wholeChoice{Index: i, Message: c.message(), FinishReason: c.finish})
	}
	return json.Marshal(whole)
}
