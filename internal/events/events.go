// Package events defines the numbered log events of all packages and the logger that writes
// them. Each subsystem declares its events in a file of this package, in a number range of its
// own. docs/EVENTS.md lists all events; a test compares it with the code.
package events

import (
	"fmt"
	"sort"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log entry. The meaning of an ID never changes once released.
type Event struct {
	ID     int
	Level  zapcore.Level
	Text   string
	Action string // what an operator should do; empty if no action is needed
}

var catalogue = map[int]Event{}

// define registers an event. It panics if the number is already defined, so any test run of this
// package detects a duplicate.
func define(id int, level zapcore.Level, text, action string) Event {
	if _, taken := catalogue[id]; taken {
		panic(fmt.Sprintf("events: number %d is defined twice", id))
	}
	e := Event{ID: id, Level: level, Text: text, Action: action}
	catalogue[id] = e
	return e
}

// All returns all events, sorted by number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Logger writes numbered events. The zero value and nil discard everything.
type Logger struct {
	zap *zap.Logger
}

// New returns a logger that writes JSON lines to standard error, with the VM's name in each.
func New(vm string, level zapcore.Level) (*Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(level)
	cfg.Sampling = nil
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	z, err := cfg.Build()
	if err != nil {
		return nil, err
	}
	return &Logger{zap: z.With(zap.String("vm", vm))}, nil
}

// NewTo returns a logger that writes JSON lines to an output, with the VM's name in each.
func NewTo(vm string, level zapcore.Level, output zapcore.WriteSyncer) *Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), output, level)
	return &Logger{zap: zap.New(core).With(zap.String("vm", vm))}
}

// FromZap returns a logger that writes to z. Tests pass a zaptest observer.
func FromZap(z *zap.Logger) *Logger {
	return &Logger{zap: z}
}

// Emit writes one event. The fields must never contain keys, prompts or responses.
func (l *Logger) Emit(e Event, fields ...zap.Field) {
	if l == nil || l.zap == nil {
		return
	}
	entry := l.zap.Check(e.Level, e.Text)
	if entry == nil {
		return
	}
	entry.Write(append([]zap.Field{zap.Int("event", e.ID)}, withoutStackTraces(fields)...)...)
}

// withoutStackTraces replaces error fields by their messages; zap would add stack traces.
func withoutStackTraces(fields []zap.Field) []zap.Field {
	out := make([]zap.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}

// Sync flushes buffered log lines.
func (l *Logger) Sync() {
	if l != nil && l.zap != nil {
		_ = l.zap.Sync()
	}
}
