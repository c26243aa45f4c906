package identity

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Lifetimes of the certificates that this package issues.
const (
	// AuthorityLifetime is the lifetime of an authority's certificate.
	AuthorityLifetime = 10 * 365 * 24 * time.Hour
	// CertificateLifetime is the lifetime of the certificate of a VM or an operator.
	CertificateLifetime = 90 * 24 * time.Hour
	// backdate moves NotBefore into the past, so that hosts with clocks behind the issuer's accept
	// a new certificate.
	backdate = time.Hour
)

// PEM block types.
const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// Issued is a certificate and its private key, both PEM-encoded.
type Issued struct {
	Certificate []byte
	Key         []byte
}

// Authority is a certificate authority that issues the certificates of one fleet.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority creates an authority with a new key and a self-signed certificate for name.
func NewAuthority(name string, now time.Time) (*Authority, Issued, error) {
	template, err := newTemplate(name, now, AuthorityLifetime)
	if err != nil {
		return nil, Issued{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, Issued{}, errors.Wrap(err, "identity: cannot make a key")
	}
	issued, err := sign(template, template, key.Public(), key, key)
	if err != nil {
		return nil, Issued{}, err
	}
	a, err := ReadAuthority(issued)
	return a, issued, err
}

// ReadAuthority decodes an authority that NewAuthority created.
func ReadAuthority(i Issued) (*Authority, error) {
	certificateBlock, _ := pem.Decode(i.Certificate)
	keyBlock, _ := pem.Decode(i.Key)
	if certificateBlock == nil || keyBlock == nil {
		return nil, errors.New("identity: the authority's files are not PEM")
	}
	certificate, err := x509.ParseCertificate(certificateBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "identity: cannot read the authority's certificate")
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "identity: cannot read the authority's key")
	}
	signer, ok := key.(crypto.Signer)
	if !ok || !certificate.IsCA {
		return nil, errors.New("identity: the files are not an authority's")
	}
	return &Authority{certificate: certificate, key: signer}, nil
}

// Issue creates a key and a certificate for id that expires lifetime after now.
func (a *Authority) Issue(id Identity, now time.Time, lifetime time.Duration) (Issued, error) {
	template, err := newTemplate(id.Name, now, lifetime)
	if err != nil {
		return Issued{}, err
	}
	template.URIs = append(template.URIs, id.url())
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Issued{}, errors.Wrap(err, "identity: cannot make a key")
	}
	return sign(template, a.certificate, key.Public(), a.key, key)
}

// newTemplate returns the fields common to all certificates, with a random serial number.
func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, errors.Wrap(err, "identity: cannot make a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{scheme}},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// sign creates a certificate signed with the parent's key, signer, and encodes it together with the
// certificate's own key.
func sign(template, parent *x509.Certificate, public crypto.PublicKey, signer, own crypto.Signer) (Issued, error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return Issued{}, errors.Wrap(err, "identity: cannot sign")
	}
	key, err := x509.MarshalPKCS8PrivateKey(own)
	if err != nil {
		return Issued{}, errors.Wrap(err, "identity: cannot encode a key")
	}
	return Issued{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: key}),
	}, nil
}

// Write writes the certificate and the key to files that must not exist yet. Only the owner can read
// the key.
func (i Issued) Write(certificate, key string) error {
	if err := createFile(key, i.Key, 0o600); err != nil {
		return err
	}
	if err := createFile(certificate, i.Certificate, 0o644); err != nil {
		// A key without its certificate is useless, and would make the next attempt fail.
		return errors.CombineErrors(err, os.Remove(key))
	}
	return nil
}

// createFile writes data to a new file; it fails if the path exists.
func createFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "identity: cannot make a file")
	}
	_, err = f.Write(data)
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "identity: cannot write a file")
}
