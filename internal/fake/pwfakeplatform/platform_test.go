package pwfakeplatform_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
	"github.com/pomeloweir/pomeloweir/platform"
)

// TestScripts runs scripts against the platform's adapter, which talks to the fake
// store over HTTP. The first line of each script states the guarantee it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			store := pwfakeplatform.NewStore()
			server := pwfakeplatform.NewPipeServer(store)
			defer server.Close()
			client := platform.NewStoreClientWithHTTP(server.Client())
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				return runScript(t, store, server, client, d)
			})
		})
	})
}

// callTimeout is the adapter's timeout for one call.
const callTimeout = 2 * time.Second

// runScript carries out one command of a script and returns its output.
func runScript(t *testing.T, store *pwfakeplatform.Store, server *pwfakeplatform.PipeServer, client *platform.StoreClient, d *datadriven.TestData) string {
	ctx := t.Context()
	var key, value, kind, durationText, after string
	var expect uint64
	var n int
	for name, dest := range map[string]any{
		"key": &key, "value": &value, "kind": &kind, "time": &durationText, "expect": &expect, "n": &n, "after": &after,
	} {
		d.MaybeScanArgs(t, name, dest)
	}
	table := platform.NewStateTable(client, callTimeout)
	objects := platform.NewObjectStore(client, callTimeout)
	instances := pwpeering.NewDirectory(platform.NewInstanceTable(client), pwinstance.Instance{
		ID:      pwrequest.InstanceID(value),
		Address: value + ":7000",
		Role:    pwinstance.RoleGateway,
	}, nil, pwobserve.Discard())
	duration, err := time.ParseDuration("0" + durationText)
	if err != nil {
		t.Fatal(err)
	}
	switch d.Cmd {
	case "get":
		row, err := table.Get(ctx, key)
		return formatResult(err, "%s=%s version=%d", row.Key, row.Value, row.Version)
	case "list":
		rows, err := table.List(ctx, key, after, n)
		keys := ""
		for _, row := range rows {
			keys += " " + row.Key
		}
		return formatResult(err, "%d rows%s", len(rows), keys)
	case "commit":
		data := []byte(value)
		if n > 0 {
			data = make([]byte, n)
		}
		version, err := table.Commit(ctx, pwtable.Write{
			Key:             key,
			Value:           data,
			ExpectedVersion: expect,
		})
		return formatResult(err, "version=%d", version)
	case "remove":
		_, err := table.Commit(ctx, pwtable.Write{
			Key:             key,
			ExpectedVersion: expect,
			Delete:          true,
		})
		return formatResult(err, "ok")
	case "put":
		return formatResult(objects.Put(ctx, key, []byte(value)), "ok")
	case "read":
		data, err := objects.Get(ctx, key)
		return formatResult(err, "%s", data)
	case "delete":
		return formatResult(objects.Delete(ctx, key), "ok")
	case "join":
		go instances.Run(ctx)
		time.Sleep(time.Second)
	case "leave":
		return formatResult(instances.Deregister(ctx), "ok")
	case "instances":
		list, err := instances.Instances(ctx)
		s := ""
		for _, i := range list {
			s += string(i.ID)
		}
		return formatResult(err, "[%s]", s)
	case "table-fault":
		store.Table.SetFault(pwfakeplatform.Fault(kind), n)
	case "object-fault":
		store.Objects.SetFault(pwfakeplatform.Fault(kind), n)
	case "store-fault":
		store.SetFault(pwfakeplatform.StoreFault(kind))
	case "latency":
		store.Table.SetLatency(duration)
	case "refuse-connections":
		server.RefuseConnections(value == "on")
	case "land":
		return fmt.Sprint("landed ", store.Table.ApplyDelayedCommits())
	case "late-delay":
		store.Table.SetCommitDelay(duration)
	case "pass":
		time.Sleep(duration)
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return "ok"
}

// formatResult formats the output of a command, or the verdict and cause of its error.
func formatResult(err error, format string, args ...any) string {
	if err != nil {
		e := pwverdict.AsError(err)
		return fmt.Sprintf("%s %s retry_after=%s", e.Verdict(), e.Cause(), e.RetryAfter())
	}
	return fmt.Sprintf(format, args...)
}
