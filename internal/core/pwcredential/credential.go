// Package pwcredential holds the hashed form of credentials, which documents
// and settings may contain, and compares credentials in constant time.
//
// # Usage
//
//	hashed, err := pwcredential.Hash(credential, pwcredential.NewSalt())
//
//	var set pwcredential.Set[string]
//	set.Add(hashed, "lantern-models")
//	team, ok := set.Find(credential)
package pwcredential

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Sizes of credentials.
const (
	// MinBytes is the shortest credential. Credentials are random strings, so
	// that a fast hash is enough; people do not choose them.
	MinBytes = 20
	// MaxBytes is the longest credential that is looked at.
	MaxBytes = 256
	// SaltBytes is the size of a salt.
	SaltBytes = 16

	hashScheme = "hmac-sha256"
	// HashFormat describes the hashed form in messages.
	HashFormat = hashScheme + `:<salt>:<hash>, as printed by "pomeloweir credential hash"`
)

// NewSalt returns a random salt for Hash.
func NewSalt() string {
	b := make([]byte, SaltBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Hash returns the hashed form of a credential,
// "hmac-sha256:<salt>:<hash>". Credentials that are compared together should
// have one salt from NewSalt, because Find computes one hash for each salt.
func Hash(credential, salt string) (string, error) {
	if n := len(credential); n < MinBytes || n > MaxBytes {
		return "", pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"credential has %d bytes; allowed: %d to %d", n, MinBytes, MaxBytes)
	}
	raw, err := hex.DecodeString(salt)
	if err != nil || len(raw) != SaltBytes {
		return "", pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"salt has %d characters; allowed: %d hexadecimal digits", len(salt), 2*SaltBytes)
	}
	sum := saltedHash(raw, credential)
	return strings.Join([]string{hashScheme, salt, hex.EncodeToString(sum[:])}, ":"), nil
}

func saltedHash(salt []byte, credential string) [sha256.Size]byte {
	m := hmac.New(sha256.New, salt)
	_, _ = m.Write([]byte(credential))
	return [sha256.Size]byte(m.Sum(nil))
}

// ParsedHash is the decoded form of a hashed credential.
type ParsedHash struct {
	salt [SaltBytes]byte
	hash [sha256.Size]byte
}

// Salt returns the salt.
func (h ParsedHash) Salt() [SaltBytes]byte { return h.salt }

// Parse decodes what Hash returns. ok is false for anything else.
func Parse(s string) (h ParsedHash, ok bool) {
	parts := strings.Split(s, ":")
	if len(parts) != 3 || parts[0] != hashScheme {
		return h, false
	}
	salt, err1 := hex.DecodeString(parts[1])
	hash, err2 := hex.DecodeString(parts[2])
	if err1 != nil || err2 != nil || len(salt) != SaltBytes || len(hash) != sha256.Size {
		return h, false
	}
	copy(h.salt[:], salt)
	copy(h.hash[:], hash)
	return h, true
}

// Set holds hashed credentials and whom they belong to. The zero value is
// empty. It is safe for concurrent use of Find.
type Set[T any] struct {
	salts  [][SaltBytes]byte
	stored map[[SaltBytes]byte][]member
	owners []T
}

type member struct {
	hash  [sha256.Size]byte
	owner int
}

// Add adds a hashed credential. One that Parse refuses is left out.
func (s *Set[T]) Add(hashed string, owner T) {
	h, ok := Parse(hashed)
	if !ok {
		return
	}
	if s.stored == nil {
		s.stored = map[[SaltBytes]byte][]member{}
	}
	if _, known := s.stored[h.salt]; !known {
		s.salts = append(s.salts, h.salt)
	}
	s.stored[h.salt] = append(s.stored[h.salt], member{
		hash:  h.hash,
		owner: len(s.owners),
	})
	s.owners = append(s.owners, owner)
}

// Find returns the owner of a credential. It compares with every stored
// credential, so that its time does not depend on which one matches or how
// much of it; the time grows with the number of credentials.
func (s *Set[T]) Find(credential string) (owner T, ok bool) {
	if len(credential) < MinBytes || len(credential) > MaxBytes {
		return owner, false
	}
	found := 0
	for _, salt := range s.salts {
		sum := saltedHash(salt[:], credential)
		for i := range s.stored[salt] {
			m := &s.stored[salt][i]
			equal := subtle.ConstantTimeCompare(sum[:], m.hash[:])
			found = subtle.ConstantTimeSelect(equal, m.owner+1, found)
		}
	}
	if found == 0 {
		return owner, false
	}
	return s.owners[found-1], true
}
