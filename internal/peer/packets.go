package peer

import "github.com/cockroachdb/errors"

var errNoFrame = errors.New("peer: what another process sent is no frame of a message")

// packetTracker follows the frames on a connection of the protocol between VMs and counts the bytes of the unfinished message, which
// the protocol's reader holds until the message is complete. A frame is a control byte, the numbers of its stream and message and
// its length as varints, and that many bytes. The lowest bit of the control byte marks the last frame of a message.
type packetTracker struct {
	size int64 // bytes of the unfinished message so far
	// retained is the size of the buffer that the reader keeps for the next messages after a large one, 0 if that is no large one.
	retained int64
	small    int // messages in a row that use little of it

	state   frameState
	last    bool // the frame is its message's last
	number  uint64
	shift   uint
	message messageID
	current messageID // of the unfinished message
	left    int64     // bytes of the frame's data that are still to come
}

type messageID struct{ stream, message uint64 }

type frameState int

const (
	atControl frameState = iota
	inStream
	inMessage
	inLength
	inData
)

// maxFrameBytes bounds the data of one frame. VMs split messages into frames of 64 KiB; the reader holds a frame several times
// until it is complete.
const maxFrameBytes = 1 << 20

// maxVarintShift is the shift of the last byte of a number of 64 bits.
const maxVarintShift = 63

// add follows p. It returns an error if p is no sequence of frames, or if a message is larger than allowed.
func (t *packetTracker) add(p []byte) error {
	for len(p) > 0 {
		if t.state == inData {
			n := min(int64(len(p)), t.left)
			t.size += n
			t.left -= n
			p = p[n:]
		} else {
			if err := t.addHeader(p[0]); err != nil {
				return err
			}
			p = p[1:]
		}
		if t.size > MaxPayloadBytes+maxEnvelopeBytes {
			return errPayloadTooLarge
		}
		if t.state == inData && t.left == 0 {
			t.state = atControl
			if t.last {
				t.messageEnded()
			}
		}
	}
	return nil
}

const (
	// minRetainedBytes is the size from which on a buffer that the reader keeps is counted.
	minRetainedBytes = 1 << 20
	// maxSmallMessages is after how many messages in a row that use less than a quarter of its buffer the reader drops it.
	maxSmallMessages = 11
)

func (t *packetTracker) messageEnded() {
	size := t.size
	t.size = 0
	switch {
	case size >= max(minRetainedBytes, t.retained):
		t.retained, t.small = size, 0
	case size >= t.retained/4:
		t.small = 0
	default:
		if t.small++; t.small > maxSmallMessages {
			t.retained, t.small = 0, 0
		}
	}
}

// held returns what the reader holds: its buffer grows by copying.
func (t *packetTracker) held() int64 { return max(t.size*3/2, t.retained) }

// addHeader follows one byte before a frame's data.
func (t *packetTracker) addHeader(b byte) error {
	if t.state == atControl {
		t.last = b&1 != 0
		t.state = inStream
		return nil
	}
	if t.shift > maxVarintShift {
		return errNoFrame
	}
	t.number |= uint64(b&0x7f) << t.shift
	t.shift += 7
	if b&0x80 != 0 {
		return nil
	}
	number := t.number
	t.number, t.shift = 0, 0
	switch t.state {
	case inStream:
		t.message.stream, t.state = number, inMessage
	case inMessage:
		t.message.message, t.state = number, inLength
	case inLength:
		if number > maxFrameBytes {
			return errNoFrame
		}
		if t.message != t.current { // the reader drops an unfinished message when another one begins
			t.current, t.size = t.message, 0
		}
		t.left, t.state = int64(number), inData
	}
	return nil
}
