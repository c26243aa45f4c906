package responsecheck

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// Conn is a connection for one request. Reads of an invalid response return an error that wraps ErrInvalid.
type Conn struct {
	net.Conn
	response Checker
}

// NewConn returns a Conn on a connection from which nothing was read.
func NewConn(c net.Conn) *Conn {
	checked := &Conn{Conn: c}
	checked.response.Expect()
	return checked
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.response.Read(c.Conn, p) }

// NewTransport returns a transport that opens a connection for each request, and whose errors for invalid responses wrap ErrInvalid.
// config is for https; without it, the proxy that the environment names is used, as http.DefaultTransport does.
func NewTransport(config *tls.Config) *http.Transport {
	transport := &http.Transport{DialContext: checked((&net.Dialer{}).DialContext), DisableKeepAlives: true}
	if config == nil {
		transport.Proxy = http.ProxyFromEnvironment
	} else {
		transport.DialTLSContext = checked((&tls.Dialer{Config: config}).DialContext)
	}
	return transport
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checked returns a function whose connections check their response.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
