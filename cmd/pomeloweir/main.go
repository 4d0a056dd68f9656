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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := pwroot.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
