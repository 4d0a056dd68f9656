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

// TestScripts runs the platform's adapter against the stand-in of its store over
// HTTP; each script states in its first line the guarantee it guards.
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

// callTimeout bounds one call of a script.
const callTimeout = 2 * time.Second

func runScript(t *testing.T, store *pwfakeplatform.Store, server *pwfakeplatform.PipeServer, client *platform.StoreClient, d *datadriven.TestData) string {
	ctx := t.Context()
	var key, value, kind, wait, after string
	var expect uint64
	var n int
	for name, dest := range map[string]any{
		"key": &key, "value": &value, "kind": &kind, "time": &wait, "expect": &expect, "n": &n, "after": &after,
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
	pause, err := time.ParseDuration("0" + wait)
	if err != nil {
		t.Fatal(err)
	}
	switch d.Cmd {
	case "get":
		row, err := table.Get(ctx, key)
		return result(err, "%s=%s version=%d", row.Key, row.Value, row.Version)
	case "list":
		rows, err := table.List(ctx, key, after, n)
		keys := ""
		for _, row := range rows {
			keys += " " + row.Key
		}
		return result(err, "%d rows%s", len(rows), keys)
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
		return result(err, "version=%d", version)
	case "remove":
		_, err := table.Commit(ctx, pwtable.Write{
			Key:             key,
			ExpectedVersion: expect,
			Delete:          true,
		})
		return result(err, "ok")
	case "put":
		return result(objects.Put(ctx, key, []byte(value)), "ok")
	case "read":
		data, err := objects.Get(ctx, key)
		return result(err, "%s", data)
	case "delete":
		return result(objects.Delete(ctx, key), "ok")
	case "join":
		go instances.Run(ctx)
		time.Sleep(time.Second)
	case "leave":
		return result(instances.Deregister(ctx), "ok")
	case "instances":
		list, err := instances.Instances(ctx)
		s := ""
		for _, i := range list {
			s += string(i.ID)
		}
		return result(err, "[%s]", s)
	case "table-fault":
		store.Table.SetFault(pwfakeplatform.Fault(kind), n)
	case "object-fault":
		store.Objects.SetFault(pwfakeplatform.Fault(kind), n)
	case "store-fault":
		store.SetFault(pwfakeplatform.StoreFault(kind))
	case "latency":
		store.Table.SetLatency(pause)
	case "refuse-connections":
		server.RefuseConnections(value == "on")
	case "land":
		return fmt.Sprint("landed ", store.Table.ApplyDelayedCommits())
	case "late-delay":
		store.Table.SetCommitDelay(pause)
	case "pass":
		time.Sleep(pause)
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return "ok"
}

func result(err error, format string, args ...any) string {
	if err != nil {
		e := pwverdict.AsError(err)
		return fmt.Sprintf("%s %s retry_after=%s", e.Verdict(), e.Cause(), e.RetryAfter())
	}
	return fmt.Sprintf(format, args...)
}
