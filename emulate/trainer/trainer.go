// Package trainer is a stand-in of a trainer: it pulls the steps of a
// workspace in order, trains for a set time, publishes the next weight version
// and checks what it was given.
package trainer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// PathDeliveries answers with every Delivery so far.
const PathDeliveries = "/emulate/deliveries"

// retryPause is the wait after a failed request.
const retryPause = 200 * time.Millisecond

// Options configures a trainer.
type Options struct {
	Workspace structs.WorkspaceName
	Model     structs.ServiceName
	// Daemons are the addresses of daemons; the next is tried when one fails.
	Daemons []string
	// Store is the address of the weight store.
	Store string
	// Train is how long training on a step takes.
	Train time.Duration
	// Wait is how long a daemon may hold a request for a step.
	Wait   time.Duration
	Bounds Bounds
	// Holds is the weight version at the start.
	Holds structs.WeightVersion
	// Steps ends the run after a count of steps; zero means never.
	Steps uint64
}

// Trainer is the stand-in. It is safe for concurrent use.
type Trainer struct {
	options Options
	client  *client

	mu    sync.Mutex
	tally *tally
	holds structs.WeightVersion
}

// New returns a trainer that has not asked for anything yet.
func New(options Options) *Trainer {
	return &Trainer{
		options: options,
		client:  newClient(options),
		tally:   newTally(options.Workspace, time.Now()),
		holds:   options.Holds,
	}
}

// Run pulls steps until ctx ends or the set count is reached.
func (t *Trainer) Run(ctx context.Context) error {
	for step := uint64(1); t.options.Steps == 0 || step <= t.options.Steps; step++ {
		if err := t.step(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// step pulls a step, trains on it and publishes the version that it made.
func (t *Trainer) step(ctx context.Context, step uint64) error {
	if err := t.pull(ctx, step); err != nil {
		return err
	}
	if err := pause(ctx, t.options.Train); err != nil {
		return err
	}
	t.mu.Lock()
	t.holds++
	holds := t.holds
	t.mu.Unlock()
	return t.publish(ctx, holds)
}

// pull asks for a step until a daemon hands it over.
func (t *Trainer) pull(ctx context.Context, step uint64) error {
	t.record(func(now time.Time) { t.tally.beginIdle(now) })
	defer t.record(func(now time.Time) { t.tally.endIdle(now) })
	asked := time.Now()
	for {
		reply, code, err := t.client.step(ctx, step, t.holds)
		if err == nil {
			t.record(func(now time.Time) { t.tally.delivered(reply, t.holds, asked, now, t.options.Bounds) })
			return nil
		}
		t.record(func(time.Time) { t.tally.report.Failures[code]++ })
		if err := pause(ctx, retryPause); err != nil {
			return err
		}
	}
}

// publish tells the weight store of a version until it has taken it.
func (t *Trainer) publish(ctx context.Context, version structs.WeightVersion) error {
	for {
		if err := t.client.publish(ctx, version); err == nil {
			return nil
		}
		if err := pause(ctx, retryPause); err != nil {
			return err
		}
	}
}

func (t *Trainer) record(change func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(time.Now())
}

// pause waits for a span or the end of ctx.
func pause(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Report returns what the trainer has seen so far.
func (t *Trainer) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.tally.at(time.Now())
	report.Holds = t.holds
	return report
}

// Deliveries returns the samples delivered so far, in order.
func (t *Trainer) Deliveries() []Delivery {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Delivery(nil), t.tally.deliveries...)
}

// Handler serves the report over HTTP.
func (t *Trainer) Handler() http.Handler {
	router := httprouter.New()
	router.GET(PathReport, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { answer(w, t.Report()) })
	router.GET(PathDeliveries, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { answer(w, t.Deliveries()) })
	return router
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
