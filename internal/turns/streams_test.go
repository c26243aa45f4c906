package turns

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// apply applies a command at a time in milliseconds.
func applyAt(t *testing.T, m *Machine, now int64, c Command) Result {
	c.Now = now
	data, err := c.Encode()
	require.NoError(t, err)
	r, err := DecodeResult(m.Apply(1, data))
	require.NoError(t, err)
	return r
}

func record(request, origin string, attempt int64) Command {
	return Command{Stream: &Stream{Account: "acc", Request: request, Origin: origin, Attempt: attempt, Retention: time.Minute}}
}

func resume(account, request, resumes string) Command {
	return Command{Begin: &Begin{Account: account, Request: request, Resumes: resumes, Retention: time.Minute}}
}

func TestMachine_StreamOrigins(t *testing.T) {
	m := New()
	require.True(t, applyAt(t, m, 1, record("1", "v1", 0)).Recorded)
	require.True(t, applyAt(t, m, 1, record("1", "v1", 0)).Recorded, "a record may be applied twice")
	require.Equal(t, "v1", applyAt(t, m, 2, resume("acc", "2", "1")).Origin)
	require.Equal(t, "v1", applyAt(t, m, 3, resume("acc", "3", "2")).Origin, "a resumed stream can be resumed under its own ID")
	require.Equal(t, UnknownStream, applyAt(t, m, 3, resume("other", "4", "1")).Outcome, "the stream is another account's")
	require.Equal(t, UnknownStream, applyAt(t, m, 3, resume("acc", "4", "nobody's")).Outcome)

	require.True(t, applyAt(t, m, 4, record("5", "v1", 0)).Recorded)
	require.True(t, applyAt(t, m, 4, record("5", "v2", 1)).Recorded, "the first attempt brought no event")
	require.False(t, applyAt(t, m, 4, record("5", "v1", 0)).Recorded, "the record of the first attempt is late")
	require.Equal(t, "v2", applyAt(t, m, 5, resume("acc", "6", "5")).Origin)
	applyAt(t, m, 6, record("5", "", 9))
	require.Equal(t, UnknownStream, applyAt(t, m, 7, resume("acc", "7", "5")).Outcome, "the origin is no longer certain")
}

// TestMachine_UnknownStreamReservesNothing guards against budgets that refused resumptions use up.
func TestMachine_UnknownStreamReservesNothing(t *testing.T) {
	m := New()
	c := resume("acc", "1", "nobody's")
	c.Begin.Program, c.Begin.HasBudget, c.Begin.Budget, c.Begin.MaxTokens = "p", true, 100, 60
	require.Equal(t, UnknownStream, applyAt(t, m, 1, c).Outcome)
	c.Begin.Resumes = ""
	require.Equal(t, Begun, applyAt(t, m, 2, c).Outcome)
}

func TestMachine_StreamOriginsSurviveSnapshots(t *testing.T) {
	m := New()
	applyAt(t, m, 1, record("1", "v1", 2))
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, m.streams, restored.streams)
	require.False(t, applyAt(t, restored, 2, record("1", "v2", 1)).Recorded)
	require.Equal(t, "v1", applyAt(t, restored, 2, resume("acc", "2", "1")).Origin)
}

func TestMachine_StreamOriginsExpireAndAreBounded(t *testing.T) {
	m := New()
	for i := range maxStreams {
		require.True(t, m.recordStream(&Stream{Account: "acc", Request: fmt.Sprint(i), Origin: "v1", Retention: time.Second}))
	}
	require.False(t, applyAt(t, m, 1, record("one too many", "v1", 0)).Recorded)
	require.Equal(t, "v1", applyAt(t, m, 1, resume("acc", "2", "1")).Origin, "streams go on while the table is full")
	require.Len(t, m.streams, maxStreams)
	applyAt(t, m, (time.Second + retentionSlack + sweepInterval*time.Millisecond).Milliseconds(), record("later", "v1", 0))
	require.Len(t, m.streams, 2, "the one that was resumed is kept, and the new one")
}

func TestMachine_OriginsOfAnAccount(t *testing.T) {
	m := New()
	unnamed := Command{Begin: &Begin{Account: "acc", Request: "r", ResumesUnnamed: true}}
	require.Empty(t, applyAt(t, m, 1, unnamed).Origins)
	applyAt(t, m, 1, record("1", "v1", 0))
	applyAt(t, m, 1, record("2", "v1", 0))
	other := record("3", "v3", 0)
	other.Stream.Account = "other"
	applyAt(t, m, 1, other)
	require.Equal(t, []string{"v1"}, applyAt(t, m, 2, unnamed).Origins)
	applyAt(t, m, 2, record("4", "v2", 0))
	require.Equal(t, []string{"v1", "v2"}, applyAt(t, m, 3, unnamed).Origins)
	applyAt(t, m, 3, record("4", "", 1))
	require.Equal(t, []string{"", "v1"}, applyAt(t, m, 4, unnamed).Origins, "one isn't certain")
}
