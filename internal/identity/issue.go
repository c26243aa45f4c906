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

// Lifetimes of what this package issues.
const (
	AuthorityLifetime   = 10 * 365 * 24 * time.Hour
	CertificateLifetime = 90 * 24 * time.Hour
	// backdate allows for clocks that are behind the issuer's.
	backdate = time.Hour
)

// Types of PEM blocks.
const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// Issued is a certificate with its private key, both PEM.
type Issued struct {
	Certificate []byte
	Key         []byte
}

// Authority issues certificates of one fleet.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority makes an authority of this name.
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

// ReadAuthority reads an authority that NewAuthority made.
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

// Issue makes a certificate that expires after a lifetime.
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

// Write writes both to files that must not exist yet. The key is readable for its owner only.
func (i Issued) Write(certificate, key string) error {
	if err := createFile(key, i.Key, 0o600); err != nil {
		return err
	}
	if err := createFile(certificate, i.Certificate, 0o644); err != nil {
		// A key without its certificate is of no use, and would stop the next try.
		return errors.CombineErrors(err, os.Remove(key))
	}
	return nil
}

func createFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "identity: cannot make a file")
	}
	_, err = f.Write(data)
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "identity: cannot write a file")
}
