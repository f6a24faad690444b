package change

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestState_ValidateMalformed(t *testing.T) {
	must.NoError(t, (&State{Revision: 1, Base: 1}).Validate())
	must.NoError(t, (&State{Revision: 3, Base: 1, AcceptedRounds: []AcceptedRound{{Revision: 2}, {Revision: 3}}}).Validate())
	for _, state := range []State{
		{Revision: 9, Base: 1},
		{Revision: 1, Base: 2},
		{Revision: 2, Base: 1, AcceptedRounds: []AcceptedRound{{Revision: 7}}},
	} {
		must.ErrorIs(t, state.Validate(), ErrMalformed)
	}
}
