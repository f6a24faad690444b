package burn

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var epoch = time.Unix(1_700_000_000, 0).Truncate(coarseSlotLength)

func TestRow_BurnRateAtObjective(t *testing.T) {
	var series Series
	for minute := range int(Period / time.Minute) {
		series.AddCount(epoch.Add(time.Duration(minute)*time.Minute), Count{Good: 999, Bad: 1})
	}
	row := NewRow(epoch.Add(Period-time.Second), "assessor", structs.ClassLookup, 0.999, &series)
	for _, alarm := range row.Alarms {
		must.InDelta(t, 1, alarm.Long.Rate, 0.001)
		must.InDelta(t, 1, alarm.Short.Rate, 0.001)
	}
	must.False(t, row.Alarms[0].Raised)
	must.InDelta(t, 0, row.BudgetLeft, 0.001)
}

func TestRow_FastAlarm(t *testing.T) {
	var series Series
	now := epoch
	for ; now.Before(epoch.Add(2 * time.Hour)); now = now.Add(time.Second) {
		series.AddCount(now, Count{Good: 10})
	}
	for end := now.Add(5 * time.Minute); now.Before(end); now = now.Add(time.Second) {
		series.AddCount(now, Count{Bad: 10})
	}
	row := NewRow(now, "drafts", structs.ClassDraft, 0.999, &series)
	must.True(t, row.Alarms[0].Raised)
	must.NotNil(t, row.ExhaustedInSeconds)
	must.Zero(t, *row.ExhaustedInSeconds)
	for end := now.Add(6 * time.Minute); now.Before(end); now = now.Add(time.Second) {
		series.AddCount(now, Count{Good: 10})
	}
	row = NewRow(now, "drafts", structs.ClassDraft, 0.999, &series)
	must.False(t, row.Alarms[0].Raised)
}

func TestRow_TimeToExhaustion(t *testing.T) {
	var series Series
	series.AddCount(epoch, Count{Good: 990, Bad: 10})
	row := NewRow(epoch, "a", structs.ClassLookup, 0.98, &series)
	must.InDelta(t, 0.5, row.BudgetLeft, 1e-9)
	must.InDelta(t, Period.Seconds(), *row.ExhaustedInSeconds, 1)
	var empty Series
	row = NewRow(epoch, "a", structs.ClassLookup, 0.98, &empty)
	must.Nil(t, row.ExhaustedInSeconds)
	must.Eq(t, 1.0, row.BudgetLeft)
}

func TestMerge_SumsCounts(t *testing.T) {
	var one, two, both Series
	one.AddCount(epoch, Count{Good: 990, Bad: 10})
	two.AddCount(epoch, Count{Good: 10})
	both.AddCount(epoch, Count{Good: 1000, Bad: 10})
	reports := make([]Report, 2)
	for i, series := range []*Series{&one, &two} {
		reports[i] = Report{At: epoch, Rows: []Row{NewRow(epoch, "a", structs.ClassDraft, 0.99, series)}}
	}
	merged := Merge(reports)
	must.Eq(t, []Row{NewRow(epoch, "a", structs.ClassDraft, 0.99, &both)}, merged.Rows)
}

// TestSeries_Sum compares the rings with a list of all requests, with windows
// rounded up to whole slots.
func TestSeries_Sum(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var series Series
		var times []time.Time
		now := epoch
		for range rapid.IntRange(1, 60).Draw(r, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3600).Draw(r, "gap")) * time.Second)
			times = append(times, now)
			series.Add(now, true)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 7200).Draw(r, "after")) * time.Second)
		for _, window := range []time.Duration{5 * time.Minute, 6 * time.Hour, Period} {
			slotLength := fineSlotLength
			if window > maxFineWindow {
				slotLength = coarseSlotLength
			}
			oldest := now.Truncate(slotLength).Add(slotLength - window)
			want := uint64(0)
			for _, at := range times {
				if !at.Before(oldest) {
					want++
				}
			}
			must.Eq(r, want, series.Sum(now, window).Good)
		}
	})
}
