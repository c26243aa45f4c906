package harness

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/settings"
)

func shell(t *testing.T, script string) *Process {
	p := NewProcess("p", t.TempDir(), "/bin/sh", "-c", script)
	require.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Kill() })
	return p
}

// waitForReadyLine waits until the script has printed its ready line.
func waitForReadyLine(t *testing.T, p *Process) {
	require.Eventually(t, func() bool { return p.LogTail() == "ready\n" }, 5*time.Second, time.Millisecond)
}

func TestProcess_TerminatesGracefullyOrKills(t *testing.T) {
	for script, want := range map[string]bool{
		"trap 'exit 7' TERM; echo ready; while :; do sleep 0.01; done": true,
		"trap '' TERM; echo ready; while :; do sleep 0.01; done":       false,
	} {
		p := shell(t, script)
		waitForReadyLine(t, p)
		limit := 10 * time.Second
		if !want {
			limit = 50 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		graceful, err := p.Terminate(ctx)
		cancel()
		require.NoError(t, err)
		require.Equal(t, want, graceful)
		require.False(t, p.Running())
		code, err := p.ExitCode()
		require.NoError(t, err)
		require.Equal(t, map[bool]int{true: 7, false: -1}[want], code)
		require.ErrorIs(t, p.Freeze(), ErrNotRunning)
	}
}

func TestProcess_FreezesThawsAndRestarts(t *testing.T) {
	p := shell(t, "exec sleep 60")
	first, err := p.PID()
	require.NoError(t, err)
	require.Error(t, p.Start())
	state := func() string {
		data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(first), "stat"))
		require.NoError(t, err)
		return string(data)
	}
	require.NoError(t, p.Freeze())
	require.Eventually(t, func() bool { return strings.Contains(state(), ") T ") }, 5*time.Second, time.Millisecond)
	require.NoError(t, p.Thaw())
	require.Eventually(t, func() bool { return strings.Contains(state(), ") S ") }, 5*time.Second, time.Millisecond)
	require.NoError(t, p.Restart(5*time.Second))
	second, err := p.PID()
	require.NoError(t, err)
	require.NotEqual(t, first, second)
	// The kernel accounts for a new process's memory with a delay.
	counted := func() bool {
		usage, err := p.Usage()
		return err == nil && usage.RSS > 0
	}
	require.Eventually(t, counted, 5*time.Second, time.Millisecond)
}

func TestProcess_TerminatesFrozenProcessGracefully(t *testing.T) {
	p := shell(t, "trap 'exit 7' TERM; echo ready; while :; do sleep 0.01; done")
	waitForReadyLine(t, p)
	require.NoError(t, p.Freeze())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	graceful, err := p.Terminate(ctx)
	require.NoError(t, err)
	require.True(t, graceful)
}

func TestProcess_WaitEndsWhenTheProcessDoes(t *testing.T) {
	p := shell(t, "echo cannot listen; exit 2")
	err := p.retryUntilReady(context.Background(), func(context.Context) error { return ErrNotRunning })
	require.ErrorContains(t, err, "cannot listen")
}

func TestParseStat_CommandNameWithSpaces(t *testing.T) {
	u, err := parseStat("42 (a) b) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 1 0 99 1000 3 rest")
	require.NoError(t, err)
	require.Equal(t, Usage{CPU: 2 * time.Second, RSS: 3 * int64(os.Getpagesize())}, u)
	_, err = parseStat("42 (a")
	require.Error(t, err)
}

func TestFleet_WritesSettingsOfAllVMs(t *testing.T) {
	bin, dir := t.TempDir(), t.TempDir()
	zones := []Zone{{"a", 3, 1}, {"b", 2, 1}}
	_, err := New(Options{Bin: bin, Dir: dir, Zones: zones})
	require.ErrorContains(t, err, "build them first")
	for _, name := range []string{daemonProgram, toolProgram, fakeProgram} {
		require.NoError(t, os.WriteFile(filepath.Join(bin, name), nil, 0o700))
	}
	f, err := New(Options{Bin: bin, Dir: dir, Zones: zones})
	require.NoError(t, err)
	seen := map[string]bool{}
	for i, vm := range f.VMs {
		data, err := os.ReadFile(f.settingsPath(vm.Name))
		require.NoError(t, err)
		var s settings.Settings
		require.NoError(t, json.Unmarshal(data, &s))
		require.Equal(t, vm.Settings, s)
		require.Len(t, s.Peers, 5)
		require.Equal(t, i == 0 || i == 3, s.Peers[i].Control)
		for _, addr := range []string{s.Listen.Callers, s.Listen.Upstreams, s.Listen.Peers, s.Listen.Admin} {
			require.False(t, seen[addr])
			seen[addr] = true
		}
	}
}
