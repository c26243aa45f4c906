package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/upstream/wire"
)

// controlTimeout limits one control request.
const controlTimeout = 10 * time.Second

// Client calls the control endpoints of a stand-in that runs as another process.
type Client struct {
	addr string
	http *http.Client
}

// NewClient returns a client for the stand-in at addr (IP:port).
func NewClient(addr string) *Client {
	return &Client{
		addr: addr,
		http: &http.Client{
			Timeout:   controlTimeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
}

// Runs returns the records of all calls that the stand-in ran.
func (c *Client) Runs(ctx context.Context) ([]Run, error) {
	var list []Run
	return list, c.do(ctx, http.MethodGet, "runs", nil, &list)
}

// Received queries whether the stand-in has received s.
func (c *Client) Received(ctx context.Context, s string) (ReceivedReply, error) {
	var reply ReceivedReply
	return reply, c.do(ctx, http.MethodGet, "received?contains="+url.QueryEscape(s), nil, &reply)
}

// Watch adds strings to search for in all bytes received from now on.
func (c *Client) Watch(ctx context.Context, list []string) error {
	return c.do(ctx, http.MethodPost, "watch", list, nil)
}

// SetFaults replaces the fault switches.
func (c *Client) SetFaults(ctx context.Context, now Faults) error {
	return c.do(ctx, http.MethodPost, "faults", now, nil)
}

// Faults returns the current fault switches.
func (c *Client) Faults(ctx context.Context) (Faults, error) {
	var now Faults
	return now, c.do(ctx, http.MethodGet, "faults", nil, &now)
}

// Orders returns the orders that an engine received.
func (c *Client) Orders(ctx context.Context) ([]OrderRecord, error) {
	var list []OrderRecord
	return list, c.do(ctx, http.MethodGet, "orders", nil, &list)
}

// Sessions returns the sessions that occupy an engine's KV memory.
func (c *Client) Sessions(ctx context.Context) ([]wire.Session, error) {
	var list wire.SessionList
	err := c.do(ctx, http.MethodGet, "sessions", nil, &list)
	return list.Sessions, err
}

// Violations returns a weight store's counters of requests and rate limit violations.
func (c *Client) Violations(ctx context.Context) (Violations, error) {
	var v Violations
	return v, c.do(ctx, http.MethodGet, "violations", nil, &v)
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "fakes: cannot encode the control request body")
		}
		body = data
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+controlPrefix+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "fakes: cannot build the control request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "fakes: stand-in is not reachable")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "fakes: cannot read the control response")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("fakes: control request %s failed with status %d: %s", path, resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), "fakes: cannot decode the control response")
}
