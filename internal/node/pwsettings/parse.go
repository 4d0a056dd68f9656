package pwsettings

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/invopop/jsonschema"
	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcredential"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwschema"
)

const rootName = "settings"

var reflectSchema = sync.OnceValue(func() *jsonschema.Schema {
	return pwschema.Reflect(&Settings{}, "pomeloweir settings of a process")
})

// Schema returns the JSON Schema of the settings, indented.
func Schema() []byte {
	data, err := json.MarshalIndent(reflectSchema(), "", "  ")
	if err != nil {
		panic(err) // The schema depends only on the types.
	}
	return append(data, '\n')
}

// Load reads a settings file, applies the overrides and checks the result.
// An empty path stands for an empty file, so that all fields may come from
// the overrides.
func Load(path string, o Overrides) (*Settings, error) {
	if path == "" {
		return Parse([]byte(`{"format_version": 1}`), o)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "settings file cannot be read")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "settings file %s cannot be read", path)
	}
	return Parse(data, o)
}

// Parse reads settings strictly, applies the overrides and fills in the
// defaults. The error wraps pwschema.Problems and lists everything that is
// wrong.
func Parse(data []byte, o Overrides) (*Settings, error) {
	c := &checker{
		Checker: pwschema.NewChecker(rootName, isSecret),
	}
	if len(data) > MaxFileBytes {
		c.AddProblem("", fmt.Sprintf("more than %d bytes", MaxFileBytes), "at most %d bytes", MaxFileBytes)
		return nil, c.Problems().Err(rootName)
	}
	tree, err := c.Decode(data)
	if err != nil {
		c.AddProblem("", err.Error(), "one JSON object")
		return nil, c.Problems().Err(rootName)
	}
	sources := o.applyTo(tree)
	tree = c.Check(reflectSchema(), "", tree)
	s := &Settings{}
	// Values of a wrong type were reported above and stay unset here, so that
	// the remaining checks still run.
	raw, err := json.Marshal(tree)
	if err == nil {
		err = json.Unmarshal(raw, s)
	}
	if err != nil && len(c.Problems()) == 0 {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "settings cannot be read")
	}
	c.checkMeaning(s)
	problems := lo.Map(c.Problems(), func(p pwschema.Problem, _ int) pwschema.Problem {
		if name, ok := sources[p.Path]; ok {
			p.Found += " (set by " + name + ")"
		}
		return p
	})
	if err := pwschema.Problems(problems).Err(rootName); err != nil {
		return nil, err
	}
	return s, nil
}

// Validate checks settings that were built in code. Unset fields count as their
// defaults.
func (s *Settings) Validate() error {
	raw, err := json.Marshal(s)
	if err != nil {
		return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "settings cannot be written")
	}
	_, err = Parse(raw, Overrides{})
	return err
}

// isSecret names the fields that may hold a credential in clear by mistake:
// hashed credentials, and the URLs, which may contain a password.
func isSecret(path string) bool {
	return strings.Contains(path, ".credentials[") || strings.HasSuffix(path, "url")
}

type checker struct {
	*pwschema.Checker
}

func (c *checker) checkMeaning(s *Settings) {
	if s.Entry == nil && s.Agent == nil {
		c.AddProblem("entry", "nothing", "an entry part, an agent part or both")
	}
	c.checkListen(s)
	c.checkTLS(s)
	c.checkAddress("platform.store_address", s.Platform.StoreAddress)
	for i, seed := range s.Seeds {
		c.checkPeer(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.CheckUnique("seeds", "", s.Seeds)
	c.checkOperators(s.Operators)
	if s.Agent != nil {
		c.checkAgent(s.Agent)
	}
}

const addressForm = "an IP address and a port, such as 10.0.0.7:8081 or [::1]:8081"

func (c *checker) checkAddress(path, v string) (netip.AddrPort, bool) {
	if v == "" {
		return netip.AddrPort{}, false // Reported by the schema.
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.AddProblem(path, pwschema.Describe(v), addressForm)
	}
	return a, err == nil
}

// checkPeer checks an address that other processes connect to.
func (c *checker) checkPeer(path, v string) {
	a, ok := c.checkAddress(path, v)
	if ok && (a.Addr().IsUnspecified() || a.Port() == 0) {
		c.AddProblem(path, pwschema.Describe(v), "an address and a port that others can connect to")
	}
}

func (c *checker) checkListen(s *Settings) {
	peers, ok := c.checkAddress("listen.peers", s.Listen.Peers)
	callers, okCallers := c.checkAddress("listen.callers", s.Listen.Callers)
	if ok && okCallers && s.Entry != nil && peers == callers && peers.Port() != 0 {
		c.AddProblem("listen.callers", pwschema.Describe(s.Listen.Callers), "an address other than that of listen.peers")
	}
	if s.Listen.Advertise != "" {
		c.checkPeer("listen.advertise", s.Listen.Advertise)
	} else if ok && peers.Addr().IsUnspecified() {
		c.AddProblem("listen.advertise", "nothing", "the IP address and port of this process, because listen.peers is %s", s.Listen.Peers)
	}
	if s.TLS.Enabled() {
		return
	}
	if ok && !peers.Addr().IsLoopback() {
		c.AddProblem("tls.certificate_file", "nothing", "a file, because listen.peers is not a loopback address")
	}
	if okCallers && s.Entry != nil && !callers.Addr().IsLoopback() {
		c.AddProblem("tls.certificate_file", "nothing", "a file, because listen.callers is not a loopback address")
	}
}

func (c *checker) checkTLS(s *Settings) {
	files := []struct{ path, v string }{
		{"tls.certificate_file", s.TLS.CertificateFile},
		{"tls.key_file", s.TLS.KeyFile},
		{"tls.ca_file", s.TLS.CAFile},
	}
	named := lo.CountBy(files, func(f struct{ path, v string }) bool { return f.v != "" })
	if named == 0 {
		return
	}
	for _, f := range files {
		if f.v == "" {
			c.AddProblem(f.path, "nothing", "a file; certificate, key and certificate authorities are used together")
		}
	}
}

func (c *checker) checkURL(path, v string) {
	if v == "" {
		return
	}
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.AddProblem(path, fmt.Sprintf("text of %d characters", len(v)), "an http or https URL without user, query and fragment")
	}
}

func (c *checker) checkOperators(list []Operator) {
	c.CheckUnique("operators", ".name", lo.Map(list, func(o Operator, _ int) string { return o.Name }))
	seen := map[pwcredential.ParsedHash]string{}
	salts := map[[pwcredential.SaltBytes]byte]bool{}
	for i, o := range list {
		for j, s := range o.Credentials {
			path := fmt.Sprintf("operators[%d].credentials[%d]", i, j)
			h, ok := pwcredential.Parse(s)
			if !ok {
				c.AddProblem(path, fmt.Sprintf("text of %d characters", len(s)), "%s", pwcredential.HashFormat)
				continue
			}
			if other, repeated := seen[h]; repeated {
				c.AddProblem(path, "a hash", "a hash other than that of %s", other)
			}
			seen[h] = path
			salts[h.Salt()] = true
		}
	}
	if len(salts) > pwdocument.MaxSalts {
		c.AddProblem("operators", fmt.Sprintf("credentials with %d salts", len(salts)), "at most %d salts", pwdocument.MaxSalts)
	}
}

var modelForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

func (c *checker) checkAgent(a *Agent) {
	c.checkURL("agent.url", a.URL)
	c.CheckUnique("agent.models", "", lo.Map(a.Models, func(m pwrequest.ModelID, _ int) string { return string(m) }))
	for i, m := range a.Models {
		if !modelForm.MatchString(string(m)) {
			c.AddProblem(fmt.Sprintf("agent.models[%d]", i), pwschema.Describe(string(m)), "text that matches %s", modelForm)
		}
	}
	switch {
	case a.Kind == pwdocument.KindModelEngines && len(a.Models) == 0:
		c.AddProblem("agent.models", "no items", "at least 1 item for this kind of service")
	case a.Kind == pwdocument.KindPlain && len(a.Models) > 0:
		c.AddProblem("agent.models", fmt.Sprintf("%d items", len(a.Models)), "no items for this kind of service")
	}
	c.CheckOrder("agent.initial_attempts", int64(a.InitialAttempts), "agent.max_attempts", int64(a.MaxAttempts))
	c.CheckOrder("agent.max_long", int64(a.MaxLong), "agent.max_attempts", int64(a.MaxAttempts))
}

// ProblemsOf returns the problems that an error of this package wraps.
func ProblemsOf(err error) pwschema.Problems {
	var p pwschema.Problems
	errors.As(err, &p)
	return slices.Clone(p)
}
