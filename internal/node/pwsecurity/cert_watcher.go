// Package pwsecurity provides the TLS configurations of the system's processes and
// authenticates operators.
//
// # Usage
//
//	watcher, err := pwsecurity.NewCertWatcher(settings.TLS, observer)
//	go watcher.Run(ctx)
//	callers := pwtransport.NewServer(api, watcher.ServerConfig())
//	peers := pwtransport.NewServer(handler, watcher.PeerServerConfig(pwsecurity.RoleEntry))
//	client := pwtransport.NewClient(watcher.PeerClientConfig(pwsecurity.RoleAgent))
//
// # Roles
//
// The certificate of a process carries the DNS name of its role, for example
// "entry.pomeloweir.internal". Processes connect to one another by IP address, so
// the role of a peer is verified instead of its address.
//
// # Files
//
// Run reloads the files when they change. If a new set of files cannot be used,
// the previous certificate stays in force and the next poll tries again. Authorities that
// can be read are in force all the same, so that one that was removed is not trusted.
package pwsecurity

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
)

// Role is the kind of a process, which its certificate proves to its peers.
type Role string

// Roles of processes in certificates.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// roleDNSSuffix is the suffix of the DNS name of every role.
const roleDNSSuffix = ".pomeloweir.internal"

// DNSName returns the DNS name that the certificates of a role carry.
func (r Role) DNSName() string { return string(r) + roleDNSSuffix }

// maxFileBytes is the largest size of a certificate, key or authority file.
const maxFileBytes = 1 << 20

// keyMaterial is one loaded set of certificate, key and authority files.
type keyMaterial struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	// digest is the digest of the contents of the files.
	digest [sha256.Size]byte
}

// CertWatcher holds the certificate of a process and the authorities that it
// trusts, and reloads both when their files change.
type CertWatcher struct {
	files   pwsettings.TLS
	obs     *pwobserve.Observer
	current atomic.Pointer[keyMaterial]
	// failedDigest is the digest of the last set of files that could not be
	// used. Only the goroutine of Run uses it.
	failedDigest [sha256.Size]byte
}

// NewCertWatcher loads the files. The error names the file that cannot be used.
func NewCertWatcher(files pwsettings.TLS, obs *pwobserve.Observer) (*CertWatcher, error) {
	m, _, err := loadKeyMaterial(files)
	if err != nil {
		return nil, err
	}
	w := &CertWatcher{
		files: files,
		obs:   obs,
	}
	w.activate(m)
	return w, nil
}

// CheckFiles returns an error if a process could not start with the files.
func CheckFiles(files pwsettings.TLS) error {
	_, _, err := loadKeyMaterial(files)
	return err
}

// Expiry returns when the certificate in use expires.
func (w *CertWatcher) Expiry() time.Time { return w.current.Load().certificate.Leaf.NotAfter }

// Run polls the files until ctx is done.
func (w *CertWatcher) Run(ctx context.Context) { w.loop(ctx) }

// loop adds up to a tenth of random jitter to each period, so that the
// processes of an instance do not read their files at the same time.
func (w *CertWatcher) loop(ctx context.Context) {
	const jitterShare = 10
	for {
		period := w.files.PollInterval()
		timer := time.NewTimer(period + rand.N(period/jitterShare+1))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			w.reload()
		}
	}
}

func (w *CertWatcher) reload() {
	m, digest, err := loadKeyMaterial(w.files)
	switch {
	case err != nil:
		w.obs.Count("tls_reload_failures", 1)
		if digest != w.failedDigest {
			replaced := w.replaceAuthorities()
			w.obs.Warn("TLS files cannot be used; the previous ones stay in force", err,
				"certificate_expires", w.Expiry().UTC().Format(time.RFC3339), "authorities_replaced", strconv.FormatBool(replaced))
		}
		w.failedDigest = digest
	case m.digest != w.current.Load().digest:
		w.activate(m)
		w.failedDigest = [sha256.Size]byte{}
		w.obs.Info("TLS files were read again", "certificate_expires", w.Expiry().UTC().Format(time.RFC3339))
	}
}

// replaceAuthorities makes the authorities in their file the trusted ones, with the certificate
// that is in force. It reports whether they differ from those trusted before.
func (w *CertWatcher) replaceAuthorities() bool {
	ca, err := readFile(w.files.CAFile)
	if err != nil {
		return false // reported with the whole set
	}
	pool, current := x509.NewCertPool(), w.current.Load()
	if !pool.AppendCertsFromPEM(ca) || pool.Equal(current.authorities) {
		return false
	}
	w.activate(&keyMaterial{
		certificate: current.certificate,
		authorities: pool,
		// The files still differ from the digest of those in force.
		digest: current.digest,
	})
	return true
}

func (w *CertWatcher) activate(m *keyMaterial) {
	w.current.Store(m)
	w.obs.SetGauge("tls_certificate_expires_unix_s", m.certificate.Leaf.NotAfter.Unix())
}

// loadKeyMaterial reads and checks a set of files. The digest covers their
// contents and a read error, so that a caller can detect a new failure.
// Verification errors are not part of it, because they contain the time.
func loadKeyMaterial(files pwsettings.TLS) (m *keyMaterial, digest [sha256.Size]byte, err error) {
	var contents bytes.Buffer
	read := func(name string) []byte {
		if err != nil {
			return nil
		}
		var data []byte
		if data, err = readFile(name); err != nil {
			contents.WriteString(err.Error())
		}
		_, _ = fmt.Fprintf(&contents, "%d:%s", len(data), data)
		return data
	}
	cert, key, ca := read(files.CertificateFile), read(files.KeyFile), read(files.CAFile)
	if err == nil {
		m, err = parseKeyMaterial(files, cert, key, ca)
	}
	digest = sha256.Sum256(contents.Bytes())
	if m != nil {
		m.digest = digest
	}
	return m, digest, err
}

func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "TLS file cannot be read")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "TLS file %s cannot be read", name)
	}
	if len(data) > maxFileBytes {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: found more than %d bytes; allowed: at most %d bytes",
			name, maxFileBytes, maxFileBytes)
	}
	return data, nil
}

// parseKeyMaterial parses a set of files. It also rejects a certificate that its
// own authorities do not accept, because every peer would reject it.
func parseKeyMaterial(files pwsettings.TLS, cert, key, ca []byte) (*keyMaterial, error) {
	invalidFile := func(err error, name, allowed string) error {
		return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: allowed: %s", name, allowed)
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, invalidFile(err, files.CertificateFile, "a PEM certificate that belongs to the key in "+files.KeyFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: found no certificate; allowed: PEM certificates of authorities", files.CAFile)
	}
	if err := verifyChain(pair.Leaf, parseIntermediates(pair.Certificate), pool, x509.ExtKeyUsageAny); err != nil {
		return nil, invalidFile(err, files.CertificateFile, "a valid certificate of an authority in "+files.CAFile)
	}
	return &keyMaterial{
		certificate: &pair,
		authorities: pool,
	}, nil
}

// parseIntermediates parses the certificates after the leaf and skips those that
// cannot be parsed.
func parseIntermediates(chain [][]byte) []*x509.Certificate {
	return lo.FilterMap(chain[1:], func(der []byte, _ int) (*x509.Certificate, bool) {
		c, err := x509.ParseCertificate(der)
		return c, err == nil
	})
}

// verifyChain verifies a certificate against the roots, for one key usage.
func verifyChain(leaf *x509.Certificate, intermediates []*x509.Certificate, roots *x509.CertPool, usage x509.ExtKeyUsage) error {
	pool := x509.NewCertPool()
	for _, c := range intermediates {
		pool.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: pool,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

// ServerConfig returns the TLS configuration of a listener for callers and
// operators, who authenticate with credentials instead of certificates.
func (w *CertWatcher) ServerConfig() *tls.Config {
	return w.newServerConfig(func(*tls.Config, *keyMaterial) {})
}

// PeerServerConfig returns the TLS configuration of a listener for processes of
// the given roles. The handshake fails unless the peer has a certificate that an
// authority of the system issued for one of these roles.
func (w *CertWatcher) PeerServerConfig(allowed ...Role) *tls.Config {
	return w.newServerConfig(func(cfg *tls.Config, m *keyMaterial) {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
		cfg.ClientCAs = m.authorities
		cfg.VerifyConnection = func(s tls.ConnectionState) error {
			return checkRole(s, allowed)
		}
	})
}

// newServerConfig returns a configuration that uses the files in force at the time
// of each connection. Sessions are not resumed, so that the removal of an authority
// takes effect at once for every new connection.
func (w *CertWatcher) newServerConfig(configureClientAuth func(*tls.Config, *keyMaterial)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := w.current.Load()
			cfg := &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*m.certificate},
				NextProtos:             []string{"h2", "http/1.1"},
				SessionTicketsDisabled: true,
			}
			configureClientAuth(cfg, m)
			return cfg, nil
		},
	}
}

// PeerClientConfig returns the TLS configuration for connections to processes of
// the given roles. The peer's certificate must be issued by an authority in force
// and be for one of these roles.
func (w *CertWatcher) PeerClientConfig(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the peer instead. The built-in verification
		// cannot use authorities that change, and it checks the peer's address.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return unauthenticated("peer has no certificate")
			}
			if err := verifyChain(s.PeerCertificates[0], s.PeerCertificates[1:], w.current.Load().authorities, x509.ExtKeyUsageServerAuth); err != nil {
				return err
			}
			return checkRole(s, allowed)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return w.current.Load().certificate, nil
		},
	}
}

// checkRole returns an error unless the peer's certificate has one of the roles.
func checkRole(s tls.ConnectionState, allowed []Role) error {
	if len(s.PeerCertificates) == 0 {
		return unauthenticated("peer has no certificate")
	}
	names := s.PeerCertificates[0].DNSNames
	if lo.SomeBy(allowed, func(r Role) bool { return lo.Contains(names, r.DNSName()) }) {
		return nil
	}
	return unauthenticated("peer's certificate has names %.200q; allowed: %s", strings.Join(names, ", "),
		strings.Join(lo.Map(allowed, func(r Role, _ int) string { return r.DNSName() }), ", "))
}

func unauthenticated(format string, args ...any) error {
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnauthenticated, format, args...)
}
