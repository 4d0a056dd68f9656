// Package pwsettings holds the JSON settings of a process. It defines the
// format, the defaults, the checks and the overrides by flags and environment.
//
// # Usage
//
//	settings, err := pwsettings.Load(path, overrides)
//	if err != nil {
//		// err lists every problem with its field path
//	}
//
// The default, the unit and the range of each field are struct tags, from
// which Schema and the checks are derived. Settings are fixed for the life of
// a process; what operators change at run time is in the service documents.
package pwsettings

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

const (
	// FormatVersion is the format that this package reads.
	FormatVersion = 1
	// MaxFileBytes is the largest settings file.
	MaxFileBytes = 64 << 10
)

// Settings are the settings of one process. It has an entry part, an agent
// part, or both.
type Settings struct {
	FormatVersion int                  `json:"format_version,omitempty" jsonschema:"required,minimum=1,maximum=1" jsonschema_description:"Version of this format."`
	Instance      pwrequest.InstanceID `json:"instance,omitempty" jsonschema:"required,pattern=^[A-Za-z0-9][A-Za-z0-9._-]*$,maxLength=100" jsonschema_description:"Identifier of the instance, different for each process."`
	DataCentre    pwrequest.DataCentre `json:"data_centre,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9-]*$,maxLength=63" jsonschema_description:"Data centre of the instance."`
	LogLevel      LogLevel             `json:"log_level,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,default=info" jsonschema_description:"Least severity of log lines."`
	Listen        Listen               `json:"listen,omitzero" jsonschema_description:"Addresses on which the process accepts connections."`
	Platform      Platform             `json:"platform,omitzero" jsonschema_description:"Services of the platform."`
	Seeds         []string             `json:"seeds,omitempty" jsonschema:"maxItems=16" jsonschema_description:"IP addresses and ports of peers that are asked first for the newest configuration."`
	TLS           TLS                  `json:"tls,omitzero" jsonschema_description:"Files of the process's certificate; required on all addresses but loopback."`
	Operators     []Operator           `json:"operators,omitempty" jsonschema:"maxItems=256" jsonschema_description:"Operators that may use the operators' interface of this process."`
	Entry         *Entry               `json:"entry,omitempty" jsonschema_extras:"x-optional=true" jsonschema_description:"Settings of an entry."`
	Agent         *Agent               `json:"agent,omitempty" jsonschema_extras:"x-optional=true" jsonschema_description:"Settings of an agent."`
}

// LogLevel is the least severity of log lines.
type LogLevel string

// Log levels.
const (
	LogLevelDebug LogLevel = "debug"
	LogLevelInfo  LogLevel = "info"
	LogLevelWarn  LogLevel = "warn"
	LogLevelError LogLevel = "error"
)

// Listen holds IP addresses with ports. The defaults are loopback, so that a
// process without TLS cannot be reached from another instance by mistake.
type Listen struct {
	Callers   string `json:"callers,omitempty" jsonschema:"minLength=1,maxLength=64,default=127.0.0.1:8080" jsonschema_description:"IP address and port for callers and operators; used by an entry."`
	Peers     string `json:"peers,omitempty" jsonschema:"minLength=1,maxLength=64,default=127.0.0.1:8081" jsonschema_description:"IP address and port for the system's other processes."`
	Advertise string `json:"advertise,omitempty" jsonschema:"minLength=1,maxLength=64" jsonschema_description:"IP address and port at which other processes reach this one; default: that of peers."`
}

// Platform says how the platform's services are used.
type Platform struct {
	StoreAddress    string `json:"store_address,omitempty" jsonschema:"minLength=1,maxLength=64" jsonschema_description:"IP address and port of the platform's store. Without it no change is accepted, calls that run at most once are refused, and no other process is found."`
	ConcurrentLoads int    `json:"concurrent_loads,omitempty" jsonschema:"minimum=0,maximum=1000" jsonschema_description:"Model loads that may run at once in all services; 0 loads nothing."`
	TimeoutMS       int64  `json:"timeout_ms,omitempty" jsonschema:"minimum=10,maximum=60000,default=2000" jsonschema_description:"Longest time of one call to the platform; unit: milliseconds."`
}

// Timeout returns the longest time of one call to the platform.
func (p Platform) Timeout() time.Duration { return time.Duration(p.TimeoutMS) * time.Millisecond }

// TLS names PEM files. They are read again when they change.
type TLS struct {
	CertificateFile string `json:"certificate_file,omitempty" jsonschema:"minLength=1,maxLength=500" jsonschema_description:"Certificate of the process and its intermediates."`
	KeyFile         string `json:"key_file,omitempty" jsonschema:"minLength=1,maxLength=500" jsonschema_description:"Private key of the certificate."`
	CAFile          string `json:"ca_file,omitempty" jsonschema:"minLength=1,maxLength=500" jsonschema_description:"Certificate authorities of the system's processes."`
	PollMS          int64  `json:"poll_ms,omitempty" jsonschema:"minimum=100,maximum=3600000,default=10000" jsonschema_description:"Time between two looks at the files; unit: milliseconds."`
}

// Enabled reports whether the files are named.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// PollInterval returns the time between two looks at the files.
func (t TLS) PollInterval() time.Duration { return time.Duration(t.PollMS) * time.Millisecond }

// Operator is a person or program that operates the system.
type Operator struct {
	Name        string   `json:"name,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9-]*$,maxLength=63" jsonschema_description:"Name of the operator."`
	Team        string   `json:"team,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9-]*$,maxLength=63" jsonschema_description:"Team of the operator; it may change only its own documents."`
	Credentials []string `json:"credentials,omitempty" jsonschema:"required,minItems=1,maxItems=4" jsonschema_description:"Hashed credentials, as printed by credential hash; several allow a change without interruption."`
}

// Entry holds the settings of an entry.
type Entry struct {
	Subset            int   `json:"subset,omitempty" jsonschema:"minimum=1,maximum=10000,default=48" jsonschema_description:"Agents of each service and model with which this entry communicates; unit: agents."`
	FlightRetentionMS int64 `json:"flight_retention_ms,omitempty" jsonschema:"minimum=1000,maximum=3600000,default=60000" jsonschema_description:"How long an ended request is kept in this entry; unit: milliseconds."`
	ShutdownMS        int64 `json:"shutdown_ms,omitempty" jsonschema:"minimum=1000,maximum=86400000,default=3600000" jsonschema_description:"Longest time of a graceful shutdown; unit: milliseconds."`
}

// FlightRetention returns how long an ended request is kept.
func (e Entry) FlightRetention() time.Duration {
	return time.Duration(e.FlightRetentionMS) * time.Millisecond
}

// ShutdownTimeout returns the longest time of a graceful shutdown.
func (e Entry) ShutdownTimeout() time.Duration { return time.Duration(e.ShutdownMS) * time.Millisecond }

// Agent holds the settings of the agent beside one backend server. Memory and
// concurrency are facts of that server; rules are in the service document.
type Agent struct {
	BackendServer   pwrequest.BackendServerID `json:"backend_server,omitempty" jsonschema:"required,pattern=^[A-Za-z0-9][A-Za-z0-9._-]*$,maxLength=100" jsonschema_description:"Identifier of the backend server."`
	Service         pwrequest.ServiceID       `json:"service,omitempty" jsonschema:"required,pattern=^[a-z][a-z0-9-]*$,maxLength=63" jsonschema_description:"Service of the backend server."`
	Kind            pwdocument.Kind           `json:"kind,omitempty" jsonschema:"required,enum=model_engines,enum=plain" jsonschema_description:"What runs on the backend server, as in the document."`
	URL             string                    `json:"url,omitempty" jsonschema:"required,minLength=1,maxLength=500" jsonschema_description:"Base URL of the engine or plain service."`
	Models          []pwrequest.ModelID       `json:"models,omitempty" jsonschema:"maxItems=64" jsonschema_description:"Models that the engine has at the start; required for model engines and not allowed for a plain service."`
	Role            pwdocument.Role           `json:"role,omitempty" jsonschema:"enum=mixed,enum=prefill,enum=decode,default=mixed" jsonschema_description:"Role of the engine at the start."`
	MemoryTokens    int64                     `json:"memory_tokens,omitempty" jsonschema:"minimum=1000,maximum=100000000,default=400000" jsonschema_description:"Memory of the engine; unit: tokens."`
	MaxAttempts     int                       `json:"max_attempts,omitempty" jsonschema:"minimum=1,maximum=4096,default=32" jsonschema_description:"Concurrent attempts of the warm backend server; unit: attempts."`
	InitialAttempts int                       `json:"initial_attempts,omitempty" jsonschema:"minimum=1,maximum=4096,default=2" jsonschema_description:"Concurrent attempts of the fresh backend server; unit: attempts."`
	MaxLong         int                       `json:"max_long,omitempty" jsonschema:"minimum=1,maximum=4096,default=2" jsonschema_description:"Concurrent attempts of the long class; unit: attempts."`
	MaxCalls        int                       `json:"max_calls,omitempty" jsonschema:"minimum=1,maximum=4096,default=64" jsonschema_description:"Concurrent calls of a plain service; unit: calls."`
	MaxAnswerBytes  int64                     `json:"max_answer_bytes,omitempty" jsonschema:"minimum=1048576,maximum=17179869184,default=268435456" jsonschema_description:"Kept responses together; unit: bytes."`
	RetentionMS     int64                     `json:"retention_ms,omitempty" jsonschema:"minimum=1000,maximum=86400000,default=300000" jsonschema_description:"How long a response can be read after its end; unit: milliseconds."`
	ShutdownMS      int64                     `json:"shutdown_ms,omitempty" jsonschema:"minimum=1000,maximum=86400000,default=3600000" jsonschema_description:"Longest time of a graceful shutdown; unit: milliseconds."`
}

// AnswerRetention returns how long a response can be read after its end.
func (a Agent) AnswerRetention() time.Duration {
	return time.Duration(a.RetentionMS) * time.Millisecond
}

// ShutdownTimeout returns the longest time of a graceful shutdown.
func (a Agent) ShutdownTimeout() time.Duration { return time.Duration(a.ShutdownMS) * time.Millisecond }

// AdvertisedAddress returns the address at which other processes reach this one.
func (s *Settings) AdvertisedAddress() string {
	if s.Listen.Advertise != "" {
		return s.Listen.Advertise
	}
	return s.Listen.Peers
}
