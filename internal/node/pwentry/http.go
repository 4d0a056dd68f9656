package pwentry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwproblem"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

const (
	// maxPromptBodyBytes bounds the body of a submission. It is enough for a million
	// tokens of four bytes each, escaped in JSON.
	maxPromptBodyBytes = 16 << 20
	// maxCallBodyBytes is the largest call body that a document may allow.
	maxCallBodyBytes = 16 << 20
	// maxDeadlineMS bounds the deadline that a caller may set, in milliseconds. It is
	// the largest that a document may allow. Without it, a large number in the header
	// would overflow into a deadline that has already passed.
	maxDeadlineMS = int64(24 * time.Hour / time.Millisecond)
	// bodyTimeout bounds the time to receive a body. It is enough for 16 MiB at
	// 280 KB/s. Huma's default of 5 s would refuse long prompts over slow links.
	bodyTimeout = time.Minute
	// maxConcurrentRequests bounds the HTTP requests that one API serves at a time.
	maxConcurrentRequests = 4096
)

// API is the HTTP interface for callers of an entry. It also serves an OpenAPI document
// at /openapi.json.
type API struct {
	entry        *Entry
	huma         huma.API
	mux          *http.ServeMux
	requestSlots chan struct{}
}

// NewAPI returns the HTTP interface for the callers of e.
func NewAPI(e *Entry) *API {
	pwproblem.Install()
	mux := http.NewServeMux()
	cfg := huma.DefaultConfig("pomeloweir", "1")
	cfg.DocsPath = ""
	cfg.CreateHooks = nil // no links to schemas in the bodies
	a := &API{
		entry:        e,
		huma:         humago.New(mux, cfg),
		mux:          mux,
		requestSlots: make(chan struct{}, maxConcurrentRequests),
	}
	a.registerRoutes()
	return a
}

// Huma returns the underlying huma API, so that other packages can add operations.
func (a *API) Huma() huma.API { return a.huma }

// ServeHTTP serves one HTTP request. It refuses the request if maxConcurrentRequests are
// already being served.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case a.requestSlots <- struct{}{}:
		defer func() { <-a.requestSlots }()
		if a.entry.Draining() {
			// The caller's next request should reach another entry.
			w.Header().Set("Connection", "close")
		}
		if r.Body != http.NoBody {
			body := &stoppableBody{
				ReadCloser: r.Body,
				ctx:        a.entry.callsCtx,
				controller: http.NewResponseController(w),
			}
			body.stop = context.AfterFunc(body.ctx, body.interrupt)
			defer body.stop()
			r.Body = body
		}
		if _, pattern := a.mux.Handler(r); pattern == "" {
			w = &problemWriter{
				ResponseWriter: w,
				request:        r,
			}
		}
		a.mux.ServeHTTP(w, r)
	default:
		writeProblem(w, pwverdict.New(pwverdict.NotRun, pwverdict.CauseQueueFull, "entry already serves %d HTTP requests, the largest number allowed", maxConcurrentRequests).
			WithRetryAfter(time.Second))
	}
}

// stoppableBody is the body of a request, whose arrival is awaited until the entry ends its
// requests.
type stoppableBody struct {
	io.ReadCloser
	ctx        context.Context
	controller *http.ResponseController
	stop       func() bool
}

// interrupt makes reads fail that have to wait for data.
func (b *stoppableBody) interrupt() {
	// It only fails if the connection is closed.
	_ = b.controller.SetReadDeadline(time.Now())
}

// Read implements io.Reader.
func (b *stoppableBody) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		// The handler may have replaced the deadline. The server reads the rest of the body
		// too before it sends a response.
		b.interrupt()
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		// A deadline that is set later would end the context of the request.
		b.stop()
	}
	return n, err
}

// problemWriter replaces the plain-text error of http.ServeMux for an unknown path or
// method with a problem document.
type problemWriter struct {
	http.ResponseWriter
	request  *http.Request
	replaced bool
}

// WriteHeader writes the problem document if status is one of the replaced errors.
func (w *problemWriter) WriteHeader(status int) {
	detail := "path %s does not exist; /openapi.json lists the operations"
	switch status {
	case http.StatusMethodNotAllowed:
		detail = "path %s does not have this method; the Allow header lists those it has"
	case http.StatusNotFound:
	default:
		w.ResponseWriter.WriteHeader(status)
		return
	}
	w.replaced = true
	p := ProblemOf(pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, detail, w.request.URL.Path))
	p.Status = status
	p.Title = http.StatusText(status)
	w.Header().Set("Content-Type", "application/problem+json")
	w.ResponseWriter.WriteHeader(status)
	_ = json.NewEncoder(w.ResponseWriter).Encode(p)
}

// Write drops the plain text of a replaced error.
func (w *problemWriter) Write(b []byte) (int, error) {
	if w.replaced {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

func writeProblem(w http.ResponseWriter, err error) {
	p := ProblemOf(err)
	for k, v := range p.GetHeaders() {
		w.Header()[k] = v
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func (a *API) registerRoutes() {
	huma.Register(a.huma, huma.Operation{
		OperationID:  "chat-completions",
		Method:       http.MethodPost,
		Path:         "/v1/chat/completions",
		Summary:      "Submit a prompt and receive the answer, streamed or whole",
		MaxBodyBytes: maxPromptBodyBytes,

		BodyReadTimeout: bodyTimeout,
	}, a.completeChat)
	huma.Register(a.huma, huma.Operation{
		OperationID: "view-request",
		Method:      http.MethodGet,
		Path:        "/v1/requests/{id}",
		Summary:     "View the state of a request",
	}, a.viewRequest)
	huma.Register(a.huma, huma.Operation{
		OperationID: "read-answer",
		Method:      http.MethodGet,
		Path:        "/v1/requests/{id}/answer",
		Summary:     "Read or resume an answer from an offset, as server-sent events",
	}, a.readAnswer)
	huma.Register(a.huma, huma.Operation{
		OperationID: "cancel-request",
		Method:      http.MethodDelete,
		Path:        "/v1/requests/{id}",
		Summary:     "Cancel a request",
	}, a.cancelRequest)
	huma.Register(a.huma, huma.Operation{
		OperationID:  "call-method",
		Method:       http.MethodPost,
		Path:         "/v1/services/{service}/methods/{method}",
		Summary:      "Call a method of a plain service",
		MaxBodyBytes: maxCallBodyBytes,

		BodyReadTimeout: bodyTimeout,
		// The body belongs to the plain service, which checks it.
		SkipValidateBody: true,
	}, a.callMethod)
	huma.Register(a.huma, huma.Operation{
		OperationID: "view-call",
		Method:      http.MethodGet,
		Path:        "/v1/services/{service}/methods/{method}/calls/{key}",
		Summary:     "View the outcome of a call that runs at most once",
	}, a.viewCall)
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	a.mux.HandleFunc("GET /readyz", a.serveReadiness)
	a.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = a.entry.obs.WriteMetrics(w)
	})
}

func (a *API) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !a.entry.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintln(w, "not ready")
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

// Caller holds the headers of a request that identify its caller.
type Caller struct {
	Authorization string `header:"Authorization" doc:"Bearer followed by the workspace's credential."`
	Workspace     string `header:"Pomeloweir-Workspace" doc:"Workspace; optional, checked against the credential."`
}

// authenticate returns the workspace to which a document assigns the caller's
// credential. All failures give the same error, so that it doesn't reveal which services
// and workspaces exist.
func (c Caller) authenticate(doc *pwdocument.Document) (pwrequest.WorkspaceID, error) {
	credential, ok := strings.CutPrefix(c.Authorization, "Bearer ")
	if ok && doc != nil {
		if w, ok := doc.Authenticate(credential); ok && (c.Workspace == "" || c.Workspace == string(w)) {
			return w, nil
		}
	}
	return "", pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnauthenticated, "the credential is missing or not valid here; send it as Authorization: Bearer")
}

// authenticateForAny returns an error if the caller's credential isn't valid for any
// service.
func (a *API) authenticateForAny(c Caller) error {
	for _, doc := range a.entry.Documents() {
		if _, err := c.authenticate(doc); err == nil {
			return nil
		}
	}
	_, err := c.authenticate(nil)
	return err
}

// documentOf returns the document of a service, or nil if it has none.
func (a *API) documentOf(id pwrequest.ServiceID) *pwdocument.Document {
	for _, doc := range a.entry.Documents() {
		if doc.Service() == id {
			return doc
		}
	}
	return nil
}

// findService returns the service that has a model and accepts the caller's credential,
// and the caller's workspace in it. An empty service name means any service.
func (a *API) findService(c Caller, service, model string) (pwrequest.ServiceID, pwrequest.WorkspaceID, error) {
	var lastErr error
	for _, doc := range a.entry.Documents() {
		if _, ok := doc.Model(pwrequest.ModelID(model)); !ok || (service != "" && service != doc.Name) {
			continue
		}
		w, err := c.authenticate(doc)
		if err == nil {
			return doc.Service(), w, nil
		}
		lastErr = err
	}
	if lastErr != nil {
		return "", "", lastErr
	}
	if err := a.authenticateForAny(c); err != nil {
		return "", "", err
	}
	return "", "", pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "no service has model %q", model)
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role" doc:"Author of the message."`
	Content string `json:"content" doc:"Text of the message."`
}

type completeInput struct {
	Caller
	Service        string `header:"Pomeloweir-Service" doc:"Service; needed only when several have the model."`
	DeadlineMS     int64  `header:"Pomeloweir-Deadline-Ms" minimum:"0" doc:"Milliseconds the request may take; default from the service's document."`
	IdempotencyKey string `header:"Idempotency-Key" maxLength:"200" doc:"A repeated submission with the same key follows the first one."`
	Body           struct {
		Model     string        `json:"model" doc:"Model identifier."`
		Adapter   string        `json:"adapter,omitempty" doc:"Adapter identifier."`
		Messages  []ChatMessage `json:"messages" minItems:"1" doc:"Prompt as a conversation."`
		MaxTokens int64         `json:"max_tokens,omitempty" minimum:"0" doc:"Largest number of tokens to generate; 0 takes the default."`
		Priority  int           `json:"priority,omitempty" minimum:"-100" maximum:"100" doc:"Order among the workspace's own requests; larger is sooner."`
		Stream    bool          `json:"stream,omitempty" doc:"Send the answer as server-sent events while it is generated."`
	}
}

// deadlineFromMS returns the duration of a deadline header, at most maxDeadlineMS.
func deadlineFromMS(ms int64) time.Duration {
	return time.Duration(min(ms, maxDeadlineMS)) * time.Millisecond
}

// joinMessages returns the messages as one prompt in the form that the engines expect.
func joinMessages(messages []ChatMessage) string {
	if len(messages) == 1 {
		return messages[0].Content
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

func (a *API) completeChat(ctx context.Context, in *completeInput) (*huma.StreamResponse, error) {
	service, workspace, err := a.findService(in.Caller, in.Service, in.Body.Model)
	if err != nil {
		return nil, ProblemOf(err)
	}
	f, err := a.entry.Submit(ctx, Submission{
		Workspace:      workspace,
		Service:        service,
		Model:          pwrequest.ModelID(in.Body.Model),
		Adapter:        in.Body.Adapter,
		Prompt:         joinMessages(in.Body.Messages),
		MaxTokens:      in.Body.MaxTokens,
		Priority:       in.Body.Priority,
		Deadline:       deadlineFromMS(in.DeadlineMS),
		IdempotencyKey: in.IdempotencyKey,
	})
	if err != nil {
		return nil, ProblemOf(err)
	}
	out := &answerWriter{
		inFlight: f,
		model:    in.Body.Model,
	}
	if in.Body.Stream {
		return &huma.StreamResponse{
			Body: out.writeStream,
		}, nil
	}
	return &huma.StreamResponse{
		Body: out.writeWhole,
	}, nil
}
