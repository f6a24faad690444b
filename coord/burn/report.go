package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Alarm is a multi-window burn rate alarm: the long window shows that the burn
// is significant, the short one that it is still going on.
type Alarm struct {
	Name        string
	Short, Long time.Duration
	// Threshold is the burn rate that both windows must reach to raise the
	// alarm.
	Threshold float64
}

// Alarms returns the alarms, fastest first. The threshold of the fast one
// corresponds to a fifth of the period's budget spent within an hour.
func Alarms() []Alarm {
	return []Alarm{
		{Name: "fast", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
		{Name: "medium", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
		{Name: "slow", Short: 6 * time.Hour, Long: Period, Threshold: 1},
	}
}

// Window is the burn over one time window.
type Window struct {
	// Seconds is the length of the window.
	Seconds float64 `json:"seconds"`
	Count
	// Rate is the burn rate: the fraction of bad requests divided by the
	// fraction that the objective allows. At 1 the budget lasts exactly for the
	// period.
	Rate float64 `json:"rate"`
}

// AlarmStatus is the current state of one alarm.
type AlarmStatus struct {
	Name      string  `json:"name"`
	Short     Window  `json:"short"`
	Long      Window  `json:"long"`
	Threshold float64 `json:"limit"`
	Raised    bool    `json:"raised"`
}

// Row is the burn of one workspace and request class.
type Row struct {
	Workspace structs.WorkspaceName `json:"workspace"`
	Class     structs.Class         `json:"class"`
	Objective float64               `json:"objective"`
	Alarms    []AlarmStatus         `json:"alarms"`
	// BudgetLeft is the fraction of the period's error budget that is left. It
	// is negative once the budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
	// ExhaustedInSeconds is the time until the budget is used up at the burn
	// rate of the last hour: zero when it already is, nil when it never will be.
	ExhaustedInSeconds *float64 `json:"exhausted_in,omitempty"`
}

// Report is the burn of all workspaces and classes.
type Report struct {
	At time.Time `json:"at"`
	// PeriodSeconds is the period over which the error budget is counted.
	PeriodSeconds float64 `json:"period_seconds"`
	Rows          []Row   `json:"rows"`
}

// Sort sorts the rows by workspace, then by class.
func (r *Report) Sort() {
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
}

// NewRow computes the row of a series as of now. The objective is the fraction
// of requests that must be good.
func NewRow(now time.Time, workspace structs.WorkspaceName, class structs.Class, objective float64, series *Series) Row {
	row := Row{Workspace: workspace, Class: class, Objective: objective}
	row.compute(func(window time.Duration) Count { return series.Sum(now, window) })
	return row
}

// compute derives the alarms and the budget from the counts of each window.
func (r *Row) compute(countOver func(time.Duration) Count) {
	window := func(length time.Duration) Window {
		count := countOver(length)
		return Window{Seconds: length.Seconds(), Count: count, Rate: burnRate(count, r.Objective)}
	}
	r.Alarms = nil
	for _, alarm := range Alarms() {
		short, long := window(alarm.Short), window(alarm.Long)
		r.Alarms = append(r.Alarms, AlarmStatus{
			Name:      alarm.Name,
			Short:     short,
			Long:      long,
			Threshold: alarm.Threshold,
			Raised:    short.Rate >= alarm.Threshold && long.Rate >= alarm.Threshold,
		})
	}
	r.BudgetLeft = 1 - window(Period).Rate
	r.ExhaustedInSeconds = secondsToExhaustion(r.BudgetLeft, window(time.Hour).Rate)
}

// countOver returns the row's count over a window of the given length, or a
// zero Count when no alarm has such a window.
func (r *Row) countOver(length time.Duration) Count {
	for _, alarm := range r.Alarms {
		for _, window := range []Window{alarm.Short, alarm.Long} {
			if window.Seconds == length.Seconds() {
				return window.Count
			}
		}
	}
	return Count{}
}

// Merge combines the reports of several daemons. Each daemon counts only the
// requests that it received itself, so that counts are summed.
func Merge(reports []Report) Report {
	merged := Report{PeriodSeconds: Period.Seconds()}
	type key struct {
		workspace structs.WorkspaceName
		class     structs.Class
	}
	rows := make(map[key][]Row)
	for _, report := range reports {
		if report.At.After(merged.At) {
			merged.At = report.At
		}
		for _, row := range report.Rows {
			k := key{workspace: row.Workspace, class: row.Class}
			rows[k] = append(rows[k], row)
		}
	}
	for k, sameKey := range rows {
		row := Row{Workspace: k.workspace, Class: k.class, Objective: sameKey[0].Objective}
		row.compute(func(window time.Duration) Count {
			var sum Count
			for i := range sameKey {
				sum.add(sameKey[i].countOver(window))
			}
			return sum
		})
		merged.Rows = append(merged.Rows, row)
	}
	merged.Sort()
	return merged
}

// burnRate returns the burn rate of a count, as Window.Rate defines it. It is
// zero without requests, and for an objective that allows no bad ones.
func burnRate(count Count, objective float64) float64 {
	allowed := 1 - objective
	if count.total() == 0 || allowed <= 0 {
		return 0
	}
	return float64(count.Bad) / float64(count.total()) / allowed
}

// secondsToExhaustion returns the time until the fraction of the budget that is
// left is used up at a burn rate, or nil when that never happens.
func secondsToExhaustion(left, rate float64) *float64 {
	if left > 0 && rate <= 0 {
		return nil
	}
	seconds := 0.0
	if left > 0 {
		seconds = left * Period.Seconds() / rate
	}
	return &seconds
}
