package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// calmRecord is a record without a violation, of a request, a stream and a batch job.
func calmRecord() *Record {
	const at = 20 * time.Second
	result := Result{ID: "job-0", State: "completed", Text: "a\nb", WantText: "a\nb", Score: "s", WantScore: "s", Versions: []uint64{2}}
	return &Record{
		Plan: Plan{Grace: 6 * time.Second, Events: 2}, Slack: time.Second, HolderLease: time.Second,
		Calls: []Call{
			{ID: "once", Host: "h", Service: "plain", Kind: Once, Sent: at, Ended: at + 1, Status: 200, Got: "x", Want: "x"},
			{ID: "refused", Host: "h", Service: "plain", Kind: Once, Sent: at, Ended: at + 1, Status: 503},
			{ID: "cut", Host: "h", Service: "engine", Sent: at, Ended: at + 5*time.Second, Status: 200, Cut: true, Got: "a", Want: "a\nb"},
			{ID: "final", Host: "h", Service: "plain", Status: 200, Final: true},
		},
		Runs: []Run{
			{ID: "once", Server: "p", Service: "plain", Begun: at},
			{ID: "cut", Server: "e", Service: "engine", Begun: at, Events: 1, Versions: []uint64{2}},
			{ID: "job-0", Server: "e", Service: "engine", Software: "v1", Begun: at, Events: 1, Versions: []uint64{2}},
			{ID: "job-0", Server: "e", Service: "engine", Software: "v1", Begun: at + 1, After: 1, Events: 1, Versions: []uint64{2}},
			{ID: "judge-job-0", Server: "p", Service: "plain", Begun: at},
		},
		Jobs: []Job{
			{ID: "job", Items: []string{"job-0"}, Statuses: []int{503, 202}, Accepted: at, MinVersion: 2, SingleVersion: true},
			{ID: "gone", Items: []string{"gone-0"}, Statuses: []int{503, 429}},
		},
		Reads: []Read{
			{Job: "job", Host: "h", Sent: at + 3*time.Second, Status: 200, Total: 1, Results: []Result{result}},
			{Job: "job", Host: "h", Sent: 2 * at, Status: 200, Total: 1, Results: []Result{result}, Final: true},
		},
		Acks: map[int]time.Duration{1: 0, 2: at},
		Keys: map[string]Key{"stays": {}, "comes": {Given: at}, "goes": {Removed: at}},
		Probes: []Probe{
			{Host: "h", Incarnation: 1, Sent: at + 1, Ended: at + 2, Generation: 2, Status: 200},
			{Host: "h", Incarnation: 1, Sent: at + 3*time.Second, Ended: at + 3*time.Second, Key: "goes", Status: 401},
			{Host: "h", Incarnation: 1, Sent: at + 1, Ended: at + 1, Key: "comes", Status: 401},
			{Host: "h", Incarnation: 1, Sent: at + time.Second, Ended: at + time.Second, Key: "comes", Status: 200},
		},
		Leavings: []Leaving{{Server: "p", At: at + time.Second, Back: 2 * at}},
		Duties: []DutyCall{
			{At: at, Holder: "h", Token: 3, Window: 1, Counts: "a"},
			{At: at + 1, Holder: "i", Token: 4, Window: 2, Counts: "b"},
		},
		Exits:    []Exit{{Host: "h", At: at + 5*time.Second, Asked: at}},
		Samples:  []Sample{{Host: "h", Memory: 1, MemoryLimit: 2, Descriptors: 1, MaxSockets: 2}},
		Troubles: []Trouble{{Host: "i", From: at, To: 2 * at}},
	}
}

func TestCheck_NoViolation(t *testing.T) {
	record := calmRecord()
	record.Exits[0].Asked = 20*time.Second - 2*time.Second // The stream needs longer than the stop.
	must.SliceEmpty(t, Check(record))
}

// TestCheck_OneViolationEach breaks one promise at a time, which its check alone must find.
func TestCheck_OneViolationEach(t *testing.T) {
	const late = 30 * time.Second
	spoilers := map[string]func(*Record){
		"once only":           func(r *Record) { r.Runs = append(r.Runs, r.Runs[0]) },
		"own answers":         func(r *Record) { r.Calls[0].Got = "y" },
		"truthful refusals":   func(r *Record) { r.Runs = append(r.Runs, Run{ID: "gone-0", Server: "e", Begun: late}) },
		"asked and routed":    func(r *Record) { r.Runs[0].Service = "engine" },
		"no cuts in calm":     func(r *Record) { r.Plan.Grace = 24 * time.Second },
		"true versions":       func(r *Record) { r.Jobs[0].MinVersion = 3 },
		"one software a text": func(r *Record) { r.Runs[3].Software = "v2" },
		"stable positions":    func(r *Record) { r.Reads[1].Total = 2 },
		"results whole":       func(r *Record) { r.Reads[0].Results[0].Text = "a"; r.Reads[1].Results[0].Text = "a" },
		"nothing lost":        func(r *Record) { r.Reads[1] = Read{Job: "job", Host: "h", Sent: late, Status: 404} },
		"ended jobs stay ended": func(r *Record) {
			r.Troubles, r.Jobs[0].Ended, r.Runs[3].Begun = nil, 21*time.Second, late
		},
		"leaving servers get no work": func(r *Record) { r.Troubles, r.Runs[4].Begun = nil, late },
		"settings go forward": func(r *Record) {
			r.Probes = append(r.Probes, Probe{Host: "h", Incarnation: 1, Sent: late, Generation: 1, Status: 404})
		},
		"keys go forward": func(r *Record) {
			r.Probes = append(r.Probes, Probe{Host: "h", Incarnation: 1, Sent: late, Key: "goes", Status: 200})
		},
		"one holder":          func(r *Record) { r.Duties[1].Token = 3 },
		"one report a window": func(r *Record) { r.Duties[1].Window = 1 },
		"bounded":             func(r *Record) { r.Samples[0].Descriptors = 3 },
		"no unasked exit":     func(r *Record) { r.Exits = append(r.Exits, Exit{Host: "h", At: late}) },
		"recovers":            func(r *Record) { r.Calls[3].Status, r.Calls[3].Got = 503, "" },
	}
	must.MapLen(t, len(checks), spoilers)
	for rule, spoil := range spoilers {
		t.Run(rule, func(t *testing.T) {
			record := calmRecord()
			record.Exits[0].Asked = 18 * time.Second
			spoil(record)
			rules := make(map[string]bool)
			for _, v := range Check(record) {
				rules[v.Rule] = true
			}
			must.Eq(t, map[string]bool{rule: true}, rules)
		})
	}
}

// TestDraw_Repeats checks that equal seeds give equal plans, and that steps overlap.
func TestDraw_Repeats(t *testing.T) {
	overlaps := 0
	for seed := range uint64(50) {
		plan := Draw(seed, 20*time.Second)
		must.Eq(t, plan, Draw(seed, 20*time.Second))
		for i, step := range plan.Steps[1:] {
			must.GreaterEq(t, plan.Steps[i].At, step.At)
			if before := plan.Steps[i]; step.At < before.At+before.For {
				overlaps++
			}
		}
	}
	must.Positive(t, overlaps)
}
