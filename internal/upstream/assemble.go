package upstream

import (
	"encoding/json"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Usage is the token count that an engine reports for a call.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	PromptDetails    struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Assembler builds a complete chat completion from the chunks of a stream.
type Assembler struct {
	head     completionHead
	choices  map[int]*choice
	usage    *Usage
	rawUsage json.RawMessage // usage object as the engine sent it
	size     int             // total size of all chunks, bytes
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
		Index        int       `json:"index"`
		Delta        delta     `json:"delta"`
		FinishReason *string   `json:"finish_reason"`
		LogProbs     *logProbs `json:"logprobs"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

type delta struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	Reasoning *string         `json:"reasoning_content"`
	Refusal   *string         `json:"refusal"`
	ToolCalls []toolCallDelta `json:"tool_calls"`
}

type toolCallDelta struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type choice struct {
	role                        string
	content, reasoning, refusal optionalString
	tools                       map[int]*toolCall
	logProbs                    *logProbs
	finish                      *string
}

// optionalString concatenates the parts of a string; its value is nil before the first part.
type optionalString struct{ parts *strings.Builder }

func (t *optionalString) add(part *string) {
	if part == nil {
		return
	}
	if t.parts == nil {
		t.parts = &strings.Builder{}
	}
	t.parts.WriteString(*part)
}

func (t *optionalString) value() *string {
	if t.parts == nil {
		return nil
	}
	s := t.parts.String()
	return &s
}

// logProbs holds the log probabilities of the tokens, which arrive in parts like the text.
type logProbs struct {
	Content []json.RawMessage `json:"content"`
	Refusal []json.RawMessage `json:"refusal"`
}

type message struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Reasoning *string    `json:"reasoning_content,omitempty"`
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

type completionChoice struct {
	Index        int       `json:"index"`
	Message      message   `json:"message"`
	LogProbs     *logProbs `json:"logprobs,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type completion struct {
	completionHead
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

// NewAssembler returns an empty Assembler.
func NewAssembler() *Assembler {
	return &Assembler{choices: map[int]*choice{}}
}

// Errors returned by Add.
var (
	ErrBadChunk = errors.New("a chunk is not of the expected shape")
	ErrTooLarge = errors.New("the answer's chunks are larger than 64 MiB together")
)

const (
	// maxAnswerBytes limits the total size of an answer's chunks.
	maxAnswerBytes = 64 << 20
	maxChoices     = 16
)

// Add processes the payload of the next chunk. Errors: ErrBadChunk, ErrTooLarge.
func (a *Assembler) Add(data []byte) error {
	a.size += len(data)
	if a.size > maxAnswerBytes {
		return ErrTooLarge
	}
	var c streamChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.WithSecondaryError(ErrBadChunk, err)
	}
	if a.head.ID == "" {
		a.head = c.completionHead
	}
	for _, part := range c.Choices {
		if part.Index < 0 || part.Index >= maxChoices {
			return errors.Wrap(ErrBadChunk, "choice index out of range")
		}
		state := a.choice(part.Index)
		state.add(part.Delta)
		state.addLogProbs(part.LogProbs)
		if part.FinishReason != nil {
			state.finish = part.FinishReason
		}
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		a.rawUsage = c.Usage
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
		state = &choice{role: "assistant", tools: map[int]*toolCall{}}
		a.choices[index] = state
	}
	return state
}

func (c *choice) add(d delta) {
	if d.Role != "" {
		c.role = d.Role
	}
	c.content.add(d.Content)
	c.reasoning.add(d.Reasoning)
	c.refusal.add(d.Refusal)
	for _, t := range d.ToolCalls {
		call, ok := c.tools[t.Index]
		if !ok {
			call = &toolCall{Type: "function"}
			c.tools[t.Index] = call
		}
		if t.ID != "" {
			call.ID = t.ID
		}
		if t.Type != "" {
			call.Type = t.Type
		}
		call.Function.Name += t.Function.Name
		call.Function.Arguments += t.Function.Arguments
	}
}

func (c *choice) addLogProbs(p *logProbs) {
	if p == nil {
		return
	}
	if c.logProbs == nil {
		c.logProbs = &logProbs{}
	}
	c.logProbs.Content = append(c.logProbs.Content, p.Content...)
	c.logProbs.Refusal = append(c.logProbs.Refusal, p.Refusal...)
}

func (c *choice) message() message {
	m := message{
		Role:      c.role,
		Content:   c.content.value(),
		Reasoning: c.reasoning.value(),
		Refusal:   c.refusal.value(),
	}
	indexes := make([]int, 0, len(c.tools))
	for i := range c.tools {
		indexes = append(indexes, i)
	}
	sort.Ints(indexes)
	for _, i := range indexes {
		m.ToolCalls = append(m.ToolCalls, *c.tools[i])
	}
	return m
}

// Finished reports whether the answer is complete: it has the given number of choices, each with
// a finish reason.
func (a *Assembler) Finished(choices int) bool {
	for _, c := range a.choices {
		if c.finish == nil {
			return false
		}
	}
	return len(a.choices) == choices
}

// Usage returns the engine's token count; false if it sent none.
func (a *Assembler) Usage() (Usage, bool) {
	if a.usage == nil {
		return Usage{}, false
	}
	return *a.usage, true
}

// Message returns the first choice's message in JSON, as it is appended to a conversation.
func (a *Assembler) Message() ([]byte, error) {
	return json.Marshal(a.choice(0).message())
}

// Completion returns the complete chat completion in JSON.
func (a *Assembler) Completion() ([]byte, error) {
	whole := completion{completionHead: a.head, Usage: a.rawUsage}
	whole.Object = "chat.completion"
	indexes := make([]int, 0, len(a.choices))
	for i := range a.choices {
		indexes = append(indexes, i)
	}
	sort.Ints(indexes)
	for _, i := range indexes {
		c := a.choices[i]
		whole.Choices = append(whole.Choices, completionChoice{Index: i, Message: c.message(), LogProbs: c.logProbs, FinishReason: c.finish})
	}
	return json.Marshal(whole)
}
