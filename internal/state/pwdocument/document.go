// Package pwdocument holds the document of a service, the single file with which
// its owners configure it. The package defines the format, the defaults, the
// checks, the JSON Schema and a readable diff of two documents.
//
// # Usage
//
//	doc, err := pwdocument.Parse(data)
//	if err != nil {
//		// err lists every problem with its field path
//	}
//	workspace, ok := doc.Authenticate(credential)
//
// Parse fills in the defaults, so no field with a default is unset in the document
// that it returns. The default, the unit and the range of each field are struct
// tags, from which Schema, WithDefaults and the checks are derived.
package pwdocument

import (
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcredential"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Limits of a document.
const (
	// FormatVersion is the version of the format that this package reads and writes.
	FormatVersion = 1
	// MaxDocumentBytes is the largest size of a document. It leaves room for the
	// envelope of the change row, which must stay below the table's limit of
	// 1 MiB.
	MaxDocumentBytes = 768 << 10
	// MaxWorkspaces is the largest number of workspaces of one service. It bounds
	// the time of Authenticate, which compares the credential with those of all
	// workspaces.
	MaxWorkspaces = 4096
	// MaxSalts is the largest number of different credential salts in a
	// document. Authenticate computes one hash for each salt.
	MaxSalts = 4
)

// Kind is the kind of a service, given by what runs on its backend servers.
type Kind string

// Kinds of services.
const (
	// KindModelEngines is a service whose backend servers are LLM engines.
	KindModelEngines Kind = "model_engines"
	// KindPlain is a service whose backend servers serve calls of its methods.
	KindPlain Kind = "plain"
)

// Role is the part of the inference that a backend server of a model service runs.
type Role string

// Roles of backend servers. A mixed server runs both prefill and decode.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Document is the configuration of one service.
type Document struct {
	FormatVersion int          `json:"format_version,omitempty" jsonschema:"required,minimum=1,maximum=1" jsonschema_description:"Version of this format."`
	Name          string       `json:"name,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9-]*$,maxLength=63" jsonschema_description:"Name of the service."`
	Owner         string       `json:"owner,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9-]*$,maxLength=63" jsonschema_description:"Team that owns the service; only it may change the document."`
	Kind          Kind         `json:"kind,omitempty" jsonschema:"required,enum=model_engines,enum=plain" jsonschema_description:"What runs on the backend servers."`
	DataCentres   []DataCentre `json:"data_centres,omitempty" jsonschema:"required,minItems=1,maxItems=64" jsonschema_description:"Data centres in which the service runs."`
	Workspaces    []Workspace  `json:"workspaces,omitempty" jsonschema:"required,minItems=1,maxItems=4096" jsonschema_description:"Workspaces that may use the service."`
	Running       Running      `json:"running,omitzero" jsonschema_description:"Bounds on concurrent work of one backend server."`
	WarmUp        WarmUp       `json:"warm_up,omitzero" jsonschema_description:"Bounds of a fresh or cold backend server."`
	Retry         Retry        `json:"retry,omitzero" jsonschema_description:"Rules of repeated attempts."`
	Deadlines     Deadlines    `json:"deadlines,omitzero" jsonschema_description:"Rules of deadlines."`
	Retention     Retention    `json:"retention,omitzero" jsonschema_description:"How long state is kept."`
	Drain         Drain        `json:"drain,omitzero" jsonschema_description:"Rules of leaving backend servers."`
	Queue         Queue        `json:"queue,omitzero" jsonschema_description:"Bounds of the queues of one entry."`
	Routing       Routing      `json:"routing,omitzero" jsonschema_description:"Rules of the choice of a backend server."`
	Crashes       Crashes      `json:"crashes,omitzero" jsonschema_description:"Rules of requests that crash backend servers."`
	Methods       []Method     `json:"methods,omitempty" jsonschema:"maxItems=256" jsonschema_description:"Methods of a plain service; required there and not allowed for model engines."`

	// The following fields are for model engines only.

	Models  []Model     `json:"models,omitempty" jsonschema:"maxItems=64" jsonschema_description:"Models of the service; required for model engines and not allowed for a plain service."`
	Roles   []RoleShare `json:"roles,omitempty" jsonschema:"maxItems=3" jsonschema_description:"Roles of the backend servers; none means that all are mixed."`
	Memory  Memory      `json:"memory,omitzero" jsonschema_description:"Memory of one engine."`
	Lengths Lengths     `json:"lengths,omitzero" jsonschema_description:"Limits on prompts and answers."`
	Classes Classes     `json:"classes,omitzero" jsonschema_description:"Length classes and their shares."`
	Engine  Engine      `json:"engine,omitzero" jsonschema_description:"Abilities of the engines."`

	authenticator *pwcredential.Set[pwrequest.WorkspaceID]
}

// DataCentre is a data centre in which a service runs.
type DataCentre struct {
	Name           pwrequest.DataCentre `json:"name,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9-]*$,maxLength=63" jsonschema_description:"Name of the data centre."`
	BackendServers int                  `json:"backend_servers,omitempty" jsonschema:"required,minimum=1,maximum=100000" jsonschema_description:"Planned number of backend servers; unit: servers."`
}

// Workspace holds the limits and credentials of one customer of a service.
type Workspace struct {
	ID              pwrequest.WorkspaceID `json:"id,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9-]*$,maxLength=63" jsonschema_description:"Identifier of the workspace."`
	Weight          int                   `json:"weight,omitempty" jsonschema:"minimum=1,maximum=1000,default=1" jsonschema_description:"Weight in fair queueing; unit: relative share."`
	MaxQueued       int                   `json:"max_queued,omitempty" jsonschema:"minimum=1,maximum=100000,default=200" jsonschema_description:"Bound on queued requests in one entry; unit: requests."`
	MaxQueuedTokens int64                 `json:"max_queued_tokens,omitempty" jsonschema:"minimum=1,maximum=1000000000,default=20000000" jsonschema_description:"Bound on queued work in one entry; unit: tokens."`
	MaxRunning      int                   `json:"max_running,omitempty" jsonschema:"minimum=1,maximum=100000,default=100" jsonschema_description:"Unfinished requests in one entry beside the queued ones; unit: requests."`
	MaxPromptTokens int64                 `json:"max_prompt_tokens,omitempty" jsonschema:"minimum=1,maximum=10000000,default=1000000" jsonschema_description:"Longest prompt of this workspace; unit: tokens."`
	Credentials     []string              `json:"credentials,omitempty" jsonschema:"required,minItems=1,maxItems=4" jsonschema_description:"Hashed credentials, as printed by credential hash; several allow a change without interruption."`
}

// Running bounds the concurrent attempts of one backend server.
type Running struct {
	MaxAttempts int `json:"max_attempts,omitempty" jsonschema:"minimum=1,maximum=4096,default=32" jsonschema_description:"Concurrent attempts of a warm backend server; unit: attempts."`
	MaxLong     int `json:"max_long,omitempty" jsonschema:"minimum=1,maximum=4096,default=2" jsonschema_description:"Concurrent attempts of the long class; unit: attempts."`
}

// WarmUp bounds the concurrent attempts of a fresh or cold backend server. The
// bound doubles after each interval without slow steps.
type WarmUp struct {
	InitialAttempts int   `json:"initial_attempts,omitempty" jsonschema:"minimum=1,maximum=4096,default=2" jsonschema_description:"Bound of a fresh backend server; unit: attempts."`
	IntervalMS      int64 `json:"interval_ms,omitempty" jsonschema:"minimum=100,maximum=3600000,default=5000" jsonschema_description:"Time without slow steps after which the bound doubles; unit: milliseconds."`
	SlowMultiple    int   `json:"slow_multiple,omitempty" jsonschema:"minimum=2,maximum=100,default=4" jsonschema_description:"Multiple of the learned baseline above which a step is slow; unit: factor."`
	SlowSteps       int   `json:"slow_steps,omitempty" jsonschema:"minimum=1,maximum=100,default=3" jsonschema_description:"Slow steps in a row after which a server counts as cold; unit: steps."`
}

// Retry bounds the number and the rate of repeated attempts.
type Retry struct {
	BudgetPercent    int   `json:"budget_percent,omitempty" jsonschema:"minimum=1,maximum=100,default=10" jsonschema_description:"Retries allowed; unit: percent of recent requests."`
	BudgetFloor      int   `json:"budget_floor,omitempty" jsonschema:"minimum=1,maximum=1000,default=3" jsonschema_description:"Retries always allowed; unit: retries each 10 seconds."`
	MaxAttempts      int   `json:"max_attempts,omitempty" jsonschema:"minimum=1,maximum=20,default=4" jsonschema_description:"Attempts of one request; unit: attempts."`
	InitialBackoffMS int64 `json:"initial_backoff_ms,omitempty" jsonschema:"minimum=1,maximum=60000,default=20" jsonschema_description:"Backoff before the first retry; unit: milliseconds."`
	MaxBackoffMS     int64 `json:"max_backoff_ms,omitempty" jsonschema:"minimum=1,maximum=600000,default=2000" jsonschema_description:"Longest backoff; unit: milliseconds."`
}

// InitialBackoff returns InitialBackoffMS as a duration.
func (r Retry) InitialBackoff() time.Duration { return ms(r.InitialBackoffMS) }

// MaxBackoff returns MaxBackoffMS as a duration.
func (r Retry) MaxBackoff() time.Duration { return ms(r.MaxBackoffMS) }

// Deadlines holds the default and the limit of the deadlines of requests.
type Deadlines struct {
	DefaultMS int64 `json:"default_ms,omitempty" jsonschema:"minimum=1,maximum=86400000,default=60000" jsonschema_description:"Deadline of a request that gives none; unit: milliseconds after admission."`
	MaxMS     int64 `json:"max_ms,omitempty" jsonschema:"minimum=1,maximum=86400000,default=3600000" jsonschema_description:"Latest deadline a caller may ask for; unit: milliseconds after admission."`
}

// Default returns the deadline, measured from admission, of a request that
// specifies none.
func (d Deadlines) Default() time.Duration { return ms(d.DefaultMS) }

// Max returns the longest deadline, measured from admission, that a caller may
// ask for.
func (d Deadlines) Max() time.Duration { return ms(d.MaxMS) }

// Retention sets how long answers and claim rows are kept.
type Retention struct {
	ResponseMS int64 `json:"response_ms,omitempty" jsonschema:"minimum=1000,maximum=86400000,default=300000" jsonschema_description:"Response tokens after the end of the answer; unit: milliseconds."`
	ClaimMS    int64 `json:"claim_ms,omitempty" jsonschema:"minimum=60000,maximum=7776000000,default=604800000" jsonschema_description:"Claim rows after their last change; unit: milliseconds."`
}

// Response returns how long the tokens of an answer are kept after its end.
func (r Retention) Response() time.Duration { return ms(r.ResponseMS) }

// Claim returns how long claim rows are kept after their last change.
func (r Retention) Claim() time.Duration { return ms(r.ClaimMS) }

// Drain configures how backend servers are drained before they leave.
type Drain struct {
	TimeMS int64 `json:"time_ms,omitempty" jsonschema:"minimum=1000,maximum=86400000,default=600000" jsonschema_description:"Time after which running requests migrate; unit: milliseconds."`
}

// MigrateAfter returns the time after which the running requests of a leaving
// backend server migrate.
func (d Drain) MigrateAfter() time.Duration { return ms(d.TimeMS) }

// Queue bounds the queues of one entry and configures the ageing of requests.
type Queue struct {
	MaxRequests int   `json:"max_requests,omitempty" jsonschema:"minimum=1,maximum=1000000,default=2000" jsonschema_description:"Queued requests of all workspaces; unit: requests."`
	MaxTokens   int64 `json:"max_tokens,omitempty" jsonschema:"minimum=1,maximum=10000000000,default=200000000" jsonschema_description:"Queued work of all workspaces; unit: tokens."`
	AgeingMS    int64 `json:"ageing_ms,omitempty" jsonschema:"minimum=100,maximum=86400000,default=5000" jsonschema_description:"Wait for which the share of a request's class grows by the original share, up to four times; unit: milliseconds."`
}

// Routing configures the choice of a backend server for a request.
type Routing struct {
	SubsetSize      int   `json:"subset_size,omitempty" jsonschema:"minimum=1,maximum=1000,default=48" jsonschema_description:"Agents of one model that an entry talks to; unit: agents."`
	HeartbeatMS     int64 `json:"heartbeat_ms,omitempty" jsonschema:"minimum=1000,maximum=600000,default=10000" jsonschema_description:"Time without a sign of life after which an owner counts as gone; unit: milliseconds."`
	MinPrefixTokens int64 `json:"min_prefix_tokens,omitempty" jsonschema:"minimum=1,maximum=1000000,default=512" jsonschema_description:"Shortest prompt to which prefix affinity applies; unit: tokens."`
}

// Crashes configures when a request that crashes backend servers is refused.
type Crashes struct {
	RefuseAfter int   `json:"refuse_after,omitempty" jsonschema:"minimum=1,maximum=10,default=2" jsonschema_description:"Crashes after which a request is refused; unit: crashes."`
	RetentionMS int64 `json:"retention_ms,omitempty" jsonschema:"minimum=1000,maximum=86400000,default=3600000" jsonschema_description:"How long crashes are counted; unit: milliseconds."`
}

// Method describes one method of a plain service and its limits.
type Method struct {
	Name         string `json:"name,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9_]*$,maxLength=63" jsonschema_description:"Name of the method."`
	Repeatable   bool   `json:"repeatable,omitempty" jsonschema:"default=false" jsonschema_description:"Whether a call may be repeated; a call that may not be runs at most once and needs an idempotency key."`
	DeadlineMS   int64  `json:"deadline_ms,omitempty" jsonschema:"minimum=1,maximum=3600000,default=10000" jsonschema_description:"Deadline of a call that gives none; unit: milliseconds after admission."`
	MaxBodyBytes int64  `json:"max_body_bytes,omitempty" jsonschema:"minimum=1,maximum=16777216,default=65536" jsonschema_description:"Largest request body; unit: bytes."`
}

// Model describes a model that the engines of a service serve.
type Model struct {
	ID            pwrequest.ModelID `json:"id,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9.-]*$,maxLength=63" jsonschema_description:"Identifier of the model."`
	Versions      []string          `json:"versions,omitempty" jsonschema:"required,minItems=1,maxItems=8" jsonschema_description:"Versions that may be loaded."`
	ActiveVersion string            `json:"active_version,omitempty" jsonschema:"required,minLength=1,maxLength=63" jsonschema_description:"Version that new requests use; one of versions."`
	MinReplicas   int               `json:"min_replicas,omitempty" jsonschema:"minimum=1,maximum=100000,default=1" jsonschema_description:"Backend servers that always have the model loaded; unit: servers."`
	Adapters      []Adapter         `json:"adapters,omitempty" jsonschema:"maxItems=256" jsonschema_description:"Adapters of the model."`
}

// Adapter is a small set of weights that is added to those of a model.
type Adapter struct {
	ID      string `json:"id,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9.-]*$,maxLength=63" jsonschema_description:"Identifier of the adapter."`
	Version string `json:"version,omitempty" jsonschema:"required,minLength=1,maxLength=63" jsonschema_description:"Version of the adapter."`
}

// RoleShare is the share of the backend servers that have a role.
type RoleShare struct {
	Role         Role `json:"role,omitempty" jsonschema:"required,enum=mixed,enum=prefill,enum=decode" jsonschema_description:"Role of a backend server."`
	SharePercent int  `json:"share_percent,omitempty" jsonschema:"required,minimum=1,maximum=100" jsonschema_description:"Share of the backend servers; unit: percent. All roles together make 100."`
}

// Memory describes the memory of one engine and how prompts and prefixes may use it.
type Memory struct {
	EngineTokens    int64 `json:"engine_tokens,omitempty" jsonschema:"minimum=1000,maximum=100000000,default=400000" jsonschema_description:"Memory of one engine; unit: tokens."`
	PrefixTokens    int64 `json:"prefix_tokens,omitempty" jsonschema:"minimum=1,maximum=100000000,default=40000" jsonschema_description:"Part of the memory that cached prefixes may pin; unit: tokens."`
	MaxGroupMembers int   `json:"max_group_members,omitempty" jsonschema:"minimum=1,maximum=64,default=4" jsonschema_description:"Engines that one prompt may take together; unit: engines."`
}

// Lengths limits the lengths of prompts and answers.
type Lengths struct {
	MaxPromptTokens     int64 `json:"max_prompt_tokens,omitempty" jsonschema:"minimum=1,maximum=10000000,default=1000000" jsonschema_description:"Longest prompt; unit: tokens."`
	MaxOutputTokens     int64 `json:"max_output_tokens,omitempty" jsonschema:"minimum=1,maximum=1000000,default=8192" jsonschema_description:"Longest answer a caller may ask for; unit: tokens."`
	DefaultOutputTokens int64 `json:"default_output_tokens,omitempty" jsonschema:"minimum=1,maximum=1000000,default=512" jsonschema_description:"Longest answer when the caller gives no limit; unit: tokens."`
	PrefillChunkTokens  int64 `json:"prefill_chunk_tokens,omitempty" jsonschema:"minimum=256,maximum=1000000,default=8192" jsonschema_description:"Chunk in which long prompts are prefilled; unit: tokens."`
}

// Classes holds the shares of the length classes: short prompts have up to 10,000
// tokens, medium ones up to 100,000 and long ones more.
type Classes struct {
	Short  ShortShare  `json:"short,omitzero" jsonschema_description:"Prompts up to 10000 tokens."`
	Medium MediumShare `json:"medium,omitzero" jsonschema_description:"Prompts up to 100000 tokens."`
	Long   LongShare   `json:"long,omitzero" jsonschema_description:"Longer prompts."`
	// LongServersMinPercent and LongServersMaxPercent bound the adaptive cap on
	// the backend servers that long prompts may fill.
	LongServersMinPercent int `json:"long_servers_min_percent,omitempty" jsonschema:"minimum=1,maximum=100,default=10" jsonschema_description:"Smallest cap on the backend servers that long prompts may fill; unit: percent."`
	LongServersMaxPercent int `json:"long_servers_max_percent,omitempty" jsonschema:"minimum=1,maximum=100,default=50" jsonschema_description:"Largest cap on the backend servers that long prompts may fill; unit: percent."`
}

// Share is the guaranteed share of a length class in memory and dispatched work.
type Share struct {
	MemoryPercent   int
	DispatchPercent int
}

// ShortShare is the guaranteed share of short prompts.
type ShortShare struct {
	MemoryPercent   int `json:"memory_percent,omitempty" jsonschema:"minimum=1,maximum=98,default=10" jsonschema_description:"Guaranteed memory of a backend server; unit: percent."`
	DispatchPercent int `json:"dispatch_percent,omitempty" jsonschema:"minimum=1,maximum=98,default=50" jsonschema_description:"Guaranteed dispatched work; unit: percent of tokens."`
}

// MediumShare is the guaranteed share of medium prompts.
type MediumShare struct {
	MemoryPercent   int `json:"memory_percent,omitempty" jsonschema:"minimum=1,maximum=98,default=5" jsonschema_description:"Guaranteed memory of a backend server; unit: percent."`
	DispatchPercent int `json:"dispatch_percent,omitempty" jsonschema:"minimum=1,maximum=98,default=25" jsonschema_description:"Guaranteed dispatched work; unit: percent of tokens."`
}

// LongShare is the guaranteed share of long prompts.
type LongShare struct {
	MemoryPercent   int `json:"memory_percent,omitempty" jsonschema:"minimum=1,maximum=98,default=30" jsonschema_description:"Guaranteed memory of a backend server; unit: percent."`
	DispatchPercent int `json:"dispatch_percent,omitempty" jsonschema:"minimum=1,maximum=98,default=25" jsonschema_description:"Guaranteed dispatched work; unit: percent of tokens."`
}

// Engine lists the capabilities of the engines.
type Engine struct {
	RejectsStaleFence bool `json:"rejects_stale_fence,omitempty" jsonschema:"default=false" jsonschema_description:"Whether the engine itself rejects a command with an old fencing token; if not, only the agent checks."`
	ExportsKV         bool `json:"exports_kv,omitempty" jsonschema:"default=false" jsonschema_description:"Whether the engine exports and imports KV cache; prompts larger than one engine need it."`
}

// Service returns the name of the document as a service identifier.
func (d *Document) Service() pwrequest.ServiceID { return pwrequest.ServiceID(d.Name) }

// Key returns the key of the document in the change log.
func (d *Document) Key() string { return KeyPrefix + d.Name }

// KeyPrefix is the prefix of the keys of documents in the change log.
const KeyPrefix = "service/"

// Workspace returns the workspace with the given identifier.
func (d *Document) Workspace(id pwrequest.WorkspaceID) (Workspace, bool) {
	return lo.Find(d.Workspaces, func(w Workspace) bool { return w.ID == id })
}

// Model returns the model with the given identifier.
func (d *Document) Model(id pwrequest.ModelID) (Model, bool) {
	return lo.Find(d.Models, func(m Model) bool { return m.ID == id })
}

// Adapter returns the adapter of m with the given identifier.
func (m Model) Adapter(id string) (Adapter, bool) {
	return lo.Find(m.Adapters, func(a Adapter) bool { return a.ID == id })
}

// Method returns the method with the given name.
func (d *Document) Method(name string) (Method, bool) {
	return lo.Find(d.Methods, func(m Method) bool { return m.Name == name })
}

// MaxAttemptTokens returns the largest memory, in tokens, that one attempt or
// group member can use on an engine. It is the memory that is not guaranteed to
// the short and medium classes.
func (d *Document) MaxAttemptTokens() int64 {
	return d.Memory.EngineTokens * int64(100-d.Classes.Short.MemoryPercent-d.Classes.Medium.MemoryPercent) / 100
}

// Deadline returns the deadline, measured from admission, of a call that
// specifies none.
func (m Method) Deadline() time.Duration { return ms(m.DeadlineMS) }

// InDataCentre reports whether the service runs in a data centre.
func (d *Document) InDataCentre(name pwrequest.DataCentre) bool {
	return lo.ContainsBy(d.DataCentres, func(c DataCentre) bool { return c.Name == name })
}

// Share returns the guaranteed share of the given length class.
func (c Classes) Share(class pwrequest.Class) Share {
	switch class {
	case pwrequest.Short:
		return Share(c.Short)
	case pwrequest.Medium:
		return Share(c.Medium)
	default:
		return Share(c.Long)
	}
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
