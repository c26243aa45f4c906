package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"egretramp/internal/upstream/wire"
)

const maxSessionListBytes = 16 << 20

// Sessions returns the sessions that hold KV cache memory on an engine.
func (c *Client) Sessions(ctx context.Context, address string) ([]wire.Session, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint(address, "/v1/sessions"), nil)
	if err != nil {
		return nil, err
	}
	status, body, err := c.exchange(req, maxSessionListBytes)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Newf("engine answered with status %d", status)
	}
	var list wire.SessionList
	err = json.Unmarshal(body, &list)
	return list.Sessions, err
}

// ReleaseSession releases a session's memory and reports whether the engine acknowledged it.
func (c *Client) ReleaseSession(ctx context.Context, address, session string) bool {
	return c.delete(ctx, address, "/v1/sessions/"+url.PathEscape(session))
}
