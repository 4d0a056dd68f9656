package pwoperator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// maxApplyBodyBytes is the size of the largest document plus 64 KiB for the
// other fields of the request body.
const maxApplyBodyBytes = pwdocument.MaxDocumentBytes + 64<<10

func (a *api) registerDocuments(h huma.API) {
	register(h, a, huma.Operation{
		OperationID: "list-documents",
		Method:      http.MethodGet,
		Path:        "/services",
		Summary:     "List the service documents",
	}, a.listDocuments)
	register(h, a, huma.Operation{
		OperationID: "view-document",
		Method:      http.MethodGet,
		Path:        "/services/{service}",
		Summary:     "View a service document, the current or an earlier version",
	}, a.viewDocument)
	register(h, a, huma.Operation{
		OperationID:  "apply-document",
		Method:       http.MethodPut,
		Path:         "/services/{service}",
		Summary:      "Apply a service document if the version last read is still current",
		MaxBodyBytes: maxApplyBodyBytes,
	}, a.applyDocument)
	register(h, a, huma.Operation{
		OperationID: "document-history",
		Method:      http.MethodGet,
		Path:        "/services/{service}/history",
		Summary:     "List the changes of a service document, newest first",
	}, a.documentHistory)
}

// documentCache caches the parsed documents of the replica.
type documentCache struct {
	mu     sync.Mutex
	parsed map[uint64]*pwdocument.Document // by sequence number
}

// refresh returns the documents of the given changes by name. It parses only
// those that changed since the last call.
func (c *documentCache) refresh(changes []pwchange.Change) map[string]documentVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	retained := map[uint64]*pwdocument.Document{}
	out := map[string]documentVersion{}
	for _, change := range changes {
		if change.Deleted() {
			continue
		}
		doc := c.parsed[change.Sequence]
		if doc == nil {
			var err error
			if doc, err = pwdocument.Parse(change.Value); err != nil {
				// A process of another software version wrote the document.
				continue
			}
		}
		retained[change.Sequence] = doc
		out[doc.Name] = documentVersion{
			change: change,
			doc:    doc,
		}
	}
	c.parsed = retained
	return out
}

// documentVersion is a parsed document with the change that set it.
type documentVersion struct {
	change pwchange.Change
	doc    *pwdocument.Document
}

// replicatedChanges returns the changes in the replica whose keys have the
// prefix, sorted by key.
func (a *api) replicatedChanges(prefix string) []pwchange.Change {
	return lo.FilterMap(a.Replica.Keys(prefix), func(key string, _ int) (pwchange.Change, bool) { return a.Replica.Get(key) })
}

// replicatedDocuments returns the documents in the replica by service name.
func (a *api) replicatedDocuments() map[string]documentVersion {
	return a.documents.refresh(a.replicatedChanges(pwdocument.KeyPrefix))
}

type listInput struct {
	AuthHeader
}

// DocumentSummary describes one document in a DocumentList.
type DocumentSummary struct {
	Name       string `json:"name" doc:"Name of the service."`
	Owner      string `json:"owner" doc:"Team that owns the service."`
	Kind       string `json:"kind" doc:"What runs on the backend servers."`
	Sequence   uint64 `json:"sequence" doc:"Sequence number of the newest change."`
	AcceptedAt string `json:"accepted_at" doc:"Time of acceptance, RFC 3339."`
}

// DocumentList lists the service documents.
type DocumentList struct {
	Documents []DocumentSummary `json:"documents" doc:"Documents by name."`
	Freshness Freshness         `json:"freshness" doc:"How old the list may be."`
}

func (a *api) listDocuments(_ context.Context, _ pwchange.Author, _ listInput) (*DocumentList, error) {
	documents := a.replicatedDocuments()
	out := &DocumentList{
		Documents: []DocumentSummary{},
		Freshness: a.freshness(),
	}
	for _, name := range sortedKeys(documents) {
		v := documents[name]
		out.Documents = append(out.Documents, DocumentSummary{
			Name:       name,
			Owner:      v.doc.Owner,
			Kind:       string(v.doc.Kind),
			Sequence:   v.change.Sequence,
			AcceptedAt: formatTime(v.change.AcceptedAt()),
		})
	}
	return out, nil
}

type viewDocumentInput struct {
	AuthHeader
	Service  string `path:"service" maxLength:"63" doc:"Service name."`
	Sequence uint64 `query:"sequence" doc:"Version to view; 0 is the current one."`
}

// DocumentView is one version of a document.
type DocumentView struct {
	Change   Change          `json:"change" doc:"The change that made this version."`
	Document json.RawMessage `json:"document,omitempty" doc:"The document as it was applied, without defaults."`
	// Source is "table" if the version was read from the table service just now,
	// and "copy" if it is from the replica and may not be the newest.
	Source string `json:"source" enum:"table,copy" doc:"table: read now; copy: what this entry holds, because the table service did not answer."`
	Detail string `json:"detail,omitempty" doc:"Why the copy was used."`
}

func (a *api) viewDocument(ctx context.Context, _ pwchange.Author, in viewDocumentInput) (*DocumentView, error) {
	key := pwdocument.KeyPrefix + in.Service
	if in.Sequence > 0 {
		c, err := a.ChangeLog.Change(ctx, in.Sequence)
		if err == nil && c.Key != key {
			err = pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "change %d is of %s, not of %s", in.Sequence, c.Key, key)
		}
		if err != nil {
			return nil, err
		}
		return newDocumentView(c, "table", ""), nil
	}
	c, err := a.ChangeLog.NewestChange(ctx, key)
	if err == nil {
		return newDocumentView(c, "table", ""), nil
	}
	replicated, ok := a.Replica.Get(key)
	if pwverdict.CauseOf(err) != pwverdict.CauseNotFound && ok {
		return newDocumentView(replicated, "copy", "table service did not answer; "+a.freshness().Detail), nil
	}
	return nil, err
}

func newDocumentView(c pwchange.Change, source, detail string) *DocumentView {
	return &DocumentView{
		Change:   newChange(c),
		Document: c.Value,
		Source:   source,
		Detail:   detail,
	}
}

type applyInput struct {
	AuthHeader
	Service string `path:"service" maxLength:"63" doc:"Service name."`
	Body    struct {
		ProposalFields
		Document json.RawMessage `json:"document" doc:"The document."`
		Expect   uint64          `json:"expect" doc:"Sequence number of the version last read; 0 for a new service."`
	}
}

func (a *api) applyDocument(ctx context.Context, author pwchange.Author, in applyInput) (*Accepted, error) {
	p := pwchange.Proposal{
		Key:              pwdocument.KeyPrefix + in.Service,
		Value:            in.Body.Document,
		ExpectedSequence: in.Body.Expect,
		Author:           author,
		ProposalID:       in.Body.ProposalID,
		IsRetry:          in.Body.Repeat,
	}
	if len(bytes.TrimSpace(p.Value)) == 0 || string(bytes.TrimSpace(p.Value)) == "null" {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "document: found nothing; allowed: a service document")
	}
	c, err := a.ChangeLog.Apply(ctx, p)
	if err == nil {
		return a.publishAccepted(ctx, author, c, in.Body.Repeat), nil
	}
	var conflict *pwchange.ConflictError
	if errors.As(err, &conflict) {
		if in.Body.Repeat {
			if earlier, found, err := a.findEarlierChange(ctx, p.Key, p.ProposalID); err != nil || found {
				return a.acceptRetry(ctx, author, earlier, err)
			}
		}
		return nil, a.documentConflict(ctx, err, p, conflict.NewestChange)
	}
	return nil, correctRetryVerdict(err, in.Body.Repeat)
}

// documentConflict returns the error for a proposal whose expected version is no
// longer current, with the differences that the client needs to prepare it again.
func (a *api) documentConflict(ctx context.Context, err error, p pwchange.Proposal, current pwchange.Change) error {
	proposedDoc, currentDoc := parseOrNil(p.Value), parseOrNil(current.Value)
	out := &conflictError{
		err: pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseConflict,
			"%s is at version %d, not %d; look at the differences and apply again with expect %d", p.Key, current.Sequence, p.ExpectedSequence, current.Sequence),
		current: current,
		diff:    pwdocument.Diff(currentDoc, proposedDoc),
	}
	if p.ExpectedSequence > 0 {
		if base, err := a.ChangeLog.Change(ctx, p.ExpectedSequence); err == nil && base.Key == p.Key {
			out.changedSince = pwdocument.Diff(parseOrNil(base.Value), currentDoc)
		}
	}
	return out
}

// parseOrNil returns nil if data is not a valid document. Diff treats nil as an
// empty document.
func parseOrNil(data json.RawMessage) *pwdocument.Document {
	doc, err := pwdocument.Parse(data)
	if err != nil {
		return nil
	}
	return doc
}

type historyInput struct {
	AuthHeader
	Service string `path:"service" maxLength:"63" doc:"Service name."`
	Limit   int    `query:"limit" minimum:"1" maximum:"100" default:"20" doc:"Largest number of changes."`
}

// History lists the changes of one document, newest first.
type History struct {
	Changes []Change `json:"changes" doc:"Changes, newest first."`
}

func (a *api) documentHistory(ctx context.Context, _ pwchange.Author, in historyInput) (*History, error) {
	list, err := a.ChangeLog.History(ctx, pwdocument.KeyPrefix+in.Service, in.Limit)
	if err != nil {
		return nil, err
	}
	return &History{
		Changes: lo.Map(list, func(c pwchange.Change, _ int) Change { return newChange(c) }),
	}, nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// serviceOwner returns the team that owns a service, or "" if the service has no
// document in the replica.
func (a *api) serviceOwner(service string) string {
	if v, ok := a.replicatedDocuments()[service]; ok {
		return v.doc.Owner
	}
	return ""
}

// plural returns a count with its noun, such as "1 server" or "2 servers".
func plural(n int, singular string) string {
	switch {
	case n == 1:
		return "1 " + singular
	case strings.HasSuffix(singular, "s"):
		singular += "e"
	}
	return fmt.Sprintf("%d %ss", n, singular)
}
