package identity

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files holds the paths of the PEM files that Credentials are loaded from.
type Files struct {
	// Certificate holds the process's own certificate, followed by any intermediate certificates.
	Certificate string
	// Key holds the certificate's private key.
	Key string
	// Authority holds the certificates of the trusted authorities: two while one authority is being
	// replaced by another.
	Authority string
}

func (f Files) paths() [3]string {
	return [3]string{f.Certificate, f.Key, f.Authority}
}

// fileVersion identifies a version of a file by its modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

// versions returns the current version of each file; zero for a file whose metadata cannot be read.
func (f Files) versions() (s [3]fileVersion) {
	for i, path := range f.paths() {
		if info, err := os.Stat(path); err == nil {
			s[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return s
}

// keyMaterial is the parsed content of the files.
type keyMaterial struct {
	identity    Identity
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// read loads the files and verifies that the certificate is trusted by the authorities.
func (f Files) read() (*keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "identity: cannot use %s with %s", f.Certificate, f.Key)
	}
	id, err := FromCertificate(certificate.Leaf)
	if err != nil {
		return nil, errors.Wrap(err, f.Certificate)
	}
	text, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "identity: cannot read the authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, errors.Newf("identity: %s holds no certificate", f.Authority)
	}
	m := &keyMaterial{identity: id, certificate: &certificate, authorities: authorities}
	if _, err := m.verify(certificate.Leaf, nil); err != nil {
		return nil, errors.Wrapf(err, "identity: %s", f.Certificate)
	}
	return m, nil
}

// verify checks a certificate against the authorities and returns its identity.
func (m *keyMaterial) verify(leaf *x509.Certificate, intermediates []*x509.Certificate) (Identity, error) {
	pool := x509.NewCertPool()
	for _, c := range intermediates {
		pool.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         m.authorities,
		Intermediates: pool,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return Identity{}, errors.Wrap(err, "identity: the certificate is not trusted")
	}
	return FromCertificate(leaf)
}

// Credentials holds a process's certificate, key and trusted authorities, and reloads them when the
// files change.
type Credentials struct {
	files    Files
	onReload func(error)

	mu       sync.Mutex
	versions [3]fileVersion
	loaded   *keyMaterial
}

// Load reads the files. Unless it is nil, onReload is called after each later change of the files:
// with nil if the new content is in use, otherwise with the error, in which case the previous
// content stays in use.
func Load(files Files, onReload func(error)) (*Credentials, error) {
	versions := files.versions()
	loaded, err := files.read()
	if err != nil {
		return nil, err
	}
	return &Credentials{files: files, onReload: onReload, versions: versions, loaded: loaded}, nil
}

// Identity returns the identity that the certificate names.
func (c *Credentials) Identity() Identity { return c.current().identity }

// Expires returns the time at which the certificate expires.
func (c *Credentials) Expires() time.Time { return c.current().certificate.Leaf.NotAfter }

// current returns the key material, reloading it if the files have changed. A certificate for another
// identity is rejected, because a process keeps the identity that it was started with.
func (c *Credentials) current() *keyMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := c.files.versions()
	if versions == c.versions {
		return c.loaded
	}
	c.versions = versions
	next, err := c.files.read()
	if err == nil && next.identity != c.loaded.identity {
		err = errors.Wrapf(ErrWrongIdentity, "%s is for %s", c.files.Certificate, next.identity)
	}
	if err == nil {
		c.loaded = next
	}
	if c.onReload != nil {
		c.onReload(err)
	}
	return c.loaded
}

// config returns a TLS configuration for either side that accepts a peer only if check accepts its
// identity. Sessions are not resumed, so each connection is checked against the current
// certificates.
func (c *Credentials) config(check func(Identity) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current().certificate, nil
		},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		// The standard verification matches host names; VerifyConnection verifies the chain
		// and the identity instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			id, err := c.current().verify(state.PeerCertificates[0], state.PeerCertificates[1:])
			if err != nil {
				return err
			}
			return check(id)
		},
	}
}

// ClientConfig returns the TLS configuration for connections to the named VM, or to any VM if vm is
// empty.
func (c *Credentials) ClientConfig(vm string) *tls.Config {
	return c.config(func(id Identity) error {
		if id.Role != VM || vm != "" && id.Name != vm {
			return errors.Wrapf(ErrWrongIdentity, "%s answers", id)
		}
		return nil
	})
}
