package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcserver"

	"egretramp/internal/events"
	"egretramp/internal/identity"
)

// acceptPause is the pause after a connection could not be accepted, as when the process has no
// file descriptor left.
const acceptRetryDelay = 100 * time.Millisecond

var errSenderMismatch = errors.New("the message names another VM than the connection's certificate")

// serveConns serves each connection of a listener until ctx ends. The handlers' contexts carry
// their connection, so that they can tell whose it is.
func serveConns(ctx context.Context, listener net.Listener, handler drpc.Handler) error {
	server := drpcserver.New(handler)
	var wg conc.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		wg.Go(func() { _ = server.ServeOne(drpcctx.WithTransport(ctx, conn), conn) })
	}
}

// checkSender reports a sender that is not the VM which the connection has proved to be. On a
// connection that proves nothing every VM is believed.
func (s *server) checkSender(ctx context.Context, from string) error {
	transport, _ := drpcctx.Transport(ctx)
	conn, ok := transport.(*identity.Conn)
	if !ok {
		return nil
	}
	authenticated, ok := conn.Peer()
	if !ok || authenticated.Name == from {
		return nil
	}
	s.node.opts.Events.Emit(events.PeerRefused, zap.String("peer", authenticated.String()), zap.String("named", from), zap.Error(errSenderMismatch))
	return errSenderMismatch
}
