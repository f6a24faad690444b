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
// also while it is stopped as planned: what could end within five sixths of its grace
// period gets a whole answer.
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
		nominal := last.Begun + c.Length*6/5 + r.Slack/4
		if slices.ContainsFunc(asked[c.Host], func(at time.Duration) bool {
			return at > 0 && c.Ended >= at && at+r.Plan.Grace*5/6 <= nominal
		}) {
			continue
		}
		report("%s (%s) sent at %v was cut at %v by %s, asked to stop at %v, needs %v", c.ID, c.Path, c.Sent, c.Ended, c.Host, asked[c.Host], c.Length)
	}
}

func trueVersions(r *Record, report func(string, ...any)) {
	runs, jobs := r.runsByID(), r.jobsByID()
	for _, result := range r.results() {
		if result.State != "completed" {
			continue
		}
		made := make(map[uint64]bool)
		for _, run := range runs[result.ID] {
			for _, version := range run.Versions {
				made[version] = true
			}
		}
		job := jobs[result.job]
		isWrong := len(result.Versions) == 0 || job.SingleVersion && len(result.Versions) != 1 ||
			len(runs[result.ID]) == 1 && len(made) != len(result.Versions)
		for _, version := range result.Versions {
			isWrong = isWrong || !made[version] || version < job.MinVersion
		}
		if isWrong {
			report("%s names versions %v, made by %v, at least %d wanted, single %t", result.ID, result.Versions, made, job.MinVersion, job.SingleVersion)
		}
	}
}

// oneSoftware checks that a run that continues a text was preceded by one of the same
// software that made the events up to its position.
func oneSoftware(r *Record, report func(string, ...any)) {
	for id, runs := range r.runsByID() {
		for _, run := range runs {
			if run.After > 0 && !slices.ContainsFunc(runs, func(earlier Run) bool {
				return earlier.Begun < run.Begun && earlier.Software == run.Software && earlier.After+earlier.Events >= run.After
			}) {
				report("%s was continued after %d at %s (%s): %v", id, run.After, run.Server, run.Software, runs)
			}
		}
	}
}

type listedResult struct {
	Result
	job string
}

// results returns the distinct results that were read.
func (r *Record) results() []listedResult {
	var all []listedResult
	seen := make(map[string]bool)
	for _, read := range r.Reads {
		for _, result := range read.Results {
			if key := fmt.Sprint(read.Job, result); !seen[key] {
				seen[key] = true
				all = append(all, listedResult{Result: result, job: read.Job})
			}
		}
	}
	return all
}

func (r *Record) jobsByID() map[string]Job {
	jobs := make(map[string]Job)
	for _, j := range r.Jobs {
		jobs[j.ID] = j
	}
	return jobs
}

type position struct {
	job    string
	number int
}

func stablePositions(r *Record, report func(string, ...any)) {
	jobs := r.jobsByID()
	contents, positions := make(map[position]string), make(map[string]position)
	for _, read := range r.Reads {
		if read.Status == 200 && read.Total != len(jobs[read.Job].Items) {
			report("%s has a total of %d at %s", read.Job, read.Total, read.Host)
		}
		for i, result := range read.Results {
			at, content := position{read.Job, read.After + i}, fmt.Sprint(result)
			if before, ok := contents[at]; ok && before != content {
				report("%v had %.300s, at %s it has %.300s", at, before, read.Host, content)
			}
			contents[at] = content
			if before, ok := positions[result.ID]; ok && before != at {
				report("%s stands at %v and at %v", result.ID, before, at)
			}
			positions[result.ID] = at
		}
	}
}

func resultsWhole(r *Record, report func(string, ...any)) {
	jobs := r.jobsByID()
	for _, result := range r.results() {
		job := jobs[result.job]
		switch {
		case !slices.Contains(job.Items, result.ID):
			report("%s lists %s of another job", result.job, result.ID)
		case result.State == "completed" && (result.Text != result.WantText || result.Score != result.WantScore):
			report("%s is not whole: score %q, %d of %d bytes: %.300q", result.ID, result.Score, len(result.Text), len(result.WantText), result.Text)
		case result.State != "completed" && !job.EndTried && job.RouteGone == 0:
			report("%s is %s without a reason", result.ID, result.State)
		}
	}
}

// nothingLost checks that accepted jobs are known, that they were completed by the end, and
// that what was read once can be read at all hosts.
func nothingLost(r *Record, report func(string, ...any)) {
	jobs, highest := r.jobsByID(), make(map[string]int)
	for _, read := range r.Reads {
		highest[read.Job] = max(highest[read.Job], read.After+len(read.Results))
	}
	for _, read := range r.Reads {
		j := jobs[read.Job]
		if j.Accepted == 0 {
			continue
		}
		isGone := read.Status == 404 || read.Status == 410
		if isGone && read.Sent > j.Accepted+settle+r.Slack && r.isCalm(read.Host, read.Sent-contact, read.Sent) {
			report("%s, accepted at %v, was answered %d by %s at %v (route gone at %v)", j.ID, j.Accepted, read.Status, read.Host, read.Sent, j.RouteGone)
			continue
		}
		if !read.Final || isGone || read.Status != 200 && r.isAnswered(read) {
			continue
		}
		wanted := len(j.Items)
		if j.EndTried || j.RouteGone > 0 {
			wanted = highest[j.ID]
		}
		if len(read.Results) < wanted {
			report("%s has %d of %d results at %s in the end, status %d, accepted at %v", j.ID, len(read.Results), wanted, read.Host, read.Status, j.Accepted)
		}
	}
}

// isAnswered reports whether a later attempt of a final read was answered.
func (r *Record) isAnswered(read Read) bool {
	return slices.ContainsFunc(r.Reads, func(other Read) bool {
		return other.Final && other.Status == 200 && other.Job == read.Job && other.Host == read.Host
	})
}

func endedStayEnded(r *Record, report func(string, ...any)) {
	runs := r.runsByID()
	for _, j := range r.Jobs {
		for _, item := range j.Items {
			for _, run := range runs[item] {
				if j.Ended > 0 && run.Begun > j.Ended+cancel+r.Slack && r.isCalm("", run.Begun-contact, run.Begun) {
					report("item %s ran at %v, its job was ended at %v", item, run.Begun, j.Ended)
				}
			}
		}
	}
}

func leavingServers(r *Record, report func(string, ...any)) {
	for _, l := range r.Leavings {
		for _, run := range r.Runs {
			if run.Server == l.Server && run.Begun > l.At+drain+r.Slack && run.Begun < l.Back && r.isCalm("", run.Begun-contact, run.Begun) {
				report("%s reached %s at %v, which is leaving since %v", run.ID, l.Server, run.Begun, l.At)
			}
		}
	}
}

// process is an incarnation of a daemon.
type process struct {
	host        string
	incarnation int
}

// settingsForward checks that a configuration is in force in time, and that a process that
// has served a generation never again answers as if it knew only earlier ones. Routes of
// earlier generations stay.
func settingsForward(r *Record, report func(string, ...any)) {
	type seen struct {
		generation int
		at         time.Duration
	}
	newest := make(map[process]seen)
	for _, p := range r.Probes {
		of := process{p.Host, p.Incarnation}
		switch before := newest[of]; {
		case p.Key != "":
		case isSuccess(p.Status) && p.Generation > before.generation:
			newest[of] = seen{p.Generation, p.Ended}
		case p.Status == 404 && p.Generation <= before.generation && p.Sent > before.at+r.Slack/4:
			report("%s served generation %d until %v and answered 404 for %d at %v", p.Host, before.generation, before.at, p.Generation, p.Sent)
		case p.Status == 404 && p.Sent > r.Acks[p.Generation]+apply+r.Slack && r.isCalm(p.Host, r.Acks[p.Generation]-contact, p.Sent):
			report("%s answered 404 for generation %d at %v, acknowledged at %v", p.Host, p.Generation, p.Sent, r.Acks[p.Generation])
		}
	}
}

// keysForward checks that a key that stays is never refused, that a removed one is refused
// in time, and that a process that has refused it does not accept it again.
func keysForward(r *Record, report func(string, ...any)) {
	type use struct {
		process
		key string
	}
	refused := make(map[use]time.Duration)
	for _, p := range r.Probes {
		if p.Key == "" {
			continue
		}
		of, removed := use{process{p.Host, p.Incarnation}, p.Key}, r.Keys[p.Key].Removed
		switch before := refused[of]; {
		case p.Status == 401 && removed == 0:
			report("%s refused a valid key at %v", p.Host, p.Sent)
		case p.Status == 401 && p.Sent > removed && before == 0:
			refused[of] = p.Ended
		case isSuccess(p.Status) && before > 0 && p.Sent > before+r.Slack/4:
			report("%s accepted a key at %v that it had refused at %v", p.Host, p.Sent, before)
		case isSuccess(p.Status) && removed > 0 && p.Sent > removed+revoke+r.Slack && r.isCalm(p.Host, removed-contact, p.Sent):
			report("%s accepted a key at %v that was removed at %v", p.Host, p.Sent, removed)
		}
	}
}

// oneHolder checks that one daemon at a time makes the calls of a duty. A platform that
// checks fencing tokens refuses those of earlier holders itself.
func oneHolder(r *Record, report func(string, ...any)) {
	holders := make(map[uint64]string)
	actedAt, otherSince := make(map[string]time.Duration), make(map[string]bool)
	var highest uint64
	for _, call := range r.Duties {
		isThawed := slices.ContainsFunc(r.Troubles, func(t Trouble) bool {
			return t.Host == call.Holder && call.At >= t.From && call.At <= t.To+thaw
		})
		if holder, ok := holders[call.Token]; ok && holder != call.Holder {
			report("token %d is used by %s and %s", call.Token, holder, call.Holder)
		}
		holders[call.Token] = call.Holder
		if call.Token < highest {
			if !r.Plan.ChecksFencing && !isThawed {
				report("%s calls with token %d at %v, after token %d", call.Holder, call.Token, call.At, highest)
			}
			continue
		}
		highest = call.Token
		if otherSince[call.Holder] && call.At-actedAt[call.Holder] < r.HolderLease && !isThawed && !r.Plan.ChecksFencing {
			report("%s calls at %v, within the lease of another holder", call.Holder, call.At)
		}
		for holder := range actedAt {
			otherSince[holder] = holder != call.Holder
		}
		actedAt[call.Holder], otherSince[call.Holder] = call.At, false
	}
}

func oneReport(r *Record, report func(string, ...any)) {
	counts := make(map[int64]string)
	for _, call := range r.Duties {
		if before, ok := counts[call.Window]; ok && before != call.Counts {
			report("window %d was reported as %s and, by %s, as %s", call.Window, before, call.Holder, call.Counts)
		}
		counts[call.Window] = call.Counts
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
