package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func pointer[T any](value T) *T { return &value }

func sample() *Document {
	due := Duration(300 * time.Millisecond)
	return &Document{
		Zones:     []structs.Place{{Zone: "ashanti-a", Region: "ashanti"}},
		Templates: []Template{{Name: "scoring", Parameters: Parameters{LookupDue: &due}}},
		Workspaces: []Workspace{
			{Name: "assessor", Template: "scoring"},
			{Name: "audit", Template: "scoring"},
		},
	}
}

func TestDocument_ResolveTakesTemplateThenDefault(t *testing.T) {
	resolved, ok := sample().Resolve("assessor")
	must.True(t, ok)
	must.Eq(t, 300*time.Millisecond, resolved.Timeouts[structs.ClassLookup])
	must.Eq(t, defaultGroupSize, resolved.GroupSize)
	_, ok = sample().Resolve("nobody")
	must.False(t, ok)
}

func TestDocument_ApplyEditsACopy(t *testing.T) {
	before := sample()
	after, err := before.Apply(Change{ID: "c1", Edits: []Edit{
		{Kind: SetWorkspace, Workspace: "audit", Set: Parameters{GroupSize: pointer(8)}},
	}})
	must.NoError(t, err)
	must.Eq(t, []structs.WorkspaceName{"audit"}, ChangedWorkspaces(before, after))
	resolved, _ := after.Resolve("audit")
	must.Eq(t, 8, resolved.GroupSize)
	untouched, _ := before.Resolve("audit")
	must.Eq(t, defaultGroupSize, untouched.GroupSize)
}

func TestDocument_ApplyTemplateTouchesItsWorkspaces(t *testing.T) {
	before := sample()
	after, err := before.Apply(Change{ID: "c1", Edits: []Edit{
		{Kind: SetTemplate, Template: "scoring", Set: Parameters{LookupDue: pointer(Duration(time.Second))}},
	}})
	must.NoError(t, err)
	must.Eq(t, []structs.WorkspaceName{"assessor", "audit"}, ChangedWorkspaces(before, after))
}

func TestDocument_ApplyRefuses(t *testing.T) {
	for name, edit := range map[string]Edit{
		"unknown workspace": {Kind: SetWorkspace, Workspace: "nobody", Set: Parameters{GroupSize: pointer(8)}},
		"unknown template":  {Kind: SetTemplate, Template: "nothing", Set: Parameters{GroupSize: pointer(8)}},
		"out of range":      {Kind: SetWorkspace, Workspace: "audit", Set: Parameters{GroupSize: pointer(0)}},
		"due too short":     {Kind: SetWorkspace, Workspace: "audit", Set: Parameters{LookupDue: pointer(Duration(1))}},
		"created twice":     {Kind: CreateWorkspace, Workspace: "audit", Template: "scoring"},
		"no such template":  {Kind: CreateWorkspace, Workspace: "new", Template: "nothing"},
		"removed unknown":   {Kind: RemoveWorkspace, Workspace: "nobody"},
		"no kind":           {},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := sample().Apply(Change{ID: "c1", Edits: []Edit{edit}})
			must.ErrorIs(t, err, ErrInvalid)
		})
	}
}

func TestOverlap(t *testing.T) {
	set := func(workspace structs.WorkspaceName, p Parameters) Change {
		return Change{ID: "x", Edits: []Edit{{Kind: SetWorkspace, Workspace: workspace, Set: p}}}
	}
	group := set("audit", Parameters{GroupSize: pointer(8)})
	must.True(t, Overlap(group, set("audit", Parameters{GroupSize: pointer(9), Share: pointer(2.0)})))
	must.False(t, Overlap(group, set("audit", Parameters{Share: pointer(2.0)})))
	must.False(t, Overlap(group, set("assessor", Parameters{GroupSize: pointer(9)})))
	must.True(t, Overlap(group, Change{Edits: []Edit{{Kind: RemoveWorkspace, Workspace: "audit"}}}))
}
