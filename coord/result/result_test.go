package result

import (
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestTable_Consistency(t *testing.T) {
	must.True(t, slices.IsSortedFunc(table, func(a, b Entry) int { return int(a.Code - b.Code) }))
	names := map[string]bool{}
	for _, entry := range table {
		must.False(t, names[entry.Name], must.Sprintf("duplicate name %s", entry.Name))
		names[entry.Name] = true
		must.NotEq(t, "", entry.Description)
		must.Between(t, 200, entry.Status, 599)
	}
}

func TestOutcomeOf(t *testing.T) {
	must.Eq(t, MayHaveRun, OutcomeOf(errors.New("no code")))
	must.Eq(t, Answered, OutcomeOf(nil))
	must.Eq(t, NotRun, OutcomeOf(errors.WithMessage(New(NoBackend, "none"), "more")))
}
