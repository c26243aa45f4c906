package identity

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files are the paths of PEM files.
type Files struct {
	// Certificate is the process's own certificate, and the intermediate ones if there are any.
	Certificate string
	// Key is the certificate's private key.
	Key string
	// Authority holds the certificates of the authorities that are trusted. Two stand there while
	// one takes the other's place.
	Authority string
}

func (f Files) paths() [3]string {
	return [3]string{f.Certificate, f.Key, f.Authority}
}

// stamp tells versions of a file apart.
type fileVersion struct {
	modified time.Time
	size     int64
}

func (f Files) versions() (s [3]fileVersion) {
	for i, path := range f.paths() {
		if info, err := os.Stat(path); err == nil {
			s[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return s
}

// material is what the files hold.
type keyMaterial struct {
	identity    Identity
	certificate *tls.Certificate
	authorities *x509.CertPool
}

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

// verify checks a certificate and returns whose it is.
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

// Credentials holds what the files hold, and follows them.
type Credentials struct {
	files    Files
	onReload func(error)

	mu       sync.Mutex
	versions [3]fileVersion
	loaded   *keyMaterial
}

// Load reads the files. reloaded is called after each later change of them: with nil if the new
// ones are in use, else with what is wrong with them, and the former ones stay in use; nil: nobody
// is told.
func Load(files Files, onReload func(error)) (*Credentials, error) {
	versions := files.versions()
	loaded, err := files.read()
	if err != nil {
		return nil, err
	}
	return &Credentials{files: files, onReload: onReload, versions: versions, loaded: loaded}, nil
}

// Identity returns whose certificate it is.
func (c *Credentials) Identity() Identity { return c.current().identity }

// Expires returns when the certificate expires.
func (c *Credentials) Expires() time.Time { return c.current().certificate.Leaf.NotAfter }

// current returns what the files hold now. A change of identity is refused, because the process
// was started as somebody.
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

// config returns the settings of one side of connections on which the other side has to pass
// check. Sessions are not resumed: each connection checks the certificates as they are by then.
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
		// The names that the library would check are host names; VerifyConnection checks
		// the chain and the identity instead.
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

// ClientConfig returns the settings for connections to the VM of a name; any VM if it is empty.
func (c *Credentials) ClientConfig(vm string) *tls.Config {
	return c.config(func(id Identity) error {
		if id.Role != VM || vm != "" && id.Name != vm {
			return errors.Wrapf(ErrWrongIdentity, "%s answers", id)
		}
		return nil
	})
}
