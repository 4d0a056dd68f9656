package pwdocument

import (
	"fmt"
	"slices"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcredential"
	"github.com/pomeloweir/pomeloweir/internal/state/pwschema"
)

// checkMeaning checks the rules that relate several fields to one another.
func (c *checker) checkMeaning(d *Document) {
	c.CheckUnique("data_centres", ".name", lo.Map(d.DataCentres, func(x DataCentre, _ int) string { return string(x.Name) }))
	c.CheckUnique("workspaces", ".id", lo.Map(d.Workspaces, func(x Workspace, _ int) string { return string(x.ID) }))
	c.CheckUnique("models", ".id", lo.Map(d.Models, func(x Model, _ int) string { return string(x.ID) }))
	c.CheckUnique("methods", ".name", lo.Map(d.Methods, func(x Method, _ int) string { return x.Name }))
	c.CheckUnique("roles", ".role", lo.Map(d.Roles, func(x RoleShare, _ int) string { return string(x.Role) }))
	c.checkCredentials(d)
	c.checkKind(d)
	c.checkModels(d)
	c.checkShares(d)
	c.CheckOrder("retry.initial_backoff_ms", d.Retry.InitialBackoffMS, "retry.max_backoff_ms", d.Retry.MaxBackoffMS)
	c.CheckOrder("deadlines.default_ms", d.Deadlines.DefaultMS, "deadlines.max_ms", d.Deadlines.MaxMS)
	c.CheckOrder("warm_up.initial_attempts", int64(d.WarmUp.InitialAttempts), "running.max_attempts", int64(d.Running.MaxAttempts))
	c.CheckOrder("running.max_long", int64(d.Running.MaxLong), "running.max_attempts", int64(d.Running.MaxAttempts))
	c.CheckOrder("lengths.default_output_tokens", d.Lengths.DefaultOutputTokens, "lengths.max_output_tokens", d.Lengths.MaxOutputTokens)
	c.CheckOrder("classes.long_servers_min_percent", int64(d.Classes.LongServersMinPercent),
		"classes.long_servers_max_percent", int64(d.Classes.LongServersMaxPercent))
	c.CheckOrder("memory.prefix_tokens", d.Memory.PrefixTokens, "memory.engine_tokens", d.Memory.EngineTokens)
	for i, m := range d.Methods {
		c.CheckOrder(fmt.Sprintf("methods[%d].deadline_ms", i), m.DeadlineMS, "deadlines.max_ms", d.Deadlines.MaxMS)
	}
}

// checkCredentials never repeats a value, because it may be a credential that
// was written in clear by mistake.
func (c *checker) checkCredentials(d *Document) {
	seen := map[pwcredential.ParsedHash]string{}
	salts := map[[pwcredential.SaltBytes]byte]bool{}
	for i, w := range d.Workspaces {
		for j, s := range w.Credentials {
			path := fmt.Sprintf("workspaces[%d].credentials[%d]", i, j)
			cred, ok := pwcredential.Parse(s)
			if !ok {
				c.AddProblem(path, fmt.Sprintf("text of %d characters", len(s)), "%s", pwcredential.HashFormat)
				continue
			}
			if other, repeated := seen[cred]; repeated {
				c.AddProblem(path, "a hash", "a hash other than that of %s", other)
			}
			seen[cred] = path
			salts[cred.Salt()] = true
		}
	}
	if len(salts) > MaxSalts {
		c.AddProblem("workspaces", fmt.Sprintf("credentials with %d salts", len(salts)), "at most %d salts", MaxSalts)
	}
}

func (c *checker) checkKind(d *Document) {
	switch d.Kind {
	case KindModelEngines:
		c.checkPresence("models", len(d.Models), true)
		c.checkPresence("methods", len(d.Methods), false)
	case KindPlain:
		c.checkPresence("models", len(d.Models), false)
		c.checkPresence("roles", len(d.Roles), false)
		c.checkPresence("methods", len(d.Methods), true)
	}
}

func (c *checker) checkPresence(path string, n int, wanted bool) {
	if wanted && n == 0 {
		c.AddProblem(path, "no items", "at least 1 item for this kind of service")
	}
	if !wanted && n > 0 {
		c.AddProblem(path, fmt.Sprintf("%d items", n), "no items for this kind of service")
	}
}

func (c *checker) checkModels(d *Document) {
	servers := lo.SumBy(d.DataCentres, func(x DataCentre) int { return x.BackendServers })
	for i, m := range d.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.CheckUnique(path+".versions", "", m.Versions)
		c.CheckUnique(path+".adapters", ".id", lo.Map(m.Adapters, func(x Adapter, _ int) string { return x.ID }))
		if m.ActiveVersion != "" && !slices.Contains(m.Versions, m.ActiveVersion) {
			c.AddProblem(path+".active_version", pwschema.Describe(m.ActiveVersion), "one of %s.versions", path)
		}
		c.CheckOrder(path+".min_replicas", int64(m.MinReplicas), "the sum of data_centres[].backend_servers", int64(servers))
	}
}

func (c *checker) checkShares(d *Document) {
	const whole = 100
	if sum := lo.SumBy(d.Roles, func(r RoleShare) int { return r.SharePercent }); len(d.Roles) > 0 && sum != whole {
		c.AddProblem("roles", fmt.Sprintf("shares of %d percent together", sum), "100 percent together")
	}
	all := []Share{Share(d.Classes.Short), Share(d.Classes.Medium), Share(d.Classes.Long)}
	if sum := lo.SumBy(all, func(s Share) int { return s.MemoryPercent }); sum > whole {
		c.AddProblem("classes", fmt.Sprintf("memory shares of %d percent together", sum), "at most 100 percent together")
	}
	if sum := lo.SumBy(all, func(s Share) int { return s.DispatchPercent }); sum > whole {
		c.AddProblem("classes", fmt.Sprintf("dispatch shares of %d percent together", sum), "at most 100 percent together")
	}
	if d.Kind != KindModelEngines {
		return
	}
	members := int64(1)
	if d.Engine.ExportsKV {
		members = int64(d.Memory.MaxGroupMembers)
	}
	if room := members * d.MaxAttemptTokens(); d.Lengths.MaxPromptTokens+d.Lengths.MaxOutputTokens > room {
		c.AddProblem("lengths.max_prompt_tokens", fmt.Sprint(d.Lengths.MaxPromptTokens),
			"with max_output_tokens at most %d, what %d engines hold beside the shares of shorter classes", room, members)
	}
}
