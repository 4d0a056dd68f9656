package pwroot_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
)

// hint is a comment that prepares the next commands: "setup: <command> <line>",
// "as: <operator>", or "file: <name> [base=<example>] <content>".
var hint = regexp.MustCompile(`^<!-- (setup|as|file): (.*) -->$`)

// TestOperationsPage guards against commands on the page that do not work or
// print something else. With -rewrite it writes the output into the page.
func TestOperationsPage(t *testing.T) {
	const page = "../../../docs/OPERATIONS.md"
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	path, _ := filepath.Abs(page)
	commands := 0
	inSite(t, func(s *shell) {
		time.Sleep(time.Until(time.Date(2026, time.December, 4, 17, 0, 0, 0, time.UTC)))
		got := s.page(string(data), &commands)
		if f := flag.Lookup("rewrite"); f != nil && f.Value.String() == "true" {
			if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
				t.Fatal(err)
			}
			return
		}
		want := strings.Split(string(data), "\n")
		for i, line := range strings.Split(got, "\n") {
			if i >= len(want) || line != want[i] {
				t.Fatalf("docs/OPERATIONS.md:%d: output is now %q; run this test with -rewrite after a check", i+1, line)
			}
		}
	})
	if commands < 20 {
		t.Errorf("only %d commands were found", commands)
	}
	for _, c := range pwoperator.ConditionCodes() {
		if !strings.Contains(string(data), "| `"+string(c)+"` |") {
			t.Errorf("condition %s is not explained", c)
		}
	}
}

// page runs the commands of a page and returns it with their output.
func (s *shell) page(text string, commands *int) string {
	var out []string
	as, block := "aiko", ""
	for _, line := range strings.Split(text, "\n") {
		switch {
		case strings.HasPrefix(line, "```"):
			block = strings.TrimPrefix(line, "```")
		case block == "console" && strings.HasPrefix(line, "$ "):
			*commands++
			out = append(append(out, line), s.command(as, strings.TrimPrefix(line, "$ "))...)
			continue
		case block == "console":
			continue // output of an earlier run
		case block == "json":
			s.logLine(line)
		case hint.MatchString(line):
			m := hint.FindStringSubmatch(line)
			as = s.hint(as, m[1], m[2])
		}
		out = append(out, line)
	}
	return strings.Join(out, "\n")
}

func (s *shell) command(as, line string) []string {
	if v, ok := strings.CutPrefix(line, "export POMELOWEIR_ENTRY="); ok {
		s.entry = v
		return nil
	}
	if !strings.HasPrefix(line, "pomeloweir ") {
		s.t.Fatalf("command %q cannot be run by the test", line)
	}
	text := strings.TrimSuffix(s.run(as, line, true), "\n")
	// The progress line is gone when a command has ended.
	lines := slices.DeleteFunc(strings.Split(text, "\n"), func(l string) bool { return strings.HasPrefix(l, "progress: ") })
	return slices.DeleteFunc(lines, func(l string) bool { return l == "" })
}

func (s *shell) hint(as, kind, rest string) string {
	name, content, _ := strings.Cut(rest, " ")
	switch kind {
	case "as":
		return rest
	case "setup":
		s.setup(name, content)
	case "file":
		base, found := strings.CutPrefix(content, "base=")
		if found {
			base, content, _ = strings.Cut(base, " ")
		} else {
			base = ""
		}
		s.write(name, base, content)
	}
	return as
}

// logLine checks that a log line on the page has the form that pwobserve writes.
func (s *shell) logLine(line string) {
	var w strings.Builder
	pwobserve.New(&w, "a", "b").LogDecision(pwobserve.Decision{
		Kind: "refuse",
	})
	var shown, written struct {
		Fields  map[string]string `json:"fields"`
		Message string            `json:"message"`
	}
	if err := json.Unmarshal([]byte(line), &shown); err != nil {
		s.t.Fatalf("log line: %v", err)
	}
	if err := json.Unmarshal([]byte(w.String()), &written); err != nil {
		s.t.Fatal(err)
	}
	if shown.Message != written.Message || shown.Fields["kind"] != written.Fields["kind"] {
		s.t.Errorf("log line on the page differs in form from %s", w.String())
	}
}

// TestGlossary guards against words that are missing, listed twice or out of
// order.
func TestGlossary(t *testing.T) {
	data, err := os.ReadFile("../../../docs/glossary.md")
	if err != nil {
		t.Fatal(err)
	}
	var words []string
	for line := range strings.Lines(string(data)) {
		if cells := strings.Split(line, "|"); len(cells) == 4 && !strings.Contains(cells[1], "---") {
			words = append(words, strings.TrimSpace(cells[1]))
		}
	}
	words = words[1:] // the header
	if !slices.IsSorted(words) || len(slices.Compact(slices.Clone(words))) != len(words) {
		t.Errorf("words are not sorted or not unique: %v", words)
	}
	for _, w := range []string{"instance", "data centre", "workspace", "backend server", "entry", "agent", "lease", "fencing token", "claim", "verdict"} {
		if !slices.Contains(words, w) {
			t.Errorf("%q is missing", w)
		}
	}
}
