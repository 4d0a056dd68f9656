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

// PromptSender sends prompts, each to a new entry without backend servers, and checks the
// responses against rules that hold for any input. Fuzz tests use it.
type PromptSender struct {
	documents []*pwdocument.Document
}

// NewPromptSender returns a sender whose entries use the documents of package pwfakefleet.
func NewPromptSender() (*PromptSender, error) {
	docs, err := pwfakefleet.Documents([]pwrequest.DataCentre{"hakata"}, 1, 1, workspace)
	return &PromptSender{
		documents: docs,
	}, err
}

// Input holds the body and the header values of one request to /v1/chat/completions. Empty
// values are not sent.
type Input struct {
	Body, Authorization, Workspace, Service, Key, Deadline string
}

// Send sends a request whose caller has already closed its connection. It returns the
// response, and an error if the response breaks a rule.
func (s *PromptSender) Send(ctx context.Context, in Input) (*httptest.ResponseRecorder, error) {
	ctx, stop := context.WithCancel(ctx)
	stop()
	e := pwentry.New(pwentry.Config{
		Instance: "entry",
		Seed:     1,
	}, pwentry.Deps{
		Observer: pwobserve.Discard(),
	})
	defer e.Run(ctx) // returns at once and ends the request, because ctx has ended
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
	serve(pwentry.NewAPI(e), w, r)
	return w, s.checkResponse(in, w)
}

// checkResponse returns an error for the first rule that a response breaks.
func (s *PromptSender) checkResponse(in Input, w *httptest.ResponseRecorder) error {
	admitted := w.Header().Get("Pomeloweir-Request-Id") != ""
	if admitted && in.Authorization != "Bearer "+workspace+pwfakefleet.CredentialSuffix {
		return errors.New("a request without the credential was admitted")
	}
	if w.Code == http.StatusOK {
		if !admitted {
			return errors.New("response with status 200 has no Pomeloweir-Request-Id header")
		}
		return nil
	}
	allowed := []int{http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}
	if admitted {
		// An admitted request fails, because its caller closed the connection before the
		// response.
		allowed = []int{http.StatusServiceUnavailable}
	}
	if !slices.Contains(allowed, w.Code) {
		return fmt.Errorf("status is %d, allowed are %v", w.Code, allowed)
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
