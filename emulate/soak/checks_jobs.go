package soak

import (
	"fmt"
	"slices"
)

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
