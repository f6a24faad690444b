package trainer

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// PathReport answers with a Report.
const PathReport = "/emulate/report"

// Report is what a trainer saw.
type Report struct {
	Workspace structs.WorkspaceName `json:"workspace"`
	// Steps counts the steps trained on, and Supplements those among them
	// that made up for lost samples.
	Steps       uint64 `json:"steps"`
	Supplements uint64 `json:"supplements"`
	Samples     uint64 `json:"samples"`
	// Doubled counts samples whose id was delivered before.
	Doubled uint64 `json:"doubled"`
	// Misattributed counts samples that name other versions than those in
	// their text, or whose text is not whole.
	Misattributed uint64 `json:"misattributed"`
	// StaleVersions and StaleAge count samples beyond a staleness bound.
	StaleVersions uint64 `json:"stale_versions"`
	StaleAge      uint64 `json:"stale_age"`
	// Lost counts samples that were named as lost.
	Lost uint64 `json:"lost"`
	// Failures counts requests without a step, by the code of the refusal;
	// zero stands for no answer.
	Failures map[int]uint64 `json:"failures"`
	// IdleSeconds is the time spent waiting for steps, of TotalSeconds.
	IdleSeconds  float64 `json:"idle_seconds"`
	TotalSeconds float64 `json:"total_seconds"`
	// MeanLag and MaxLag are in weight versions, and MeanAgeSeconds and
	// MaxAgeSeconds are taken at the arrival of the step.
	MeanLag        float64 `json:"mean_lag"`
	MaxLag         uint64  `json:"max_lag"`
	MeanAgeSeconds float64 `json:"mean_age_seconds"`
	MaxAgeSeconds  float64 `json:"max_age_seconds"`
	// Holds is the weight version that the trainer made last.
	Holds structs.WeightVersion `json:"holds"`
}

// Delivery records a delivered sample.
type Delivery struct {
	ID    structs.SampleID      `json:"id"`
	Step  uint64                `json:"step"`
	Spans []structs.VersionSpan `json:"spans"`
	Truth []structs.VersionSpan `json:"truth"`
}

// Bounds are the staleness bounds that the trainer checks.
type Bounds struct {
	Versions uint64
	// Age is checked when it is not zero.
	Age time.Duration
}

// tally gathers a report.
type tally struct {
	report     Report
	seen       map[structs.SampleID]uint64
	deliveries []Delivery
	lagSum     uint64
	ageSum     time.Duration
	begun      time.Time
	idleSince  time.Time
	idle       time.Duration
}

func newTally(workspace structs.WorkspaceName, now time.Time) *tally {
	return &tally{
		report: Report{Workspace: workspace, Failures: make(map[int]uint64)},
		seen:   make(map[structs.SampleID]uint64),
		begun:  now,
	}
}

// delivered records a step that came at a time for a request that named the
// held version. The age bound counts from when the step was asked for, because
// a step is sealed after that.
func (t *tally) delivered(reply StepReply, holds structs.WeightVersion, asked, now time.Time, bounds Bounds) {
	t.report.Steps++
	if reply.Of != 0 {
		t.report.Supplements++
	}
	t.report.Lost += uint64(len(reply.Lost))
	for _, sample := range reply.Samples {
		t.sample(reply.Step, sample, holds, asked, now, bounds)
	}
}

func (t *tally) sample(step uint64, sample structs.Sample, holds structs.WeightVersion, asked, now time.Time, bounds Bounds) {
	t.report.Samples++
	if _, doubled := t.seen[sample.ID]; doubled {
		t.report.Doubled++
	}
	t.seen[sample.ID] = step
	if !attributed(sample) {
		t.report.Misattributed++
	}
	truth, _ := TrueSpans(string(sample.Body))
	t.deliveries = append(t.deliveries, Delivery{ID: sample.ID, Step: step, Spans: sample.Spans, Truth: truth})
	t.lag(oldest(sample.Spans, truth), holds, bounds)
	t.age(sample.Born, asked, now, bounds)
}

// oldest is the lowest version that the spans or the text name.
func oldest(spans, truth []structs.VersionSpan) structs.WeightVersion {
	all := structs.Sample{Spans: append(append([]structs.VersionSpan(nil), spans...), truth...)}
	return all.OldestVersion()
}

func (t *tally) lag(oldest, holds structs.WeightVersion, bounds Bounds) {
	lag := uint64(0)
	if holds > oldest {
		lag = uint64(holds - oldest)
	}
	if lag > bounds.Versions {
		t.report.StaleVersions++
	}
	t.lagSum += lag
	t.report.MaxLag = max(t.report.MaxLag, lag)
}

func (t *tally) age(born, asked, now time.Time, bounds Bounds) {
	if bounds.Age > 0 && asked.Sub(born) > bounds.Age {
		t.report.StaleAge++
	}
	age := now.Sub(born)
	t.ageSum += age
	t.report.MaxAgeSeconds = max(t.report.MaxAgeSeconds, age.Seconds())
}

func (t *tally) beginIdle(now time.Time) { t.idleSince = now }

func (t *tally) endIdle(now time.Time) {
	t.idle += now.Sub(t.idleSince)
	t.idleSince = time.Time{}
}

// at returns the report as of a time.
func (t *tally) at(now time.Time) Report {
	report := t.report
	report.Failures = make(map[int]uint64, len(t.report.Failures))
	for code, count := range t.report.Failures {
		report.Failures[code] = count
	}
	idle := t.idle
	if !t.idleSince.IsZero() {
		idle += now.Sub(t.idleSince)
	}
	report.IdleSeconds, report.TotalSeconds = idle.Seconds(), now.Sub(t.begun).Seconds()
	if report.Samples > 0 {
		report.MeanLag = float64(t.lagSum) / float64(report.Samples)
		report.MeanAgeSeconds = t.ageSum.Seconds() / float64(report.Samples)
	}
	return report
}
