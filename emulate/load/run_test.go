package load

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
)

// TestReport_UnansweredStreams guards against a stream that counts as served after
// a failure because of a late answer to a request that arrived before it.
func TestReport_UnansweredStreams(t *testing.T) {
	startTime := time.Now()
	r := &runner{tally: newTally(), startTime: startTime, experiment: Experiment{FaultAt: settings.Duration(5 * time.Second)}}
	answered, refused := response{outcome: result.Answered}, response{outcome: result.NotRun}
	finish := func(name string, at time.Duration, resp response) {
		r.recordResponse(arrival{streamName: name, intendedStart: startTime.Add(at)}, resp)
	}
	finish("early", 4*time.Second, answered)
	finish("late", 4*time.Second, answered)
	finish("late", 6*time.Second, answered)
	finish("refused", 6*time.Second, refused)
	r.tally.countSent("refused")
	_, streams, _ := r.tally.report()
	must.Eq(t, []string{"early", "refused"}, r.unansweredStreams(streams))
	must.Eq(t, 1, streams["late"].AnsweredAfter)

	r.experiment.FaultAt = 0
	must.SliceEmpty(t, r.unansweredStreams(streams))
}
