package pwfakecaller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwproblem"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// PromptSender sends single prompts to entries without backend servers, for inputs
// that nobody has chosen.
type PromptSender struct {
	documents []*pwdocument.Document
}

// NewPromptSender returns a sender with the stand-in documents.
func NewPromptSender() (*PromptSender, error) {
	docs, err := pwfakefleet.Documents([]pwrequest.DataCentre{"hakata"}, 1, 1, workspace)
	return &PromptSender{
		documents: docs,
	}, err
}

// Input is one request to /v1/chat/completions.
type Input struct {
	Body, Authorization, Workspace, Service, Key, Deadline string
}

// Send sends a request from a caller that does not wait for the answer. It
// returns the response and an error when the response breaks a rule.
func (s *PromptSender) Send(ctx context.Context, in Input) (*httptest.ResponseRecorder, error) {
	ctx, stop := context.WithCancel(ctx)
	stop()
	e := pwentry.New(pwentry.Config{
		Instance: "entry",
		Seed:     1,
	}, pwentry.Deps{
		Observer: pwobserve.Discard(),
	})
	defer e.Run(ctx) // ends the request
	for _, d := range s.documents {
		e.SetDocument(d)
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(in.Body))
	for k, v := range map[string]string{
		"Content-Type":           "application/json",
		"Authorization":          in.Authorization,
		"Pomeloweir-Workspace":   in.Workspace,
		"Pomeloweir-Service":     in.Service,
		"Idempotency-Key":        in.Key,
		"Pomeloweir-Deadline-Ms": in.Deadline,
	} {
		if v != "" {
			r.Header.Set(k, v)
		}
	}
	w := httptest.NewRecorder()
	pwentry.NewAPI(e).ServeHTTP(w, r)
	return w, s.check(in, w)
}

// check returns the first rule that a response breaks.
func (s *PromptSender) check(in Input, w *httptest.ResponseRecorder) error {
	admitted := w.Header().Get("Pomeloweir-Request-Id") != ""
	if admitted && in.Authorization != "Bearer "+workspace+pwfakefleet.CredentialSuffix {
		return errors.New("a request without the credential was admitted")
	}
	if w.Code == http.StatusOK {
		if !admitted {
			return errors.New("an answer has no request identifier")
		}
		return nil
	}
	allowed := []int{http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}
	if admitted {
		// The caller of these requests has gone before the answer.
		allowed = []int{http.StatusServiceUnavailable}
	}
	if !slices.Contains(allowed, w.Code) {
		return fmt.Errorf("status is %d", w.Code)
	}
	var p pwproblem.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		return fmt.Errorf("refusal is not JSON: %w", err)
	}
	notRun := p.Verdict == pwverdict.NotRun.String()
	if w.Header().Get("Content-Type") != "application/problem+json" || p.Status != w.Code || p.Cause == "" || p.Detail == "" || notRun == admitted {
		return fmt.Errorf("refusal is not a problem document with a verdict and a cause: %s", w.Body.Bytes())
	}
	return nil
}
