// Package upconn pools connections to upstreams. A connection carries one request at a time and is
// closed whenever its state is uncertain. The package never retries: it reports what was sent and
// what was not to its caller, which decides whether a request may be repeated.
package upconn

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"egretramp/internal/connend"
	"egretramp/internal/responsecheck"
)

const (
	// dialTimeout bounds the opening of a connection: many times the latency between zones, and short
	// enough to try another upstream in time.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before a connection counts as lost.
	ackTimeout = 1500 * time.Millisecond
	// idleMargin is how much earlier than the upstream this side closes an idle connection.
	idleMargin = 500 * time.Millisecond
	// defaultIdle is the idle timeout for an upstream that doesn't state one.
	defaultIdle = 4 * time.Second
	// maxIdle bounds the idle time of a connection: network devices in between may drop its state.
	maxIdle = 15 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	Reader  *bufio.Reader // buffers reads from Conn; io.EOF is an orderly end
	end     *connend.Conn // reads from and writes to Conn
	limit   *limitedReader
	checked *responsecheck.Reader
	add     func(sent, received int64) // set by CountBytes; nil for none
	address string
	// Reused reports whether the connection carried a request before.
	Reused    bool
	idleSince time.Time
	idleLimit time.Duration // longest time that it may be idle
}

// CountBytes makes add receive the numbers of bytes that are sent and received from now on.
func (c *Conn) CountBytes(add func(sent, received int64)) {
	c.add = add
	c.limit.add = add
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.end.Write(p)
	if c.add != nil {
		c.add(int64(n), 0)
	}
	return n, err
}

// DialFunc opens a connection to an upstream. An error means that nothing was sent.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Detour is a connection to an upstream through another VM.
type Detour interface {
	net.Conn
	// Idle reports whether the connection may carry another request: it is open, and no byte waits to be read.
	Idle() bool
}

// IsDetour reports whether the connection leads through another VM.
func (c *Conn) IsDetour() bool {
	_, ok := c.Conn.(Detour)
	return ok
}

// Pool holds the idle connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	dialFunc DialFunc
	// detoured reports whether connections to an address should lead through another VM at present.
	detoured func(address string) bool

	mu     sync.Mutex
	idle   map[string][]*Conn // by address, the most recently used last
	opened atomic.Int64
}

// NewPool returns an empty pool that opens connections with dial. Detours that dial returns are used again only while
// detoured reports that connections to their address should lead through another VM.
func NewPool(dial DialFunc, detoured func(address string) bool) *Pool {
	return &Pool{dialFunc: dial, detoured: detoured, idle: map[string][]*Conn{}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Get returns an idle connection to the address, or opens one. If it returns an error, nothing was
// sent.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.reusable() && (!c.IsDetour() || p.detoured(address)) {
			return c, nil
		}
		_ = c.Close()
	}
}

// takeIdle removes and returns the most recently used idle connection to the address, nil if there is
// none.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Dial opens a connection to an address directly, and sets its timeouts.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "upconn: connect")
	}
	if err := setAckTimeout(raw); err != nil {
		return nil, errors.CombineErrors(err, raw.Close())
	}
	return raw, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	raw, err := p.dialFunc(ctx, address)
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	end := connend.New(raw)
	limit := &limitedReader{conn: end, left: math.MaxInt64}
	checked := &responsecheck.Reader{Source: limit}
	return &Conn{
		Conn: raw, Reader: bufio.NewReaderSize(checked, readBufferBytes), end: end, limit: limit, checked: checked, address: address, idleLimit: defaultIdle,
	}, nil
}

// ErrReadLimit is returned by reads beyond the limit of LimitReads.
var ErrReadLimit = errors.New("upconn: the upstream sent more bytes than allowed")

// LimitReads sets how many more bytes may be read from the connection, besides those already buffered.
// A negative number stands for no limit.
func (c *Conn) LimitReads(n int64) {
	if n < 0 {
		n = math.MaxInt64
	}
	c.limit.left = n
}

// ExpectResponse makes the connection check the response that follows what was read from Reader. Reads of an invalid one fail.
func (c *Conn) ExpectResponse() error {
	buffered, err := c.Reader.Peek(c.Reader.Buffered())
	if err != nil {
		return err
	}
	c.checked.Expect()
	return c.checked.Check(buffered)
}

// InvalidResponse returns an error that wraps responsecheck.ErrInvalid if an invalid response was received, whatever error
// net/http's reader made of it.
func (c *Conn) InvalidResponse() error { return c.checked.Err() }

// limitedReader reads from a connection until a limit is reached.
type limitedReader struct {
	conn net.Conn
	left int64
	add  func(sent, received int64) // set by CountBytes; nil for none
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrReadLimit
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if r.add != nil {
		r.add(0, int64(n))
	}
	return n, err
}

// RefusedByHost reports whether an error of Get or Probe shows that the host is up, but no process
// listens on the address.
func RefusedByHost(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET)
}

// Probe opens a connection to the address and keeps it for the next request. It returns the error if
// that fails.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	c.idleSince = time.Now()
	p.addIdle(c)
	return nil
}

// setAckTimeout sets TCP_USER_TIMEOUT to ackTimeout.
func setAckTimeout(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "upconn: access the socket")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, optErr), "upconn: set TCP_USER_TIMEOUT")
}

// reusable reports whether an idle connection is open, has not expired and holds no unread bytes,
// which would belong to no request.
func (c *Conn) reusable() bool {
	if time.Since(c.idleSince) > c.idleLimit || c.Reader.Buffered() > 0 {
		return false
	}
	if detour, ok := c.Conn.(Detour); ok {
		return detour.Idle()
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		empty = errors.Is(err, unix.EAGAIN)
		return true // never wait for data
	})
	return err == nil && empty
}

// Put returns a connection to the pool after a complete response, whose header may state how long the
// connection may be idle.
func (p *Pool) Put(c *Conn, answer http.Header) {
	if c.Reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	if limit, ok := keepAliveTimeout(answer); ok {
		c.idleLimit = min(max(limit-idleMargin, 0), maxIdle)
	}
	c.Reused = true
	c.idleSince = time.Now()
	p.addIdle(c)
}

// addIdle adds an idle connection, or closes it if there are enough to its address.
func (p *Pool) addIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// keepAliveTimeout parses the timeout of a header such as "Keep-Alive: timeout=5".
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}

// Drop closes the idle connections to an address. It is called when its upstream left or became
// unreachable.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections that exceeded their idle limit, and detours that may not be used again.
func (p *Pool) CloseExpired() {
	p.closeIdle(func(c *Conn) bool {
		detour, ok := c.Conn.(Detour)
		return time.Since(c.idleSince) > c.idleLimit || ok && !detour.Idle()
	})
}

// DropDirect closes the idle connections that lead to their upstreams directly, DropDetours all others.
func (p *Pool) DropDirect() { p.closeIdle(func(c *Conn) bool { return !c.IsDetour() }) }

// DropDetours closes the idle connections that lead through other VMs.
func (p *Pool) DropDetours() { p.closeIdle((*Conn).IsDetour) }

// closeIdle closes the idle connections that match.
func (p *Pool) closeIdle(match func(*Conn) bool) {
	p.mu.Lock()
	var expired []*Conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if match(c) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}
