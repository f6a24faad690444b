package load

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// submission is what the caller was told of a key in the end.
type submission struct {
	body    string
	outcome result.Outcome
}

// tally gathers what the callers saw. It is safe for concurrent use.
type tally struct {
	mu          sync.Mutex
	totals      Totals
	codes       map[string]int64
	streams     map[string]*streamTally
	submissions map[string]submission
	breaches    []string
}

// keptBreaches is the count of breaches that a report describes.
const keptBreaches = 20

type streamTally struct {
	sent, answered, answeredAfter int64
	latency                       *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		codes:       make(map[string]int64),
		streams:     make(map[string]*streamTally),
		submissions: make(map[string]submission),
	}
}

func (t *tally) stream(name string) *streamTally {
	known, ok := t.streams[name]
	if !ok {
		known = &streamTally{latency: newHistogram()}
		t.streams[name] = known
	}
	return known
}

// sent counts an arrival.
func (t *tally) sent(stream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Sent++
	t.stream(stream).sent++
}

// overflow counts an arrival that found too many others waiting.
func (t *tally) overflow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Failed++
}

// done counts a request's end: the final response, or none. The request
// arrived after the failure if after is set.
func (t *tally) done(stream string, r response, latency time.Duration, after bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.err != nil {
		t.totals.Failed++
		return
	}
	t.codes[strconv.Itoa(int(r.code))]++
	switch r.outcome {
	case result.Answered:
		t.totals.Answered++
		known := t.stream(stream)
		known.answered++
		if after {
			known.answeredAfter++
		}
		_ = known.latency.RecordValue(int64(max(latency, time.Microsecond)))
	case result.NotRun:
		t.totals.RefusedNotRun++
	default:
		t.totals.UnknownOutcome++
	}
}

func (t *tally) wrong() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.WrongAnswers++
}

func (t *tally) submitted(key string, s submission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.submissions[key] = s
}

func (t *tally) accepted(span time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.SettingsAccepted++
	t.totals.SettingsSecondsMax = max(t.totals.SettingsSecondsMax, span.Seconds())
}

// partial counts a breach of the settings' promise and keeps what was seen.
func (t *tally) partial(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.SettingsPartial++
	t.breach(format, args...)
}

func (t *tally) breach(format string, args ...any) {
	if len(t.breaches) < keptBreaches {
		t.breaches = append(t.breaches, fmt.Sprintf(format, args...))
	}
}

// report summarises the streams.
func (t *tally) report() (Totals, map[string]StreamReport, map[string]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	streams := make(map[string]StreamReport, len(t.streams))
	for name, known := range t.streams {
		streams[name] = StreamReport{
			Sent:          known.sent,
			Answered:      known.answered,
			AnsweredAfter: known.answeredAfter,
			P50:           milliseconds(known.latency.ValueAtQuantile(50)),
			P90:           milliseconds(known.latency.ValueAtQuantile(90)),
			P99:           milliseconds(known.latency.ValueAtQuantile(99)),
			Max:           milliseconds(known.latency.Max()),
		}
	}
	return t.totals, streams, t.codes
}
