package pwroot_test

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwroot"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeoperator"
)

// TestScenarios runs the scripts under testdata. They guard against unnoticed changes
// of the output that people and scripts rely on, wrong exit codes, and errors that do
// not name the field and the next step.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		path, _ = filepath.Abs(path)
		withSite(t, func(s *shell) {
			datadriven.RunTest(t, path, s.directive)
		})
	})
}

// withSite runs a test with a fake site, under the fake clock of synctest, in a
// temporary directory with a copy of the examples.
func withSite(t *testing.T, run func(*shell)) {
	dir := t.TempDir()
	if err := os.CopyFS(filepath.Join(dir, "examples"), os.DirFS("../../../examples")); err != nil {
		t.Fatal(err)
	}
	t.Chdir(dir)
	for _, name := range []string{"ENTRY", "CREDENTIAL", "CA"} {
		t.Setenv("POMELOWEIR_"+name, "")
	}
	synctest.Test(t, func(t *testing.T) {
		s := &shell{
			t:     t,
			site:  pwfakeoperator.New(),
			entry: "http://127.0.0.1:8080",
		}
		s.site.ExamplesDir = "examples"
		run(s)
	})
}

// shell runs command lines against a site.
type shell struct {
	t      *testing.T
	site   *pwfakeoperator.Site
	lastID int
	input  string
	entry  string // value of POMELOWEIR_ENTRY
}

// directive runs one directive of a script: run, file, stdin, or a setup command of
// the site.
func (s *shell) directive(t *testing.T, td *datadriven.TestData) string {
	operator, base := "aiko", ""
	td.MaybeScanArgs(t, "as", &operator)
	td.MaybeScanArgs(t, "base", &base)
	switch td.Cmd {
	case "run":
		var out strings.Builder
		for line := range strings.Lines(td.Input + "\n") {
			out.WriteString("$ " + line + s.runLine(operator, strings.TrimSpace(line), td.HasArg("tty")))
		}
		return out.String()
	case "file":
		s.writeFile(td.CmdArgs[0].Key, base, td.Input)
	case "stdin":
		s.input = td.Input
	default:
		s.setup(td.Cmd, td.Input)
	}
	return ""
}

func (s *shell) setup(cmd, lines string) {
	for line := range strings.Lines(lines + "\n") {
		if err := s.site.RunCommand(cmd, line); err != nil {
			s.t.Fatal(err)
		}
	}
}

// writeFile writes a file. Its content is the example base, or the existing file if
// base is empty, with the fields of the JSON object change merged into it. If change is
// not a JSON object, it is written as it is.
func (s *shell) writeFile(name, base, change string) {
	if base == "" {
		base = name
	} else {
		base = filepath.Join("examples", base+".json")
	}
	doc := map[string]any{}
	if data, err := os.ReadFile(base); err == nil {
		_ = json.Unmarshal(data, &doc)
	}
	if err := json.Unmarshal([]byte(change), &doc); err != nil {
		_ = os.WriteFile(name, []byte(change), 0o600)
		return
	}
	data, _ := json.MarshalIndent(doc, "", "  ")
	if err := os.WriteFile(name, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// timestampSeconds matches the seconds of timestamps. They are replaced by 00, because
// the intervals of retries and polls are random.
var timestampSeconds = regexp.MustCompile(`(T\d\d:\d\d:)\d\dZ`)

// progressRedraw matches the control sequence that rewrites the progress line,
// emptyProgress a progress line that was erased.
var (
	progressRedraw = regexp.MustCompile(`\r\x1b\[K`)
	emptyProgress  = regexp.MustCompile(`\nprogress: \n`)
)

// runLine runs one line, "pomeloweir" and arguments, with an optional "> file" at the
// end. It returns the text of both streams, and the exit code unless it is 0.
func (s *shell) runLine(operator, line string, tty bool) string {
	line, file, redirected := strings.Cut(line, " > ")
	r := csv.NewReader(strings.NewReader(strings.TrimPrefix(line, "pomeloweir ")))
	r.Comma = ' '
	args, err := r.Read()
	if err != nil {
		s.t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	env := pwconsole.NewEnv(strings.NewReader(s.input), &out, &errOut)
	env.HTTP = s.site.Client()
	env.OutTerminal, env.ErrTerminal = tty && !redirected, tty
	env.NewID = func() string {
		s.lastID++
		return fmt.Sprintf("proposal-%d", s.lastID)
	}
	env.Getenv = func(string) string { return pwfakeoperator.Credential(operator) }
	s.t.Setenv("POMELOWEIR_ENTRY", s.entry)
	if operator == "nobody" {
		env.Getenv = func(string) string { return "" }
	}
	code := pwroot.Run(s.t.Context(), args, env)
	if redirected {
		if err := os.WriteFile(file, out.Bytes(), 0o600); err != nil {
			s.t.Fatal(err)
		}
		out.Reset()
	}
	return timestampSeconds.ReplaceAllString(out.String()+formatProgress(errOut.String()), "${1}00Z") + formatExitCode(code)
}

// formatProgress returns the error stream with each state of the progress line on a
// line of its own. Repeated states appear once, because the number of polls is random.
func formatProgress(text string) string {
	var states []string
	for _, l := range strings.Split(progressRedraw.ReplaceAllString(text, "\nprogress: "), "\n") {
		if len(states) == 0 || states[len(states)-1] != l {
			states = append(states, l)
		}
	}
	text = strings.Trim(emptyProgress.ReplaceAllString(strings.Join(states, "\n")+"\n", "\n"), "\n")
	if text == "" {
		return ""
	}
	return text + "\n"
}

func formatExitCode(code int) string {
	if code == 0 {
		return ""
	}
	return fmt.Sprintf("exit code %d\n", code)
}
