package pwdocument

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"github.com/invopop/jsonschema"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwschema"
)

// Problem is one invalid field of a document.
type Problem = pwschema.Problem

// Problems lists all problems of a document. The errors of Parse and Validate
// wrap it.
type Problems = pwschema.Problems

// rootName is how error messages name the document as a whole.
const rootName = "document"

// checker adds the checks that relate several fields to those of the schema.
type checker struct {
	*pwschema.Checker
}

// newChecker returns a checker whose problems leave out the values of credentials,
// because a credential may have been written in clear by mistake.
func newChecker() *checker {
	return &checker{
		Checker: pwschema.NewChecker(rootName, func(path string) bool { return strings.Contains(path, ".credentials[") }),
	}
}

var reflectSchema = sync.OnceValue(func() *jsonschema.Schema {
	return pwschema.Reflect(&Document{}, "pomeloweir service document")
})

// Schema returns the JSON Schema of a document as indented JSON.
func Schema() []byte {
	data, err := json.MarshalIndent(reflectSchema(), "", "  ")
	if err != nil {
		panic(err) // It cannot fail at run time: the schema depends only on Go types.
	}
	return append(data, '\n')
}

// Parse reads and checks a document and fills in the defaults. It accepts neither
// unknown nor repeated fields. The error wraps Problems, which lists every problem
// of the document.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, Problems{{
			Path:    "document",
			Found:   fmt.Sprintf("%d bytes", len(data)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxDocumentBytes),
		}}.Err(rootName)
	}
	c := newChecker()
	tree, err := c.Decode(data)
	if err != nil {
		return nil, Problems{{
			Path:    "document",
			Found:   err.Error(),
			Allowed: "one JSON object",
		}}.Err(rootName)
	}
	tree = c.Check(reflectSchema(), "", tree)
	doc := &Document{}
	// Check has already reported values of a wrong type. Unmarshal leaves these
	// fields unset, and the remaining checks still run.
	raw, err := json.Marshal(tree)
	if err == nil {
		err = json.Unmarshal(raw, doc)
	}
	if err != nil && len(c.Problems()) == 0 {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "document cannot be read")
	}
	c.checkRelations(doc)
	if err := c.Problems().Err(rootName); err != nil {
		return nil, err
	}
	doc.authenticator = newAuthenticator(doc.Workspaces)
	return doc, nil
}

// Validate checks a document that was built in Go code rather than parsed. Unset
// fields count as their defaults.
func (d *Document) Validate() error {
	raw, err := json.Marshal(d)
	if err != nil {
		return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "document cannot be written")
	}
	_, err = Parse(raw)
	return err
}

// WithDefaults returns a copy of d in which each unset field has its default. It
// returns d itself when d cannot be encoded.
func (d *Document) WithDefaults() *Document {
	out := &Document{}
	raw, err := json.Marshal(d)
	if err != nil {
		return d
	}
	c := newChecker()
	tree, err := c.Decode(raw)
	if err != nil {
		return d
	}
	raw, err = json.Marshal(c.Check(reflectSchema(), "", tree))
	if err != nil || json.Unmarshal(raw, out) != nil {
		return d
	}
	out.authenticator = newAuthenticator(out.Workspaces)
	return out
}
