package change

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func ptr[T any](value T) *T { return &value }

func testDocument() *settings.Document {
	return &settings.Document{
		Zones:     []structs.Place{{Zone: "ashanti-a", Region: "ashanti"}, {Zone: "volta-a", Region: "volta"}},
		Templates: []settings.Template{{Name: "scoring"}},
		Workspaces: []settings.Workspace{
			{Name: "w0", Template: "scoring"}, {Name: "w1", Template: "scoring"},
		},
	}
}

// headMachine drives a head as racing operators and collectors do. Each holds
// an old copy now and then; the store's compare-and-swap refuses what was made
// from it.
type headMachine struct {
	head     State
	document *settings.Document
	// base is the document that was last written out whole.
	base *settings.Document
	// older is an earlier head.
	older    State
	changes  []settings.Change
	decided  map[settings.ChangeID]Decision
	nextID   int
	accepted map[settings.ChangeID]int
}

func drawEdit(t *rapid.T) settings.Edit {
	workspace := structs.WorkspaceName(fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "workspace")))
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return settings.Edit{Kind: settings.CreateWorkspace, Workspace: workspace, Template: "scoring"}
	case 1:
		return settings.Edit{Kind: settings.RemoveWorkspace, Workspace: workspace}
	case 2:
		return settings.Edit{Kind: settings.SetTemplate, Template: "scoring", Set: settings.Parameters{GroupSize: ptr(rapid.IntRange(1, 9).Draw(t, "size"))}}
	default:
		return settings.Edit{Kind: settings.SetWorkspace, Workspace: workspace, Set: settings.Parameters{StepSamples: ptr(rapid.IntRange(1, 9).Draw(t, "samples"))}}
	}
}

// Submit applies a new change or an old id again.
func (m *headMachine) Submit(t *rapid.T) {
	if len(m.changes) > 0 && rapid.Bool().Draw(t, "again") {
		m.submitAgain(t, rapid.SampledFrom(m.changes).Draw(t, "change"))
		return
	}
	m.nextID++
	change := settings.Change{
		ID:        settings.ChangeID(fmt.Sprint(m.nextID)),
		Edits:     []settings.Edit{drawEdit(t)},
		SeenRound: uint64(m.head.Round),
	}
	next, err := m.head.Submit(change, m.document)
	if err != nil {
		return
	}
	m.changes = append(m.changes, change)
	m.replace(next)
	must.True(t, next.HasUndecided(change.ID))
}

func (m *headMachine) submitAgain(t *rapid.T, change settings.Change) {
	was, isDecided := m.decided[change.ID]
	held := m.head.HasUndecided(change.ID)
	next, err := m.head.Submit(change, m.document)
	if errors.Is(err, ErrDecisionExpired) {
		must.True(t, isDecided)
		return
	}
	if change.SeenRound == 0 && isDecided {
		if _, kept := m.head.Decision(change.ID); !kept {
			return // zero says that the operator takes this limit
		}
	}
	must.NoError(t, err)
	must.Eq(t, m.head, next)
	must.True(t, held || isDecided)
	if isDecided {
		kept, ok := next.Decision(change.ID)
		must.True(t, ok)
		must.Eq(t, was, kept)
	}
}

func (m *headMachine) replace(next State) { m.older, m.head = m.head, next }

func (m *headMachine) Activate(t *rapid.T) {
	if m.head.UndecidedRound() == 0 {
		return
	}
	staged := m.head.StagedChanges
	m.replace(m.head.Activate())
	var err error
	m.document, err = Replay(m.document, []AcceptedRound{{Changes: staged}})
	must.NoError(t, err)
	m.settle(t, staged, true)
	for _, change := range staged {
		m.accepted[change.ID]++
	}
}

func (m *headMachine) Withdraw(t *rapid.T) {
	if m.head.UndecidedRound() == 0 {
		return
	}
	staged := m.head.StagedChanges
	m.replace(m.head.Withdraw([]structs.ZoneName{"volta-a"}))
	m.settle(t, staged, false)
}

// settle notes the decisions on a round: an id is decided once.
func (m *headMachine) settle(t *rapid.T, staged []settings.Change, accepted bool) {
	for _, change := range staged {
		_, again := m.decided[change.ID]
		must.False(t, again)
		decision, ok := m.head.Decision(change.ID)
		must.True(t, ok)
		must.Eq(t, accepted, decision.Accepted)
		m.decided[change.ID] = decision
	}
}

func (m *headMachine) Fold(*rapid.T) {
	m.base = m.document
	m.replace(m.head.Compact())
}

func (m *headMachine) Suspend(t *rapid.T) {
	stopped := rapid.Bool().Draw(t, "stopped")
	m.replace(m.head.SetSuspended("volta-a", stopped))
	acks := []Acknowledgement{{Zone: "ashanti-a", Round: m.head.Round}}
	must.Eq(t, stopped, len(m.head.MissingZones(m.document, acks)) == 0)
}

// Check holds what is true of every head.
func (m *headMachine) Check(t *rapid.T) {
	from := m.base
	rounds, ok := m.head.RoundsSince(m.head.Base)
	must.True(t, ok)
	replayed, err := Replay(from, rounds)
	must.NoError(t, err)
	must.Eq(t, m.document, replayed)
	must.True(t, m.head.Revision >= m.older.Revision && m.head.Round >= m.older.Round)
	must.True(t, m.head.UndecidedRound() != 0 || len(m.head.PendingChanges) == 0)
	must.True(t, len(m.head.Decisions) <= keptDecisions && len(m.head.PendingChanges) <= maxPending)
	for id, count := range m.accepted {
		must.Eq(t, 1, count, must.Sprint(id))
	}
}

// TestHead_settlesEachChangeOnce runs racing operators against decisions,
// folds and suspensions.
func TestHead_settlesEachChangeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &headMachine{
			head: State{Revision: 1, Base: 1}, document: testDocument(), base: testDocument(),
			decided: make(map[settings.ChangeID]Decision), accepted: make(map[settings.ChangeID]int),
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.Submit, "submit another": m.Submit, "submit a third": m.Submit, "activate": m.Activate,
			"withdraw": m.Withdraw, "fold": m.Fold, "suspend": m.Suspend, "": m.Check,
		})
	})
}

// TestHead_refusesAPendingChangeThatAWithdrawalWouldBreak: with the staged
// round withdrawn, the two removals together would leave no workspace.
func TestHead_refusesAPendingChangeThatAWithdrawalWouldBreak(t *testing.T) {
	head, document := State{Revision: 1, Base: 1}, testDocument()
	edits := []settings.Edit{
		{Kind: settings.CreateWorkspace, Workspace: "w2", Template: "scoring"},
		{Kind: settings.RemoveWorkspace, Workspace: "w0"},
		{Kind: settings.RemoveWorkspace, Workspace: "w1"},
	}
	var err error
	for i, edit := range edits {
		must.NoError(t, err)
		var next State
		if next, err = head.Submit(settings.Change{ID: settings.ChangeID(fmt.Sprint(i)), Edits: []settings.Edit{edit}}, document); err == nil {
			head = next
		}
	}
	must.ErrorIs(t, err, settings.ErrInvalid)
}
