package step

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestHead_ValidateRefusesWhatIsNeverWritten(t *testing.T) {
	kept := func(steps ...uint64) []Segment {
		var segments []Segment
		for _, step := range steps {
			segments = append(segments, Segment{Version: Version{Step: step}})
		}
		return segments
	}
	must.NoError(t, Head{}.Validate())
	must.NoError(t, Head{Sealed: 5, Kept: kept(4, 5), Owed: []Debt{{Of: 4, Samples: 1}}}.Validate())
	for _, head := range []Head{
		{Sealed: 5, Kept: kept(5, 4)},
		{Sealed: 6, Kept: kept(4, 5)},
		{Owed: []Debt{{Of: 4, Samples: -1}}},
	} {
		must.ErrorIs(t, head.Validate(), ErrMalformed)
	}
}
