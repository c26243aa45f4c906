package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/admin/api"
	"egretramp/internal/identity"
	"egretramp/internal/responsecheck"
)

// Limits of one request.
const (
	requestTimeout   = 25 * time.Second // above the server's own timeout
	maxResponseBytes = 64 << 20
)

// client sends requests to the administration API of the first VM that responds.
type client struct {
	scheme    string
	addresses []string
	http      *http.Client
}

func (t *tool) newClient(addresses []string) (*client, error) {
	// A variable that is set but empty lists no addresses.
	addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == "" })
	if len(addresses) == 0 {
		return nil, &usageError{"name a VM with --admin ADDRESS or in EGRETRAMP_ADMIN"}
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, &usageError{fmt.Sprintf("--admin %q is not IP:port", address)}
		}
	}
	c := &client{scheme: "http", addresses: addresses, http: &http.Client{Timeout: requestTimeout, Transport: responsecheck.NewTransport(nil)}}
	files := identity.Files{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority}
	if files == (identity.Files{}) {
		return c, nil
	}
	keeper, err := identity.Load(files, nil)
	if err != nil {
		return nil, &usageError{"--tls-certificate, --tls-key and --tls-authority belong together: " + err.Error()}
	}
	c.scheme = "https"
	c.http.Transport = responsecheck.NewTransport(keeper.ClientConfig(""))
	return c, nil
}

// get decodes the response into value and returns the address of the VM that sent it.
func (c *client) get(ctx context.Context, path string, query url.Values, value any) (address string, err error) {
	return c.call(ctx, http.MethodGet, path, query, nil, value)
}

func (c *client) post(ctx context.Context, path string, query url.Values, body []byte, value any) error {
	_, err := c.call(ctx, http.MethodPost, path, query, body, value)
	return err
}

// call tries the addresses in order. All requests of the API are idempotent, so after a lost
// response the same request is sent to the next VM.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body []byte, value any) (string, error) {
	var failed error
	for _, address := range c.addresses {
		err := c.callOne(ctx, address, method, path, query, body, value)
		if err == nil || !retryOnNextVM(err) {
			return address, err
		}
		failed = err
		if ctx.Err() != nil {
			break
		}
	}
	return "", failed
}

// retryOnNextVM reports whether another VM may succeed: this one did not respond, or responded
// with a server error.
func retryOnNextVM(err error) bool {
	var refused *api.Error
	if !errors.As(err, &refused) {
		return true
	}
	return refused.Status >= http.StatusInternalServerError
}

func (c *client) callOne(ctx context.Context, address, method, path string, query url.Values, body []byte, value any) error {
	target := url.URL{Scheme: c.scheme, Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "cannot make the request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "%s does not answer", address)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "%s broke off its answer", address)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(address, response.StatusCode, data)
	}
	return errors.Wrapf(json.Unmarshal(data, value), "%s gave an answer that can't be read", address)
}

func decodeError(address string, status int, data []byte) error {
	var body api.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
		return errors.Newf("%s answered with status %d", address, status)
	}
	body.Error.Status = status
	return body.Error
}
