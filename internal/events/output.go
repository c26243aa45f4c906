package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes bounds the lines that wait to be written.
	maxBufferedBytes = 256 << 10
	// flushDelay is how long lines are gathered: each write costs more than the lines in it.
	flushDelay = 100 * time.Millisecond
	// maxBytesPerSecond is the volume that is written at most, in bytes a second, beyond one full buffer.
	maxBytesPerSecond = 512 << 10
)

// Output writes log lines in the background. Write never blocks: lines that don't fit are
// dropped and counted.
type Output struct {
	writer  io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	spare   []byte
	wake    chan struct{}
	writing bool
}

// NewOutput returns an output that writes to to until the process ends.
func NewOutput(to io.Writer) *Output {
	o := &Output{writer: to, wake: make(chan struct{}, 1)}
	go o.run()
	return o
}

// Write takes one line.
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

// syncTimeout bounds Sync: a reader that doesn't read must not hold up the end of the process.
const syncTimeout = 200 * time.Millisecond

// Sync waits until the lines taken so far are written, for a short time at most.
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
		_, _ = o.writer.Write(lines) // there is nowhere to report it
		if pause := time.Duration(len(lines)) * time.Second / maxBytesPerSecond; pause > flushDelay {
			time.Sleep(pause - flushDelay)
		}
		o.mu.Lock()
		o.spare = lines
		o.writing = false
		o.mu.Unlock()
	}
}
