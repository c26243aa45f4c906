package ctl

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/node"
)

// fakeZones are control VMs that share a state. Those in failing answer nothing.
type fakeZones struct {
	failing map[string]int // number of failures that are left, by address
	tried   []string
	zones   []string
}

var errNoAnswer = errors.New("no answer")

func (z *fakeZones) answer(address string) error {
	z.tried = append(z.tried, address)
	if z.failing[address] > 0 {
		z.failing[address]--
		return errNoAnswer
	}
	return nil
}

func (z *fakeZones) SetEvacuation(_ context.Context, address, zone string, evacuated bool) error {
	if err := z.answer(address); err != nil {
		return err
	}
	if zone == "unknown" {
		return errors.Wrapf(node.ErrUnknownZone, "zone %q", zone)
	}
	z.zones = nil
	if evacuated {
		z.zones = []string{zone}
	}
	return nil
}

func (z *fakeZones) Evacuated(_ context.Context, address string) ([]string, error) {
	return z.zones, z.answer(address)
}

func (z *fakeZones) run(args ...string) (code int, out, errOut string) {
	var outBuffer, errBuffer bytes.Buffer
	short := func(t *tool) { t.orderTimeout = time.Second }
	code = Run(context.Background(), args, Streams{In: strings.NewReader(""), Out: &outBuffer, Err: &errBuffer}, WithZones(z), short)
	return code, outBuffer.String(), errBuffer.String()
}

func TestRun_Zones(t *testing.T) {
	t.Setenv("EGRETRAMP_CONTROL", "")
	z := &fakeZones{}
	const control = "--control=127.0.0.1:1"
	for _, c := range []struct {
		args        []string
		code        int
		out, errOut string // parts
	}{
		{[]string{"zones", control}, ExitOK, "zones out of service: none\n", ""},
		{[]string{"zones", control, "--json"}, ExitOK, `"zones": []`, ""},
		{[]string{"evacuate", "b", control}, ExitOK, "zone b is out of service", ""},
		{[]string{"zones", control}, ExitOK, "zones out of service: b\n", ""},
		{[]string{"restore", "b", control, "--json"}, ExitOK, `"evacuated": false`, ""},
		{[]string{"evacuate", "unknown", control}, ExitFailed, "", `zone "unknown"`},
		{[]string{"evacuate", control}, ExitUsage, "", "ZONE"},
		{[]string{"evacuate", "b"}, ExitUsage, "", "--control"},
		{[]string{"restore", "b", "--control=here"}, ExitUsage, "", "IP:port"},
	} {
		code, out, errOut := z.run(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, errOut)
		require.Contains(t, out, c.out, c.args)
		require.Contains(t, errOut, c.errOut, c.args)
	}
	require.Empty(t, z.zones)
	code, _, _ := run(t, "", "zones", control)
	require.Equal(t, ExitUsage, code, "without the service there is no such command")
}

// TestRun_OrderIsRepeated guards against an order that is given up because a control VM doesn't answer, or the answer is
// lost: it goes to the others, and to all of them again.
func TestRun_OrderIsRepeated(t *testing.T) {
	z := &fakeZones{failing: map[string]int{"127.0.0.1:1": 5, "127.0.0.1:2": 1}}
	t.Setenv("EGRETRAMP_CONTROL", "127.0.0.1:1,127.0.0.1:2")
	code, out, errOut := z.run("evacuate", "b")
	require.Equal(t, ExitOK, code, errOut)
	require.Contains(t, out, "out of service")
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:1", "127.0.0.1:2"}, z.tried)
	z.failing = map[string]int{"127.0.0.1:1": 1000, "127.0.0.1:2": 1000}
	code, out, errOut = z.run("restore", "b")
	require.Equal(t, ExitFailed, code)
	require.Empty(t, out)
	require.Contains(t, errOut, "send it again")
}
