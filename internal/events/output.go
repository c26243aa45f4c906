package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// outputBytes bounds the lines that wait to be written.
	outputBytes = 256 << 10
	// outputDelay is how long lines are gathered: each write costs more than the lines in it.
	outputDelay = 100 * time.Millisecond
	// outputRate is the volume that is written at most, in bytes a second, beyond one full buffer.
	outputRate = 512 << 10
)

// Output writes log lines in the background. Write never blocks: lines that don't fit are
// dropped and counted.
type Output struct {
	to      io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	wake    chan struct{}
	writing bool
}

// NewOutput returns an output that writes to to until the process ends.
func NewOutput(to io.Writer) *Output {
	o := &Output{to: to, wake: make(chan struct{}, 1)}
	go o.run()
	return o
}

// Write takes one line.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	fits := len(o.waiting)+len(line) <= outputBytes
	if fits {
		o.waiting = append(o.waiting, line...)
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

// syncTime bounds Sync: a reader that doesn't read must not hold up the end of the process.
const syncTime = 200 * time.Millisecond

// Sync waits until the lines taken so far are written, for a short time at most.
func (o *Output) Sync() error {
	deadline := time.Now().Add(syncTime)
	for time.Now().Before(deadline) {
		o.mu.Lock()
		done := len(o.waiting) == 0 && !o.writing
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
		time.Sleep(outputDelay)
		o.mu.Lock()
		lines := o.waiting
		o.waiting, o.spare = o.spare[:0], nil
		o.writing = true
		o.mu.Unlock()
		_, _ = o.to.Write(lines) // there is nowhere to report it
		if pause := time.Duration(len(lines)) * time.Second / outputRate; pause > outputDelay {
			time.Sleep(pause - outputDelay)
		}
		o.mu.Lock()
		o.spare = lines
		o.writing = false
		o.mu.Unlock()
	}
}
