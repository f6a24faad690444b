package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the outcome of a run. All fields of Totals are numbers.
type Report struct {
	Question string                  `json:"question"`
	Seed     uint64                  `json:"seed"`
	Seconds  float64                 `json:"seconds"`
	Totals   Totals                  `json:"totals"`
	Streams  map[string]StreamReport `json:"streams"`
	// Codes counts the result codes that were given.
	Codes map[string]int64 `json:"codes"`
	// Breaches describes the first breaches of what must always hold.
	Breaches []string `json:"breaches,omitempty"`
	// Silent names the streams of which nothing that arrived after the
	// failure was answered.
	Silent []string `json:"silent,omitempty"`
}

// Totals are the figures of a whole run.
type Totals struct {
	Sent           int64 `json:"sent"`
	Answered       int64 `json:"answered"`
	RefusedNotRun  int64 `json:"refused_not_run"`
	UnknownOutcome int64 `json:"unknown_outcome"`
	// Failed counts requests to which no daemon gave any answer.
	Failed int64 `json:"failed"`
	// DoubledRuns counts keys that a plain service ran more than once.
	DoubledRuns int64 `json:"doubled_runs"`
	// LostAnswers counts submissions that were answered but that no plain
	// service ran.
	LostAnswers int64 `json:"lost_answers"`
	// WrongAnswers counts answers that belong to another request or are not
	// whole, and refusals as not run of submissions that ran.
	WrongAnswers         int64 `json:"wrong_answers"`
	SamplesDelivered     int64 `json:"samples_delivered"`
	SamplesDoubled       int64 `json:"samples_doubled"`
	SamplesStale         int64 `json:"samples_stale"`
	SamplesMisattributed int64 `json:"samples_misattributed"`
	SettingsAccepted     int64 `json:"settings_accepted"`
	// SettingsPartial counts daemons seen to serve an older revision after a
	// change was accepted, and withdrawn changes seen in force.
	SettingsPartial     int64   `json:"settings_partial"`
	SettingsSecondsMax  float64 `json:"settings_seconds_max"`
	TrainerIdleFraction float64 `json:"trainer_idle_fraction"`
	LookupP99ms         float64 `json:"lookup_p99_ms"`
	StoreWrites         int64   `json:"store_writes"`
	StoreReads          int64   `json:"store_reads"`
}

// Broken counts the breaches of what must always hold.
func (t Totals) Broken() int64 {
	return t.DoubledRuns + t.LostAnswers + t.WrongAnswers + t.SamplesDoubled + t.SamplesStale +
		t.SamplesMisattributed + t.SettingsPartial
}

// StreamReport gives the latencies of a stream, counted from when each request
// was meant to start, in milliseconds.
type StreamReport struct {
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	// AnsweredAfter counts the answers to arrivals after the failure began.
	AnsweredAfter int64   `json:"answered_after,omitempty"`
	P50           float64 `json:"p50_ms"`
	P90           float64 `json:"p90_ms"`
	P99           float64 `json:"p99_ms"`
	Max           float64 `json:"max_ms"`
}

// The bounds of the histograms.
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
