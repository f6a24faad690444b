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

// groupTask generates one group. Its fields belong to the goroutine that called
// service.generateGroup. Goroutines of streams and of calls to judges send it
// events.
type groupTask struct {
	service    *service
	ctx        context.Context
	request    contract.RolloutRequest
	parameters settings.ResolvedParameters
	// withJudge is true for samples that need a reward and false for Drafts.
	withJudge bool
	deadline  time.Time

	group         *group.Group
	events        chan event
	workers       conc.WaitGroup
	streamCancels map[group.StreamID]context.CancelFunc
	samples       []structs.Sample
	// readyCount is the number of samples that are complete and, if they need a
	// reward, have one.
	readyCount int
	err        error
}

// event is a result of a stream or of a call to a judge. The goroutine of the
// groupTask applies it.
type event interface{ apply(t *groupTask) }

// generateGroup generates a group of size samples and returns all of them, complete,
// or an error. It returns after all goroutines of the group have ended.
func (s *service) generateGroup(ctx context.Context, request contract.RolloutRequest, parameters settings.ResolvedParameters, size int, withJudge bool, deadline time.Time) ([]structs.Sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	limits := s.limits
	limits.Size, limits.MaxHedges = size, (size+samplesPerHedge-1)/samplesPerHedge
	t := &groupTask{
		service:       s,
		ctx:           ctx,
		request:       request,
		parameters:    parameters,
		withJudge:     withJudge,
		deadline:      deadline,
		group:         group.New(limits, s.stalenessBound(parameters, withJudge)),
		events:        make(chan event),
		streamCancels: make(map[group.StreamID]context.CancelFunc),
		samples:       make([]structs.Sample, size),
	}
	defer t.workers.Wait()
	defer cancel()
	t.applyEffects(t.group.Begin())
	t.handleEvents()
	t.recordCounts()
	return t.samples, t.err
}

// handleEvents handles events until every sample is ready or there is an error.
func (t *groupTask) handleEvents() {
	for t.readyCount < len(t.samples) && t.err == nil {
		timer, check := t.nextCheckTimer()
		select {
		case received := <-t.events:
			t.group.SetStalenessBound(t.stalenessBound())
			received.apply(t)
		case <-check:
			t.applyEffects(t.group.CheckStreams(t.service.clock.Now()))
		case <-t.ctx.Done():
			t.fail(result.DueTimePassed)
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

func (t *groupTask) stalenessBound() group.StalenessBound {
	return t.service.stalenessBound(t.parameters, t.withJudge)
}

// nextCheckTimer returns a timer for the next check of the streams and its channel,
// or nil if no check is due.
func (t *groupTask) nextCheckTimer() (clockwork.Timer, <-chan time.Time) {
	checkAt, ok := t.group.NextCheck()
	if !ok {
		return nil, nil
	}
	timer := t.service.clock.NewTimer(checkAt.Sub(t.service.clock.Now()))
	return timer, timer.Chan()
}

// applyEffects carries out a decision of the group's state machine.
func (t *groupTask) applyEffects(effects group.Effects) {
	for _, id := range effects.Stops {
		t.cancelStream(id)
	}
	for _, request := range effects.Starts {
		t.startStream(request)
	}
	for _, finished := range effects.Finished {
		t.addFinishedSample(finished)
	}
	if effects.FailureCode != 0 {
		t.fail(effects.FailureCode)
	}
}

func (t *groupTask) cancelStream(id group.StreamID) {
	if cancel, ok := t.streamCancels[id]; ok {
		cancel()
		delete(t.streamCancels, id)
	}
}

func (t *groupTask) startStream(request group.StreamStart) {
	ctx, cancel := context.WithCancel(t.ctx)
	t.streamCancels[request.Stream] = cancel
	st := &stream{task: t, ctx: ctx, start: request, minWeightVersion: t.stalenessBound().MinVersion}
	t.workers.Go(st.execute)
}

// addFinishedSample stores a complete sample and starts the call to the judge if the
// sample needs a reward.
func (t *groupTask) addFinishedSample(finished group.FinishedSample) {
	s := t.service
	sample := structs.Sample{
		ID:        structs.SampleID{Origin: s.zone.ZoneView().Load().Self, Number: s.sampleCounter.Add(1)},
		Workspace: t.request.Workspace,
		Group:     t.request.Group,
		Spans:     finished.Spans,
		Born:      finished.Born,
		Body:      []byte(finished.Text),
	}
	t.samples[finished.SampleIndex] = sample
	if !t.withJudge {
		t.readyCount++
		return
	}
	t.workers.Go(func() { t.judgeSample(finished.SampleIndex, sample.Body) })
}

// fail ends the task with an error. Its code has the outcome NotRun only if no
// engine can have worked for the group. If the task was canceled because the daemon
// is stopping, the code is Stopping, or its name is in the error's detail.
func (t *groupTask) fail(code result.Code) {
	if result.CodeOf(context.Cause(t.ctx)) == result.Stopping {
		code = result.Stopping
	}
	if t.group.MayHaveRun() {
		t.err = result.New(result.GroupUnfinished, "group %q: %s", t.request.Group, codeName(code))
		return
	}
	t.err = result.New(code, "group %q", t.request.Group)
}

func codeName(code result.Code) string {
	entry, _ := result.Lookup(code)
	return entry.Name
}

// recordCounts adds the group's resumed, restarted and hedged streams to the metrics.
func (t *groupTask) recordCounts() {
	counts, metrics := t.group.Counts(), t.service.metrics
	metrics.Count("rollout.resumed", int64(counts.Resumed))
	metrics.Count("rollout.restarted", int64(counts.Restarted))
	metrics.Count("rollout.hedged", int64(counts.Hedged))
}

// send delivers an event to the task's goroutine unless ctx ends first.
func (t *groupTask) send(ctx context.Context, sent event) {
	select {
	case t.events <- sent:
	case <-ctx.Done():
	}
}
