package step

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestHead_ValidateMalformed(t *testing.T) {
	segmentsOf := func(steps ...uint64) []SegmentRef {
		var segments []SegmentRef
		for _, step := range steps {
			segments = append(segments, SegmentRef{Version: Version{Step: step}})
		}
		return segments
	}
	must.NoError(t, Head{}.Validate())
	must.NoError(t, Head{LastSealed: 5, Segments: segmentsOf(4, 5), Shortfalls: []Shortfall{{Step: 4, Samples: 1}}}.Validate())
	for _, head := range []Head{
		{LastSealed: 5, Segments: segmentsOf(5, 4)},
		{LastSealed: 6, Segments: segmentsOf(4, 5)},
		{Shortfalls: []Shortfall{{Step: 4, Samples: -1}}},
	} {
		must.ErrorIs(t, head.Validate(), ErrMalformed)
	}
}
