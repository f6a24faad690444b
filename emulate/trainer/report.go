package trainer

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// PathReport serves the Report.
const PathReport = "/emulate/report"

// Report summarizes what a trainer received.
type Report struct {
	Workspace structs.WorkspaceName `json:"workspace"`
	// Steps counts the steps received, and Supplements those of them that replace
	// lost samples.
	Steps       uint64 `json:"steps"`
	Supplements uint64 `json:"supplements"`
	Samples     uint64 `json:"samples"`
	// Doubled counts samples whose id had been delivered before.
	Doubled uint64 `json:"doubled"`
	// Misattributed counts samples whose spans differ from the versions in their
	// text, or whose text is incomplete.
	Misattributed uint64 `json:"misattributed"`
	// StaleVersions and StaleAge count samples that exceed a staleness bound.
	StaleVersions uint64 `json:"stale_versions"`
	StaleAge      uint64 `json:"stale_age"`
	// Lost counts samples that the service reported as lost.
	Lost uint64 `json:"lost"`
	// Failures counts failed requests for a step by result code; zero means that
	// no complete response arrived.
	Failures map[int]uint64 `json:"failures"`
	// IdleSeconds is the part of TotalSeconds spent waiting for steps.
	IdleSeconds  float64 `json:"idle_seconds"`
	TotalSeconds float64 `json:"total_seconds"`
	// MeanLag and MaxLag are in weight versions. MeanAgeSeconds and MaxAgeSeconds
	// are measured at the arrival of the step.
	MeanLag        float64 `json:"mean_lag"`
	MaxLag         uint64  `json:"max_lag"`
	MeanAgeSeconds float64 `json:"mean_age_seconds"`
	MaxAgeSeconds  float64 `json:"max_age_seconds"`
	// Holds is the newest weight version of the trainer.
	Holds structs.WeightVersion `json:"holds"`
}

// Delivery is the record of a delivered sample. Spans are the version spans of
// the sample, Truth those in its text.
type Delivery struct {
	ID    structs.SampleID      `json:"id"`
	Step  uint64                `json:"step"`
	Spans []structs.VersionSpan `json:"spans"`
	Truth []structs.VersionSpan `json:"truth"`
}

// Bounds are the staleness bounds that the trainer checks.
type Bounds struct {
	Versions uint64
	// Age is not checked if it is zero.
	Age time.Duration
}

// tally accumulates a report.
type tally struct {
	report Report
	// deliveredStep maps each delivered sample to the last step that held it.
	deliveredStep map[structs.SampleID]uint64
	deliveries    []Delivery
	lagSum        uint64
	ageSum        time.Duration
	startTime     time.Time
	idleSince     time.Time
	idleTime      time.Duration
}

func newTally(workspace structs.WorkspaceName, now time.Time) *tally {
	return &tally{
		report:        Report{Workspace: workspace, Failures: make(map[int]uint64)},
		deliveredStep: make(map[structs.SampleID]uint64),
		startTime:     now,
	}
}

// recordStep records a step that arrived at now for a request that named
// heldVersion. The age bound applies to the time of the request, because a step
// is sealed after that.
func (t *tally) recordStep(reply StepReply, heldVersion structs.WeightVersion, requestTime, now time.Time, bounds Bounds) {
	t.report.Steps++
	if reply.Of != 0 {
		t.report.Supplements++
	}
	t.report.Lost += uint64(len(reply.Lost))
	for _, sample := range reply.Samples {
		t.recordSample(reply.Step, sample, heldVersion, requestTime, now, bounds)
	}
}

func (t *tally) recordSample(step uint64, sample structs.Sample, heldVersion structs.WeightVersion, requestTime, now time.Time, bounds Bounds) {
	t.report.Samples++
	if _, repeated := t.deliveredStep[sample.ID]; repeated {
		t.report.Doubled++
	}
	t.deliveredStep[sample.ID] = step
	if !spansMatchBody(sample) {
		t.report.Misattributed++
	}
	truth, _ := TrueSpans(string(sample.Body))
	t.deliveries = append(t.deliveries, Delivery{ID: sample.ID, Step: step, Spans: sample.Spans, Truth: truth})
	t.recordLag(oldestVersion(sample.Spans, truth), heldVersion, bounds)
	t.recordAge(sample.Born, requestTime, now, bounds)
}

// oldestVersion returns the oldest version in the spans or the text of a sample.
func oldestVersion(spans, truth []structs.VersionSpan) structs.WeightVersion {
	all := structs.Sample{Spans: append(append([]structs.VersionSpan(nil), spans...), truth...)}
	return all.OldestVersion()
}

func (t *tally) recordLag(oldest, heldVersion structs.WeightVersion, bounds Bounds) {
	lag := uint64(0)
	if heldVersion > oldest {
		lag = uint64(heldVersion - oldest)
	}
	if lag > bounds.Versions {
		t.report.StaleVersions++
	}
	t.lagSum += lag
	t.report.MaxLag = max(t.report.MaxLag, lag)
}

func (t *tally) recordAge(born, requestTime, now time.Time, bounds Bounds) {
	if bounds.Age > 0 && requestTime.Sub(born) > bounds.Age {
		t.report.StaleAge++
	}
	age := now.Sub(born)
	t.ageSum += age
	t.report.MaxAgeSeconds = max(t.report.MaxAgeSeconds, age.Seconds())
}

func (t *tally) beginIdle(now time.Time) { t.idleSince = now }

func (t *tally) endIdle(now time.Time) {
	t.idleTime += now.Sub(t.idleSince)
	t.idleSince = time.Time{}
}

// reportAt returns the report as of a time.
func (t *tally) reportAt(now time.Time) Report {
	report := t.report
	report.Failures = make(map[int]uint64, len(t.report.Failures))
	for code, count := range t.report.Failures {
		report.Failures[code] = count
	}
	idleTime := t.idleTime
	if !t.idleSince.IsZero() {
		idleTime += now.Sub(t.idleSince)
	}
	report.IdleSeconds, report.TotalSeconds = idleTime.Seconds(), now.Sub(t.startTime).Seconds()
	if report.Samples > 0 {
		report.MeanLag = float64(t.lagSum) / float64(report.Samples)
		report.MeanAgeSeconds = t.ageSum.Seconds() / float64(report.Samples)
	}
	return report
}
