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

func authority(t *testing.T) *pwfakeauthority.Authority {
	t.Helper()
	a, err := pwfakeauthority.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// files writes a certificate of the authority and returns the settings.
func files(t *testing.T, dir string, a *pwfakeauthority.Authority, r pwfakeauthority.Request) pwsettings.TLS {
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

func named(r pwsecurity.Role) pwfakeauthority.Request {
	return pwfakeauthority.Request{
		Names: []string{r.DNSName()},
	}
}

func keeper(t *testing.T, f pwsettings.TLS) *pwsecurity.CertWatcher {
	t.Helper()
	k, err := pwsecurity.NewCertWatcher(f, pwobserve.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// serve starts a server and returns its address and a count of the requests
// that reached its handler.
func serve(t *testing.T, cfg *tls.Config) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reached := &atomic.Int64{}
	s := pwtransport.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }), cfg)
	go func() { _ = pwtransport.Serve(s, l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String(), reached
}

func get(t *testing.T, c *http.Client, url string) error {
	t.Helper()
	defer c.CloseIdleConnections()
	resp, err := c.Get(url)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// clientConfig presents one certificate without any check of the server, as
// somebody outside the system would.
func clientConfig(t *testing.T, a *pwfakeauthority.Authority, r pwfakeauthority.Request) *tls.Config {
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
		// Sends the certificate even when the server asks for another authority.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil },
	}
}

// TestPeerServer guards against each way into a listener for peers that has
// to be shut; the last line of the table shows that the right one is open.
func TestPeerServer(t *testing.T) {
	ca, other := authority(t), authority(t)
	k := keeper(t, files(t, t.TempDir(), ca, named(pwsecurity.RoleAgent)))
	entry := named(pwsecurity.RoleEntry)
	expired, future, serverOnly := entry, entry, entry
	expired.NotAfter = time.Now().Add(-time.Minute)
	future.NotBefore = time.Now().Add(time.Hour)
	serverOnly.Usages = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	old := clientConfig(t, ca, entry)
	old.MaxVersion = tls.VersionTLS12
	for name, c := range map[string]struct {
		cfg  *tls.Config
		http bool
		open bool
	}{
		"no certificate":          {cfg: &tls.Config{InsecureSkipVerify: true}},
		"another authority":       {cfg: clientConfig(t, other, entry)},
		"expired":                 {cfg: clientConfig(t, ca, expired)},
		"not yet valid":           {cfg: clientConfig(t, ca, future)},
		"role that is not listed": {cfg: clientConfig(t, ca, named(pwsecurity.RoleAgent))},
		"no role":                 {cfg: clientConfig(t, ca, pwfakeauthority.Request{})},
		"certificate of a server": {cfg: clientConfig(t, ca, serverOnly)},
		"TLS 1.2":                 {cfg: old},
		"plain text HTTP/2":       {http: true},
		"entry":                   {cfg: clientConfig(t, ca, entry), open: true},
	} {
		t.Run(name, func(t *testing.T) {
			addr, reached := serve(t, k.PeerServerConfig(pwsecurity.RoleEntry))
			scheme := "https://"
			if c.http {
				scheme = "http://"
			}
			err := get(t, pwtransport.NewClient(c.cfg), scheme+addr)
			if c.open != (err == nil) || c.open != (reached.Load() == 1) {
				t.Errorf("error %v, %d requests reached the handler", err, reached.Load())
			}
		})
	}
}

// TestPlainTextOnTLS guards against a handler that is reached by HTTP/1.1 in
// plain text, for callers and for peers.
func TestPlainTextOnTLS(t *testing.T) {
	k := keeper(t, files(t, t.TempDir(), authority(t), named(pwsecurity.RoleEntry)))
	for name, cfg := range map[string]*tls.Config{
		"callers": k.ServerConfig(),
		"peers":   k.PeerServerConfig(pwsecurity.RoleEntry),
	} {
		addr, reached := serve(t, cfg)
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		data, _ := io.ReadAll(conn)
		_ = conn.Close()
		if reached.Load() != 0 || strings.Contains(string(data), "200 OK") {
			t.Errorf("%s: answer %q", name, data)
		}
	}
}

// TestPeerClient guards against a connection to a server that is not a
// process of the system or has another role.
func TestPeerClient(t *testing.T) {
	ca, other := authority(t), authority(t)
	k := keeper(t, files(t, t.TempDir(), ca, named(pwsecurity.RoleEntry)))
	agent := named(pwsecurity.RoleAgent)
	expired, clientOnly := agent, agent
	expired.NotAfter = time.Now().Add(-time.Minute)
	clientOnly.Usages = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	for name, c := range map[string]struct {
		ca   *pwfakeauthority.Authority
		req  pwfakeauthority.Request
		open bool
	}{
		"another authority":       {ca: other, req: agent},
		"expired":                 {ca: ca, req: expired},
		"role that is not listed": {ca: ca, req: named(pwsecurity.RoleEntry)},
		"certificate of a client": {ca: ca, req: clientOnly},
		"agent":                   {ca: ca, req: agent, open: true},
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
			addr, reached := serve(t, &tls.Config{
				Certificates: []tls.Certificate{pair},
			})
			err = get(t, pwtransport.NewClient(k.PeerClientConfig(pwsecurity.RoleAgent)), "https://"+addr)
			if c.open != (err == nil) || c.open != (reached.Load() == 1) {
				t.Errorf("error %v, %d requests reached the server", err, reached.Load())
			}
		})
	}
	addr, reached := serve(t, nil)
	if err := get(t, pwtransport.NewClient(k.PeerClientConfig(pwsecurity.RoleAgent)), "https://"+addr); err == nil || reached.Load() != 0 {
		t.Errorf("a server without TLS was used: %v", err)
	}
}

// TestReload guards against files that need a restart, against an outage when
// an unusable set is written, and against an authority that stays trusted
// after it was removed.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		ca, next := authority(t), authority(t)
		entry := named(pwsecurity.RoleEntry)
		f := files(t, dir, ca, entry)
		log := &bytes.Buffer{}
		k, err := pwsecurity.NewCertWatcher(f, pwobserve.New(log, "a", "hakata"))
		if err != nil {
			t.Fatal(err)
		}
		first := k.Expiry()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go k.Run(ctx)
		look := func() {
			time.Sleep(2 * f.PollInterval())
			synctest.Wait()
		}
		for _, unusable := range []string{"", "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"} {
			for _, name := range []string{f.CertificateFile, f.KeyFile, f.CAFile} {
				good, _ := os.ReadFile(name)
				_ = os.WriteFile(name, []byte(unusable), 0o600)
				look()
				if !k.Expiry().Equal(first) || handshake(k, k) != nil {
					t.Fatalf("unusable %s took effect", name)
				}
				_ = os.WriteFile(name, good, 0o600)
			}
		}
		_ = os.Remove(f.KeyFile)
		look()
		expired := entry
		expired.NotAfter = time.Now().Add(-time.Minute)
		_ = files(t, dir, ca, expired)
		look()
		if !k.Expiry().Equal(first) {
			t.Fatal("an expired certificate replaced a valid one")
		}
		oldPeer := keeper(t, files(t, t.TempDir(), ca, entry))
		newPeer := keeper(t, files(t, t.TempDir(), next, entry))
		if handshake(k, oldPeer) != nil || handshake(k, newPeer) == nil {
			t.Fatal("peers before the change of the authority")
		}
		// One second later, because certificates have times in whole seconds.
		later := entry
		later.NotAfter = time.Now().Add(time.Hour)
		_ = files(t, dir, next, later)
		look()
		if k.Expiry().Equal(first) || handshake(k, newPeer) != nil {
			t.Fatal("a new certificate and authority did not take effect")
		}
		if handshake(k, oldPeer) == nil || handshake(oldPeer, k) == nil {
			t.Fatal("a removed authority is still trusted")
		}
		cancel()
		synctest.Wait()
		// One for each unusable, missing or expired file, whatever the number of looks.
		if n := strings.Count(log.String(), "stay in force"); n != 8 {
			t.Errorf("%d warnings for 8 unusable sets", n)
		}
	})
}

// handshake connects two processes through a pipe.
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

// TestOperators guards against a credential that is accepted for another
// operator, in another form, or after it was taken out of the settings.
func TestOperators(t *testing.T) {
	salt := pwcredential.NewSalt()
	hash := func(c string) string {
		h, err := pwcredential.Hash(c, salt)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	const first, second = "first-credential-of-aiko", "second-credential-of-ren"
	ops := pwsecurity.NewOperatorAuthenticator([]pwsettings.Operator{
		{
			Name:        "aiko",
			Team:        "lantern-models",
			Credentials: []string{hash("older-credential-of-aiko"), hash(first)},
		},
		{
			Name:        "ren",
			Team:        "operations",
			Credentials: []string{hash(second)},
		},
	})
	for authorization, want := range map[string]string{
		"Bearer " + first:        "aiko",
		"Bearer " + second:       "ren",
		"Bearer " + first + "x":  "",
		"Bearer " + first[:20]:   "",
		"Bearer " + hash(second): "",
		"bearer " + first:        "",
		"Basic " + first:         "",
		first:                    "",
		"Bearer" + first:         "",
		"":                       "",
	} {
		if a, ok := ops.Authenticate(authorization); a.Name != want || ok != (want != "") {
			t.Errorf("%q is authenticated as %q, %v", authorization, a.Name, ok)
		}
	}
}
