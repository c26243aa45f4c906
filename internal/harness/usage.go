package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// 0-based indexes of fields in /proc/PID/stat after the command name, and the unit of its times.
const (
	statUserTime   = 11
	statSystemTime = 12
	statRSS        = 21
	// clockTick is the kernel's USER_HZ, 100 on every architecture that Go supports.
	clockTick = time.Second / 100
)

// Usage is the resource usage of a process.
type Usage struct {
	CPU time.Duration // user and system time
	RSS int64         // resident memory, bytes
}

// Usage reads the resource usage of the running process.
func (p *Process) Usage() (Usage, error) {
	pid, err := p.PID()
	if err != nil {
		return Usage{}, err
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "harness: cannot read a process's usage")
	}
	return parseStat(string(data))
}

// parseStat reads a line of /proc/PID/stat. The command name, in parentheses, may contain
// spaces and parentheses.
func parseStat(line string) (Usage, error) {
	end := strings.LastIndexByte(line, ')')
	fields := strings.Fields(line[end+1:])
	if end < 0 || len(fields) <= statRSS {
		return Usage{}, errors.Newf("harness: cannot parse process status %q", line)
	}
	var n [3]int64
	for i, f := range []int{statUserTime, statSystemTime, statRSS} {
		v, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return Usage{}, errors.Wrap(err, "harness: cannot parse process status")
		}
		n[i] = v
	}
	return Usage{
		CPU: time.Duration(n[0]+n[1]) * clockTick,
		RSS: n[2] * int64(os.Getpagesize()),
	}, nil
}
