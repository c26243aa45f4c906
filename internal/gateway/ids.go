package gateway

import (
	"crypto/rand"
	"encoding/hex"
)

// newID returns a random ID of 128 bits in hex.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
