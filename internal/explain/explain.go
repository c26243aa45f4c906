// Package explain merges the log lines of several VMs into the timeline of one request: the lines of
// the request, and the changes that its VMs logged meanwhile about the upstreams and VMs they depend on.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"egretramp/internal/events"
)

const (
	// contextWindow is how long before a request's arrival the log lines of its VMs are included.
	// It covers timeouts and elections.
	contextWindow = 5 * time.Second
	// maxLineBytes is the maximum length of a log line, in bytes.
	maxLineBytes = 1 << 20
)

// Line is one parsed log line.
type Line struct {
	Time   time.Time
	VM     string
	Event  int
	Text   string
	Fields map[string]any // all other fields, except the level
}

// Story is the timeline of one request: the selected log lines in order of time.
type Story struct {
	Lines []Line
	// Unread is the number of lines that could not be parsed.
	Unread int
}

// contextEvents are the numbers of the events of a VM that may explain the outcome of a request.
var contextEvents = map[int]bool{
	events.NodeStarted.ID: true, events.NodeStopping.ID: true, events.NodeControlReachable.ID: true, events.NodeControlUnreachable.ID: true,
	events.NodeConfigInForce.ID: true, events.PermitsUnreachable.ID: true, events.PermitsReachable.ID: true, events.LeaderElected.ID: true,
	events.LeaderLost.ID: true, events.PeerLost.ID: true, events.NodeLogDropped.ID: true,
}

// Read builds the timeline of a request from logs. The JSON object of a line may follow any prefix.
func Read(request string, logs ...io.Reader) (Story, error) {
	var story Story
	var all []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			line, ok := parse(scanner.Bytes())
			if !ok {
				story.Unread++
				continue
			}
			all = append(all, line)
		}
		if err := scanner.Err(); err != nil {
			return story, err
		}
	}
	story.Lines = selectLines(request, all)
	return story, nil
}

func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[begin:], &fields) != nil {
		return Line{}, false
	}
	number, numbered := fields["event"].(float64)
	stamp, stamped := fields["ts"].(string)
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", stamp)
	if !numbered || !stamped || err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Event: int(number), Fields: fields}
	line.VM, _ = fields["vm"].(string)
	line.Text, _ = fields["msg"].(string)
	for _, name := range []string{"ts", "vm", "event", "msg", "level"} {
		delete(fields, name)
	}
	return line, true
}

func selectLines(request string, all []Line) []Line {
	var own []Line
	vms, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range all {
		if l.Fields["request"] != request && l.Fields["previous"] != request {
			continue
		}
		own = append(own, l)
		vms[l.VM] = true
		if u, ok := l.Fields["upstream"].(string); ok {
			upstreams[u] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortLines(own)
	from, to := own[0].Time.Add(-requestAge(own[0])-contextWindow), own[len(own)-1].Time
	chosen := slices.Clone(own)
	for _, l := range all {
		if l.Time.Before(from) || l.Time.After(to) || l.Fields["request"] != nil {
			continue
		}
		upstream, _ := l.Fields["upstream"].(string)
		if vms[l.VM] && contextEvents[l.Event] || upstreams[upstream] {
			chosen = append(chosen, l)
		}
	}
	sortLines(chosen)
	return chosen
}

// requestAge returns the time from the request's arrival to the line.
func requestAge(l Line) time.Duration {
	ms, _ := l.Fields["age"].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// Write prints the timeline with times relative to the request's arrival.
func (s Story) Write(out io.Writer, request string) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(out, "no line about request %s\n", request)
		return err
	}
	start := s.Lines[0].Time
	for _, l := range s.Lines {
		if l.Fields["request"] == request {
			start = l.Time.Add(-requestAge(l))
			break
		}
	}
	if _, err := fmt.Fprintf(out, "request %s, arrived %s\n", request, start.Format("2006-01-02 15:04:05.000 MST")); err != nil {
		return err
	}
	for _, l := range s.Lines {
		mark := " "
		if l.Fields["request"] == request {
			mark = "*"
		}
		_, err := fmt.Fprintf(out, "%9d ms %s %-24s %d %s%s\n", l.Time.Sub(start).Milliseconds(), mark, l.VM, l.Event, l.Text, fieldText(l.Fields))
		if err != nil {
			return err
		}
	}
	return nil
}

func fieldText(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		value := fields[name]
		if n, ok := value.(float64); ok && n == float64(int64(n)) {
			value = int64(n)
		}
		fmt.Fprintf(&b, " %s=%v", name, value)
	}
	return b.String()
}
