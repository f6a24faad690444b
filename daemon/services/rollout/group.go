package rollout

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/group"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// run is one group in the making. Its fields belong to the goroutine that
// called service.run; streams and judgements tell it of events.
type run struct {
	service    *service
	ctx        context.Context
	request    contract.RolloutRequest
	parameters settings.ResolvedParameters
	judged     bool
	due        time.Time

	group   *group.Group
	events  chan event
	workers conc.WaitGroup
	cancels map[group.StreamID]context.CancelFunc
	samples []structs.Sample
	ready   int
	err     error
}

// event is what a stream or a judgement tells its run.
type event interface{ apply(r *run) }

// run makes a group and returns its samples, all whole, or an error. It
// returns once no goroutine works for the group any more.
func (s *service) run(ctx context.Context, request contract.RolloutRequest, parameters settings.ResolvedParameters, size int, judged bool, due time.Time) ([]structs.Sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	limits := s.limits
	limits.Size, limits.MaxHedges = size, (size+hedgeShare-1)/hedgeShare
	r := &run{
		service:    s,
		ctx:        ctx,
		request:    request,
		parameters: parameters,
		judged:     judged,
		due:        due,
		group:      group.New(limits, s.freshness(parameters, judged)),
		events:     make(chan event),
		cancels:    make(map[group.StreamID]context.CancelFunc),
		samples:    make([]structs.Sample, size),
	}
	defer r.workers.Wait()
	defer cancel()
	r.carryOut(r.group.Begin())
	r.loop()
	r.count()
	return r.samples, r.err
}

// loop handles events until every sample is ready or there is an error.
func (r *run) loop() {
	for r.ready < len(r.samples) && r.err == nil {
		timer, check := r.nextCheck()
		select {
		case happened := <-r.events:
			r.group.SetStalenessBound(r.freshness())
			happened.apply(r)
		case <-check:
			r.carryOut(r.group.CheckStreams(r.service.clock.Now()))
		case <-r.ctx.Done():
			r.fail(result.DueTimePassed)
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

func (r *run) freshness() group.StalenessBound { return r.service.freshness(r.parameters, r.judged) }

// nextCheck sets a timer for the next straggler check, if there is one.
func (r *run) nextCheck() (clockwork.Timer, <-chan time.Time) {
	due, ok := r.group.NextCheck()
	if !ok {
		return nil, nil
	}
	timer := r.service.clock.NewTimer(due.Sub(r.service.clock.Now()))
	return timer, timer.Chan()
}

// carryOut does what a decision asks for.
func (r *run) carryOut(effects group.Effects) {
	for _, id := range effects.Stops {
		r.stop(id)
	}
	for _, wanted := range effects.Starts {
		r.start(wanted)
	}
	for _, done := range effects.Finished {
		r.finished(done)
	}
	if effects.FailureCode != 0 {
		r.fail(effects.FailureCode)
	}
}

func (r *run) stop(id group.StreamID) {
	if cancel, ok := r.cancels[id]; ok {
		cancel()
		delete(r.cancels, id)
	}
}

func (r *run) start(wanted group.StreamStart) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels[wanted.Stream] = cancel
	st := &stream{run: r, ctx: ctx, start: wanted, oldest: r.freshness().MinVersion}
	r.workers.Go(st.work)
}

// finished takes in a whole sample and has it judged.
func (r *run) finished(done group.FinishedSample) {
	s := r.service
	sample := structs.Sample{
		ID:        structs.SampleID{Origin: s.zone.ZoneView().Load().Self, Number: s.samples.Add(1)},
		Workspace: r.request.Workspace,
		Group:     r.request.Group,
		Spans:     done.Spans,
		Born:      done.Born,
		Body:      []byte(done.Text),
	}
	r.samples[done.SampleIndex] = sample
	if !r.judged {
		r.ready++
		return
	}
	r.workers.Go(func() { r.judge(done.SampleIndex, sample.Body) })
}

// fail ends the run. A code that says "not run" is given only when that is
// true. A run that is broken off because the daemon stops says so.
func (r *run) fail(code result.Code) {
	if result.CodeOf(context.Cause(r.ctx)) == result.Stopping {
		code = result.Stopping
	}
	if r.group.MayHaveRun() {
		r.err = result.New(result.GroupUnfinished, "group %q: %s", r.request.Group, nameOf(code))
		return
	}
	r.err = result.New(code, "group %q", r.request.Group)
}

func nameOf(code result.Code) string {
	entry, _ := result.Lookup(code)
	return entry.Name
}

// count adds what it took to the metrics.
func (r *run) count() {
	counts, metrics := r.group.Counts(), r.service.metrics
	metrics.Count("rollout.resumed", int64(counts.Resumed))
	metrics.Count("rollout.restarted", int64(counts.Restarted))
	metrics.Count("rollout.hedged", int64(counts.Hedged))
}

// tell hands an event to the run, unless ctx ends first.
func (r *run) tell(ctx context.Context, happened event) {
	select {
	case r.events <- happened:
	case <-ctx.Done():
	}
}
