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

// stateMachine drives a State the way concurrent operators and collectors do.
// Updates computed from an outdated copy are left out, because the store's
// compare-and-swap rejects them.
type stateMachine struct {
	state    State
	document *settings.Document
	// base is the last full document that was written.
	base *settings.Document
	// older is the previous state.
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

// Submit submits a new change, or an earlier one again.
func (m *stateMachine) Submit(t *rapid.T) {
	if len(m.changes) > 0 && rapid.Bool().Draw(t, "again") {
		m.submitAgain(t, rapid.SampledFrom(m.changes).Draw(t, "change"))
		return
	}
	m.nextID++
	change := settings.Change{
		ID:        settings.ChangeID(fmt.Sprint(m.nextID)),
		Edits:     []settings.Edit{drawEdit(t)},
		SeenRound: uint64(m.state.Round),
	}
	next, err := m.state.Submit(change, m.document)
	if err != nil {
		return
	}
	m.changes = append(m.changes, change)
	m.replace(next)
	must.True(t, next.HasUndecided(change.ID))
}

func (m *stateMachine) submitAgain(t *rapid.T, change settings.Change) {
	previous, isDecided := m.decided[change.ID]
	undecided := m.state.HasUndecided(change.ID)
	next, err := m.state.Submit(change, m.document)
	if errors.Is(err, ErrDecisionExpired) {
		must.True(t, isDecided)
		return
	}
	if change.SeenRound == 0 && isDecided {
		if _, kept := m.state.Decision(change.ID); !kept {
			return // with SeenRound zero, a dropped decision cannot be detected
		}
	}
	must.NoError(t, err)
	must.Eq(t, m.state, next)
	must.True(t, undecided || isDecided)
	if isDecided {
		kept, ok := next.Decision(change.ID)
		must.True(t, ok)
		must.Eq(t, previous, kept)
	}
}

func (m *stateMachine) replace(next State) { m.older, m.state = m.state, next }

func (m *stateMachine) Activate(t *rapid.T) {
	if m.state.UndecidedRound() == 0 {
		return
	}
	staged := m.state.StagedChanges
	m.replace(m.state.Activate())
	var err error
	m.document, err = Replay(m.document, []AcceptedRound{{Changes: staged}})
	must.NoError(t, err)
	m.recordDecisions(t, staged, true)
	for _, change := range staged {
		m.accepted[change.ID]++
	}
}

func (m *stateMachine) Withdraw(t *rapid.T) {
	if m.state.UndecidedRound() == 0 {
		return
	}
	staged := m.state.StagedChanges
	m.replace(m.state.Withdraw([]structs.ZoneName{"volta-a"}))
	m.recordDecisions(t, staged, false)
}

// recordDecisions records the decisions on a round and checks that no change is
// decided twice.
func (m *stateMachine) recordDecisions(t *rapid.T, staged []settings.Change, accepted bool) {
	for _, change := range staged {
		_, again := m.decided[change.ID]
		must.False(t, again)
		decision, ok := m.state.Decision(change.ID)
		must.True(t, ok)
		must.Eq(t, accepted, decision.Accepted)
		m.decided[change.ID] = decision
	}
}

func (m *stateMachine) Fold(*rapid.T) {
	m.base = m.document
	m.replace(m.state.Compact())
}

func (m *stateMachine) Suspend(t *rapid.T) {
	suspended := rapid.Bool().Draw(t, "stopped")
	m.replace(m.state.SetSuspended("volta-a", suspended))
	acks := []Acknowledgement{{Zone: "ashanti-a", Round: m.state.Round}}
	must.Eq(t, suspended, len(m.state.MissingZones(m.document, acks)) == 0)
}

// Check verifies the invariants of every state.
func (m *stateMachine) Check(t *rapid.T) {
	base := m.base
	rounds, ok := m.state.RoundsSince(m.state.Base)
	must.True(t, ok)
	replayed, err := Replay(base, rounds)
	must.NoError(t, err)
	must.Eq(t, m.document, replayed)
	must.True(t, m.state.Revision >= m.older.Revision && m.state.Round >= m.older.Round)
	must.True(t, m.state.UndecidedRound() != 0 || len(m.state.PendingChanges) == 0)
	must.True(t, len(m.state.Decisions) <= maxDecisions && len(m.state.PendingChanges) <= maxPending)
	for id, count := range m.accepted {
		must.Eq(t, 1, count, must.Sprint(id))
	}
}

// TestState_OneDecisionPerChange runs submissions against decisions, compaction
// and suspensions.
func TestState_OneDecisionPerChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{
			state: State{Revision: 1, Base: 1}, document: testDocument(), base: testDocument(),
			decided: make(map[settings.ChangeID]Decision), accepted: make(map[settings.ChangeID]int),
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.Submit, "submit another": m.Submit, "submit a third": m.Submit, "activate": m.Activate,
			"withdraw": m.Withdraw, "fold": m.Fold, "suspend": m.Suspend, "": m.Check,
		})
	})
}

// TestState_PendingChangeInvalidAfterWithdrawal submits a creation, which is
// staged, and two removals. If the round is withdrawn, the removals together
// leave no workspace, so the second one must be rejected.
func TestState_PendingChangeInvalidAfterWithdrawal(t *testing.T) {
	state, document := State{Revision: 1, Base: 1}, testDocument()
	edits := []settings.Edit{
		{Kind: settings.CreateWorkspace, Workspace: "w2", Template: "scoring"},
		{Kind: settings.RemoveWorkspace, Workspace: "w0"},
		{Kind: settings.RemoveWorkspace, Workspace: "w1"},
	}
	var err error
	for i, edit := range edits {
		must.NoError(t, err)
		var next State
		if next, err = state.Submit(settings.Change{ID: settings.ChangeID(fmt.Sprint(i)), Edits: []settings.Edit{edit}}, document); err == nil {
			state = next
		}
	}
	must.ErrorIs(t, err, settings.ErrInvalid)
}
