package pwcapacity

import (
	"context"
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// newDocument returns a valid document of a model service with that many workspaces.
func newDocument(workspaces int) (*pwdocument.Document, error) {
	salt := pwdocument.NewSalt()
	doc := &pwdocument.Document{
		FormatVersion: pwdocument.FormatVersion,
		Name:          string(serviceName),
		Owner:         "lantern-models",
		Kind:          pwdocument.KindModelEngines,
		Models: []pwdocument.Model{{
			ID:            modelName,
			Versions:      []string{"1"},
			ActiveVersion: "1",
		}},
		Engine: pwdocument.Engine{
			ExportsKV: true,
		},
		Queue: pwdocument.Queue{
			MaxRequests: 20_000, // more than any measurement queues
		},
	}
	for i := range 8 {
		doc.DataCentres = append(doc.DataCentres, pwdocument.DataCentre{
			Name:           dataCentreName(i),
			BackendServers: 67,
		})
	}
	for i := range workspaces {
		h, err := pwdocument.HashCredential("credential-of-"+string(workspaceName(i)), salt)
		if err != nil {
			return nil, err
		}
		doc.Workspaces = append(doc.Workspaces, pwdocument.Workspace{
			ID:          workspaceName(i),
			Weight:      1 + i%8,
			Credentials: []string{h},
		})
	}
	doc = doc.WithDefaults()
	return doc, doc.Validate()
}

// documentChange returns the change that stores a document. The change log holds a
// document as its owner wrote it, so the workspaces have no default values.
func documentChange(workspaces int) (pwchange.Change, error) {
	doc, err := newDocument(workspaces)
	if err != nil {
		return pwchange.Change{}, err
	}
	for i := range doc.Workspaces {
		w := doc.Workspaces[i]
		doc.Workspaces[i] = pwdocument.Workspace{
			ID:          w.ID,
			Weight:      w.Weight,
			Credentials: w.Credentials,
		}
	}
	value, err := json.Marshal(doc)
	return pwchange.Change{
		Sequence:       1,
		Key:            pwdocument.KeyPrefix + doc.Name,
		Value:          value,
		AcceptedUnixMS: epoch.UnixMilli(),
	}, err
}

// measureDocuments measures the size, memory and parsing time of a document by the
// number of its workspaces.
func measureDocuments(ctx context.Context, m *meter) error {
	for _, n := range m.sizes([]int{50, 100, 200}, []int{100, 1_000, 2_500}) {
		c, err := documentChange(n)
		if err != nil {
			return err
		}
		x := float64(n)
		m.addPoint("bytes.document", "workspaces", "B", x, float64(len(c.Value)))
		m.addPoint("memory.document", "workspaces", "B", x, retainedBytes(func() any {
			doc, _ := pwdocument.Parse(c.Value)
			return doc
		}))
		m.addPoint("cpu.document", "workspaces", "us a change", x, cpuPerOp(func(int) { _, _ = pwdocument.Parse(c.Value) }))
		node, err := newNode("full", nil)
		if err != nil {
			return err
		}
		node.Publish(c)
		resp, err := node.HandleExchange(ctx, &pwrpc.ExchangeRequest{
			Instance: "empty",
			Digest:   &pwrpc.Digest{},
		})
		if err != nil {
			return err
		}
		m.addPoint("bytes.document_pushed", "workspaces", "B a message", x, float64(proto.Size(resp)))
	}
	return nil
}
