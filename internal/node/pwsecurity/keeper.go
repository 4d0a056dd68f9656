// Package pwsecurity gives the TLS configurations of the system's processes
// and authenticates operators.
//
// # Usage
//
//	keeper, err := pwsecurity.NewKeeper(settings.TLS, observer)
//	go keeper.Run(ctx)
//	callers := pwtransport.NewServer(api, keeper.ServerConfig())
//	peers := pwtransport.NewServer(handler, keeper.PeerServerConfig(pwsecurity.RoleEntry))
//	client := pwtransport.NewClient(keeper.PeerClientConfig(pwsecurity.RoleAgent))
//
// # Roles
//
// The certificate of a process carries the DNS name of its role, for example
// "entry.pomeloweir.internal". Processes reach one another by IP address, so
// the role is what a peer is checked for, not the address.
//
// # Files
//
// Run reads the files again when they change. A new set that cannot be used
// leaves the one before in force; the next look tries again.
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
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
)

// Role is what a process of the system does.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// nameSuffix ends the DNS name of a role.
const nameSuffix = ".pomeloweir.internal"

// DNSName returns the DNS name in the certificates of a role.
func (r Role) DNSName() string { return string(r) + nameSuffix }

// maxFileBytes bounds a certificate, key or authority file.
const maxFileBytes = 1 << 20

// material is one set of files that belong together.
type material struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	digest      [sha256.Size]byte
}

// CertWatcher holds the certificate of a process and the authorities it trusts.
type CertWatcher struct {
	files   pwsettings.TLS
	obs     *pwobserve.Observer
	current atomic.Pointer[material]
	// failed is the digest of the last set of files that could not be used.
	// It is used by the goroutine of Run only.
	failed [sha256.Size]byte
}

// NewCertWatcher reads the files. The error names the file that cannot be used.
func NewCertWatcher(files pwsettings.TLS, obs *pwobserve.Observer) (*CertWatcher, error) {
	m, _, err := load(files)
	if err != nil {
		return nil, err
	}
	k := &CertWatcher{
		files: files,
		obs:   obs,
	}
	k.use(m)
	return k, nil
}

// CheckFiles reports whether a process could start with the files.
func CheckFiles(files pwsettings.TLS) error {
	_, _, err := load(files)
	return err
}

// Expiry returns when the certificate in use ends.
func (k *CertWatcher) Expiry() time.Time { return k.current.Load().certificate.Leaf.NotAfter }

// Run looks at the files until ctx ends.
func (k *CertWatcher) Run(ctx context.Context) { k.loop(ctx) }

// loop looks at the files in a period with jitter of a tenth, so that the
// processes of an instance do not read at the same time.
func (k *CertWatcher) loop(ctx context.Context) {
	const jitterShare = 10
	for {
		period := k.files.PollInterval()
		timer := time.NewTimer(period + rand.N(period/jitterShare+1))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			k.reload()
		}
	}
}

func (k *CertWatcher) reload() {
	m, digest, err := load(k.files)
	switch {
	case err != nil:
		k.obs.Count("tls_reload_failures", 1)
		if digest != k.failed {
			k.obs.Warn("TLS files cannot be used; the previous ones stay in force", err,
				"certificate_expires", k.Expiry().UTC().Format(time.RFC3339))
		}
		k.failed = digest
	case m.digest != k.current.Load().digest:
		k.use(m)
		k.failed = [sha256.Size]byte{}
		k.obs.Info("TLS files were read again", "certificate_expires", k.Expiry().UTC().Format(time.RFC3339))
	}
}

func (k *CertWatcher) use(m *material) {
	k.current.Store(m)
	k.obs.SetGauge("tls_certificate_expires_unix_s", m.certificate.Leaf.NotAfter.Unix())
}

// load reads and checks a set of files. The digest covers their contents and
// an error of reading, so that a caller can tell whether a failure is a new
// one. Errors of verification contain the time and are left out.
func load(files pwsettings.TLS) (m *material, digest [sha256.Size]byte, err error) {
	var all bytes.Buffer
	read := func(name string) []byte {
		if err != nil {
			return nil
		}
		var data []byte
		if data, err = readFile(name); err != nil {
			all.WriteString(err.Error())
		}
		_, _ = fmt.Fprintf(&all, "%d:%s", len(data), data)
		return data
	}
	cert, key, ca := read(files.CertificateFile), read(files.KeyFile), read(files.CAFile)
	if err == nil {
		m, err = parse(files, cert, key, ca)
	}
	digest = sha256.Sum256(all.Bytes())
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

// parse also refuses a certificate that its own authorities do not accept,
// because every peer would refuse it.
func parse(files pwsettings.TLS, cert, key, ca []byte) (*material, error) {
	bad := func(err error, name, allowed string) error {
		return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: allowed: %s", name, allowed)
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, bad(err, files.CertificateFile, "a PEM certificate that belongs to the key in "+files.KeyFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: found no certificate; allowed: PEM certificates of authorities", files.CAFile)
	}
	if err := verify(pair.Leaf, intermediates(pair.Certificate), pool, x509.ExtKeyUsageAny); err != nil {
		return nil, bad(err, files.CertificateFile, "a valid certificate of an authority in "+files.CAFile)
	}
	return &material{
		certificate: &pair,
		authorities: pool,
	}, nil
}

func intermediates(chain [][]byte) []*x509.Certificate {
	return lo.FilterMap(chain[1:], func(der []byte, _ int) (*x509.Certificate, bool) {
		c, err := x509.ParseCertificate(der)
		return c, err == nil
	})
}

func verify(leaf *x509.Certificate, rest []*x509.Certificate, roots *x509.CertPool, usage x509.ExtKeyUsage) error {
	pool := x509.NewCertPool()
	for _, c := range rest {
		pool.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: pool,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

// ServerConfig returns the configuration of a listener for callers and
// operators, who have credentials instead of certificates.
func (k *CertWatcher) ServerConfig() *tls.Config {
	return k.server(func(*tls.Config, *material) {})
}

// PeerServerConfig returns the configuration of a listener for processes of
// the given roles. A peer without a certificate of an authority of the system
// and of one of these roles is refused in the handshake.
func (k *CertWatcher) PeerServerConfig(allowed ...Role) *tls.Config {
	return k.server(func(cfg *tls.Config, m *material) {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
		cfg.ClientCAs = m.authorities
		cfg.VerifyConnection = func(s tls.ConnectionState) error {
			return checkRole(s, allowed)
		}
	})
}

// server makes a configuration for each connection from the files in force.
// Sessions are not resumed, so that a removed authority takes effect at once
// for every new connection.
func (k *CertWatcher) server(set func(*tls.Config, *material)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := k.current.Load()
			cfg := &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*m.certificate},
				NextProtos:             []string{"h2", "http/1.1"},
				SessionTicketsDisabled: true,
			}
			set(cfg, m)
			return cfg, nil
		},
	}
}

// PeerClientConfig returns the configuration for connections to processes of
// the given roles. The peer's certificate is checked against the authorities
// in force and for one of these roles.
func (k *CertWatcher) PeerClientConfig(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection does the verification instead: the built-in one
		// cannot use authorities that change, and compares with the address.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return refused("peer has no certificate")
			}
			if err := verify(s.PeerCertificates[0], s.PeerCertificates[1:], k.current.Load().authorities, x509.ExtKeyUsageServerAuth); err != nil {
				return err
			}
			return checkRole(s, allowed)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current.Load().certificate, nil
		},
	}
}

func checkRole(s tls.ConnectionState, allowed []Role) error {
	if len(s.PeerCertificates) == 0 {
		return refused("peer has no certificate")
	}
	names := s.PeerCertificates[0].DNSNames
	if lo.SomeBy(allowed, func(r Role) bool { return lo.Contains(names, r.DNSName()) }) {
		return nil
	}
	return refused("peer's certificate has names %.200q; allowed: %s", strings.Join(names, ", "),
		strings.Join(lo.Map(allowed, func(r Role, _ int) string { return r.DNSName() }), ", "))
}

func refused(format string, args ...any) error {
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnauthenticated, format, args...)
}
