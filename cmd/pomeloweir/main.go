// Command pomeloweir runs the processes of the serving layer and the commands of its
// operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwroot"
)

func main() {
	if pwroot.RunsServer(os.Args[1:]) {
		// A server that isn't ready to reload, or has nothing to reload, must not end. The
		// registration also outlasts that of the server, which ends with its loops.
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := pwroot.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
