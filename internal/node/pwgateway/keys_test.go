package pwgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/pomeloweir/pomeloweir/platform"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
)

// mustParseConfig returns the catalog of a configuration as operators write it. Its
// routes are /book/, which needs a key if the configuration asks for keys, and the public
// route /open/. fields holds further fields of the configuration.
func mustParseConfig(t *testing.T, version int, fields string) *pwcatalog.Catalog {
	t.Helper()
	c, err := platform.ParseConfiguration(fmt.Appendf(nil, `{"version":%d,"services":[{"name":"desk"}],"routes":[
		{"name":"book","host":"h.example","prefix":"/book/","kind":"unsafe","service":"desk"},
		{"name":"open","host":"h.example","prefix":"/open/","kind":"unsafe","service":"desk","public":true}]%s}`, version, fields))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against gateways that run every request, and pass its key on, once the last key
// has been revoked (review/1, UNASKED).
func TestRevokedLastKeyAdmitsNobody(t *testing.T) {
	for name, tc := range map[string]struct {
		tenants string
		// status is the status of requests with a revoked or unknown key.
		status int
	}{
		"a tenant with a key":     {tenants: `,"tenants":[{"name":"ward-3","keys":["k2"]}]`, status: http.StatusUnauthorized},
		"tenants without keys":    {tenants: `,"tenants":[{"name":"ward-3","keys":[]},{"name":"ward-4"}]`, status: http.StatusUnauthorized},
		"a tenant with null keys": {tenants: `,"tenants":[{"name":"ward-3","keys":null}]`, status: http.StatusUnauthorized},
		"no tenant left":          {tenants: `,"tenants":[]`, status: http.StatusUnauthorized},
		"no tenants":              {tenants: ``, status: http.StatusOK},
		"null tenants":            {tenants: `,"tenants":null`, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, map[string]*backend{
					"desk-1": newBackend(respond(200, "", "booked")),
				})
				f.gateway.SetCatalog(mustParseConfig(t, 2, tc.tenants))
				for _, key := range []string{"Bearer k1", "Bearer never-a-key", "Bearer ", ""} {
					w, _ := f.sendRequest(t.Context(), "/book/1", "Authorization", key)
					requireStatus(t, w, tc.status)
				}
				received := f.backends["desk-1"].received()
				if tc.status != http.StatusOK && len(received) > 0 {
					t.Errorf("%d requests ran, want none", len(received))
				}
				if tc.status == http.StatusOK {
					return
				}
				w, _ := f.sendRequest(t.Context(), "/open/1", "Authorization", "Bearer k1")
				requireStatus(t, w, http.StatusOK)
				r := f.backends["desk-1"].received()[0]
				if got := r.Header.Get("Authorization"); got != "" {
					t.Errorf("the public route passes the key %q on", got)
				}
				if got := r.Header.Get("X-Tenant"); got != "" {
					t.Errorf("the request of nobody runs for %q", got)
				}
			})
		})
	}
}

// Guards against an empty key in the configuration that admits callers without a key.
func TestEmptyKeyAdmitsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, map[string]*backend{
			"desk-1": newBackend(respond(200, "", "booked")),
		})
		f.gateway.SetCatalog(mustParseConfig(t, 2, `,"tenants":[{"name":"ward-3","keys":["","k2"]}]`))
		for _, key := range []string{"", "Bearer ", "Bearer", "Basic k2"} {
			w, _ := f.sendRequest(t.Context(), "/book/1", "Authorization", key)
			requireStatus(t, w, http.StatusUnauthorized)
		}
		w, _ := f.sendRequest(t.Context(), "/book/1", "Authorization", "Bearer k2")
		requireStatus(t, w, http.StatusOK)
	})
}

// Guards against a version of the configuration that is passed over, with the keys that
// it takes away, because one of its fields cannot be read.
func TestUnreadableFieldLeavesRevocationsInForce(t *testing.T) {
	const (
		sound   = `"tenants":[{"name":"ward-3","keys":["k2"]}]`
		service = `{"name":"desk"}`
		route   = `{"name":"book","host":"h.example","prefix":"/book/","kind":"unsafe","service":"desk"}`
		other   = `{"name":"odd","host":"h.example","prefix":"/odd/","kind":"safe","service":"desk"`
	)
	for name, fields := range map[string]string{
		"weights with fractions":    `"routes":[` + route + `,` + other + `,"split":[{"service":"desk","weight":0.5}]}],"services":[` + service + `],` + sound,
		"text as a time-out":        `"routes":[` + other + `,"timeout-ms":"soon"},` + route + `],"services":[` + service + `],` + sound,
		"text as a number":          `"routes":[` + other + `,"attempts":"two"},` + route + `],"services":[` + service + `],` + sound,
		"number beyond its type":    `"routes":[` + other + `,"attempts":1e999},` + route + `],"services":[` + service + `],` + sound,
		"text among the routes":     `"routes":["odd",` + route + `],"services":[` + service + `],` + sound,
		"null among the routes":     `"routes":[null,` + route + `],"services":[` + service + `],` + sound,
		"engine with text as slots": `"routes":[` + route + `],"services":[` + service + `,{"name":"m","engine":{"slots":"16"}}],` + sound,
		"fractions in limits":       `"routes":[` + route + `],"services":[` + service + `],"limits":{"body-bytes":1048576.5},` + sound,
		"text in limits":            `"routes":[` + route + `],"services":[` + service + `],"limits":{"body-bytes":"1 MB"},` + sound,
		"list as limits":            `"routes":[` + route + `],"services":[` + service + `],"limits":[],` + sound,
		"fraction as a priority":    `"routes":[` + route + `],"services":[` + service + `],"tenants":[{"name":"ward-3","keys":["k2"],"priority":0.5}]`,
		"text as a priority":        `"routes":[` + route + `],"services":[` + service + `],"tenants":[{"name":"ward-4","keys":["k3"],"priority":"high"},{"name":"ward-3","keys":["k2"]}]`,
		"number among the keys":     `"routes":[` + route + `],"services":[` + service + `],"tenants":[{"name":"ward-3","keys":[7,"k2"]}]`,
		"text among the tenants":    `"routes":[` + route + `],"services":[` + service + `],"tenants":["ward-4",{"name":"ward-3","keys":["k2"]}]`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, map[string]*backend{
					"desk-1": newBackend(respond(200, "", "booked")),
				})
				c, err := platform.ParseConfiguration([]byte(`{"version":2,` + fields + `}`))
				if err != nil {
					t.Fatal(err)
				}
				f.gateway.SetCatalog(c)
				w, _ := f.sendRequest(t.Context(), "/book/1", "Authorization", "Bearer k1")
				if w.Code != http.StatusUnauthorized && w.Code != http.StatusServiceUnavailable {
					t.Errorf("the revoked key gets %d, want 401 or 503", w.Code)
				}
				if n := len(f.backends["desk-1"].received()); n > 0 {
					t.Errorf("%d requests with the revoked key ran", n)
				}
				w, _ = f.sendRequest(t.Context(), "/book/1", "Authorization", "Bearer k2")
				requireStatus(t, w, http.StatusOK)
			})
		})
	}
}

// Guards against a 404 or 401 for what an unreadable part of the configuration may allow.
func TestUnreadablePartsAreRefusedForNow(t *testing.T) {
	for name, tc := range map[string]struct{ fields, path, key string }{
		"route": {
			fields: `"routes":[{"name":"book","host":"h.example","prefix":"/book/","timeout-ms":"soon"}],"services":[{"name":"desk"}]`,
			path:   "/book/1",
		},
		"routes": {
			fields: `"routes":{},"services":[{"name":"desk"}]`,
			path:   "/book/1",
		},
		"tenants": {
			fields: `"routes":[{"name":"book","host":"h.example","prefix":"/book/","service":"desk"}],"services":[{"name":"desk"}],"tenants":{}`,
			path:   "/book/1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, map[string]*backend{
					"desk-1": newBackend(respond(200, "", "booked")),
				})
				c, err := platform.ParseConfiguration([]byte(`{"version":2,` + tc.fields + `}`))
				if err != nil {
					t.Fatal(err)
				}
				f.gateway.SetCatalog(c)
				w, _ := f.sendRequest(t.Context(), tc.path)
				requireStatus(t, w, http.StatusServiceUnavailable)
			})
		})
	}
}

// bodyFunc is a request body whose first read calls the function.
type bodyFunc func()

func (f bodyFunc) Read([]byte) (int, error) {
	f()
	return 0, io.EOF
}

// Guards against a request with a key that was revoked while its body was read.
func TestKeyIsCheckedAfterBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, map[string]*backend{
			"desk-1": newBackend(respond(200, "", "booked")),
		})
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/book/1", bodyFunc(func() {
			f.gateway.SetCatalog(mustParseConfig(t, 2, `,"tenants":[{"name":"ward-3","keys":["k2"]}]`))
		}))
		r.Host = "h.example"
		r.Header.Set("X-Attempt-Id", "a1")
		r.Header.Set("Authorization", "Bearer k1")
		w, _ := f.serve(r)
		requireStatus(t, w, http.StatusUnauthorized)
		if n := len(f.backends["desk-1"].received()); n > 0 {
			t.Errorf("%d requests with a revoked key ran", n)
		}
	})
}
