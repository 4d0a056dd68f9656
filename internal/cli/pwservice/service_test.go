package pwservice_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwservice"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeoperator"
)

// FuzzApply guards against a panic on any document, documents that only one of the checks
// of the command and the entry accepts, and a credential in an error message.
func FuzzApply(f *testing.F) {
	for _, name := range []string{"collective/lantern", "cooperativa/ledger"} {
		data, err := os.ReadFile("../../../examples/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	const secret = "secret-credential-in-clear"
	f.Add([]byte(`{"workspaces":[{"id":"a","credentials":["` + secret + `"]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		site := pwfakeoperator.New()
		run := func(command func(*pwconsole.Env) error) (code int, errors string) {
			var out, errOut bytes.Buffer
			env := pwconsole.NewEnv(bytes.NewReader(data), &out, &errOut)
			env.HTTP = site.Client()
			env.NewID = func() string { return "proposal-1" }
			env.Getenv = func(string) string { return pwfakeoperator.Credential("aiko") }
			if err := command(env); err != nil {
				env.PrintError(err)
				code = pwconsole.ExitCode(err)
			}
			return code, errOut.String()
		}
		validate := pwservice.ValidateOptions{File: "-"}
		apply := pwservice.ApplyOptions{
			EntryFlags: pwconsole.EntryFlags{
				Entry:   "http://127.0.0.1:8080",
				Timeout: time.Minute,
			},
			File: "-",
		}
		validateCode, validateErrors := run(func(env *pwconsole.Env) error { return validate.Run(t.Context(), env) })
		applyCode, applyErrors := run(func(env *pwconsole.Env) error { return apply.Run(t.Context(), env) })
		reads, writes := site.Table.Counts()
		switch {
		case validateCode != pwconsole.ExitOK && (reads > 0 || writes > 0 || validateErrors != applyErrors):
			t.Fatalf("invalid document was sent: %q, %q", validateErrors, applyErrors)
		case validateCode == pwconsole.ExitOK && applyCode != pwconsole.ExitOK && !strings.Contains(applyErrors, "is owned by team"):
			t.Fatalf("valid document was refused: %q", applyErrors)
		}
		for line := range strings.Lines(validateErrors + applyErrors) {
			if strings.Contains(line, ".credentials[") && strings.Contains(line, secret) {
				t.Fatalf("credential in a message: %q", line)
			}
		}
	})
}
