package message

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEncode(t *testing.T) {
	require.JSONEq(t, `{"vm":"a"}`, string(Encode(struct {
		VM string `json:"vm"`
	}{"a"})))
	require.Panics(t, func() { Encode(make(chan int)) })
}
