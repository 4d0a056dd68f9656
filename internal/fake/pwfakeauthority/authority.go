// Package pwfakeauthority is a small certificate authority for tests.
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
	lifetime   = 24 * time.Hour
	keyMode    = 0o600
)

// Authority signs certificates.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// Request describes a certificate. The zero values give one for both client
// and server that is valid now.
type Request struct {
	// Names are the DNS names in the certificate.
	Names []string
	// NotBefore and NotAfter bound the validity.
	NotBefore, NotAfter time.Time
	// Usages are the allowed uses; default client and server.
	Usages []x509.ExtKeyUsage
}

// KeyPair is a certificate with its key, in PEM.
type KeyPair struct {
	Certificate, Key []byte
}

// Files are the paths that WriteFiles wrote.
type Files struct {
	Certificate, Key, CA string
}

// New returns an authority with a fresh key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	t := &x509.Certificate{
		SerialNumber:          serial(),
		Subject:               pkix.Name{CommonName: "pomeloweir test authority"},
		NotBefore:             now.Add(-lifetime),
		NotAfter:              now.Add(lifetime),
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

func serial() *big.Int {
	n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return n
}

// PEM returns the authority's certificate.
func (a *Authority) PEM() []byte { return encode("CERTIFICATE", a.cert.Raw) }

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
}

// Issue returns a certificate for loopback addresses and the given names.
func (a *Authority) Issue(r Request) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	now := time.Now()
	t := &x509.Certificate{
		SerialNumber: serial(),
		NotBefore:    now.Add(-lifetime),
		NotAfter:     now.Add(lifetime),
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
		Certificate: encode("CERTIFICATE", der),
		Key:         encode("EC PRIVATE KEY", keyDER),
	}, nil
}

// WriteFiles issues a certificate and writes it with its key and the
// authority's certificate into a directory, over those of an earlier call.
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
		os.WriteFile(f.Certificate, p.Certificate, keyMode),
		os.WriteFile(f.Key, p.Key, keyMode),
		os.WriteFile(f.CA, a.PEM(), keyMode),
	)
}
