package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/identity"
	"egretramp/internal/settings"
)

const (
	// expiryWarning is how long before its expiry a certificate is reported.
	expiryWarning       = 14 * 24 * time.Hour
	expiryCheckInterval = time.Hour
	// refusalLogInterval is the minimum time between two log lines about refused connections, which
	// anyone on the network can cause.
	refusalLogInterval = time.Second
)

// loadProtection loads the certificates named in the settings. It returns nil if TLS is off.
func loadProtection(s *settings.Settings, log *events.Logger) (*identity.Protection, error) {
	if !s.TLS.On() {
		return nil, nil
	}
	files := identity.Files{Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority}
	keeper, err := identity.Load(files, func(err error) {
		if err != nil {
			log.Emit(events.CertificateRejected, zap.Error(err))
			return
		}
		log.Emit(events.CertificateReloaded)
	})
	if err != nil {
		return nil, errors.Wrap(err, "daemon: tls")
	}
	own := identity.Identity{Role: identity.VM, Name: s.VM}
	if keeper.Identity() != own {
		return nil, errors.Newf("daemon: tls: %s is for %s, this is %s", s.TLS.Certificate, keeper.Identity(), own)
	}
	return &identity.Protection{
		Credentials: keeper,
		Mode:        identity.Mode(s.TLS.Mode),
		Refused:     logRefused(log),
	}, nil
}

// logRefused returns a callback that logs refused connections, at most one per refusalLogInterval.
func logRefused(log *events.Logger) func(net.Addr, error) {
	var last atomic.Int64
	return func(remote net.Addr, err error) {
		now := time.Now().UnixNano()
		before := last.Load()
		if now-before < int64(refusalLogInterval) || !last.CompareAndSwap(before, now) {
			return
		}
		log.Emit(events.PeerRefused, zap.Stringer("remote", remote), zap.Error(err))
	}
}

// watchCertificate checks the certificate at every expiryCheckInterval, so that changed files are
// noticed even while no connection is opened, and reports an expiry within expiryWarning.
func (d *Daemon) watchCertificate(ctx context.Context) {
	if d.protection == nil {
		return
	}
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		if left := time.Until(d.protection.Credentials.Expires()); left < expiryWarning {
			d.events.Emit(events.CertificateExpiring, zap.Duration("left", left))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
