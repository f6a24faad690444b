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
	experiment Experiment
	balancer   *balancer
	tally      *tally
	slots      chan struct{}
	started    time.Time
	settings   *settingsChecker
}

// Run makes the traffic of an experiment, waits for the last answers, reads
// the stand-ins' records and reports. It ends early when ctx does.
func Run(ctx context.Context, experiment Experiment) (Report, error) {
	r := &runner{
		experiment: experiment,
		balancer:   newBalancer(experiment.Daemons, experiment.Seed),
		tally:      newTally(),
		slots:      make(chan struct{}, experiment.MaxInFlight),
		started:    time.Now(),
	}
	r.settings = newSettingsChecker(r.balancer, r.tally)
	r.makeTraffic(ctx)
	r.settings.finish(ctx)
	totals, streams, codes := r.tally.report()
	totals.LookupP99ms = worstP99(streams)
	if err := r.readRecords(ctx, &totals); err != nil {
		return Report{}, err
	}
	return Report{
		Question: experiment.Question,
		Seed:     experiment.Seed,
		Seconds:  time.Since(r.started).Seconds(),
		Totals:   totals,
		Streams:  streams,
		Codes:    codes,
		Breaches: r.tally.breaches,
		Silent:   r.silent(streams),
	}, nil
}

// worstP99 is the highest 99th percentile among the look-up streams.
func worstP99(streams map[string]StreamReport) float64 {
	worst := 0.0
	for name, stream := range streams {
		if strings.HasPrefix(name, string(KindLookup)) {
			worst = max(worst, stream.P99)
		}
	}
	return worst
}

func (r *runner) makeTraffic(ctx context.Context) {
	arriving, cancel := context.WithTimeout(ctx, time.Duration(r.experiment.Duration))
	defer cancel()
	var streams conc.WaitGroup
	for i, stream := range r.experiment.Streams {
		streams.Go(func() { r.arrivals(arriving, ctx, stream, uint64(i)) })
	}
	for _, fault := range r.experiment.Faults {
		streams.Go(func() { r.inject(arriving, fault) })
	}
	streams.Wait()
}

// arrivals starts a stream's requests at the times of a Poisson process,
// however long earlier ones take, and waits for the last one.
func (r *runner) arrivals(arriving, ctx context.Context, stream Stream, index uint64) {
	random := rand.New(rand.NewPCG(r.experiment.Seed, index+2))
	name := fmt.Sprintf("%s/%s", stream.Kind, stream.Workspace)
	next := time.Now()
	var requests conc.WaitGroup
	defer requests.Wait()
	for number := 0; ; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second)))
		if !waitUntil(arriving, next) {
			return
		}
		r.tally.sent(name)
		select {
		case r.slots <- struct{}{}:
		default:
			r.tally.overflow()
			continue
		}
		intended, seed := next, random.Uint64()
		requests.Go(func() {
			defer func() { <-r.slots }()
			r.perform(ctx, performance{stream: stream, name: name, number: number, seed: seed, intended: intended})
		})
	}
}

// waitUntil waits for a time and reports false when ctx ends before it.
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
	if !waitUntil(ctx, r.started.Add(time.Duration(fault.At))) {
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

// silent lists the streams without an answer to an arrival after the failure.
func (r *runner) silent(streams map[string]StreamReport) []string {
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
