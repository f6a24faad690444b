// Package trainer emulates a trainer: it requests the steps of a workspace in
// order, sleeps for the training time, publishes the next weight version and
// checks the samples that it receives.
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

// PathDeliveries serves the list of every Delivery so far.
const PathDeliveries = "/emulate/deliveries"

// retryInterval is the delay after a failed request.
const retryInterval = 200 * time.Millisecond

// Options configures a trainer.
type Options struct {
	Workspace structs.WorkspaceName
	Model     structs.ServiceName
	// Daemons are the addresses of daemons. After a failure the trainer moves to
	// the next one.
	Daemons []string
	// Store is the address of the weight store.
	Store string
	// Train is the duration of training on a step.
	Train time.Duration
	// Wait is how long a daemon may hold a request for a step that is not ready.
	Wait   time.Duration
	Bounds Bounds
	// Holds is the weight version that the trainer starts from.
	Holds structs.WeightVersion
	// Steps is the number of steps to train on; zero means no limit.
	Steps uint64
}

// Trainer emulates a trainer. Its methods are safe for concurrent use, except that
// only one call of Run may be active.
type Trainer struct {
	options Options
	client  *client

	mu          sync.Mutex
	tally       *tally
	heldVersion structs.WeightVersion
}

// New returns a trainer that sends no requests before Run.
func New(options Options) *Trainer {
	return &Trainer{
		options:     options,
		client:      newClient(options),
		tally:       newTally(options.Workspace, time.Now()),
		heldVersion: options.Holds,
	}
}

// Run trains until Options.Steps is reached, or until ctx ends, whose error it
// then returns.
func (t *Trainer) Run(ctx context.Context) error {
	for step := uint64(1); t.options.Steps == 0 || step <= t.options.Steps; step++ {
		if err := t.runStep(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// runStep fetches a step, trains on it and publishes the resulting weight version.
func (t *Trainer) runStep(ctx context.Context, step uint64) error {
	if err := t.fetchStep(ctx, step); err != nil {
		return err
	}
	if err := sleep(ctx, t.options.Train); err != nil {
		return err
	}
	t.mu.Lock()
	t.heldVersion++
	heldVersion := t.heldVersion
	t.mu.Unlock()
	return t.publishVersion(ctx, heldVersion)
}

// fetchStep requests a step until a daemon returns it.
func (t *Trainer) fetchStep(ctx context.Context, step uint64) error {
	t.updateTally(func(now time.Time) { t.tally.beginIdle(now) })
	defer t.updateTally(func(now time.Time) { t.tally.endIdle(now) })
	requestTime := time.Now()
	for {
		reply, code, err := t.client.requestStep(ctx, step, t.heldVersion)
		if err == nil {
			t.updateTally(func(now time.Time) { t.tally.recordStep(reply, t.heldVersion, requestTime, now, t.options.Bounds) })
			return nil
		}
		t.updateTally(func(time.Time) { t.tally.report.Failures[code]++ })
		if err := sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// publishVersion publishes a weight version and retries until that succeeds.
func (t *Trainer) publishVersion(ctx context.Context, version structs.WeightVersion) error {
	for {
		if err := t.client.publishVersion(ctx, version); err == nil {
			return nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
}

func (t *Trainer) updateTally(change func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(time.Now())
}

// sleep waits for a duration, or returns the error of ctx if it ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Report returns the report so far.
func (t *Trainer) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.tally.reportAt(time.Now())
	report.Holds = t.heldVersion
	return report
}

// Deliveries returns the samples delivered so far, in order.
func (t *Trainer) Deliveries() []Delivery {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Delivery(nil), t.tally.deliveries...)
}

// Handler serves the report and the deliveries over HTTP.
func (t *Trainer) Handler() http.Handler {
	router := httprouter.New()
	router.GET(PathReport, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, t.Report()) })
	router.GET(PathDeliveries, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, t.Deliveries()) })
	return router
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
