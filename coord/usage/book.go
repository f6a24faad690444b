package usage

import (
	"maps"
	"slices"
	"time"
)

// Record is what the store holds: the counts on which a holder has decided. No holder
// reports other counts for a window.
type Record struct {
	// Last is the last window that was decided.
	Last Window `json:"last"`
	// Decided holds the counts of the windows that may not have been reported yet.
	Decided map[Window]Counts `json:"decided"`
}

// StepKind is the kind of a step.
type StepKind uint8

// The kinds of steps.
const (
	// Wait waits until a time.
	Wait StepKind = iota
	// Load reads the record from the store.
	Load
	// Gather asks the daemons for the counts of the windows From to To.
	Gather
	// Decide writes the record, if it has not changed since it was read.
	Decide
	// Report reports the counts of the window From.
	Report
)

// Step is what the holder does next.
type Step struct {
	Kind StepKind
	// Until is when a Wait ends.
	Until    time.Time
	From, To Window
	// Record is what to write, and Counts what to report.
	Record Record
	Counts Counts
}

// Book holds what a holder knows of the windows in one tenure. It is not safe for
// concurrent use.
type Book struct {
	rules    Rules
	isLoaded bool
	record   Record
	// open holds the windows that are being gathered; nil if there are none.
	open *gathering
	// reported holds the windows of the record that the platform has confirmed.
	reported map[Window]bool
	// attempted is the last window whose report was tried, after which the others have
	// their turn.
	attempted Window
	// storeRetryAt and reportRetryAt are when a failed step may be repeated.
	storeRetryAt, reportRetryAt time.Time
}

// gathering is the state of windows that are being gathered together.
type gathering struct {
	from, to   Window
	counts     map[Window]Counts
	answered   map[string]bool
	isComplete bool
	retryAt    time.Time
}

// NewBook returns the book of a tenure that begins.
func (r Rules) NewBook() *Book { return &Book{rules: r, reported: make(map[Window]bool)} }

// Next returns the next step at a time, which is the holder's estimate of the true time.
// Without mayReport, as before the first call of a new holder, windows are only decided.
func (b *Book) Next(now time.Time, mayReport bool) Step {
	step := b.nextDecision(now)
	if step.Kind != Wait {
		return step
	}
	window, ok := b.nextReport(now)
	switch {
	case !ok || !mayReport:
		return step
	case now.Before(b.reportRetryAt):
		step.Until = earlier(step.Until, b.reportRetryAt)
		return step
	}
	return Step{Kind: Report, From: window, To: window, Counts: b.record.Decided[window]}
}

// nextDecision returns the next step towards a decision.
func (b *Book) nextDecision(now time.Time) Step {
	if now.Before(b.storeRetryAt) {
		return Step{Kind: Wait, Until: b.storeRetryAt}
	}
	if !b.isLoaded {
		return Step{Kind: Load}
	}
	if b.open == nil {
		next := b.record.Last + 1
		if due := b.rules.EndOf(next).Add(settleTime); now.Before(due) {
			return Step{Kind: Wait, Until: due}
		}
		last := max(next, b.rules.WindowAt(now.Add(-settleTime))-1)
		b.open = &gathering{from: max(next, last-b.rules.OpenWindows()+1), to: last, counts: make(map[Window]Counts), answered: make(map[string]bool)}
	}
	giveUpAt := b.rules.EndOf(b.open.to).Add(time.Duration(gatherFraction * float64(b.rules.Due)))
	switch {
	case b.open.isComplete || !now.Before(giveUpAt) && !b.open.retryAt.IsZero():
		return Step{Kind: Decide, From: b.open.from, To: b.open.to, Record: b.decision()}
	case now.Before(b.open.retryAt):
		return Step{Kind: Wait, Until: earlier(b.open.retryAt, giveUpAt)}
	}
	return Step{Kind: Gather, From: b.open.from, To: b.open.to}
}

// decision returns the record with the windows that were gathered, and without those
// that were reported.
func (b *Book) decision() Record {
	decided := make(map[Window]Counts)
	for window, counts := range b.record.Decided {
		if !b.reported[window] && window > b.open.to-b.rules.OpenWindows() {
			decided[window] = counts
		}
	}
	for window := b.open.from; window <= b.open.to; window++ {
		counts := make(Counts)
		counts.Add(b.open.counts[window])
		decided[window] = counts
	}
	return Record{Last: b.open.to, Decided: decided}
}

// nextReport returns the window to report next: one that is not overdue before others, and
// after the one that was tried last, so that a report that fails does not hold up the rest.
func (b *Book) nextReport(now time.Time) (Window, bool) {
	var inTime, overdue []Window
	for _, window := range slices.Sorted(maps.Keys(b.record.Decided)) {
		switch {
		case b.reported[window]:
		case now.After(b.rules.EndOf(window).Add(b.rules.Due)):
			overdue = append(overdue, window)
		default:
			inTime = append(inTime, window)
		}
	}
	open := inTime
	if len(open) == 0 {
		open = overdue
	}
	if len(open) == 0 {
		return 0, false
	}
	for _, window := range open {
		if window > b.attempted {
			return window, true
		}
	}
	return open[0], true
}

// Unreported returns the windows that are decided and not confirmed, the oldest first.
func (b *Book) Unreported() []Window {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(b.record.Decided)), func(window Window) bool { return b.reported[window] })
}

// Loaded takes the record that the store holds, and none if it holds none: then the first
// window is the one that is due next.
func (b *Book) Loaded(record *Record, now time.Time) {
	b.isLoaded = true
	if record == nil {
		record = &Record{Last: b.rules.WindowAt(now.Add(-b.rules.Due)) - 1}
	}
	if record.Last != b.record.Last {
		b.open = nil
	}
	b.record = *record
}

// Answered reports whether a daemon has given its counts of the windows that are being
// gathered.
func (b *Book) Answered(daemon string) bool { return b.open != nil && b.open.answered[daemon] }

// Gathered takes the counts of daemons that have answered. isComplete is set if none is
// missing.
func (b *Book) Gathered(counts map[Window]Counts, answered []string, isComplete bool, now time.Time) {
	if b.open == nil {
		return
	}
	for window, some := range counts {
		if b.open.counts[window] == nil {
			b.open.counts[window] = make(Counts)
		}
		b.open.counts[window].Add(some)
	}
	for _, daemon := range answered {
		b.open.answered[daemon] = true
	}
	b.open.isComplete, b.open.retryAt = isComplete, now.Add(gatherRetryDelay)
}

// Regather drops what was gathered, because the windows were cut by a wrong clock.
func (b *Book) Regather() { b.open = nil }

// Decided takes a record that the store has acknowledged.
func (b *Book) Decided(record Record) {
	b.record, b.open = record, nil
	maps.DeleteFunc(b.reported, func(window Window, _ bool) bool { return record.Decided[window] == nil })
}

// Contested is called when the store holds another record than this book, or may: it is
// read again before anything is decided.
func (b *Book) Contested() { b.isLoaded = false }

// StoreFailed is called when the store did not answer. Whether a record was written is
// then unknown until it has been read.
func (b *Book) StoreFailed(now time.Time) {
	b.isLoaded, b.storeRetryAt = false, now.Add(stepRetryDelay)
}

// Reported takes the result of a report.
func (b *Book) Reported(window Window, done bool, now time.Time) {
	b.attempted = window
	if done {
		b.reported[window] = true
		return
	}
	b.reportRetryAt = now.Add(stepRetryDelay)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
