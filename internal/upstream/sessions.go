package upstream

import (
	"context"
	"encoding/json"
	"io"
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
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("engine answered with status %d", resp.StatusCode)
	}
	var list wire.SessionList
	err = json.NewDecoder(io.LimitReader(resp.Body, maxSessionListBytes)).Decode(&list)
	return list.Sessions, err
}

// ReleaseSession releases a session's memory and reports whether the engine acknowledged it.
func (c *Client) ReleaseSession(ctx context.Context, address, session string) bool {
	return c.delete(ctx, address, "/v1/sessions/"+url.PathEscape(session))
}
