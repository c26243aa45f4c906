package proxy

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"egretramp/internal/callermem"
)

const (
	// maxResponseBytes bounds a response, or an event of a stream, that is buffered until it is complete.
	maxResponseBytes = 16 << 20
	// maxSharedBytes bounds the buffers of all responses together, apart from ownBytes of each.
	maxSharedBytes = 16 << 20
	// ownBytes is the size up to which a response doesn't depend on the buffers of others.
	ownBytes = 64 << 10
	// minSegmentBytes and maxSegmentBytes are the sizes of the first and of the largest segments in which a body is
	// read.
	minSegmentBytes = 1 << 10
	maxSegmentBytes = 64 << 10
)

var (
	errResponseTooLarge = errors.New("proxy: the answer is too large")
	errBuffersFull      = errors.New("proxy: the buffers for answers are full")
)

// sharedBuffers counts the bytes that the buffers of all responses use beyond ownBytes each.
type sharedBuffers struct {
	used   atomic.Int64
	memory *callermem.Budget // of which the buffers are a part; nil for no limit
}

// take reserves n bytes and reports whether there is room.
func (s *sharedBuffers) take(n int64) bool {
	if s.used.Add(n) > maxSharedBytes || !s.memory.TakeAny(n) {
		s.used.Add(-n)
		return false
	}
	return true
}

func (s *sharedBuffers) giveBack(n int64) {
	s.used.Add(-n)
	s.memory.Return(n)
}

// bufferLease is the part of the shared buffers that one response uses. It is not safe for concurrent use.
type bufferLease struct {
	shared   *sharedBuffers
	size     int64 // of the response
	reserved int64 // of the shared buffers
}

// grow adds n bytes to the response's size. It returns an error if the response must not be that large.
func (l *bufferLease) grow(n int) error {
	l.size += int64(n)
	if l.size > maxResponseBytes {
		return errResponseTooLarge
	}
	missing := l.size - ownBytes - l.reserved
	if missing <= 0 {
		return nil
	}
	if !l.shared.take(missing) {
		return errBuffersFull
	}
	l.reserved += missing
	return nil
}

// release returns the lease and resets the size.
func (l *bufferLease) release() {
	if l.reserved > 0 {
		l.shared.giveBack(l.reserved)
	}
	l.size, l.reserved = 0, 0
}

// readAll reads r to its end within the lease. It reads into segments, which are joined only once the body is
// complete: a buffer that grows would take several times the memory of a body that never ends.
func (l *bufferLease) readAll(r io.Reader) ([]byte, error) {
	var segments [][]byte
	for size := minSegmentBytes; ; size = min(2*size, maxSegmentBytes) {
		segment, err := readSegment(r, size)
		if growErr := l.grow(len(segment)); growErr != nil {
			return nil, growErr
		}
		segments = append(segments, segment)
		if errors.Is(err, io.EOF) {
			return joinSegments(segments), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readSegment reads size bytes. It returns fewer only together with the error of the last read: io.ReadFull would
// not tell the end of a body from one that breaks off.
func readSegment(r io.Reader, size int) ([]byte, error) {
	segment, read := make([]byte, size), 0
	for read < size {
		n, err := r.Read(segment[read:])
		read += n
		if err != nil {
			return segment[:read], err
		}
	}
	return segment, nil
}

func joinSegments(segments [][]byte) []byte {
	if len(segments) == 1 {
		return segments[0]
	}
	return bytes.Join(segments, nil)
}
