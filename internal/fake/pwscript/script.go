// Package pwscript runs scripted scenarios of state machines with datadriven.
// A block of a script has the directive "run" and one command in each line:
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

// Handler runs one command and returns its results.
type Handler func(*Command) []string

// Command is one line of a script, for one of its names.
type Command struct {
	t    testing.TB
	line string
	data datadriven.TestData
	name string
	used map[string]bool
}

// Walk runs all scripts in a directory, each with its own handler.
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
					c.write(&out, handle(c))
				}
			}
			return out.String()
		})
	})
}

func parse(t *testing.T, pos, line string) []*Command {
	c := Command{
		t:    t,
		line: line,
		used: map[string]bool{},
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

// write prints no result, one on the same line, or several on lines of their
// own. An argument that the handler did not ask for fails the test.
func (c *Command) write(out *strings.Builder, results []string) {
	for _, arg := range c.data.CmdArgs {
		if len(arg.Vals) > 0 && !c.used[arg.Key] {
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

// Name returns the name that the command is run for, or "".
func (c *Command) Name() string { return c.name }

// Keys returns the arguments that have a value.
func (c *Command) Keys() []string {
	var out []string
	for _, arg := range c.data.CmdArgs {
		if len(arg.Vals) > 0 {
			out = append(out, arg.Key)
		}
	}
	return out
}

// HasArg reports whether an argument has a value.
func (c *Command) HasArg(key string) bool { return c.data.HasArg(key) }

// Int returns an integer argument, or fallback.
func (c *Command) Int(key string, fallback int64) int64 { return scan(c, key, fallback) }

// Uint returns an unsigned argument, or fallback.
func (c *Command) Uint(key string, fallback uint64) uint64 { return scan(c, key, fallback) }

// Ints returns an argument with several integers in parentheses, or nil.
func (c *Command) Ints(key string) []int64 { return scan[[]int64](c, key, nil) }

// Bool returns a truth value, or fallback.
func (c *Command) Bool(key string, fallback bool) bool { return scan(c, key, fallback) }

// Text returns an argument as it is, or fallback.
func (c *Command) Text(key, fallback string) string { return scan(c, key, fallback) }

// Duration returns a duration such as 1m30s, or fallback.
func (c *Command) Duration(key string, fallback time.Duration) time.Duration {
	return scan(c, key, fallback)
}

// Fatalf fails the test and names the line.
func (c *Command) Fatalf(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("%s: %s: %s", c.data.Pos, c.line, fmt.Sprintf(format, args...))
}

func scan[T any](c *Command, key string, fallback T) T {
	c.used[key] = true
	v := fallback
	c.data.MaybeScanArgs(c.t, key, &v)
	return v
}
