package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Violation is a promise that was broken.
type Violation struct{ Rule, Detail string }

// checks are the promises by name.
var checks = []struct {
	rule  string
	check func(*Record, func(format string, arguments ...any))
}{
	{"once only", onceOnly},
	{"own answers", ownAnswers},
	{"truthful refusals", truthfulRefusals},
	{"asked and routed", askedAndRouted},
	{"no cuts in calm", noCuts},
	{"true versions", trueVersions},
	{"one software a text", oneSoftware},
	{"stable positions", stablePositions},
	{"results whole", resultsWhole},
	{"nothing lost", nothingLost},
	{"ended jobs stay ended", endedStayEnded},
	{"leaving servers get no work", leavingServers},
	{"settings go forward", settingsForward},
	{"keys go forward", keysForward},
	{"one holder", oneHolder},
	{"one report a window", oneReport},
	{"bounded", bounded},
	{"no unasked exit", unaskedExits},
	{"recovers", recovers},
}

// Check returns all violations of a run.
func Check(r *Record) []Violation {
	var found []Violation
	for _, c := range checks {
		c.check(r, func(format string, arguments ...any) {
			found = append(found, Violation{Rule: c.rule, Detail: fmt.Sprintf(format, arguments...)})
		})
	}
	return found
}

func onceOnly(r *Record, report func(string, ...any)) {
	runs := r.runsByID()
	for _, c := range r.Calls {
		if n := len(runs[c.ID]); c.Kind == Once && n > 1 {
			report("%s ran %d times, status %d by %s", c.ID, n, c.Status, c.Host)
		}
	}
}

// ownAnswers checks that a success is the whole answer of the server to that request, and
// that a part that arrived of an answer is a part of it.
func ownAnswers(r *Record, report func(string, ...any)) {
	for _, c := range r.Calls {
		if isSuccess(c.Status) && c.Got != c.Want && !(c.Cut && strings.HasPrefix(c.Want, c.Got)) {
			report("%s by %s: got %.200q, want %.200q", c.ID, c.Host, c.Got, c.Want)
		}
	}
}

func truthfulRefusals(r *Record, report func(string, ...any)) {
	runs := r.runsByID()
	for _, c := range r.Calls {
		if c.Kind == Once && isRefusal(c.Status) && len(runs[c.ID]) > 0 {
			report("%s was answered %d by %s and ran", c.ID, c.Status, c.Host)
		}
	}
	for _, j := range r.Jobs {
		if len(j.Statuses) == 0 || slices.ContainsFunc(j.Statuses, func(status int) bool { return !isRefusal(status) }) {
			continue
		}
		for _, item := range j.Items {
			if len(runs[item]) > 0 {
				report("item %s ran at %v, its job was refused: %v", item, runs[item][0].Begun, j.Statuses)
			}
		}
	}
}

func askedAndRouted(r *Record, report func(string, ...any)) {
	services := make(map[string]string)
	for _, c := range r.Calls {
		services[c.ID] = c.Service
	}
	items := make(map[string]bool)
	for _, j := range r.Jobs {
		for _, item := range j.Items {
			items[item] = true
		}
	}
	for _, run := range r.Runs {
		if service, ok := services[run.ID]; ok && service != run.Service {
			report("%s ran at %s of the service %s", run.ID, run.Server, run.Service)
		} else if !ok && !items[itemOf(run.ID)] {
			report("%s ran at %s; nobody sent it", run.ID, run.Server)
		}
	}
}

// noCuts checks that a host that is not disturbed cuts no request that a server has run,
// also while it is stopped as planned: what would be whole, at the pace of its server, within
// five sixths of the grace period gets a whole answer.
func noCuts(r *Record, report func(string, ...any)) {
	runs := r.runsByID()
	asked := make(map[string][]time.Duration)
	for _, exit := range r.Exits {
		asked[exit.Host] = append(asked[exit.Host], exit.Asked)
	}
	for _, c := range r.Calls {
		if !c.Cut || len(runs[c.ID]) == 0 || !r.isCalm(c.Host, c.Sent-contact, c.Ended) {
			continue
		}
		last := runs[c.ID][len(runs[c.ID])-1]
		whole := last.Begun
		if last.Events > 0 {
			whole += (c.Ended - last.Begun) * time.Duration(r.Plan.Events-last.After) / time.Duration(last.Events)
		}
		if slices.ContainsFunc(asked[c.Host], func(at time.Duration) bool {
			return at > 0 && c.Ended >= at && at+r.Plan.Grace*5/6 <= whole+r.Slack/10
		}) {
			continue
		}
		report("%s (%s) sent at %v was cut at %v by %s, asked to stop at %v, whole at %v", c.ID, c.Path, c.Sent, c.Ended, c.Host, asked[c.Host], whole)
	}
}

func bounded(r *Record, report func(string, ...any)) {
	worst := make(map[string]Sample)
	for _, s := range r.Samples {
		if s.Memory > s.MemoryLimit || s.Descriptors > s.MaxSockets {
			worst[s.Host] = s
		}
	}
	for _, host := range slices.Sorted(maps.Keys(worst)) {
		report("%+v", worst[host])
	}
}

func unaskedExits(r *Record, report func(string, ...any)) {
	for _, exit := range r.Exits {
		if exit.Asked == 0 && !exit.Killed {
			report("%s ended by itself at %v", exit.Host, exit.At)
		}
	}
}

// recovers checks that each host serves at least a quarter of the calls after the faults.
func recovers(r *Record, report func(string, ...any)) {
	calls, served := make(map[string]int), make(map[string]int)
	for _, c := range r.Calls {
		if c.Final {
			calls[c.Host]++
			if isSuccess(c.Status) {
				served[c.Host]++
			}
		}
	}
	for _, host := range slices.Sorted(maps.Keys(calls)) {
		if served[host]*4 < calls[host] {
			report("%s serves %d of %d calls after the faults", host, served[host], calls[host])
		}
	}
}
