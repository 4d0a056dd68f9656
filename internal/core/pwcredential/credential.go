// Package pwcredential hashes credentials for storage in documents and settings, and
// finds the owner of a credential without leaking by its timing which one matches.
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

// Sizes and format of credentials.
const (
	// MinBytes is the length of the shortest credential allowed. Credentials are
	// random strings that people don't choose, so that a fast hash is secure enough.
	MinBytes = 20
	// MaxBytes is the length of the longest credential allowed.
	MaxBytes = 256
	// SaltBytes is the size of a salt.
	SaltBytes = 16

	hashScheme = "hmac-sha256"
	// HashFormat describes the format of a hashed credential in error messages.
	HashFormat = hashScheme + `:<salt>:<hash>, as printed by "pomeloweir credential hash"`
)

// NewSalt returns a random salt for Hash, in hexadecimal digits.
func NewSalt() string {
	b := make([]byte, SaltBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Hash returns the hashed form of a credential, "hmac-sha256:<salt>:<hash>".
// Credentials of one Set should share a salt from NewSalt, because Find computes one
// hash for each salt.
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

// Salt returns the salt with which the credential was hashed.
func (h ParsedHash) Salt() [SaltBytes]byte { return h.salt }

// Parse decodes a hashed credential from Hash. It returns false for any other text.
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

// Set holds hashed credentials with their owners. The zero value is an empty set.
// Find may be called concurrently, but not together with Add.
type Set[T any] struct {
	salts        [][SaltBytes]byte
	hashesBySalt map[[SaltBytes]byte][]storedHash
	owners       []T
}

// storedHash is a hash in a Set with the index of its owner.
type storedHash struct {
	hash  [sha256.Size]byte
	owner int
}

// Add adds a hashed credential. It ignores a text that Parse can't decode.
func (s *Set[T]) Add(hashed string, owner T) {
	h, ok := Parse(hashed)
	if !ok {
		return
	}
	if s.hashesBySalt == nil {
		s.hashesBySalt = map[[SaltBytes]byte][]storedHash{}
	}
	if _, hasSalt := s.hashesBySalt[h.salt]; !hasSalt {
		s.salts = append(s.salts, h.salt)
	}
	s.hashesBySalt[h.salt] = append(s.hashesBySalt[h.salt], storedHash{
		hash:  h.hash,
		owner: len(s.owners),
	})
	s.owners = append(s.owners, owner)
}

// Find returns the owner of a credential. It compares the credential with every
// stored hash in constant time, so that its duration doesn't depend on which hash
// matches or on how many bytes match. The duration grows with the number of hashes.
func (s *Set[T]) Find(credential string) (owner T, ok bool) {
	if len(credential) < MinBytes || len(credential) > MaxBytes {
		return owner, false
	}
	match := 0
	for _, salt := range s.salts {
		sum := saltedHash(salt[:], credential)
		for i := range s.hashesBySalt[salt] {
			stored := &s.hashesBySalt[salt][i]
			equal := subtle.ConstantTimeCompare(sum[:], stored.hash[:])
			match = subtle.ConstantTimeSelect(equal, stored.owner+1, match)
		}
	}
	if match == 0 {
		return owner, false
	}
	return s.owners[match-1], true
}
