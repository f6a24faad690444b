package soak

import (
	"slices"
	"time"
)

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

// keysForward checks that a key that stays is not refused, or not once the configuration that
// gave it must be in force, that a removed one is refused in time, and that a process that has
// refused it does not accept it again.
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
		of, given, removed := use{process{p.Host, p.Incarnation}, p.Key}, r.Keys[p.Key].Given, r.Keys[p.Key].Removed
		isInForce := given == 0 || p.Sent > given+apply+r.Slack && r.isCalm(p.Host, given-contact, p.Sent)
		switch before := refused[of]; {
		case p.Status == 401 && removed == 0 && isInForce:
			report("%s refused a valid key at %v", p.Host, p.Sent)
		case p.Status == 401 && removed > 0 && p.Sent > removed && before == 0:
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
