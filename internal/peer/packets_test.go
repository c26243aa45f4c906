package peer

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcwire"
)

// TestPacketTracker_FollowsFrames guards against a count of unfinished messages that differs from what the protocol's reader
// holds, whichever way the bytes arrive in parts.
func TestPacketTracker_FollowsFrames(t *testing.T) {
	random := rand.New(rand.NewPCG(48, 3))
	for range 300 {
		var tracker packetTracker
		id := drpcwire.ID{Stream: 1 + random.Uint64N(1<<40), Message: 1}
		size := int64(0)
		for range 20 {
			frame := drpcwire.Frame{Data: make([]byte, random.IntN(70_000)), ID: id, Kind: drpcwire.KindMessage, Done: random.IntN(3) == 0}
			size += int64(len(frame.Data))
			for wire := drpcwire.AppendFrame(nil, frame); len(wire) > 0; {
				n := min(len(wire), 1+random.IntN(30_000))
				require.NoError(t, tracker.add(wire[:n]))
				wire = wire[n:]
			}
			if frame.Done {
				size = 0
				id.Message++
			} else if random.IntN(5) == 0 { // a message that the next one replaces
				id.Message++
				require.NoError(t, tracker.add(drpcwire.AppendFrame(nil, drpcwire.Frame{ID: id, Kind: drpcwire.KindMessage})))
				size = 0
			}
			require.Equal(t, size, tracker.size)
		}
	}
}

// TestPacketTracker_CountsRetainedBuffers guards against processes that send one complete large message on each of many connections:
// the reader keeps its buffer for the messages after it.
func TestPacketTracker_CountsRetainedBuffers(t *testing.T) {
	var tracker packetTracker
	id := drpcwire.ID{Stream: 1, Message: 1}
	send := func(size int) {
		require.NoError(t, tracker.add(drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, size), ID: id, Kind: drpcwire.KindMessage, Done: true})))
		id.Message++
	}
	send(50_000)
	require.Zero(t, tracker.held(), "small buffers are a part of callermem.ConnBytes")
	require.NoError(t, tracker.add(drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, maxFrameBytes), ID: id, Kind: drpcwire.KindMessage})))
	send(maxFrameBytes)
	require.EqualValues(t, 2*maxFrameBytes, tracker.held())
	for range maxSmallMessages {
		send(100)
		require.EqualValues(t, 2*maxFrameBytes, tracker.held())
	}
	send(100)
	require.Zero(t, tracker.held(), "the reader has dropped its buffer")
}

// TestPacketTracker_RefusesWhatVMsDontSend guards against frames and messages of any size from other processes.
func TestPacketTracker_RefusesWhatVMsDontSend(t *testing.T) {
	var tracker packetTracker
	require.Error(t, tracker.add([]byte{1, 1, 1, 0xff, 0xff, 0xff, 0xff, 0x0f}), "a large frame")
	tracker = packetTracker{}
	require.Error(t, tracker.add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}), "a number without end")
	tracker = packetTracker{}
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, maxFrameBytes), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage})
	var err error
	for i := 0; err == nil; i++ {
		require.Less(t, i, 40)
		err = tracker.add(frame)
	}
	require.ErrorIs(t, err, errPayloadTooLarge)
}
