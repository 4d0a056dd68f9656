// Package pwcredential implements the "credential" commands, which create
// credentials and print the hashed form that documents and settings hold.
//
// # Usage
//
//	opts := pwcredential.HashOptions{
//		File: "-",
//	}
//	err := opts.Run(ctx, env)
package pwcredential

import (
	"context"
	"crypto/rand"
	"strings"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcredential"
)

// Command groups the "credential" commands.
type Command struct {
	Hash HashOptions `cmd:"" help:"Print the hashed form of a credential."`
	New  NewOptions  `cmd:"" help:"Print a new random credential and its hashed form."`
}

// hashFlags holds the flags of both commands.
type hashFlags struct {
	pwconsole.OutputFlags
	Salt string `help:"Salt of the other credentials in the document or settings, the part after hmac-sha256; a random one by default." placeholder:"HEX"`
}

// result is the JSON output. Credential is set for a new credential only.
type result struct {
	Credential string `json:"credential,omitempty"`
	Hashed     string `json:"hashed"`
}

// print hashes a credential and prints the hashed form, preceded by the credential
// itself if showCredential is set.
func (s hashFlags) print(env *pwconsole.Env, credential string, showCredential bool) error {
	env.SetOutput(s.OutputFlags)
	hashed, err := pwcredential.Hash(credential, lo.CoalesceOrEmpty(s.Salt, pwcredential.NewSalt()))
	if err != nil {
		return err
	}
	out := result{
		Hashed: hashed,
	}
	row := []string{hashed}
	if showCredential {
		out.Credential = credential
		row = []string{credential, hashed}
	}
	return env.Print(s.OutputFlags, out, pwconsole.Table{
		Rows:  [][]string{row},
		Notes: row,
	})
}

// HashOptions holds the arguments and flags of "credential hash".
type HashOptions struct {
	hashFlags
	File string `arg:"" help:"File with the credential; - reads standard input."`
}

// Help implements kong.HelpProvider.
func (HashOptions) Help() string {
	return pwconsole.Examples(`credential hash operator-credential`, `credential hash - --salt 6c616e7465726e2d6578616d706c6531`)
}

// Run prints the hashed form of a credential.
func (o *HashOptions) Run(_ context.Context, env *pwconsole.Env) error {
	data, err := env.ReadInput(o.File, pwcredential.MaxBytes+len("\r\n"))
	if err != nil {
		return err
	}
	return o.print(env, strings.TrimSpace(string(data)), false)
}

// NewOptions holds the flags of "credential new".
type NewOptions struct {
	hashFlags
}

// Help implements kong.HelpProvider.
func (NewOptions) Help() string { return pwconsole.Examples(`credential new`) }

// Run prints a new credential and its hashed form.
func (o *NewOptions) Run(_ context.Context, env *pwconsole.Env) error {
	return o.print(env, rand.Text(), true)
}
