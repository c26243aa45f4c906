package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"egretramp/internal/upstream/wire"
)

// Errors returned by Order. After any other error the outcome is unknown.
var (
	ErrOldFencing  = errors.New("the engine has seen a higher fencing number")
	ErrOrderFailed = errors.New("the engine could not carry the order out")
)

// Order sends an order to an engine and waits until it is carried out. Errors: ErrOldFencing,
// ErrOrderFailed; after any other error the outcome is unknown.
func (c *Client) Order(ctx context.Context, address string, o wire.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Mark(err, ErrOrderFailed)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint(address, "/v1/orders"), bytes.NewReader(body))
	if err != nil {
		return errors.Mark(err, ErrOrderFailed)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderFencing, strconv.FormatUint(o.Fencing, 10))
	req.Header.Set(wire.HeaderIdempotency, o.ID)
	status, _, err := c.exchange(req, maxStatusBody)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrOldFencing
	case http.StatusGatewayTimeout:
		return errors.Newf("the engine answered with status %d", status)
	default:
		return errors.Wrapf(ErrOrderFailed, "status %d", status)
	}
}
