// Package access decides to which workspace a caller's key belongs. It answers the load
// of every request of a deployment with workspaces: one lookup for each, however many
// keys there are. Keys are kept as digests only.
package access

import (
	"crypto/sha256"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Workspace is what a request needs to know about the workspace of its key.
type Workspace struct {
	Name structs.WorkspaceName
	// Priority precedes the priority of routes; zero is the highest.
	Priority int
}

// Digest is the digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Table maps keys to workspaces. It is immutable. A nil table means that the deployment
// has no workspaces and that requests need no key.
type Table struct {
	workspaces map[Digest]Workspace
}

// Grant gives a workspace its keys.
type Grant struct {
	Workspace Workspace
	Keys      []Digest
}

// NewTable returns the table of some grants.
func NewTable(grants []Grant) *Table {
	t := &Table{workspaces: make(map[Digest]Workspace)}
	for _, grant := range grants {
		for _, key := range grant.Keys {
			t.workspaces[key] = grant.Workspace
		}
	}
	return t
}

// Lookup returns the workspace of a key, and false for an unknown key.
func (t *Table) Lookup(key string) (Workspace, bool) {
	workspace, ok := t.workspaces[DigestOf(key)]
	return workspace, ok
}
