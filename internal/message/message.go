// Package message encodes the messages that VMs send to each other.
package message

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Encode returns a message as JSON. It panics if the type can't be encoded: that is a programming
// error, because message types are defined in this program.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "message: cannot encode %T", v))
	}
	return data
}
