package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func assemble(t *testing.T, chunks ...string) *Assembler {
	t.Helper()
	a := NewAssembler()
	for _, c := range chunks {
		require.NoError(t, a.Add([]byte(c)))
	}
	return a
}

func TestAssembler_WholeAnswer(t *testing.T) {
	a := assemble(t,
		`{"id":"c1","created":5,"model":"m","choices":[{"index":1,"delta":{"role":"assistant","content":""}}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"id":"t2","function":{"name":"ship","arguments":""}}]}}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t1","type":"function","function":{"name":"quote","arguments":"{\"a\""}}]}}]}`,
		`{"id":"c1","choices":[{"index":1,"delta":{"content":"wi","reasoning_content":"hm"},"logprobs":{"content":[{"token":"wi"}]}}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}},{"index":1,"function":{"arguments":"{}"}}]}}]}`,
		`{"id":"c1","choices":[{"index":1,"delta":{"content":"g"},"logprobs":{"content":[{"token":"g"}]},"finish_reason":"stop"}]}`,
	)
	require.False(t, a.Finished(2), "choice 0 has no finish reason")
	require.NoError(t, a.Add([]byte(`{"id":"c1","choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`)))
	require.NoError(t, a.Add([]byte(`{"id":"c1","choices":[],"usage":{"prompt_tokens":3,"total_tokens":9,"extra":1}}`)))
	require.True(t, a.Finished(2))
	require.False(t, a.Finished(3), "choice 2 is missing")
	whole, err := a.Completion()
	require.NoError(t, err)
	require.JSONEq(t, `{"id":"c1","object":"chat.completion","created":5,"model":"m","choices":[
		{"index":0,"message":{"role":"assistant","content":null,"tool_calls":[
			{"id":"t1","type":"function","function":{"name":"quote","arguments":"{\"a\":1}"}},
			{"id":"t2","type":"function","function":{"name":"ship","arguments":"{}"}}]},"finish_reason":"tool_calls"},
		{"index":1,"message":{"role":"assistant","content":"wig","reasoning_content":"hm"},
			"logprobs":{"content":[{"token":"wi"},{"token":"g"}],"refusal":null},"finish_reason":"stop"}],
		"usage":{"prompt_tokens":3,"total_tokens":9,"extra":1}}`, string(whole))
	usage, ok := a.Usage()
	require.True(t, ok)
	require.Equal(t, int64(9), usage.TotalTokens)
}

func TestAssembler_RejectsBadChunks(t *testing.T) {
	for _, c := range []string{`[]`, `{"choices":{}}`, `{"choices":[{"index":-1}]}`, `{"choices":[{"index":16}]}`, `{"usage":{"total_tokens":"x"}}`} {
		require.ErrorIs(t, NewAssembler().Add([]byte(c)), ErrBadChunk, c)
	}
	require.False(t, NewAssembler().Finished(1))
	a := NewAssembler()
	a.size = maxAnswerBytes
	require.ErrorIs(t, a.Add([]byte(`{}`)), ErrTooLarge)
}
