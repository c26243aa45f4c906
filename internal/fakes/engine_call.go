package fakes

import (
	"encoding/json"
	"time"

	"egretramp/internal/upstream/wire"
)

// Finish reasons of a completion.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// chatRequest holds the fields of a chat completion request that an engine uses.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (r chatRequest) limit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// completion is a complete response or one chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	PromptDetails    usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// call is one chat completion that an engine runs. It is guarded by the engine's mutex.
type call struct {
	attempt string
	session string
	model   string // name used in the request
	run     int
	created time.Time
	prompt  []string
	answer  []string
	finish  string
	usage   bool // the stream ends with a usage chunk

	cached         int
	emitted        int // tokens of the answer generated so far
	chunks         [][]byte
	ended          bool
	outcome        Outcome
	endedAt        time.Time
	keep           bool // cache the prefix when the call ends
	readers        int
	lastReaderLeft time.Time     // when a reader was last removed
	advanced       chan struct{} // closed and replaced when chunks or ended change
}

// kvTokens returns the KV memory that the call occupies, in tokens.
func (c *call) kvTokens() int64 {
	return int64(len(c.prompt) + len(c.answer))
}

// advance notifies the readers of new chunks or the end of the call.
func (c *call) advance() {
	close(c.advanced)
	c.advanced = make(chan struct{})
}

// emit generates the next token and reports whether it was the last one.
func (c *call) emit() (complete bool) {
	if c.emitted == 0 {
		c.addChunk(choice{Delta: &delta{Role: "assistant"}}, nil)
	}
	word := c.answer[c.emitted]
	if c.emitted > 0 {
		word = " " + word
	}
	c.addChunk(choice{Delta: &delta{Content: word}}, nil)
	c.emitted++
	if c.emitted < len(c.answer) {
		return false
	}
	c.addChunk(choice{Delta: &delta{}, FinishReason: &c.finish}, nil)
	if c.usage {
		c.addUsageChunk()
	}
	return true
}

func (c *call) addChunk(ch choice, u *usage) {
	c.chunks = append(c.chunks, mustJSON(c.completion("chat.completion.chunk", []choice{ch}, u)))
}

func (c *call) addUsageChunk() {
	c.chunks = append(c.chunks, mustJSON(c.completion("chat.completion.chunk", []choice{}, c.usageNow())))
}

func (c *call) completion(object string, choices []choice, u *usage) completion {
	return completion{
		ID:      wire.CompletionIDPrefix + c.attempt,
		Object:  object,
		Created: c.created.Unix(),
		Model:   c.model,
		Choices: choices,
		Usage:   u,
	}
}

func (c *call) usageNow() *usage {
	return &usage{
		PromptTokens:     len(c.prompt),
		CompletionTokens: c.emitted,
		TotalTokens:      len(c.prompt) + c.emitted,
		PromptDetails:    usageDetails{CachedTokens: c.cached},
	}
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("fakes: cannot encode JSON: " + err.Error())
	}
	return data
}
