package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
)

// runner carries out one experiment.
type runner struct {
	experiment      Experiment
	balancer        *balancer
	tally           *tally
	inFlight        chan struct{}
	startTime       time.Time
	settingsChecker *settingsChecker
}

// Run generates the traffic of an experiment, waits for outstanding requests and
// returns a report that includes the emulators' records. Cancelling ctx ends the
// traffic early.
func Run(ctx context.Context, experiment Experiment) (Report, error) {
	r := &runner{
		experiment: experiment,
		balancer:   newBalancer(experiment.Daemons, experiment.Seed),
		tally:      newTally(),
		inFlight:   make(chan struct{}, experiment.MaxInFlight),
		startTime:  time.Now(),
	}
	r.settingsChecker = newSettingsChecker(r.balancer, r.tally)
	r.generateTraffic(ctx)
	r.settingsChecker.checkWithdrawn(ctx)
	totals, streams, codes := r.tally.report()
	totals.LookupP99ms = worstP99(streams)
	if err := r.readRecords(ctx, &totals); err != nil {
		return Report{}, err
	}
	return Report{
		Question: experiment.Question,
		Seed:     experiment.Seed,
		Seconds:  time.Since(r.startTime).Seconds(),
		Totals:   totals,
		Streams:  streams,
		Codes:    codes,
		Breaches: r.tally.breaches,
		Silent:   r.unansweredStreams(streams),
	}, nil
}

// worstP99 returns the highest 99th percentile among the look-up streams, in
// milliseconds.
func worstP99(streams map[string]StreamReport) float64 {
	worst := 0.0
	for name, stream := range streams {
		if strings.HasPrefix(name, string(KindLookup)) {
			worst = max(worst, stream.P99)
		}
	}
	return worst
}

func (r *runner) generateTraffic(ctx context.Context) {
	arrivalCtx, cancel := context.WithTimeout(ctx, time.Duration(r.experiment.Duration))
	defer cancel()
	var streams conc.WaitGroup
	for i, stream := range r.experiment.Streams {
		streams.Go(func() { r.runStream(arrivalCtx, ctx, stream, uint64(i)) })
	}
	for _, fault := range r.experiment.Faults {
		streams.Go(func() { r.inject(arrivalCtx, fault) })
	}
	streams.Wait()
}

// runStream starts the requests of a stream at the times of a Poisson process,
// whether or not earlier ones have ended, and waits for all of them to end.
func (r *runner) runStream(arrivalCtx, ctx context.Context, stream Stream, index uint64) {
	random := rand.New(rand.NewPCG(r.experiment.Seed, index+2))
	name := fmt.Sprintf("%s/%s", stream.Kind, stream.Workspace)
	next := time.Now()
	var requests conc.WaitGroup
	defer requests.Wait()
	for number := 0; ; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second)))
		if !waitUntil(arrivalCtx, next) {
			return
		}
		r.tally.countSent(name)
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.tally.countOverflow()
			continue
		}
		intendedStart, seed := next, random.Uint64()
		requests.Go(func() {
			defer func() { <-r.inFlight }()
			r.handleArrival(ctx, arrival{stream: stream, streamName: name, number: number, seed: seed, intendedStart: intendedStart})
		})
	}
}

// waitUntil waits until a point in time and returns false if ctx ends first.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) inject(ctx context.Context, fault Fault) {
	if !waitUntil(ctx, r.startTime.Add(time.Duration(fault.At))) {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fault.URL, strings.NewReader(fault.Body))
	if err != nil {
		return
	}
	response, err := r.balancer.client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// unansweredStreams lists the streams without an answer to a request that arrived
// after the failure.
func (r *runner) unansweredStreams(streams map[string]StreamReport) []string {
	if r.experiment.FaultAt == 0 {
		return nil
	}
	var names []string
	for name, stream := range streams {
		if stream.AnsweredAfter == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
