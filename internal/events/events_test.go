package events

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md from the code")

const cataloguePath = "../../docs/EVENTS.md"

func renderCatalogue() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries the number of its event in the field `event`. ")
	b.WriteString("This page is written from the code by `go test ./internal/events -update`; a test compares the two.\n\n")
	b.WriteString("| event | level | text | what to do |\n| --- | --- | --- | --- |\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, e.Level, e.Text, e.Action)
	}
	return b.String()
}

func TestCatalogue_MatchesDocs(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(cataloguePath, []byte(renderCatalogue()), 0o644))
	}
	page, err := os.ReadFile(cataloguePath)
	require.NoError(t, err)
	require.Equal(t, renderCatalogue(), string(page), "run go test ./internal/events -update")
}
