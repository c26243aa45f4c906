package callermem

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeSocket records that it was closed.
type fakeSocket struct {
	closed   atomic.Bool
	queued   int64
	measured int    // calls of QueuedBytes
	measure  func() // called after a measurement; nil for none
}

func (s *fakeSocket) Reset() { s.closed.Store(true) }

func (s *fakeSocket) QueuedBytes() int64 {
	s.measured++
	queued := s.queued
	if s.measure != nil {
		s.measure()
	}
	return queued
}

// open adds a connection that is in a phase since now and holds bytes.
func open(t *testing.T, g *Group, now time.Duration, p Phase, bytes int64) (*Conn, *fakeSocket) {
	s := &fakeSocket{}
	c := g.Open(now, s)
	require.NotNil(t, c)
	c.SetPhase(p, now)
	require.True(t, c.Reserve(bytes, now))
	return c, s
}

func isClosed(t *testing.T, s *fakeSocket) {
	require.Eventually(t, s.closed.Load, time.Second, time.Millisecond)
}

// TestBudget_SmallRequestsFindRoom guards against large bodies that leave no room for ordinary requests.
func TestBudget_SmallRequestsFindRoom(t *testing.T) {
	b := New(8 << 20)
	g := b.Group(0, false)
	for range 6 {
		if c := g.Open(0, &fakeSocket{}); !c.Reserve(2<<20, 0) {
			c.Close()
		}
	}
	require.Positive(t, b.Stats().Refused)
	require.LessOrEqual(t, b.Stats().Used, int64(6<<20))
	require.False(t, b.Take(2<<20), "a response's buffer")
	small := g.Open(0, &fakeSocket{})
	require.True(t, small.Reserve(OwnBytes-ConnBytes, 0))
	require.False(t, small.Reserve(2<<20, 0), "beyond its own share")
	whole := b.Group(0, true).Open(0, &fakeSocket{})
	require.True(t, whole.Reserve(1<<20, 0), "other VMs' messages may use the whole budget")
}

// TestBudget_ClosesThoseWithLeastProgress guards against a byte now and then that keeps an unfinished body alive, and against
// the closing of callers that send or read steadily.
func TestBudget_ClosesThoseWithLeastProgress(t *testing.T) {
	b := New(10 << 20)
	g := b.Group(0, false)
	_, silent := open(t, g, 0, Receiving, 2<<20)
	drip, dripping := open(t, g, 1, Receiving, 2<<20)
	steady, sending := open(t, g, 2, Receiving, 2<<20)
	_, served := open(t, g, 2, Serving, 1<<20)
	now := 10 * time.Second
	drip.Progress(1, now)
	steady.Progress(100_000, now)
	young, fresh := open(t, g, now, Receiving, 0)
	require.False(t, young.Reserve(2<<20, now))
	isClosed(t, silent)
	require.False(t, dripping.closed.Load() || sending.closed.Load() || served.closed.Load() || fresh.closed.Load())
	// The owner of the silent connection hasn't closed it yet: no other one is closed for it.
	require.Zero(t, b.Relieve(now+reliefInterval))
	_, sock := open(t, g, now, Receiving, 40<<10)
	for i := range 40 { // small ones fill the rest
		if c := g.Open(now, &fakeSocket{}); c.Reserve(OwnBytes-ConnBytes, now) == false {
			require.Greater(t, i, 10)
			c.Close()
			break
		}
	}
	now += 100 * time.Millisecond
	b.Relieve(now)
	isClosed(t, dripping)
	require.False(t, sending.closed.Load() || served.closed.Load() || fresh.closed.Load() || sock.closed.Load())
}

// TestBudget_KernelQueuesCount guards against bytes that nobody reads and that lie in the kernel: those of callers that don't
// read their answers, and those behind a request that is being served.
func TestBudget_KernelQueuesCount(t *testing.T) {
	b := New(1 << 20)
	g := b.Group(0, false)
	var sockets []*fakeSocket
	for i := range 10 {
		_, s := open(t, g, time.Duration(i), Sending, 0)
		s.queued = 100 << 10
		sockets = append(sockets, s)
	}
	_, served := open(t, g, 0, Serving, 0)
	require.Zero(t, b.Measure(500*time.Millisecond), "they have had no time to read")
	require.Positive(t, b.Measure(2*time.Second))
	isClosed(t, sockets[0])
	require.False(t, served.closed.Load())

	b = New(1 << 20)
	g = b.Group(0, false)
	for range 12 {
		_, s := open(t, g, 0, Serving, 0)
		s.queued = 100 << 10
	}
	require.Positive(t, b.Measure(2*time.Second), "the budget is exceeded by what lies behind requests")
}

// TestBudget_KeepsIdleConnections guards against callers whose idle connections are closed although that frees next to nothing.
func TestBudget_KeepsIdleConnections(t *testing.T) {
	b := New(1 << 20)
	g := b.Group(0, false)
	_, idle := open(t, g, 0, Idle, 0)
	for range 12 {
		open(t, g, 0, Serving, OwnBytes-ConnBytes)
	}
	require.Positive(t, b.Stats().Used-int64(largeShare*(1<<20)))
	require.Zero(t, b.Measure(5*time.Second))
	require.False(t, idle.closed.Load())
}

// TestGroup_ReplacesConnections guards against connections that are opened and left until no caller finds one.
func TestGroup_ReplacesConnections(t *testing.T) {
	g := New(1<<20).Group(3, false)
	_, used := open(t, g, 0, Idle, 0)
	_, old := open(t, g, 1, Unused, 0)
	_, served := open(t, g, 2, Serving, 0)
	next, _ := open(t, g, 3, Receiving, 0)
	isClosed(t, old)
	_, _ = open(t, g, 5*time.Second, Serving, 0)
	require.False(t, used.closed.Load(), "the unfinished request goes before the idle connection")
	require.False(t, next.Reserve(1, 0), "it is being closed")
	_, _ = open(t, g, 6*time.Second, Serving, 0)
	isClosed(t, used)
	require.Nil(t, g.Open(7*time.Second, &fakeSocket{}), "all are served: the listener waits")
	require.False(t, served.closed.Load())
}

// TestBudget_ReturnsEverything guards against reservations that are counted twice or never returned, whatever the order of events.
func TestBudget_ReturnsEverything(t *testing.T) {
	random := rand.New(rand.NewPCG(48, 2))
	b := New(1 << 20)
	g := b.Group(20, false)
	var conns []*Conn
	for i := range 100_000 {
		now := time.Duration(i) * 10 * time.Millisecond
		if len(conns) == 0 || random.IntN(10) == 0 {
			if c := g.Open(now, &fakeSocket{queued: int64(random.IntN(50_000))}); c != nil {
				conns = append(conns, c)
			}
			continue
		}
		at := random.IntN(len(conns))
		c := conns[at]
		switch random.IntN(6) {
		case 0:
			n := int64(random.IntN(100_000))
			if c.Reserve(n, now) && random.IntN(2) == 0 {
				c.Release(n)
			}
		case 1:
			c.SetPhase(Phase(random.IntN(5)), now)
		case 2:
			c.Progress(random.IntN(1000), now)
		case 3:
			b.Measure(now)
		case 4:
			if n := int64(random.IntN(100_000)); b.Take(n) {
				b.Return(n)
			}
		default:
			c.Close()
			conns = append(conns[:at], conns[at+1:]...)
		}
		require.GreaterOrEqual(t, b.Stats().Used, int64(0))
		require.LessOrEqual(t, b.Stats().Conns, 20)
	}
	for _, c := range conns {
		c.Close()
	}
	require.Zero(t, b.Stats().Used)
	require.Zero(t, b.closing)
	require.Zero(t, g.count)
}

// TestBudget_Unlimited: a process without a limit of its memory refuses nothing.
func TestBudget_Unlimited(t *testing.T) {
	for _, b := range []*Budget{nil, New(0)} {
		require.True(t, b.Take(1<<40))
		b.Return(1 << 40)
		require.Zero(t, b.Measure(0))
		if b != nil {
			require.True(t, b.Group(1, false).Open(0, nil).Reserve(1<<40, 0))
		}
	}
	c := (*Group)(nil).Open(0, nil)
	require.True(t, c.Reserve(1<<40, 0))
	c.SetPhase(Serving, 0)
	c.Progress(1, 0)
	c.Release(1 << 40)
	c.Close()
}

// TestSplitDescriptors: connections that are accepted leave descriptors for those that the process opens.
func TestSplitDescriptors(t *testing.T) {
	for _, limit := range []int{300, 700, 3075, 4100, 10_250} {
		for _, entry := range []bool{false, true} {
			c := SplitDescriptors(limit, entry)
			require.Less(t, c.Callers+c.Peers+2*c.Auxiliary, limit-fileDescriptors, "%d", limit)
		}
	}
	require.Equal(t, Connections{}, SplitDescriptors(0, true))
	require.GreaterOrEqual(t, SplitDescriptors(3075, true).Callers, 1000, "some hundred connections of each caller")
}

// TestBudget_WholeGroupFinishesItsMessage guards against a message between VMs that uses more than the part for large requests and
// is closed although there is room for it, and against the closing of others because of it.
func TestBudget_WholeGroupFinishesItsMessage(t *testing.T) {
	b := New(36 << 20)
	_, caller := open(t, b.Group(0, false), 0, Receiving, 1<<20)
	message, arriving := open(t, b.Group(0, true), 0, Receiving, 30<<20)
	now := 3 * time.Second
	message.Progress(64<<10, now)
	require.Zero(t, b.Measure(now))
	require.False(t, arriving.closed.Load() || caller.closed.Load())
	arriving.queued = 8 << 20 // beyond the budget
	require.Positive(t, b.Measure(now+reliefInterval))
}

// TestProgress_TimesOutOfOrder guards against a goroutine with an earlier time that erases the progress of a connection, which is
// closed then.
func TestProgress_TimesOutOfOrder(t *testing.T) {
	var p progress
	p.add(1000, 2*progressWindow)
	p.add(10, 2*progressWindow-1)
	require.Equal(t, int64(1010), p.recent(2*progressWindow))
}

// TestBudget_PeersFindRoomBesideCallers guards against callers that use up the budget and so end the connections between VMs, whose
// small messages find no room: a control VM would lose its group's leader.
func TestBudget_PeersFindRoomBesideCallers(t *testing.T) {
	b := New(1 << 20)
	callers, peers := b.Group(0, false), b.PeerGroup(0, true)
	message := peers.Open(0, &fakeSocket{})
	for {
		if c := callers.Open(0, &fakeSocket{}); !c.Reserve(40<<10, 0) {
			break
		}
	}
	require.False(t, callers.Open(0, &fakeSocket{}).Reserve(40<<10, 0))
	require.True(t, message.Reserve(40<<10, 0))
	message.Release(40 << 10)
	reserved := 0
	for range 10 { // the part that is kept is limited, too
		if c := peers.Open(0, &fakeSocket{}); c.Reserve(60<<10, 0) {
			reserved++
			defer c.Close()
		}
	}
	require.Equal(t, 4, reserved)
	require.False(t, message.Reserve(OwnBytes+1, 0), "large messages use the budget")
}

// TestBudget_MeasuresWaitingConnectionsOnce guards against two system calls for each of hundreds of waiting connections four times a
// second, and against answers that a caller doesn't read and that are no longer measured.
func TestBudget_MeasuresWaitingConnectionsOnce(t *testing.T) {
	b := New(1 << 20)
	g := b.Group(0, false)
	c, waiting := open(t, g, 0, Idle, 0)
	_, unread := open(t, g, 0, Idle, 0)
	unread.queued = 1 << 10
	for range 3 {
		b.Measure(time.Second)
	}
	require.Equal(t, 1, waiting.measured)
	require.Equal(t, 3, unread.measured)
	c.SetPhase(Receiving, time.Second)
	b.Measure(time.Second)
	c.SetPhase(Idle, time.Second)
	waiting.queued = 2 << 10
	b.Measure(time.Second)
	require.Equal(t, 3, waiting.measured)
	require.EqualValues(t, 2*ConnBytes+3<<10, b.Stats().Used)

	// An answer is sent between a measurement and its record.
	waiting.queued = 0
	waiting.measure = func() {
		waiting.measure = nil
		c.SetPhase(Sending, time.Second)
		waiting.queued = 4 << 10
		c.SetPhase(Idle, time.Second)
	}
	b.Measure(time.Second)
	b.Measure(time.Second)
	require.EqualValues(t, 2*ConnBytes+5<<10, b.Stats().Used)
}
