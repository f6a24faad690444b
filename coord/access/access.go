// Package access decides to which workspace a caller's key belongs, which keys are in
// force after a change of the configuration, and which batch jobs a caller may see. It
// answers the load of every request of a deployment with workspaces: one look-up for
// each, however many keys there are. Keys are kept as digests only.
package access

import (
	"fmt"
	"maps"
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Workspace is what a request needs to know about the workspace of its key.
type Workspace struct {
	Name structs.WorkspaceName
	// Priority precedes the priority of routes; zero is the highest.
	Priority int
}

// Entry is a workspace with its keys, as a configuration names them.
type Entry struct {
	Workspace Workspace
	Keys      []Digest
	// Flaw says why the entry cannot be used; empty if it can.
	Flaw string
}

// Flaw is a part of a configuration that is not in force.
type Flaw struct {
	// Workspace is empty if its name cannot be used either.
	Workspace structs.WorkspaceName
	Reason    string
}

// Table maps keys to workspaces. It is immutable. A nil table means that the deployment
// has no workspaces and that requests need no key.
type Table struct {
	workspaces map[Digest]Workspace
	byName     map[structs.WorkspaceName]Workspace
	flaws      []Flaw
}

// NewTable returns the table of the entries of a configuration. A workspace that is named twice, and one
// with a key that is named twice, are flawed as well; flawed workspaces have no keys.
func NewTable(entries []Entry) *Table {
	t := &Table{workspaces: make(map[Digest]Workspace), byName: make(map[structs.WorkspaceName]Workspace)}
	reasons := flawsOf(entries)
	for i, entry := range entries {
		if reasons[i] != "" {
			t.flaws = append(t.flaws, newFlaw(entry.Workspace.Name, reasons[i]))
			continue
		}
		t.byName[entry.Workspace.Name] = entry.Workspace
		for _, key := range entry.Keys {
			t.workspaces[key] = entry.Workspace
		}
	}
	return t
}

func newFlaw(name structs.WorkspaceName, reason string) Flaw {
	if !IsWorkspaceName(string(name)) {
		name = ""
	}
	return Flaw{Workspace: name, Reason: reason}
}

// flawsOf returns the reason why each entry is flawed, or an empty string.
func flawsOf(entries []Entry) []string {
	names := make(map[structs.WorkspaceName]int)
	keys := make(map[Digest]int)
	for _, entry := range entries {
		names[entry.Workspace.Name]++
		for _, key := range entry.Keys {
			keys[key]++
		}
	}
	reasons := make([]string, len(entries))
	for i, entry := range entries {
		switch {
		case entry.Flaw != "":
			reasons[i] = entry.Flaw
		case !IsWorkspaceName(string(entry.Workspace.Name)):
			reasons[i] = "its name is empty or malformed"
		case names[entry.Workspace.Name] > 1:
			reasons[i] = "it is named more than once"
		default:
			for number, key := range entry.Keys {
				if keys[key] > 1 {
					reasons[i] = fmt.Sprintf("its key number %d is named more than once", number)
				}
			}
		}
	}
	return reasons
}

// Over returns the table that is in force after an earlier one: a flawed workspace keeps
// the keys that it had, except those that now belong to another one.
func (t *Table) Over(earlier *Table) *Table {
	if len(t.flaws) == 0 || earlier == nil {
		return t
	}
	next := &Table{workspaces: make(map[Digest]Workspace, len(t.workspaces)), byName: maps.Clone(t.byName), flaws: t.flaws}
	for _, flaw := range t.flaws {
		if workspace, ok := earlier.byName[flaw.Workspace]; ok {
			next.byName[flaw.Workspace] = workspace
		}
	}
	for key, workspace := range earlier.workspaces {
		if slices.ContainsFunc(t.flaws, func(flaw Flaw) bool { return flaw.Workspace == workspace.Name }) {
			next.workspaces[key] = workspace
		}
	}
	maps.Copy(next.workspaces, t.workspaces)
	return next
}

// Flaws returns the parts of the configuration that are not in force.
func (t *Table) Flaws() []Flaw { return t.flaws }

// Named returns the workspace of a name, and false if there is none.
func (t *Table) Named(name structs.WorkspaceName) (Workspace, bool) {
	workspace, ok := t.byName[name]
	return workspace, ok
}

// Lookup returns the workspace of a key, and false for an unknown or malformed one.
func (t *Table) Lookup(key Key) (Workspace, bool) {
	if key.state != wellFormed {
		return Workspace{}, false
	}
	workspace, ok := t.workspaces[key.digest]
	return workspace, ok
}

// routePriorities is the number of priorities of routes that Rank tells apart.
const routePriorities = 10

// Rank combines the priorities of a workspace, which is nil if there is none, and of a
// route. That of the workspace goes first; zero is the highest.
func Rank(workspace *Workspace, routePriority int) int {
	if workspace == nil {
		return routePriority
	}
	return workspace.Priority*routePriorities + min(max(0, routePriority), routePriorities-1)
}
