package load

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
)

// TestReport_NamesStreamsSilentAfterTheFailure counts answers by the arrival
// of their requests: a late answer to an earlier request does not count.
func TestReport_NamesStreamsSilentAfterTheFailure(t *testing.T) {
	started := time.Now()
	r := &runner{tally: newTally(), started: started, experiment: Experiment{FaultAt: settings.Duration(5 * time.Second)}}
	answered, refused := response{outcome: result.Answered}, response{outcome: result.NotRun}
	finish := func(name string, at time.Duration, got response) {
		r.finish(performance{name: name, intended: started.Add(at)}, got)
	}
	finish("early", 4*time.Second, answered)
	finish("late", 4*time.Second, answered)
	finish("late", 6*time.Second, answered)
	finish("refused", 6*time.Second, refused)
	r.tally.sent("refused")
	_, streams, _ := r.tally.report()
	must.Eq(t, []string{"early", "refused"}, r.silent(streams))
	must.Eq(t, 1, streams["late"].AnsweredAfter)

	r.experiment.FaultAt = 0
	must.SliceEmpty(t, r.silent(streams))
}
