package httpwire

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestResponse_WritesOneResponse calls the methods of a response in any order. What is written is always the beginning of
// one well-formed response, and a call out of order closes the connection.
func TestResponse_WritesOneResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var out bytes.Buffer
		w := &Response{conn: &serverConn{server: &Server{}}, writer: bufio.NewWriter(&out)}
		begun, ended := false, false
		for range rapid.IntRange(1, 6).Draw(t, "calls") {
			var err error
			inOrder := false
			switch call := rapid.SampledFrom([]string{"send", "begin", "chunk", "finish"}).Draw(t, "call"); call {
			case "send":
				inOrder = !begun && !ended
				err = w.Send(500, nil, []byte("failed"))
				ended = true
			case "begin":
				inOrder = !begun && !ended
				err = w.Begin(200, nil)
				begun = true
			case "chunk":
				inOrder = begun && !ended
				err = w.Chunk([]byte("part"))
			case "finish":
				inOrder = begun && !ended
				err = w.Finish()
				ended = true
			}
			if !inOrder {
				require.ErrorIs(t, err, ErrOutOfOrder)
				require.True(t, w.failed)
				break
			}
			require.NoError(t, err)
		}
		require.NoError(t, w.writer.Flush())
		require.LessOrEqual(t, bytes.Count(out.Bytes(), []byte("HTTP/1.1")), 1)
	})
}
