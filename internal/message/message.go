// Package message encodes what the slices of one VM send to those of another.
package message

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Encode returns a message of this VM in JSON. It panics if the type can't be encoded, which is
// an error of the program: the types are the slices' own.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "message: cannot encode %T", v))
	}
	return data
}
