package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes is the maximum size of the lines that wait to be written, in bytes.
	maxBufferedBytes = 256 << 10
	// flushDelay is how long lines are collected before a write, because a write costs more than the
	// lines in it.
	flushDelay = 100 * time.Millisecond
	// maxBytesPerSecond is the maximum write rate beyond one full buffer, in bytes per second.
	maxBytesPerSecond = 512 << 10
)

// Output writes log lines in the background. Write never blocks: lines that exceed the buffer
// are dropped and counted.
type Output struct {
	writer  io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	spare   []byte
	wake    chan struct{}
	writing bool
}

// NewOutput returns an Output that writes to writer until the process exits.
func NewOutput(writer io.Writer) *Output {
	o := &Output{writer: writer, wake: make(chan struct{}, 1)}
	go o.run()
	return o
}

// Write buffers one line, or drops it if the buffer is full.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	fits := len(o.pending)+len(line) <= maxBufferedBytes
	if fits {
		o.pending = append(o.pending, line...)
	}
	o.mu.Unlock()
	if !fits {
		o.dropped.Add(1)
		return len(line), nil
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// syncTimeout bounds Sync, so that a blocked log reader does not delay the exit of the process.
const syncTimeout = 200 * time.Millisecond

// Sync waits until all buffered lines are written, at most for syncTimeout.
func (o *Output) Sync() error {
	deadline := time.Now().Add(syncTimeout)
	for time.Now().Before(deadline) {
		o.mu.Lock()
		done := len(o.pending) == 0 && !o.writing
		o.mu.Unlock()
		if done {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (o *Output) run() {
	for range o.wake {
		time.Sleep(flushDelay)
		o.mu.Lock()
		lines := o.pending
		o.pending, o.spare = o.spare[:0], nil
		o.writing = true
		o.mu.Unlock()
		_, _ = o.writer.Write(lines) // a failure to write the log can't be logged
		if pause := time.Duration(len(lines)) * time.Second / maxBytesPerSecond; pause > flushDelay {
			time.Sleep(pause - flushDelay)
		}
		o.mu.Lock()
		o.spare = lines
		o.writing = false
		o.mu.Unlock()
	}
}
