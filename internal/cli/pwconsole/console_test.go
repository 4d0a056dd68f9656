package pwconsole_test

import (
	"bytes"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwclient"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeauthority"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsecurity"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
)

// TestEntryCertificate guards against a credential that is sent to something
// that is not an entry.
func TestEntryCertificate(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	caFile := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(caFile, ca.PEM(), 0o600); err != nil {
		t.Fatal(err)
	}
	entry := []string{pwsecurity.RoleEntry.DNSName()}
	for name, c := range map[string]struct {
		authority *pwfakeauthority.Authority
		request   pwfakeauthority.Request
		plain     bool
		noCAFile  bool
		open      bool
	}{
		"entry":             {authority: ca, request: pwfakeauthority.Request{Names: entry}, open: true},
		"another authority": {authority: other, request: pwfakeauthority.Request{Names: entry}},
		"another role":      {authority: ca, request: pwfakeauthority.Request{Names: []string{pwsecurity.RoleAgent.DNSName()}}},
		"expired":           {authority: ca, request: pwfakeauthority.Request{Names: entry, NotAfter: time.Now().Add(-time.Minute)}},
		"without --ca-file": {authority: ca, request: pwfakeauthority.Request{Names: entry}, noCAFile: true},
		"plain text":        {plain: true},
	} {
		t.Run(name, func(t *testing.T) {
			var cfg *tls.Config
			if !c.plain {
				cfg = serverConfig(t, c.authority, c.request)
			}
			addr, reached := serve(t, cfg)
			env := pwconsole.NewEnv(nil, &bytes.Buffer{}, &bytes.Buffer{})
			env.Getenv = func(string) string { return "operator-credential" }
			flags := pwconsole.Flags{
				Entry:  "https://" + addr,
				CAFile: caFile,
			}
			if c.noCAFile {
				flags.CAFile = ""
			}
			client, err := env.Client(flags)
			if err != nil {
				t.Fatal(err)
			}
			_, err = pwclient.Get[struct{}](t.Context(), client, "/status", nil)
			if c.open != (err == nil) || c.open != (reached.Load() == 1) {
				t.Errorf("error %v, %d requests reached the server", err, reached.Load())
			}
		})
	}
}

// TestPlainTextElsewhere guards against a credential in plain text to another
// computer.
func TestPlainTextElsewhere(t *testing.T) {
	for entry, allowed := range map[string]bool{
		"http://127.0.0.1:8080":      true,
		"http://[::1]:8080":          true,
		"http://localhost:8080":      true,
		"https://10.0.0.1:8443":      true,
		"http://10.0.0.1:8080":       false,
		"http://localhost.example":   false,
		"http://127.0.0.1.example":   false,
		"https://user:pw@10.0.0.1":   false,
		"ftp://127.0.0.1":            false,
		"127.0.0.1:8080":             false,
		"http://127.0.0.1@evil.test": false,
	} {
		_, err := pwclient.New(pwclient.Config{
			Entry: entry,
			HTTP:  http.DefaultClient,
		})
		if allowed != (err == nil) {
			t.Errorf("%s: %v", entry, err)
		}
	}
}

func newAuthority(t *testing.T) *pwfakeauthority.Authority {
	t.Helper()
	a, err := pwfakeauthority.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func serverConfig(t *testing.T, a *pwfakeauthority.Authority, r pwfakeauthority.Request) *tls.Config {
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
		Certificates: []tls.Certificate{pair},
	}
}

func serve(t *testing.T, cfg *tls.Config) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reached := &atomic.Int64{}
	s := pwtransport.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		_, _ = w.Write([]byte("{}"))
	}), cfg)
	go func() { _ = pwtransport.Serve(s, l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String(), reached
}
