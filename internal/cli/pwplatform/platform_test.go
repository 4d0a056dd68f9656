package pwplatform

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
)

const config = `{"version":7,"routes":[{"name":"r1","host":"h","prefix":"/a/","kind":"safe","service":"desk"}],
"services":[{"name":"desk"}],"tenants":[{"name":"w","keys":["k1"]}]}`

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newEnv(out *bytes.Buffer) *pwconsole.Env {
	return pwconsole.NewEnv(strings.NewReader(""), out, out)
}

func TestValidate(t *testing.T) {
	var out bytes.Buffer
	ok := ValidateOptions{
		File: writeConfig(t, config),
	}
	if err := ok.Run(newEnv(&out)); err != nil || !strings.Contains(out.String(), "version 7 with 1 routes is valid") {
		t.Errorf("%v: %s", err, &out)
	}
	for change, want := range map[string]string{
		`"/a/"`:          `prefix is "/a"`,
		`"service":"`:    "is not in the configuration",
		`{"name":"desk"`: "must be above 0",
		`{"version":7`:   "configuration:",
	} {
		bad := map[string]string{
			`"/a/"`:          `"/a"`,
			`"service":"`:    `"service":"no`,
			`{"name":"desk"`: `{"name":"desk","engine":{"slots":0}`,
			`{"version":7`:   `{"version":"seven"`,
		}[change]
		o := ValidateOptions{
			File: writeConfig(t, strings.Replace(config, change, bad, 1)),
		}
		if err := o.Run(newEnv(&out)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", change, err, want)
		}
	}
}

func TestDiff(t *testing.T) {
	var out bytes.Buffer
	newer := strings.NewReplacer(`"version":7`, `"version":9`, `"/a/"`, `"/b/"`, `"k1"`, `"k2","k3"`, `{"name":"desk"}`, `{"name":"desk"},{"name":"more"}`).Replace(config)
	o := DiffOptions{
		Old: writeConfig(t, config),
		New: writeConfig(t, newer),
	}
	if err := o.Run(newEnv(&out)); err != nil {
		t.Fatal(err)
	}
	want := "version 7 to 9\n- route r1 h/a/\n+ route r1 h/b/\n+ service more\nkeys: 2 added, 1 taken away\n"
	if out.String() != want {
		t.Errorf("%q, want %q", &out, want)
	}
	if strings.Contains(out.String(), "k2") {
		t.Error("a key is shown")
	}
}

func TestStatus(t *testing.T) {
	rows := map[string]map[string]string{
		"op": {
			"config":     config,
			"evacuate/a": "{}",
		},
		"servers": {
			"i-1": `{"service":"desk","address":"10.0.0.1:80","zone":"a","slots":6,"state":"ready","cold-remaining-ms":0}`,
			"i-2": `{"service":"desk","address":"10.0.0.2:80","zone":"a","slots":6,"state":"draining","cold-remaining-ms":0}`,
			"i-3": `{"service":"desk"}`,
		},
		"pomeloweir-instances": {
			"front-1": `{"id":"front-1","role":"gateway","address":"10.0.0.9:7000"}`,
		},
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var out []string
		for key, value := range rows[r.FormValue("table")] {
			out = append(out, fmt.Sprintf(`{"key":%q,"value":%q,"record-version":1}`, key, base64.StdEncoding.EncodeToString([]byte(value))))
		}
		fmt.Fprintf(w, `{"rows":[%s],"record-version":3}`, strings.Join(out, ","))
	}))
	defer srv.Close()
	var out bytes.Buffer
	o := StatusOptions{
		Store: strings.TrimPrefix(srv.URL, "http://"),
	}
	if err := o.Run(t.Context(), newEnv(&out)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"configuration version 7 with 1 routes", "data centres out of service: a", "gateways: front-1",
		"unreadable rows: servers/i-3", "desk\t1\t1\t0",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, &out)
		}
	}
	out.Reset()
	o.JSON = true
	var st Status
	if err := o.Run(t.Context(), newEnv(&out)); err != nil || json.Unmarshal(out.Bytes(), &st) != nil || st.Version != 7 || len(st.Services) != 1 {
		t.Errorf("%v: %s", err, &out)
	}
	srv.Close()
	if err := o.Run(t.Context(), newEnv(&out)); err == nil || !strings.Contains(err.Error(), "check --store") {
		t.Errorf("%v", err)
	}
}
