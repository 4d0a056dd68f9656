// Package pwscript runs scripted tests of state machines on top of package
// datadriven. A block of a script has the directive "run" and one command per line:
//
//	run
//	admit a1 a2 tokens=1000
//	wait d=5s
//	----
//	admit a1: ok
//	admit a2: ok
//	wait
//
// A command with several names is run once for each of them.
//
// # Usage
//
//	pwscript.Walk(t, "testdata/scripts", func() pwscript.Handler {
//		m := newMachine()
//		return func(c *pwscript.Command) []string {
//			return m.do(c.Verb(), c.Name(), c.Int("tokens", 0))
//		}
//	})
package pwscript

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Handler runs one command and returns the lines of its result.
type Handler func(*Command) []string

// Command is one line of a script, applied to one of the names in it.
type Command struct {
	t        testing.TB
	line     string
	data     datadriven.TestData
	name     string
	readKeys map[string]bool // arguments that the handler has read
}

// Walk runs all scripts in a directory as subtests, each with its own handler.
func Walk(t *testing.T, dir string, newHandler func() Handler) {
	datadriven.Walk(t, dir, func(t *testing.T, path string) {
		handle := newHandler()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "run" {
				t.Fatalf("%s: directive must be run, found %q", d.Pos, d.Cmd)
			}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				for _, c := range parse(t, d.Pos, strings.TrimSpace(line)) {
					c.writeResults(&out, handle(c))
				}
			}
			return out.String()
		})
	})
}

// parse returns a command for each name in the line, or one without a name.
func parse(t *testing.T, pos, line string) []*Command {
	c := Command{
		t:        t,
		line:     line,
		readKeys: map[string]bool{},
	}
	var err error
	c.data.Pos = pos
	if c.data.Cmd, c.data.CmdArgs, err = datadriven.ParseLine(line); err != nil {
		t.Fatalf("%s: %s: %v", pos, line, err)
	}
	var out []*Command
	for _, arg := range c.data.CmdArgs {
		if len(arg.Vals) == 0 {
			named := c
			named.name = arg.Key
			out = append(out, &named)
		}
	}
	if len(out) == 0 {
		out = append(out, &c)
	}
	return out
}

// writeResults writes the command and its results: a single one on the same line,
// several on lines of their own. It fails the test if the command has an argument
// that the handler did not read.
func (c *Command) writeResults(out *strings.Builder, results []string) {
	for _, arg := range c.data.CmdArgs {
		if len(arg.Vals) > 0 && !c.readKeys[arg.Key] {
			c.Fatalf("unknown argument %q", arg.Key)
		}
	}
	out.WriteString(strings.TrimSpace(c.data.Cmd + " " + c.name))
	switch len(results) {
	case 0:
	case 1:
		out.WriteString(": " + results[0])
	default:
		out.WriteString("\n  " + strings.Join(results, "\n  "))
	}
	out.WriteString("\n")
}

// Verb returns the first word of the command.
func (c *Command) Verb() string { return c.data.Cmd }

// Name returns the name that the command applies to, or "".
func (c *Command) Name() string { return c.name }

// Keys returns the keys of the arguments that have a value.
func (c *Command) Keys() []string {
	var out []string
	for _, arg := range c.data.CmdArgs {
		if len(arg.Vals) > 0 {
			out = append(out, arg.Key)
		}
	}
	return out
}

// HasArg reports whether the command has an argument.
func (c *Command) HasArg(key string) bool { return c.data.HasArg(key) }

// Int returns an integer argument, or fallback if it is missing.
func (c *Command) Int(key string, fallback int64) int64 { return scanArg(c, key, fallback) }

// Uint returns an unsigned integer argument, or fallback if it is missing.
func (c *Command) Uint(key string, fallback uint64) uint64 { return scanArg(c, key, fallback) }

// Ints returns an argument that lists integers in parentheses, or nil if it is
// missing.
func (c *Command) Ints(key string) []int64 { return scanArg[[]int64](c, key, nil) }

// Bool returns a boolean argument, or fallback if it is missing.
func (c *Command) Bool(key string, fallback bool) bool { return scanArg(c, key, fallback) }

// Text returns a text argument, or fallback if it is missing.
func (c *Command) Text(key, fallback string) string { return scanArg(c, key, fallback) }

// Duration returns an argument such as 1m30s, or fallback if it is missing.
func (c *Command) Duration(key string, fallback time.Duration) time.Duration {
	return scanArg(c, key, fallback)
}

// Fatalf fails the test with a message that contains the position and the line of
// the command.
func (c *Command) Fatalf(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("%s: %s: %s", c.data.Pos, c.line, fmt.Sprintf(format, args...))
}

// scanArg returns an argument, or fallback if it is missing, and records that the
// handler has read it. A malformed value fails the test.
func scanArg[T any](c *Command, key string, fallback T) T {
	c.readKeys[key] = true
	v := fallback
	c.data.MaybeScanArgs(c.t, key, &v)
	return v
}
