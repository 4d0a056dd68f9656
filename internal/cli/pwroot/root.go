// Package pwroot parses the command line, runs the chosen command and maps its error
// to an exit code.
//
// # Usage
//
//	os.Exit(pwroot.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package pwroot

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"slices"

	"github.com/alecthomas/kong"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwbackendserver"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwcapacity"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwcredential"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwdaemon"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwdatacentre"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwdemo"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwgatewaycommand"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwplatform"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwservice"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwstatus"
)

// commands is the grammar of the command line. Kong derives the names of the commands
// from the names of the fields.
type commands struct {
	Service       pwservice.Command        `cmd:"" aliases:"svc" help:"Service documents."`
	DataCentre    pwdatacentre.Command     `cmd:"" aliases:"dc" help:"Data centres: take out of service, bring back, list."`
	BackendServer pwbackendserver.Command  `cmd:"" aliases:"server" help:"Backend servers: take out of service, bring back, list."`
	Request       pwrequest.Command        `cmd:"" aliases:"req" help:"Requests of any workspace: view, cancel."`
	Status        pwstatus.Options         `cmd:"" aliases:"st" help:"Show what is specified beside what is observed, and why they differ."`
	Settings      pwsettings.Command       `cmd:"" help:"Settings of a process."`
	Credential    pwcredential.Command     `cmd:"" help:"Hashed credentials for documents and settings."`
	Entry         pwdaemon.EntryOptions    `cmd:"" help:"Run an entry: the process that callers and operators talk to."`
	Agent         pwdaemon.AgentOptions    `cmd:"" help:"Run an agent: the process beside one backend server."`
	Gateway       pwgatewaycommand.Options `cmd:"" help:"Run a gateway: serve callers on the users' platform."`
	Platform      pwplatform.Command       `cmd:"" help:"The users' platform: status of its store, checks of configurations."`
	Demo          demoCommand              `cmd:"" help:"Run a whole deployment in one process on loopback and measure it."`
	Capacity      pwcapacity.Options       `cmd:"" help:"Measure the costs of the parts and project the large size."`
	Version       versionCommand           `cmd:"" help:"Print the version."`
}

type demoCommand struct {
	pwdemo.Options
}

// Run runs the demo on the streams of env.
func (c *demoCommand) Run(ctx context.Context, env *pwconsole.Env) error {
	opts := pwdemo.NewOptions(env.Out, env.Err)
	opts.Serve, opts.Logs, opts.Seed = c.Serve, c.Logs, c.Seed
	return pwdemo.Run(ctx, opts)
}

type versionCommand struct{}

// Run prints the version of the build.
func (c *versionCommand) Run(env *pwconsole.Env) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	_, err := fmt.Fprintf(env.Out, "pomeloweir %s\n", version)
	return err
}

// serverCommands are the commands that serve requests until they are stopped.
var serverCommands = []string{"gateway", "entry", "agent", "demo"}

// RunsServer reports whether the command of a command line serves requests.
func RunsServer(args []string) bool {
	return len(args) > 0 && slices.Contains(serverCommands, args[0])
}

// Main runs a command line with the given streams and returns the exit code.
func Main(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	return Run(ctx, args, pwconsole.NewEnv(in, out, errOut))
}

// Run is Main with an environment, which tests replace.
func Run(ctx context.Context, args []string, env *pwconsole.Env) int {
	// Parse continues after kong has printed the help and called Exit, so the exit
	// code is recorded here and returned after the parse.
	exitRequested, exitCode := false, pwconsole.ExitOK
	var cmds commands
	parser, err := kong.New(&cmds,
		kong.Name("pomeloweir"),
		kong.Description("A serving layer between callers and rented model backend servers.\n\n"+pwconsole.ExitHelp),
		kong.Writers(env.Out, env.Err),
		kong.Exit(func(code int) { exitRequested, exitCode = true, code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(env),
	)
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return pwconsole.ExitUsage
	}
	kongCtx, err := parser.Parse(args)
	if exitRequested {
		return exitCode
	}
	if err != nil {
		fmt.Fprintf(env.Err, "pomeloweir: %v\nRun \"pomeloweir --help\" for the commands, or add --help to one of them.\n", err)
		return pwconsole.ExitUsage
	}
	if err := kongCtx.Run(); err != nil {
		env.PrintError(err)
		return pwconsole.ExitCode(err)
	}
	return pwconsole.ExitOK
}
