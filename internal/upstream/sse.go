package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 8 << 20

// errEventTooLarge means that an event exceeds maxEventBytes. Resuming would return the same event.
var errEventTooLarge = errors.New("an event of the stream is too large")

// doneData is the payload of the event that ends a stream.
var doneData = []byte("[DONE]")

// eventReader reads the data fields of server-sent events and ignores other fields.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{scanner: scanner}
}

// next returns the payload of the next complete event; io.ErrUnexpectedEOF if the stream ends
// without one. An event without its terminating blank line is incomplete and is not returned.
func (r *eventReader) next() ([]byte, error) {
	var data []byte
	started := false
	size := 0
	for r.scanner.Scan() {
		if size += len(r.scanner.Bytes()) + 1; size > maxEventBytes {
			return nil, errEventTooLarge // comments and other fields count as well
		}
		line := bytes.TrimSuffix(r.scanner.Bytes(), []byte("\r"))
		if len(line) == 0 {
			if started {
				return data, nil
			}
			continue
		}
		payload, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if started {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(payload, []byte(" "))...)
		started = true
	}
	if errors.Is(r.scanner.Err(), bufio.ErrTooLong) {
		return nil, errEventTooLarge
	}
	if err := r.scanner.Err(); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}
