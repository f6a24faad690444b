// Package quarantine finds the requests that crash the backend servers that run
// them. A request in flight on a server that crashes becomes a suspect. When it
// is in flight at a second crash, its fingerprint is quarantined: no server
// receives it any more. Other requests in flight on the server are cleared, by
// an answer or because a quarantined request explains the crash.
//
// The daemons of an availability zone share crash reports, because a caller may
// retry its request through another daemon.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Fingerprint is a hash of the data that a server receives for a request. Equal
// requests have equal fingerprints.
type Fingerprint uint64

// FingerprintOf returns the hash of the parts of a request. It is never zero,
// because zero marks a request without a fingerprint.
func FingerprintOf(parts ...string) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Fingerprint(max(1, digest.Sum64()))
}

// FingerprintOfRequest is FingerprintOf for a request whose body is in pieces.
func FingerprintOfRequest(method, host, target string, body structs.Payload) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{method, host, target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	for _, piece := range body {
		_, _ = digest.Write(piece)
	}
	_, _ = digest.Write([]byte{0})
	return Fingerprint(max(1, digest.Sum64()))
}

// Crash is a crash of a server with the requests that were in flight on it.
type Crash struct {
	Server structs.HostName
	// At is the time at which the first of the requests failed.
	At       time.Time
	Suspects []Fingerprint
}

const (
	// quarantineThreshold is the number of crashes after which the suspect with
	// the most crashes is quarantined. If several suspects have the same number,
	// all of them are quarantined after tiedQuarantineThreshold crashes.
	quarantineThreshold     = 2
	tiedQuarantineThreshold = 3
	// mergeWindow is the largest difference in time between two reports of one
	// crash of a server.
	mergeWindow = 3 * time.Second
	// A crash is part of an outage if more than outageServers servers crash
	// within outageWindow of it and no request was on more than half of them.
	outageWindow  = 3 * time.Second
	outageServers = 3
	// SuspectRetention is how long the record of a crash is kept.
	SuspectRetention = 10 * time.Minute
	// InitialQuarantine is the duration of the first quarantine of a
	// fingerprint. It doubles with each further quarantine, at most
	// maxQuarantineDoublings times. A further quarantine needs one crash less,
	// until historyRetention after the end of the last one.
	InitialQuarantine      = 10 * time.Minute
	maxQuarantineDoublings = 7
	historyRetention       = 24 * time.Hour
	// maxSuspects bounds the recorded suspects of a crash.
	maxSuspects = 256
	// answerSweepSize is the number of recorded answers at which RecordAnswer
	// removes the expired ones.
	answerSweepSize = 1024
)

// Tracker holds crashes, suspects and quarantined fingerprints. It is not safe
// for concurrent use.
type Tracker struct {
	crashes          []Crash
	answeredAt       map[Fingerprint]time.Time
	quarantinedUntil map[Fingerprint]time.Time
	history          map[Fingerprint]quarantineHistory
}

// quarantineHistory is the number of quarantines of a fingerprint and the time
// at which that number is forgotten.
type quarantineHistory struct {
	count     int
	expiresAt time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		answeredAt:       make(map[Fingerprint]time.Time),
		quarantinedUntil: make(map[Fingerprint]time.Time),
		history:          make(map[Fingerprint]quarantineHistory),
	}
}

// RecordCrash records a crash, or a further report of one, and returns the
// fingerprints that it causes to be quarantined.
func (t *Tracker) RecordCrash(now time.Time, crash Crash) []Fingerprint {
	t.Expire(now)
	merged := t.merge(crash)
	if t.isOutage(merged.At) {
		t.clearOutage(merged.At)
		return nil
	}
	if t.isExplained(*merged) {
		return nil
	}
	culprits := t.culprits(*merged)
	for _, f := range culprits {
		t.Quarantine(now, f)
	}
	return culprits
}

// merge adds a crash, or adds its suspects to an earlier report of the same
// crash.
func (t *Tracker) merge(crash Crash) *Crash {
	index := slices.IndexFunc(t.crashes, func(existing Crash) bool {
		return existing.Server == crash.Server && crash.At.Sub(existing.At).Abs() <= mergeWindow
	})
	if index < 0 {
		index = len(t.crashes)
		t.crashes = append(t.crashes, Crash{Server: crash.Server, At: crash.At})
	}
	existing := &t.crashes[index]
	for _, f := range crash.Suspects {
		wasAnswered := t.answeredAt[f].After(crash.At)
		if f != 0 && !wasAnswered && len(existing.Suspects) < maxSuspects && !slices.Contains(existing.Suspects, f) {
			existing.Suspects = append(existing.Suspects, f)
		}
	}
	return existing
}

// culprits returns the suspects of a crash that were at the most crashes, if
// they reach the threshold.
func (t *Tracker) culprits(crash Crash) []Fingerprint {
	var candidates []Fingerprint
	maxCount := 0
	for _, f := range crash.Suspects {
		count := t.crashCount(f)
		if count > maxCount {
			candidates, maxCount = candidates[:0], count
		}
		if count == maxCount {
			candidates = append(candidates, f)
		}
	}
	if maxCount >= tiedQuarantineThreshold || (maxCount >= quarantineThreshold && len(candidates) == 1) {
		return candidates
	}
	return nil
}

// crashCount returns the number of unexplained crashes with a request in
// flight, plus one if the request was quarantined before.
func (t *Tracker) crashCount(f Fingerprint) int {
	count := 0
	if t.history[f].count > 0 {
		count = 1
	}
	for _, crash := range t.crashes {
		if slices.Contains(crash.Suspects, f) && !t.isExplained(crash) {
			count++
		}
	}
	return count
}

// isExplained reports whether a quarantined request was in flight at a crash.
func (t *Tracker) isExplained(crash Crash) bool {
	return slices.ContainsFunc(crash.Suspects, func(f Fingerprint) bool {
		_, ok := t.quarantinedUntil[f]
		return ok
	})
}

// isOutage reports whether so many servers crashed around a time that no single
// request can be the cause.
func (t *Tracker) isOutage(at time.Time) bool {
	count := 0
	crashesBySuspect := make(map[Fingerprint]int)
	for _, crash := range t.crashes {
		if !isNear(crash, at) {
			continue
		}
		count++
		for _, f := range crash.Suspects {
			crashesBySuspect[f]++
		}
	}
	if count <= outageServers {
		return false
	}
	for _, crashes := range crashesBySuspect {
		if crashes*2 > count {
			return false
		}
	}
	return true
}

func isNear(crash Crash, at time.Time) bool { return at.Sub(crash.At).Abs() <= outageWindow }

// clearOutage clears the suspects of an outage, and lifts quarantines that were
// imposed before the outage was recognized.
func (t *Tracker) clearOutage(at time.Time) {
	for i := range t.crashes {
		if !isNear(t.crashes[i], at) {
			continue
		}
		for _, f := range t.crashes[i].Suspects {
			t.liftQuarantine(f)
		}
		t.crashes[i].Suspects = nil
	}
}

// RecordAnswer clears a request that a server answered in full, and reports
// whether it was a suspect or quarantined.
func (t *Tracker) RecordAnswer(now time.Time, f Fingerprint) bool {
	if len(t.answeredAt) >= answerSweepSize {
		t.Expire(now)
	}
	t.answeredAt[f] = now
	_, cleared := t.quarantinedUntil[f]
	t.liftQuarantine(f)
	for i := range t.crashes {
		crash := &t.crashes[i]
		if index := slices.Index(crash.Suspects, f); index >= 0 {
			crash.Suspects = slices.Delete(crash.Suspects, index, index+1)
			cleared = true
		}
	}
	return cleared
}

// Quarantine quarantines a fingerprint. RecordCrash calls it; other callers use
// it for the fingerprints that another daemon has quarantined.
func (t *Tracker) Quarantine(now time.Time, f Fingerprint) {
	past := t.history[f]
	until := now.Add(InitialQuarantine << min(past.count, maxQuarantineDoublings))
	t.quarantinedUntil[f] = until
	t.history[f] = quarantineHistory{count: past.count + 1, expiresAt: until.Add(historyRetention)}
}

// liftQuarantine ends the quarantine of a fingerprint and removes its history.
func (t *Tracker) liftQuarantine(f Fingerprint) {
	delete(t.quarantinedUntil, f)
	delete(t.history, f)
}

// Expire removes expired crashes, quarantines and answers.
func (t *Tracker) Expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c Crash) bool { return now.Sub(c.At) > SuspectRetention })
	for f, until := range t.quarantinedUntil {
		if !now.Before(until) {
			delete(t.quarantinedUntil, f)
		}
	}
	for f, past := range t.history {
		if !now.Before(past.expiresAt) {
			delete(t.history, f)
		}
	}
	for f, at := range t.answeredAt {
		if now.Sub(at) > mergeWindow {
			delete(t.answeredAt, f)
		}
	}
}
