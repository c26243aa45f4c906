package identity

import (
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// handshakeTimeout is the time that a client has to complete the TLS handshake.
	handshakeTimeout = 5 * time.Second
	// tlsHandshakeRecord is the record type of a TLS handshake, the first byte of a TLS connection.
	tlsHandshakeRecord = 0x16
)

// ListenerOptions configure a Listener.
type ListenerOptions struct {
	// Role is the role that the client's certificate must have.
	Role Role
	// Plain also accepts connections without TLS, while a fleet migrates to TLS.
	Plain bool
	// Refused, if not nil, is called for each rejected connection.
	Refused func(remote net.Addr, err error)
}

// Listener wraps l so that accepted connections are *Conn and authenticated as opts demands.
func (c *Credentials) Listener(l net.Listener, opts ListenerOptions) net.Listener {
	config := c.config(func(id Identity) error {
		if id.Role != opts.Role {
			return errors.Wrapf(ErrWrongIdentity, "%s calls", id)
		}
		return nil
	})
	return &listener{Listener: l, config: config, opts: opts}
}

type listener struct {
	net.Listener
	config *tls.Config
	opts   ListenerOptions
}

// Accept implements net.Listener. It does not wait for the TLS handshake.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, listener: l}, nil
}

// Conn is an accepted connection. The TLS handshake, which authenticates the client, runs before the
// first read or write.
type Conn struct {
	net.Conn // the accepted connection, before TLS
	listener *listener

	once   sync.Once
	stream net.Conn // the connection used for reads and writes, after TLS
	peer   Identity
	err    error
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.ensureHandshake(); err != nil {
		return 0, err
	}
	return c.stream.Read(p)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.ensureHandshake(); err != nil {
		return 0, err
	}
	return c.stream.Write(p)
}

// Peer returns the authenticated identity of the client, performing the handshake if necessary. It
// returns false for a connection without TLS and if the handshake failed.
func (c *Conn) Peer() (Identity, bool) {
	if c.ensureHandshake() != nil {
		return Identity{}, false
	}
	return c.peer, c.peer != Identity{}
}

// ensureHandshake performs the handshake on the first call and returns its result on every call. It
// closes the connection if the handshake fails or exceeds handshakeTimeout.
func (c *Conn) ensureHandshake() error {
	c.once.Do(func() {
		expiry := time.AfterFunc(handshakeTimeout, func() { _ = c.Conn.Close() })
		defer expiry.Stop()
		c.err = c.handshake()
		if c.err == nil {
			return
		}
		_ = c.Conn.Close()
		if c.listener.opts.Refused != nil {
			c.listener.opts.Refused(c.RemoteAddr(), c.err)
		}
	})
	return c.err
}

// handshake reads the first byte to distinguish TLS from plain connections, and performs the TLS
// handshake or accepts the plain connection if Plain is set.
func (c *Conn) handshake() error {
	first := make([]byte, 1)
	if _, err := c.Conn.Read(first); err != nil {
		return errors.Wrap(err, "identity: nothing was sent")
	}
	replayed := &prefixedConn{Conn: c.Conn, prefix: first}
	if first[0] != tlsHandshakeRecord {
		c.stream = replayed
		if c.listener.opts.Plain {
			return nil
		}
		return ErrPlain
	}
	secured := tls.Server(replayed, c.listener.config)
	c.stream = secured
	if err := secured.Handshake(); err != nil {
		return errors.Wrap(err, "identity: the handshake failed")
	}
	peer, err := FromCertificate(secured.ConnectionState().PeerCertificates[0])
	c.peer = peer
	return err
}

// prefixedConn returns the bytes that were read ahead before reading from the connection. It supports
// only one reader.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read returns the remaining prefix first.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}
