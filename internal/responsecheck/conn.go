package responsecheck

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"egretramp/internal/connend"
)

// Reader reads from a connection and checks what it reads. Its error wraps ErrInvalid from the first invalid byte on, and none of the
// bytes that were read together with that byte is returned.
type Reader struct {
	Checker
	Source io.Reader
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err // net/http's reader may read on after an error
	}
	n, err := r.Source.Read(p)
	if invalid := r.Check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// Conn is a connection for one request. Reads of an invalid response return an error that wraps ErrInvalid, and reads at the end return
// io.EOF only if the other side ended the connection in order.
type Conn struct {
	net.Conn
	reader Reader
}

// NewConn returns a Conn on a connection from which nothing was read.
func NewConn(c net.Conn) *Conn {
	c = connend.New(c)
	checked := &Conn{Conn: c, reader: Reader{Source: c}}
	checked.reader.Expect()
	return checked
}

// Write implements net.Conn. It returns no error of the socket but discards what is left of the request: Read returns what had arrived
// before and then how the connection ended. net/http's transport would close the connection, and lose a whole response to a request
// that its sender has not read to the end.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return len(p), nil
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

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
