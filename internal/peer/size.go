package peer

import (
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	// MaxPayloadBytes is the size of the largest payload of a message, a call or its result. Larger ones are refused
	// before they are sent: the receiver would close the connection and everything under way on it would be lost.
	MaxPayloadBytes = 32 << 20
	// maxEnvelopeBytes is the largest size of what surrounds a payload, also when it is relayed.
	maxEnvelopeBytes = 64 << 10
	// codeTooLarge is the code of the error for a result that exceeds MaxPayloadBytes.
	codeTooLarge = "result_too_large"
)

var errPayloadTooLarge = errors.Newf("peer: the payload exceeds %d bytes", MaxPayloadBytes)

// managerOptions sets the size of the largest message that a connection takes.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxPayloadBytes + maxEnvelopeBytes}}
}

func connOptions() drpcconn.Options { return drpcconn.Options{Manager: managerOptions()} }

func serverOptions() drpcserver.Options { return drpcserver.Options{Manager: managerOptions()} }
