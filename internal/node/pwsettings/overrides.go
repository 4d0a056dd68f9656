package pwsettings

import (
	"strings"
)

// Overrides are the fields of the settings that flags and the environment may
// set. An empty value leaves the field as it is in the file. A flag takes
// precedence over the environment, and both over the file. Credentials cannot
// be overridden, because arguments are visible to other users of the instance.
type Overrides struct {
	Instance        string   `help:"Instance identifier." env:"POMELOWEIR_INSTANCE" placeholder:"ID"`
	DataCentre      string   `help:"Data centre of the instance." env:"POMELOWEIR_DATA_CENTRE" placeholder:"NAME"`
	LogLevel        string   `help:"Least severity of log lines: debug, info, warn or error." env:"POMELOWEIR_LOG_LEVEL" placeholder:"LEVEL"`
	ListenCallers   string   `name:"listen-callers" help:"IP address and port for callers and operators." env:"POMELOWEIR_LISTEN_CALLERS" placeholder:"ADDRESS"`
	ListenPeers     string   `name:"listen-peers" help:"IP address and port for the system's other processes." env:"POMELOWEIR_LISTEN_PEERS" placeholder:"ADDRESS"`
	Advertise       string   `help:"IP address and port at which other processes reach this one." env:"POMELOWEIR_ADVERTISE" placeholder:"ADDRESS"`
	StoreAddress    string   `name:"store-address" help:"IP address and port of the platform's store." env:"POMELOWEIR_STORE_ADDRESS" placeholder:"ADDRESS"`
	Seeds           []string `name:"seed" help:"Peer that is asked first for the newest configuration; may be given several times." env:"POMELOWEIR_SEEDS" placeholder:"ADDRESS"`
	CertificateFile string   `name:"tls-certificate" help:"PEM file of the process's certificate." env:"POMELOWEIR_TLS_CERTIFICATE" placeholder:"FILE"`
	KeyFile         string   `name:"tls-key" help:"PEM file of the certificate's private key." env:"POMELOWEIR_TLS_KEY" placeholder:"FILE"`
	CAFile          string   `name:"tls-ca" help:"PEM file of the certificate authorities of the system's processes." env:"POMELOWEIR_TLS_CA" placeholder:"FILE"`
	AgentURL        string   `name:"agent-url" help:"Base URL of the engine or plain service beside the agent." env:"POMELOWEIR_AGENT_URL" placeholder:"URL"`
}

// applyTo sets the overridden fields in a decoded settings file and returns
// the flag of each by field path. A tree that is not an object is left as it
// is, because it is refused later.
func (o Overrides) applyTo(tree any) map[string]string {
	sources := map[string]string{}
	root, ok := tree.(map[string]any)
	if !ok {
		return sources
	}
	for _, f := range []struct{ path, flag, v string }{
		{"instance", "instance", o.Instance},
		{"data_centre", "data-centre", o.DataCentre},
		{"log_level", "log-level", o.LogLevel},
		{"listen.callers", "listen-callers", o.ListenCallers},
		{"listen.peers", "listen-peers", o.ListenPeers},
		{"listen.advertise", "advertise", o.Advertise},
		{"platform.store_address", "store-address", o.StoreAddress},
		{"tls.certificate_file", "tls-certificate", o.CertificateFile},
		{"tls.key_file", "tls-key", o.KeyFile},
		{"tls.ca_file", "tls-ca", o.CAFile},
		{"agent.url", "agent-url", o.AgentURL},
	} {
		if f.v != "" && set(root, f.path, f.v) {
			sources[f.path] = source(f.flag, f.flag)
		}
	}
	if len(o.Seeds) > 0 {
		list := make([]any, 0, len(o.Seeds))
		for _, s := range o.Seeds {
			list = append(list, s)
		}
		root["seeds"] = list
		sources["seeds"] = source("seed", "seeds")
	}
	return sources
}

func source(flag, variable string) string {
	return "--" + flag + " or POMELOWEIR_" + strings.ToUpper(strings.ReplaceAll(variable, "-", "_"))
}

func set(root map[string]any, path, v string) bool {
	part, field, nested := strings.Cut(path, ".")
	if !nested {
		root[part] = v
		return true
	}
	if _, present := root[part]; !present {
		root[part] = map[string]any{}
	}
	sub, ok := root[part].(map[string]any)
	if ok {
		sub[field] = v
	}
	return ok
}

// Flags are the flags of a command that runs a process.
type Flags struct {
	SettingsFile string `name:"settings" help:"Settings file; without it all fields come from flags and the environment." env:"POMELOWEIR_SETTINGS" placeholder:"FILE"`
	Check        bool   `help:"Check the settings and end without starting."`
	Overrides
}

// Load reads the settings that the flags describe.
func (f Flags) Load() (*Settings, error) { return Load(f.SettingsFile, f.Overrides) }
