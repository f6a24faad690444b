package trainer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func TestTally_Violations(t *testing.T) {
	now := time.Unix(1000, 0)
	sample := func(number uint64, body string, spans ...structs.VersionSpan) structs.Sample {
		return structs.Sample{ID: structs.SampleID{Number: number}, Body: []byte(body), Spans: spans, Born: now.Add(-time.Minute)}
	}
	for name, c := range map[string]struct {
		sample structs.Sample
		want   Report
	}{
		"true":         {sample(1, "t0@5 t1@6 ", structs.VersionSpan{Version: 5, Tokens: 1}, structs.VersionSpan{Version: 6, Tokens: 1}), Report{}},
		"hidden stale": {sample(1, "t0@4 t1@6 ", structs.VersionSpan{Version: 6, Tokens: 2}), Report{Misattributed: 1, StaleVersions: 1}},
		"cut":          {sample(1, "t1@6 ", structs.VersionSpan{Version: 6, Tokens: 1}), Report{Misattributed: 1}},
		"doubled":      {sample(7, "t0@6 ", structs.VersionSpan{Version: 6, Tokens: 1}), Report{Doubled: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			tally := newTally("claims", now)
			tally.deliveredStep[structs.SampleID{Number: 7}] = 1
			tally.recordStep(StepReply{Step: 2, Samples: []structs.Sample{c.sample}}, 7, now, now, Bounds{Versions: 2, Age: time.Minute})
			got := tally.reportAt(now)
			must.Eq(t, [4]uint64{c.want.Misattributed, c.want.StaleVersions, 0, c.want.Doubled},
				[4]uint64{got.Misattributed, got.StaleVersions, got.StaleAge, got.Doubled})
		})
	}
}
