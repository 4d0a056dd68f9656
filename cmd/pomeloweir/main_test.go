package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

const (
	entrySettings = `{"format_version":1,"instance":"entry-1","data_centre":"hakata","entry":{},
		"listen":{"callers":"127.0.0.1:0","peers":"127.0.0.1:0","advertise":"127.0.0.1:1"}}`
	agentSettings = `{"format_version":1,"instance":"agent-1","data_centre":"hakata",
		"listen":{"peers":"127.0.0.1:0","advertise":"127.0.0.1:1"},
		"agent":{"backend_server":"s","service":"lantern","kind":"plain","url":"http://127.0.0.1:1"}}`
)

// testProcess is a process of the built program that reads a pipe as its only file.
type testProcess struct {
	cmd    *exec.Cmd
	file   *os.File
	errOut io.ReadCloser
}

// buildBinary builds the program and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "pomeloweir")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// startProcess starts a command and returns when it has opened its file, so that it is
// certain to run but not to serve yet.
func startProcess(t *testing.T, binary string, args ...string) *testProcess {
	t.Helper()
	pipe := filepath.Join(t.TempDir(), "file")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &testProcess{
		cmd: exec.CommandContext(t.Context(), binary, append(slices.Clip(args), pipe)...),
	}
	var err error
	if p.errOut, err = p.cmd.StderrPipe(); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if p.file, err = os.OpenFile(pipe, os.O_WRONLY, 0); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *testProcess) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// write passes the content of the file to the process.
func (p *testProcess) write(content string) {
	// Writing fails if the process has ended, which wait reports.
	_, _ = p.file.WriteString(content)
	_ = p.file.Close()
}

// wait returns how the process has ended, with what it wrote to standard error.
func (p *testProcess) wait(t *testing.T) (state, errOut string) {
	t.Helper()
	out, err := io.ReadAll(p.errOut)
	if err != nil {
		t.Fatal(err)
	}
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.String(), string(out)
}

// Guards against server processes that cut all their requests when they are told to reload,
// also before they serve, and against other commands that outlive their terminal.
func TestHangUpEndsNoServer(t *testing.T) {
	binary := buildBinary(t)
	for name, tc := range map[string]struct {
		args  []string
		ended bool
	}{
		"gateway": {args: []string{"gateway", "--check", "--settings"}},
		"entry":   {args: []string{"entry", "--check", "--settings"}},
		"agent":   {args: []string{"agent", "--check", "--settings"}},
		"command": {args: []string{"service", "validate"}, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, binary, tc.args...)
			p.signal(t, syscall.SIGHUP)
			if !tc.ended {
				p.write("{}")
			}
			if state, out := p.wait(t); (state == "signal: hangup") != tc.ended {
				t.Errorf("process ended with %s: %s", state, out)
			}
		})
	}
}

// Guards against an entry or an agent that ends when it is told to reload or told to stop
// twice, and against a failure when it is told to stop before it serves.
func TestSignalsOfRunningServer(t *testing.T) {
	binary := buildBinary(t)
	for name, settings := range map[string]string{"entry": entrySettings, "agent": agentSettings} {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, binary, name, "--settings")
			p.write(settings)
			lines := bufio.NewScanner(p.errOut)
			for lines.Scan() && !strings.Contains(lines.Text(), `"listening"`) {
				if !json.Valid(lines.Bytes()) {
					t.Fatal(lines.Text())
				}
			}
			p.signal(t, syscall.SIGHUP)
			p.signal(t, syscall.SIGTERM)
			p.signal(t, syscall.SIGTERM)
			if state, out := p.wait(t); state != "exit status 0" {
				t.Errorf("process ended with %s: %s", state, out)
			}
		})
		t.Run(name+", stopped while it starts", func(t *testing.T) {
			p := startProcess(t, binary, name, "--settings")
			p.signal(t, syscall.SIGTERM)
			p.write(settings)
			if state, out := p.wait(t); state != "exit status 0" {
				t.Errorf("process ended with %s: %s", state, out)
			}
		})
	}
}
