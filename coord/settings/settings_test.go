package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func pointer[T any](value T) *T { return &value }

func testDocument() *Document {
	timeout := Duration(300 * time.Millisecond)
	return &Document{
		Zones:     []structs.Place{{Zone: "ashanti-a", Region: "ashanti"}},
		Templates: []Template{{Name: "scoring", Parameters: Parameters{LookupDue: &timeout}}},
		Workspaces: []Workspace{
			{Name: "assessor", Template: "scoring"},
			{Name: "audit", Template: "scoring"},
		},
	}
}

func TestDocument_ResolvePrecedence(t *testing.T) {
	resolved, ok := testDocument().Resolve("assessor")
	must.True(t, ok)
	must.Eq(t, 300*time.Millisecond, resolved.Timeouts[structs.ClassLookup])
	must.Eq(t, defaultGroupSize, resolved.GroupSize)
	_, ok = testDocument().Resolve("nobody")
	must.False(t, ok)
}

func TestDocument_ApplyCopies(t *testing.T) {
	before := testDocument()
	after, err := before.Apply(Change{ID: "c1", Edits: []Edit{
		{Kind: SetWorkspace, Workspace: "audit", Set: Parameters{GroupSize: pointer(8)}},
	}})
	must.NoError(t, err)
	must.Eq(t, []structs.WorkspaceName{"audit"}, ChangedWorkspaces(before, after))
	resolved, _ := after.Resolve("audit")
	must.Eq(t, 8, resolved.GroupSize)
	original, _ := before.Resolve("audit")
	must.Eq(t, defaultGroupSize, original.GroupSize)
}

func TestDocument_ApplyTemplate(t *testing.T) {
	before := testDocument()
	after, err := before.Apply(Change{ID: "c1", Edits: []Edit{
		{Kind: SetTemplate, Template: "scoring", Set: Parameters{LookupDue: pointer(Duration(time.Second))}},
	}})
	must.NoError(t, err)
	must.Eq(t, []structs.WorkspaceName{"assessor", "audit"}, ChangedWorkspaces(before, after))
}

func TestDocument_ApplyInvalid(t *testing.T) {
	for name, edit := range map[string]Edit{
		"unknown workspace":  {Kind: SetWorkspace, Workspace: "nobody", Set: Parameters{GroupSize: pointer(8)}},
		"unknown template":   {Kind: SetTemplate, Template: "nothing", Set: Parameters{GroupSize: pointer(8)}},
		"out of range":       {Kind: SetWorkspace, Workspace: "audit", Set: Parameters{GroupSize: pointer(0)}},
		"timeout too short":  {Kind: SetWorkspace, Workspace: "audit", Set: Parameters{LookupDue: pointer(Duration(1))}},
		"duplicate name":     {Kind: CreateWorkspace, Workspace: "audit", Template: "scoring"},
		"missing template":   {Kind: CreateWorkspace, Workspace: "new", Template: "nothing"},
		"removal of unknown": {Kind: RemoveWorkspace, Workspace: "nobody"},
		"missing kind":       {},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := testDocument().Apply(Change{ID: "c1", Edits: []Edit{edit}})
			must.ErrorIs(t, err, ErrInvalid)
		})
	}
}

func TestOverlap(t *testing.T) {
	setChange := func(workspace structs.WorkspaceName, p Parameters) Change {
		return Change{ID: "x", Edits: []Edit{{Kind: SetWorkspace, Workspace: workspace, Set: p}}}
	}
	group := setChange("audit", Parameters{GroupSize: pointer(8)})
	must.True(t, Overlap(group, setChange("audit", Parameters{GroupSize: pointer(9), Share: pointer(2.0)})))
	must.False(t, Overlap(group, setChange("audit", Parameters{Share: pointer(2.0)})))
	must.False(t, Overlap(group, setChange("assessor", Parameters{GroupSize: pointer(9)})))
	must.True(t, Overlap(group, Change{Edits: []Edit{{Kind: RemoveWorkspace, Workspace: "audit"}}}))
}
