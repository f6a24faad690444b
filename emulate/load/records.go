package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/emulate/trainer"
)

// readRecords adds the figures from the emulators' records to the totals.
func (r *runner) readRecords(ctx context.Context, totals *Totals) error {
	runs := make(map[string]int)
	for _, address := range r.experiment.Services {
		var list []service.Run
		if err := r.fetchJSON(ctx, http.MethodGet, address, service.PathRuns, &list); err != nil {
			return err
		}
		for _, run := range list {
			runs[run.Key]++
		}
	}
	r.checkRuns(runs, totals)
	if err := r.readTrainers(ctx, totals); err != nil {
		return err
	}
	if r.experiment.Store != "" {
		var counts store.Counts
		if err := r.fetchJSON(ctx, http.MethodPost, r.experiment.Store, store.PathCounts, &counts); err != nil {
			return err
		}
		totals.StoreWrites, totals.StoreReads = int64(counts.Writes), int64(counts.Reads)
	}
	return nil
}

// readTrainers adds the trainers' reports to the totals.
func (r *runner) readTrainers(ctx context.Context, totals *Totals) error {
	var idle, total float64
	for _, address := range r.experiment.Trainers {
		var report trainer.Report
		if err := r.fetchJSON(ctx, http.MethodGet, address, trainer.PathReport, &report); err != nil {
			return err
		}
		totals.SamplesDelivered += int64(report.Samples)
		totals.SamplesDoubled += int64(report.Doubled)
		totals.SamplesStale += int64(report.StaleVersions + report.StaleAge)
		totals.SamplesMisattributed += int64(report.Misattributed)
		idle += report.IdleSeconds
		total += report.TotalSeconds
	}
	if total > 0 {
		totals.TrainerIdleFraction = idle / total
	}
	return nil
}

// checkRuns compares the outcomes that callers received with the executions per
// key at the plain services.
func (r *runner) checkRuns(runs map[string]int, totals *Totals) {
	for _, count := range runs {
		if count > 1 {
			totals.DoubledRuns++
		}
	}
	for key, submitted := range r.tally.submissions {
		ran := runs[key] > 0
		if submitted.outcome == result.Answered && !ran {
			totals.LostAnswers++
		}
		if submitted.outcome == result.NotRun && ran {
			totals.WrongAnswers++
		}
	}
}

func (r *runner) fetchJSON(ctx context.Context, method, address, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte("{}")))
	if err != nil {
		return errors.Wrap(err, "create record request")
	}
	response, err := r.balancer.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "fetch record")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("fetch record from %s: status %d", address, response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(target), "decode record")
}
