// Package pwfakeauthority provides a small certificate authority for tests.
//
// # Usage
//
//	ca, err := pwfakeauthority.New()
//	files, err := ca.WriteFiles(t.TempDir(), pwfakeauthority.Request{
//		Names: []string{"entry.pomeloweir.internal"},
//	})
package pwfakeauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	serialBits = 64
	// validity is the default time from now to both bounds of a certificate's
	// validity.
	validity = 24 * time.Hour
	fileMode = 0o600
)

// Authority issues certificates that are signed by its own self-signed certificate.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// Request describes a certificate to issue. The zero value requests a certificate
// without DNS names that is valid now, for clients and for servers.
type Request struct {
	// Names are the DNS names in the certificate.
	Names []string
	// NotBefore and NotAfter bound the validity; the defaults are 24 hours before and
	// after now.
	NotBefore, NotAfter time.Time
	// Usages are the extended key usages; the default is client and server
	// authentication.
	Usages []x509.ExtKeyUsage
}

// KeyPair is a certificate with its private key, both in PEM.
type KeyPair struct {
	Certificate, Key []byte
}

// Files holds the paths of the files that WriteFiles wrote.
type Files struct {
	Certificate, Key, CA string
}

// New returns an authority with a newly generated key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	t := &x509.Certificate{
		SerialNumber:          newSerialNumber(),
		Subject:               pkix.Name{CommonName: "pomeloweir test authority"},
		NotBefore:             now.Add(-validity),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{
		key:  key,
		cert: cert,
	}, nil
}

func newSerialNumber() *big.Int {
	n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return n
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte { return encodePEM("CERTIFICATE", a.cert.Raw) }

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{
		Type:  blockType,
		Bytes: der,
	})
}

// Issue returns a signed certificate for the loopback addresses and the requested names,
// with a newly generated key.
func (a *Authority) Issue(r Request) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	now := time.Now()
	t := &x509.Certificate{
		SerialNumber: newSerialNumber(),
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
		DNSNames:     r.Names,
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  r.Usages,
	}
	if !r.NotBefore.IsZero() {
		t.NotBefore = r.NotBefore
	}
	if !r.NotAfter.IsZero() {
		t.NotAfter = r.NotAfter
	}
	if len(t.ExtKeyUsage) == 0 {
		t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{
		Certificate: encodePEM("CERTIFICATE", der),
		Key:         encodePEM("EC PRIVATE KEY", keyDER),
	}, nil
}

// WriteFiles issues a certificate. It writes the certificate, its key and the authority's
// certificate to a directory, and overwrites the files of an earlier call.
func (a *Authority) WriteFiles(dir string, r Request) (Files, error) {
	p, err := a.Issue(r)
	if err != nil {
		return Files{}, err
	}
	f := Files{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		CA:          filepath.Join(dir, "ca.pem"),
	}
	return f, errors.Join(
		os.WriteFile(f.Certificate, p.Certificate, fileMode),
		os.WriteFile(f.Key, p.Key, fileMode),
		os.WriteFile(f.CA, a.PEM(), fileMode),
	)
}
