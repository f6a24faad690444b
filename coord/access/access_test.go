package access

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func keyOf(text string) Key { return ParseKey([]string{text}) }

func entryOf(name string, keys ...string) Entry {
	entry := Entry{Workspace: Workspace{Name: structs.WorkspaceName(name)}}
	for _, text := range keys {
		digest, _ := keyOf(text).Digest()
		entry.Keys = append(entry.Keys, digest)
	}
	return entry
}

func ownerOf(t *Table, text string) structs.WorkspaceName {
	workspace, _ := t.Lookup(keyOf(text))
	return workspace.Name
}

// TestTable_FlawedWorkspaces checks that what is repeated or malformed leaves the earlier
// keys in force, for the workspaces that it concerns and for no others.
func TestTable_FlawedWorkspaces(t *testing.T) {
	earlier := NewTable([]Entry{entryOf("a", "a1"), entryOf("b", "b1"), entryOf("c", "c1"), entryOf("d", "d1"), entryOf("e", "e1")})
	malformedEntry := entryOf("d", "d2")
	malformedEntry.Flaw = "its entry is malformed"
	next := NewTable([]Entry{
		entryOf("a", "shared"), entryOf("b", "shared"), entryOf("c", "c2"), malformedEntry, entryOf("f", "f1", "f1"),
		entryOf("g", "g1"), entryOf("g", "g2"), entryOf("h i", "h1"), entryOf("j", "d1"),
	}).Over(earlier)
	for key, owner := range map[string]string{
		"a1": "a", "b1": "b", "shared": "", "c1": "", "c2": "c", "d2": "", "d1": "j", "e1": "", "f1": "", "g1": "", "g2": "", "h1": "",
	} {
		must.Eq(t, structs.WorkspaceName(owner), ownerOf(next, key), must.Sprint(key))
	}
	must.Len(t, 7, next.Flaws())
	must.Eq(t, "", ownerOf(next.Over(earlier), "c1"))
}

func TestScope_Sees(t *testing.T) {
	for _, c := range []struct {
		scope Scope
		job   structs.WorkspaceName
		want  Visibility
	}{
		{Scope{All: true}, "a", Visible},
		{Scope{Workspace: "a"}, "a", Visible},
		{Scope{Workspace: "a"}, "b", Hidden},
		{Scope{Workspace: "a"}, "", Undecided},
		{Scope{Public: true}, "", Visible},
		{Scope{Public: true}, "a", Hidden},
		{Scope{}, "a", Hidden},
	} {
		must.Eq(t, c.want, c.scope.Sees(c.job), must.Sprintf("%+v", c))
	}
}

func TestRevocation_Allows(t *testing.T) {
	strict := Revocation{Within: 5 * time.Second, Strict: true}
	must.True(t, strict.Allows(4*time.Second))
	must.False(t, strict.Allows(5*time.Second))
	must.True(t, Revocation{Within: 5 * time.Second}.Allows(time.Hour))
}

// BenchmarkTable_Lookup shows how the cost of a look-up, from the header on, grows with the
// number of keys.
func BenchmarkTable_Lookup(b *testing.B) {
	for _, count := range []int{50, 5000} {
		entries, texts := make([]Entry, count/10), make([]string, count)
		for i := range texts {
			texts[i] = fmt.Sprintf("8wuakn2ftimaj3nr%04d", i)
			entries[i%len(entries)].Workspace.Name = structs.WorkspaceName(fmt.Sprint("w", i%len(entries)))
			digest, _ := keyOf(texts[i]).Digest()
			entries[i%len(entries)].Keys = append(entries[i%len(entries)].Keys, digest)
		}
		table := NewTable(entries)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for i := range b.N {
				if _, ok := table.Lookup(keyOf(texts[i%count])); !ok {
					b.Fatal("unknown key")
				}
			}
		})
	}
}

func TestRank_WorkspaceBeforeRoute(t *testing.T) {
	must.Eq(t, 3, Rank(nil, 3))
	must.Less(t, Rank(&Workspace{Priority: 1}, 0), Rank(&Workspace{Priority: 0}, 99))
	must.Less(t, Rank(&Workspace{Priority: 1}, 2), Rank(&Workspace{Priority: 1}, 1))
}
