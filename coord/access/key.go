package access

import (
	"crypto/sha256"
	"strings"
)

const (
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 256
	// MaxWorkspaceBytes is the maximum length of a workspace's name.
	MaxWorkspaceBytes = 128
)

// Digest is the digest of a key.
type Digest [sha256.Size]byte

type keyState uint8

const (
	absent keyState = iota
	malformed
	wellFormed
)

// Key is what a caller presented as its key. It does not contain the key itself. The
// zero value is an absent key.
type Key struct {
	digest Digest
	state  keyState
}

// ParseKey returns the key in the values of a header. Several values, and one that is
// empty, too long or contains anything but visible ASCII characters, are malformed.
func ParseKey(values []string) Key {
	switch {
	case len(values) == 0:
		return Key{}
	case len(values) > 1 || !isToken(values[0], MaxKeyBytes):
		return Key{state: malformed}
	}
	return Key{digest: sha256.Sum256([]byte(values[0])), state: wellFormed}
}

// Digest returns the digest of a key, and false if it is absent or malformed.
func (k Key) Digest() (Digest, bool) { return k.digest, k.state == wellFormed }

// Problem says why no workspace can have the key. It is empty for a well-formed key.
func (k Key) Problem() string {
	return [...]string{absent: "no key", malformed: "a malformed key", wellFormed: ""}[k.state]
}

// IsWorkspaceName reports whether a name may be passed on in a header.
func IsWorkspaceName(name string) bool { return isToken(name, MaxWorkspaceBytes) }

// isToken reports whether a text has between one and maxBytes visible ASCII characters.
func isToken(text string, maxBytes int) bool {
	isOther := func(r rune) bool { return r <= ' ' || r > '~' }
	return text != "" && len(text) <= maxBytes && strings.IndexFunc(text, isOther) < 0
}
