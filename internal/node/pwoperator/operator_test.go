package pwoperator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/danielgtaylor/huma/v2"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeoperator"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
)

// Processes use their gossip node as the replica.
var _ pwoperator.Replica = (*pwgossip.Node)(nil)

// TestScenarios runs the scenarios under testdata, each with an empty site and the
// fake clock of synctest.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &scenario{
				site: pwfakeoperator.New(),
			}
			datadriven.RunTest(t, path, s.run)
		})
	})
}

// TestOperationsDoNotCollideWithCallersAPI guards against operators' operations
// whose path or identifier is also used by the callers' API of an entry.
func TestOperationsDoNotCollideWithCallersAPI(t *testing.T) {
	api := pwentry.NewAPI(pwentry.New(pwentry.Config{}, pwentry.Deps{
		Observer: pwobserve.Discard(),
	}))
	pwoperator.Register(api.Huma(), pwoperator.Deps{})
	pathsByID := map[string]string{}
	operatorOperations := 0
	for path, item := range api.Huma().OpenAPI().Paths {
		for _, op := range []*huma.Operation{item.Get, item.Put, item.Post, item.Delete} {
			if op == nil {
				continue
			}
			if other, repeated := pathsByID[op.OperationID]; repeated {
				t.Errorf("%s and %s have operation identifier %s", path, other, op.OperationID)
			}
			pathsByID[op.OperationID] = path
			if strings.HasPrefix(path, pwoperator.PathPrefix) {
				operatorOperations++
			}
		}
	}
	if operatorOperations != 12 || len(pathsByID) <= operatorOperations {
		t.Errorf("%d of %d operations are for operators", operatorOperations, len(pathsByID))
	}
}

// scenario executes the directives of one file under testdata.
type scenario struct {
	site *pwfakeoperator.Site
}

// run executes one directive: GET, PUT or DELETE of a path, "race", which sends n
// PUTs concurrently and counts the status codes, or a command of the site for each
// line of the input.
func (s *scenario) run(t *testing.T, td *datadriven.TestData) string {
	operator, n := "aiko", 1
	td.MaybeScanArgs(t, "as", &operator)
	td.MaybeScanArgs(t, "n", &n)
	switch td.Cmd {
	case http.MethodGet, http.MethodPut, http.MethodDelete:
		status, body := s.sendRequest(t, td.Cmd, td.CmdArgs[0].String(), operator, expandDocument(t, td.Input))
		out := &bytes.Buffer{}
		if json.Indent(out, body, "", " ") != nil {
			return fmt.Sprintf("%d %s", status, body)
		}
		return fmt.Sprintf("%d %s", status, strings.TrimSpace(out.String()))
	case "race":
		s.site.Table.SetLatency(time.Millisecond)
		defer s.site.Table.SetLatency(0)
		counts := map[int]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range n {
			body := strings.ReplaceAll(expandDocument(t, td.Input), "proposal-N", fmt.Sprintf("proposal-%d", i))
			wg.Go(func() {
				status, _ := s.sendRequest(t, http.MethodPut, td.CmdArgs[0].String(), operator, body)
				mu.Lock()
				defer mu.Unlock()
				counts[status]++
			})
		}
		wg.Wait()
		return fmt.Sprint(counts)
	default:
		for line := range strings.Lines(td.Input + "\n") {
			if err := s.site.RunCommand(td.Cmd, line); err != nil {
				t.Fatal(err)
			}
		}
		return ""
	}
}

func (s *scenario) sendRequest(t *testing.T, method, path, operator, body string) (int, []byte) {
	req, err := http.NewRequestWithContext(t.Context(), method, "http://127.0.0.1"+pwoperator.PathPrefix+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if operator != "nobody" {
		req.Header.Set("Authorization", "Bearer "+pwfakeoperator.Credential(operator))
	}
	resp, err := s.site.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, data
}

// expandDocument replaces the value "@<example>" of "document" by the example
// document of that name, with the fields of "change" merged into it.
func expandDocument(t *testing.T, input string) string {
	var body map[string]any
	if json.Unmarshal([]byte(input), &body) != nil {
		return input
	}
	name, ok := body["document"].(string)
	if !ok || !strings.HasPrefix(name, "@") {
		return input
	}
	data, err := os.ReadFile("../../../examples/" + name[1:] + ".json")
	if err != nil {
		t.Fatal(err)
	}
	doc := map[string]any{}
	if err := json.Unmarshal(data, &doc); err != nil {
		t.Fatal(err)
	}
	if change, ok := body["change"].(map[string]any); ok {
		for k, v := range change {
			doc[k] = v
		}
		delete(body, "change")
	}
	body["document"] = doc
	out, _ := json.Marshal(body)
	return string(out)
}
