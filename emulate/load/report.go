package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run of the load generator.
type Report struct {
	Question string                  `json:"question"`
	Seed     uint64                  `json:"seed"`
	Seconds  float64                 `json:"seconds"`
	Totals   Totals                  `json:"totals"`
	Streams  map[string]StreamReport `json:"streams"`
	// Codes counts the responses by result code.
	Codes map[string]int64 `json:"codes"`
	// Breaches describes the first violations of the settings guarantees.
	Breaches []string `json:"breaches,omitempty"`
	// Silent lists the streams in which no request that arrived after the failure
	// was answered.
	Silent []string `json:"silent,omitempty"`
}

// Totals are the figures of a whole run. Compare needs all fields to be numbers.
type Totals struct {
	Sent           int64 `json:"sent"`
	Answered       int64 `json:"answered"`
	RefusedNotRun  int64 `json:"refused_not_run"`
	UnknownOutcome int64 `json:"unknown_outcome"`
	// Failed counts requests that no daemon responded to, and arrivals over
	// MaxInFlight.
	Failed int64 `json:"failed"`
	// DoubledRuns counts keys that plain services executed more than once.
	DoubledRuns int64 `json:"doubled_runs"`
	// LostAnswers counts submissions that were answered but that no plain service
	// executed.
	LostAnswers int64 `json:"lost_answers"`
	// WrongAnswers counts answers that belong to another request or are
	// incomplete, and submissions that were reported as not run but were executed.
	WrongAnswers         int64 `json:"wrong_answers"`
	SamplesDelivered     int64 `json:"samples_delivered"`
	SamplesDoubled       int64 `json:"samples_doubled"`
	SamplesStale         int64 `json:"samples_stale"`
	SamplesMisattributed int64 `json:"samples_misattributed"`
	SettingsAccepted     int64 `json:"settings_accepted"`
	// SettingsPartial counts daemons that served an older revision after a change
	// was accepted, and withdrawn changes found in force.
	SettingsPartial     int64   `json:"settings_partial"`
	SettingsSecondsMax  float64 `json:"settings_seconds_max"`
	TrainerIdleFraction float64 `json:"trainer_idle_fraction"`
	LookupP99ms         float64 `json:"lookup_p99_ms"`
	StoreWrites         int64   `json:"store_writes"`
	StoreReads          int64   `json:"store_reads"`
}

// Broken returns the number of violated guarantees.
func (t Totals) Broken() int64 {
	return t.DoubledRuns + t.LostAnswers + t.WrongAnswers + t.SamplesDoubled + t.SamplesStale +
		t.SamplesMisattributed + t.SettingsPartial
}

// StreamReport holds the latencies of a stream, in milliseconds. They are measured
// from the intended start of each request, so that a stall of the load generator
// counts as latency.
type StreamReport struct {
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	// AnsweredAfter counts the answered requests that arrived after the failure
	// began.
	AnsweredAfter int64   `json:"answered_after,omitempty"`
	P50           float64 `json:"p50_ms"`
	P90           float64 `json:"p90_ms"`
	P99           float64 `json:"p99_ms"`
	Max           float64 `json:"max_ms"`
}

// Bounds of the latency histograms, in nanoseconds, and their precision in
// significant decimal digits.
const (
	shortestLatency = int64(time.Microsecond)
	longestLatency  = int64(10 * time.Minute)
	latencyDigits   = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)
}

func milliseconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Millisecond)
}
