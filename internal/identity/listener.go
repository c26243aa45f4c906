package identity

import (
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// handshakeLimit is how long a new connection may take to prove whose it is.
	handshakeTimeout = 5 * time.Second
	// recordHandshake is the first byte of a TLS connection.
	tlsHandshakeRecord = 0x16
)

// ListenerOptions configure a Listener.
type ListenerOptions struct {
	// Role is what the other side has to be.
	Role Role
	// Plain lets connections without TLS in as well, for the time in which a fleet changes over.
	Plain bool
	// Refused is told of connections that are turned away; nil: nobody.
	Refused func(remote net.Addr, err error)
}

// Listener returns a listener whose connections are *Conn.
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

// Accept implements net.Listener. It does not wait for the other side's proof.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, listener: l}, nil
}

// Conn is an accepted connection. The other side proves whose it is before the first byte is read
// or written.
type Conn struct {
	net.Conn // as accepted
	listener *listener

	once   sync.Once
	stream net.Conn // what is read from and written to
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

// Peer returns who the other side has proved to be; false for a connection without TLS, and
// before the first byte was read.
func (c *Conn) Peer() (Identity, bool) {
	if c.ensureHandshake() != nil {
		return Identity{}, false
	}
	return c.peer, c.peer != Identity{}
}

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

// handshake looks at the first byte, which tells TLS from the protocols that it carries.
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

// prefixedConn gives back what was read ahead. It has one reader.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read implements net.Conn.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}
