package load

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// submission is the final outcome of a submission as reported to its caller.
type submission struct {
	body    string
	outcome result.Outcome
}

// tally accumulates the results of requests. It is safe for concurrent use.
type tally struct {
	mu          sync.Mutex
	totals      Totals
	codes       map[string]int64
	streams     map[string]*streamStats
	submissions map[string]submission
	breaches    []string
}

// maxBreaches bounds the violations that a report describes.
const maxBreaches = 20

type streamStats struct {
	sent, answered, answeredAfter int64
	latency                       *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		codes:       make(map[string]int64),
		streams:     make(map[string]*streamStats),
		submissions: make(map[string]submission),
	}
}

func (t *tally) stream(name string) *streamStats {
	stats, ok := t.streams[name]
	if !ok {
		stats = &streamStats{latency: newHistogram()}
		t.streams[name] = stats
	}
	return stats
}

// countSent counts an arrival of a stream.
func (t *tally) countSent(stream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Sent++
	t.stream(stream).sent++
}

// countOverflow counts an arrival over MaxInFlight as failed.
func (t *tally) countOverflow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Failed++
}

// recordResponse records the final response to a request, or its error.
// afterFault reports whether the request arrived after the failure began.
func (t *tally) recordResponse(stream string, resp response, latency time.Duration, afterFault bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if resp.err != nil {
		t.totals.Failed++
		return
	}
	t.codes[strconv.Itoa(int(resp.code))]++
	switch resp.outcome {
	case result.Answered:
		t.totals.Answered++
		stats := t.stream(stream)
		stats.answered++
		if afterFault {
			stats.answeredAfter++
		}
		_ = stats.latency.RecordValue(int64(max(latency, time.Microsecond)))
	case result.NotRun:
		t.totals.RefusedNotRun++
	default:
		t.totals.UnknownOutcome++
	}
}

func (t *tally) countWrongAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.WrongAnswers++
}

func (t *tally) recordSubmission(key string, s submission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.submissions[key] = s
}

func (t *tally) recordSettingsChange(duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.SettingsAccepted++
	t.totals.SettingsSecondsMax = max(t.totals.SettingsSecondsMax, duration.Seconds())
}

// recordPartialSettings counts and describes a violation of the settings
// guarantees.
func (t *tally) recordPartialSettings(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.SettingsPartial++
	t.recordBreach(format, args...)
}

func (t *tally) recordBreach(format string, args ...any) {
	if len(t.breaches) < maxBreaches {
		t.breaches = append(t.breaches, fmt.Sprintf(format, args...))
	}
}

// report returns the totals, the report of each stream by name, and the number of
// responses by result code.
func (t *tally) report() (Totals, map[string]StreamReport, map[string]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	streams := make(map[string]StreamReport, len(t.streams))
	for name, stats := range t.streams {
		streams[name] = StreamReport{
			Sent:          stats.sent,
			Answered:      stats.answered,
			AnsweredAfter: stats.answeredAfter,
			P50:           milliseconds(stats.latency.ValueAtQuantile(50)),
			P90:           milliseconds(stats.latency.ValueAtQuantile(90)),
			P99:           milliseconds(stats.latency.ValueAtQuantile(99)),
			Max:           milliseconds(stats.latency.Max()),
		}
	}
	return t.totals, streams, t.codes
}
