package pwsecurity_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcredential"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeauthority"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsecurity"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
)

func newAuthority(t *testing.T) *pwfakeauthority.Authority {
	t.Helper()
	a, err := pwfakeauthority.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// writeTLSFiles issues a certificate, writes its files to dir and returns the
// settings that name them.
func writeTLSFiles(t *testing.T, dir string, a *pwfakeauthority.Authority, r pwfakeauthority.Request) pwsettings.TLS {
	t.Helper()
	f, err := a.WriteFiles(dir, r)
	if err != nil {
		t.Fatal(err)
	}
	return pwsettings.TLS{
		CertificateFile: f.Certificate,
		KeyFile:         f.Key,
		CAFile:          f.CA,
		PollMS:          10_000,
	}
}

func roleRequest(r pwsecurity.Role) pwfakeauthority.Request {
	return pwfakeauthority.Request{
		Names: []string{r.DNSName()},
	}
}

func newCertWatcher(t *testing.T, f pwsettings.TLS) *pwsecurity.CertWatcher {
	t.Helper()
	w, err := pwsecurity.NewCertWatcher(f, pwobserve.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// startServer starts a server and returns its address and a counter of the
// requests that reached its handler.
func startServer(t *testing.T, cfg *tls.Config) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handled := &atomic.Int64{}
	s := pwtransport.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }), cfg)
	go func() { _ = pwtransport.Serve(s, l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String(), handled
}

func sendGet(t *testing.T, c *http.Client, url string) error {
	t.Helper()
	defer c.CloseIdleConnections()
	resp, err := c.Get(url)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// uncheckedClientConfig returns a configuration that presents one certificate and
// does not verify the server, as a client outside the system might do.
func uncheckedClientConfig(t *testing.T, a *pwfakeauthority.Authority, r pwfakeauthority.Request) *tls.Config {
	t.Helper()
	p, err := a.Issue(r)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{
		InsecureSkipVerify: true,
		// The client sends the certificate even if the server asks for one of
		// another authority.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil },
	}
}

// TestPeerServerAcceptsOnlyListedRoles guards against connections to a listener
// for peers from anything but a process of a listed role. The last case checks
// that such a process is accepted.
func TestPeerServerAcceptsOnlyListedRoles(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	w := newCertWatcher(t, writeTLSFiles(t, t.TempDir(), ca, roleRequest(pwsecurity.RoleAgent)))
	entry := roleRequest(pwsecurity.RoleEntry)
	expired, future, serverOnly := entry, entry, entry
	expired.NotAfter = time.Now().Add(-time.Minute)
	future.NotBefore = time.Now().Add(time.Hour)
	serverOnly.Usages = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	tls12 := uncheckedClientConfig(t, ca, entry)
	tls12.MaxVersion = tls.VersionTLS12
	for name, c := range map[string]struct {
		cfg       *tls.Config
		plainText bool
		accepted  bool
	}{
		"no certificate":          {cfg: &tls.Config{InsecureSkipVerify: true}},
		"another authority":       {cfg: uncheckedClientConfig(t, otherCA, entry)},
		"expired":                 {cfg: uncheckedClientConfig(t, ca, expired)},
		"not yet valid":           {cfg: uncheckedClientConfig(t, ca, future)},
		"role that is not listed": {cfg: uncheckedClientConfig(t, ca, roleRequest(pwsecurity.RoleAgent))},
		"no role":                 {cfg: uncheckedClientConfig(t, ca, pwfakeauthority.Request{})},
		"certificate of a server": {cfg: uncheckedClientConfig(t, ca, serverOnly)},
		"TLS 1.2":                 {cfg: tls12},
		"plain text HTTP/2":       {plainText: true},
		"entry":                   {cfg: uncheckedClientConfig(t, ca, entry), accepted: true},
	} {
		t.Run(name, func(t *testing.T) {
			addr, handled := startServer(t, w.PeerServerConfig(pwsecurity.RoleEntry))
			scheme := "https://"
			if c.plainText {
				scheme = "http://"
			}
			err := sendGet(t, pwtransport.NewClient(c.cfg), scheme+addr)
			if c.accepted != (err == nil) || c.accepted != (handled.Load() == 1) {
				t.Errorf("error %v, %d requests reached the handler", err, handled.Load())
			}
		})
	}
}

// TestTLSServerRefusesPlainText guards against plain-text HTTP/1.1 requests that
// reach the handler of a listener for callers or for peers.
func TestTLSServerRefusesPlainText(t *testing.T) {
	w := newCertWatcher(t, writeTLSFiles(t, t.TempDir(), newAuthority(t), roleRequest(pwsecurity.RoleEntry)))
	for name, cfg := range map[string]*tls.Config{
		"callers": w.ServerConfig(),
		"peers":   w.PeerServerConfig(pwsecurity.RoleEntry),
	} {
		addr, handled := startServer(t, cfg)
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		data, _ := io.ReadAll(conn)
		_ = conn.Close()
		if handled.Load() != 0 || strings.Contains(string(data), "200 OK") {
			t.Errorf("%s: answer %q", name, data)
		}
	}
}

// TestPeerClientConnectsOnlyToListedRoles guards against connections to a server
// that is not a process of the system or has another role.
func TestPeerClientConnectsOnlyToListedRoles(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	w := newCertWatcher(t, writeTLSFiles(t, t.TempDir(), ca, roleRequest(pwsecurity.RoleEntry)))
	agent := roleRequest(pwsecurity.RoleAgent)
	expired, clientOnly := agent, agent
	expired.NotAfter = time.Now().Add(-time.Minute)
	clientOnly.Usages = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	for name, c := range map[string]struct {
		ca       *pwfakeauthority.Authority
		req      pwfakeauthority.Request
		accepted bool
	}{
		"another authority":       {ca: otherCA, req: agent},
		"expired":                 {ca: ca, req: expired},
		"role that is not listed": {ca: ca, req: roleRequest(pwsecurity.RoleEntry)},
		"certificate of a client": {ca: ca, req: clientOnly},
		"agent":                   {ca: ca, req: agent, accepted: true},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := c.ca.Issue(c.req)
			if err != nil {
				t.Fatal(err)
			}
			pair, err := tls.X509KeyPair(p.Certificate, p.Key)
			if err != nil {
				t.Fatal(err)
			}
			addr, handled := startServer(t, &tls.Config{
				Certificates: []tls.Certificate{pair},
			})
			err = sendGet(t, pwtransport.NewClient(w.PeerClientConfig(pwsecurity.RoleAgent)), "https://"+addr)
			if c.accepted != (err == nil) || c.accepted != (handled.Load() == 1) {
				t.Errorf("error %v, %d requests reached the server", err, handled.Load())
			}
		})
	}
	addr, handled := startServer(t, nil)
	if err := sendGet(t, pwtransport.NewClient(w.PeerClientConfig(pwsecurity.RoleAgent)), "https://"+addr); err == nil || handled.Load() != 0 {
		t.Errorf("a server without TLS was used: %v", err)
	}
}

// TestRunReloadsChangedFiles guards against new files that take effect only after
// a restart, against an outage caused by an unusable set of files, and against an
// authority that stays trusted after its removal.
func TestRunReloadsChangedFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		ca, nextCA := newAuthority(t), newAuthority(t)
		entry := roleRequest(pwsecurity.RoleEntry)
		f := writeTLSFiles(t, dir, ca, entry)
		log := &bytes.Buffer{}
		w, err := pwsecurity.NewCertWatcher(f, pwobserve.New(log, "a", "hakata"))
		if err != nil {
			t.Fatal(err)
		}
		firstExpiry := w.Expiry()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		waitForPoll := func() {
			time.Sleep(2 * f.PollInterval())
			synctest.Wait()
		}
		for _, unusable := range []string{"", "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"} {
			for _, name := range []string{f.CertificateFile, f.KeyFile, f.CAFile} {
				good, _ := os.ReadFile(name)
				_ = os.WriteFile(name, []byte(unusable), 0o600)
				waitForPoll()
				if !w.Expiry().Equal(firstExpiry) || handshake(w, w) != nil {
					t.Fatalf("unusable %s took effect", name)
				}
				_ = os.WriteFile(name, good, 0o600)
			}
		}
		_ = os.Remove(f.KeyFile)
		waitForPoll()
		expired := entry
		expired.NotAfter = time.Now().Add(-time.Minute)
		_ = writeTLSFiles(t, dir, ca, expired)
		waitForPoll()
		if !w.Expiry().Equal(firstExpiry) {
			t.Fatal("an expired certificate replaced a valid one")
		}
		oldPeer := newCertWatcher(t, writeTLSFiles(t, t.TempDir(), ca, entry))
		newPeer := newCertWatcher(t, writeTLSFiles(t, t.TempDir(), nextCA, entry))
		if handshake(w, oldPeer) != nil || handshake(w, newPeer) == nil {
			t.Fatal("before the authority changes, only the peer of the old one must be accepted")
		}
		// Certificate times have whole seconds, so the new expiry must differ by at
		// least one second.
		later := entry
		later.NotAfter = time.Now().Add(time.Hour)
		_ = writeTLSFiles(t, dir, nextCA, later)
		waitForPoll()
		if w.Expiry().Equal(firstExpiry) || handshake(w, newPeer) != nil {
			t.Fatal("a new certificate and authority did not take effect")
		}
		if handshake(w, oldPeer) == nil || handshake(oldPeer, w) == nil {
			t.Fatal("a removed authority is still trusted")
		}
		cancel()
		synctest.Wait()
		// One warning for each unusable, missing or expired file, however often the
		// files are polled.
		if n := strings.Count(log.String(), "stay in force"); n != 8 {
			t.Errorf("%d warnings for 8 unusable sets", n)
		}
	})
}

// TestRemovedAuthorityIsNotTrustedBesideUnusableKey guards against an authority that stays
// trusted after its removal, because another file of the set cannot be used.
func TestRemovedAuthorityIsNotTrustedBesideUnusableKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca, nextCA := newAuthority(t), newAuthority(t)
		entry := roleRequest(pwsecurity.RoleEntry)
		f := writeTLSFiles(t, t.TempDir(), ca, entry)
		w, err := pwsecurity.NewCertWatcher(f, pwobserve.Discard())
		if err != nil {
			t.Fatal(err)
		}
		expiry := w.Expiry()
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		waitForPoll := func() {
			time.Sleep(2 * f.PollInterval())
			synctest.Wait()
		}
		oldPeer := newCertWatcher(t, writeTLSFiles(t, t.TempDir(), ca, entry))
		next := writeTLSFiles(t, t.TempDir(), nextCA, entry)
		newPeer := newCertWatcher(t, next)
		authorities, err := os.ReadFile(next.CAFile)
		if err != nil {
			t.Fatal(err)
		}
		for name, data := range map[string][]byte{
			f.CAFile:  authorities,
			f.KeyFile: []byte("unusable"),
		} {
			if err := os.WriteFile(name, data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		waitForPoll()
		if handshake(w, oldPeer) == nil || !w.Expiry().Equal(expiry) {
			t.Error("the removed authority is still trusted, or the certificate has changed")
		}
		if err := verifiesPeer(w, newPeer); err != nil {
			t.Errorf("the new authority is not trusted: %v", err)
		}
		_ = writeTLSFiles(t, filepath.Dir(f.CAFile), nextCA, entry)
		waitForPoll()
		if err := handshake(w, newPeer); err != nil {
			t.Errorf("a usable set after the unusable one did not take effect: %v", err)
		}
		cancel()
		synctest.Wait()
	})
}

// verifiesPeer returns an error if the server does not accept the certificate of the client.
func verifiesPeer(server, client *pwsecurity.CertWatcher) error {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	go func() {
		cfg := client.PeerClientConfig(pwsecurity.RoleEntry)
		cfg.VerifyConnection = nil // the certificate of the server has no trusted authority any more
		c := tls.Client(b, cfg)
		_, _ = c.Read(make([]byte, 1))
	}()
	return tls.Server(a, server.PeerServerConfig(pwsecurity.RoleEntry)).Handshake()
}

// handshake connects two processes through a pipe and returns the first error of
// the client or else of the server.
func handshake(server, client *pwsecurity.CertWatcher) error {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	done := make(chan error, 1)
	s := tls.Server(a, server.PeerServerConfig(pwsecurity.RoleEntry))
	go func() {
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		if err != nil {
			_ = a.Close()
		}
		done <- err
	}()
	c := tls.Client(b, client.PeerClientConfig(pwsecurity.RoleEntry))
	_, err := c.Read(make([]byte, 1))
	if err != nil {
		_ = b.Close()
	}
	if serverErr := <-done; err == nil {
		err = serverErr
	}
	return err
}

// TestAuthenticateOperators guards against a credential that is accepted for
// another operator, in another form, or when it is not in the settings.
func TestAuthenticateOperators(t *testing.T) {
	salt := pwcredential.NewSalt()
	hash := func(c string) string {
		h, err := pwcredential.Hash(c, salt)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	const aikoCredential, renCredential = "first-credential-of-aiko", "second-credential-of-ren"
	ops := pwsecurity.NewOperatorAuthenticator([]pwsettings.Operator{
		{
			Name:        "aiko",
			Team:        "lantern-models",
			Credentials: []string{hash("older-credential-of-aiko"), hash(aikoCredential)},
		},
		{
			Name:        "ren",
			Team:        "operations",
			Credentials: []string{hash(renCredential)},
		},
	})
	for authorization, want := range map[string]string{
		"Bearer " + aikoCredential:       "aiko",
		"Bearer " + renCredential:        "ren",
		"Bearer " + aikoCredential + "x": "",
		"Bearer " + aikoCredential[:20]:  "",
		"Bearer " + hash(renCredential):  "",
		"bearer " + aikoCredential:       "",
		"Basic " + aikoCredential:        "",
		aikoCredential:                   "",
		"Bearer" + aikoCredential:        "",
		"":                               "",
	} {
		if a, ok := ops.Authenticate(authorization); a.Name != want || ok != (want != "") {
			t.Errorf("%q is authenticated as %q, %v", authorization, a.Name, ok)
		}
	}
}
