package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const entryLog = `
  33.1 edge-1 {"level":"warn","ts":"2026-09-23T03:21:21.000Z","msg":"a control VM does not respond","vm":"edge-1","event":2406,"control":"10.0.0.1:7000","error":"timeout"}
  33.2 edge-1 {"level":"info","ts":"2026-09-23T03:21:22.100Z","msg":"a try at an upstream brought no answer","vm":"edge-1","event":2302,"request":"r1","age":12,"upstream":"u1","outcome":"lost"}
{"level":"info","ts":"2026-09-23T03:21:22.100Z","msg":"a request was answered by this VM","vm":"edge-1","event":2301,"request":"r1","age":12,"upstream":"u1","reason":"failed"}
{"level":"info","ts":"2026-09-23T03:21:22.100Z","msg":"a request received its upstream's response","vm":"edge-1","event":2300,"request":"r2","age":5,"upstream":"u1"}
{"level":"info","ts":"2026-09-23T03:20:00.000Z","msg":"a control VM responds","vm":"edge-1","event":2405,"control":"10.0.0.1:7000"}
no line {
`

const controlLog = `
{"level":"warn","ts":"2026-09-23T03:21:21.500Z","msg":"an upstream's registration expired","vm":"core-1","event":2410,"upstream":"u1"}
{"level":"warn","ts":"2026-09-23T03:21:21.500Z","msg":"an upstream's registration expired","vm":"core-1","event":2410,"upstream":"u2"}
{"level":"warn","ts":"2026-09-23T03:21:21.500Z","msg":"a control VM does not respond","vm":"core-1","event":2406,"control":"10.0.0.2:7000"}
`

func TestRead_SelectsRequestAndContextLines(t *testing.T) {
	story, err := Read("r1", strings.NewReader(entryLog), strings.NewReader(controlLog))
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, story.Write(&out, "r1"))
	require.Equal(t, `request r1, arrived 2026-09-23 03:21:22.088 UTC
    -1088 ms   edge-1                   2406 a control VM does not respond control=10.0.0.1:7000 error=timeout
     -588 ms   core-1                   2410 an upstream's registration expired upstream=u1
       12 ms * edge-1                   2302 a try at an upstream brought no answer age=12 outcome=lost upstream=u1
       12 ms * edge-1                   2301 a request was answered by this VM age=12 reason=failed upstream=u1
`, out.String())
	require.Equal(t, 3, story.Unread, "expected two empty lines and one line without valid JSON")
}

func TestRead_ReportsRequestWithoutLines(t *testing.T) {
	story, err := Read("r9", strings.NewReader(entryLog))
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, story.Write(&out, "r9"))
	require.Equal(t, "no line about request r9\n", out.String())
}
