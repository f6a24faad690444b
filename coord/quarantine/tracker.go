// Package quarantine finds the requests that crash the backend servers they
// run on. A request in flight on a server that crashed is suspect. When it is
// there at a second crash, its fingerprint is quarantined: no server gets it
// any more. Requests that only shared the server are cleared, by an answer or
// because the quarantined one explains the crash.
//
// All daemons of an availability zone tell each other of the crashes, since a
// caller may send its request again through another daemon.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Fingerprint identifies equal requests: a hash of what the server gets.
type Fingerprint uint64

// FingerprintOf hashes the parts of a request. It is never zero, which stands
// for a request without a fingerprint.
func FingerprintOf(parts ...string) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Fingerprint(max(1, digest.Sum64()))
}

// Crash says which requests were in flight on a server when it crashed.
type Crash struct {
	Server structs.HostName
	// At is when the first of the requests broke.
	At       time.Time
	Suspects []Fingerprint
}

const (
	// quarantineAt is how many crashes quarantine a request that none of the
	// others in flight equals, and quarantineTied how many quarantine all
	// that were there each time.
	quarantineAt   = 2
	quarantineTied = 3
	// mergeWindow is the time within which reports of a server's crash are
	// about one crash.
	mergeWindow = 3 * time.Second
	// massWindow and massServers tell an outage: so many servers crash within
	// the time, and no request was on most of them.
	massWindow  = 3 * time.Second
	massServers = 3
	// SuspectRetention is how long a crash is remembered.
	SuspectRetention = 10 * time.Minute
	// InitialQuarantine is how long a fingerprint is quarantined at first. The
	// time doubles with each further quarantine, for which one more crash is
	// enough, maxDoublings times at most. keepConvicted is how long after its
	// end a quarantine is remembered.
	InitialQuarantine = 10 * time.Minute
	maxDoublings      = 7
	keepConvicted     = 24 * time.Hour
	// maxSuspects bounds the suspects of a crash that are remembered.
	maxSuspects = 256
	// sweepAnswered is the count of answered requests from which old ones are
	// looked for.
	sweepAnswered = 1024
)

// Tracker holds the crashes, suspects and quarantined fingerprints. It is not
// safe for concurrent use.
type Tracker struct {
	crashes     []Crash
	answered    map[Fingerprint]time.Time
	quarantined map[Fingerprint]time.Time
	convicted   map[Fingerprint]conviction
}

// conviction remembers the quarantines of a fingerprint.
type conviction struct {
	count  int
	forget time.Time
}

// NewTracker returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{
		answered:    make(map[Fingerprint]time.Time),
		quarantined: make(map[Fingerprint]time.Time),
		convicted:   make(map[Fingerprint]conviction),
	}
}

// RecordCrash takes in a crash, or more about one, and returns the fingerprints
// that are quarantined because of it.
func (b *Tracker) RecordCrash(now time.Time, crash Crash) []Fingerprint {
	b.Expire(now)
	merged := b.merge(crash)
	if b.isOutage(merged.At) {
		b.forgetOutage(merged.At)
		return nil
	}
	if b.isExplained(*merged) {
		return nil
	}
	guilty := b.guilty(*merged)
	for _, f := range guilty {
		b.Quarantine(now, f)
	}
	return guilty
}

// merge adds a crash, or its suspects to an earlier report of it.
func (b *Tracker) merge(crash Crash) *Crash {
	index := slices.IndexFunc(b.crashes, func(known Crash) bool {
		return known.Server == crash.Server && crash.At.Sub(known.At).Abs() <= mergeWindow
	})
	if index < 0 {
		index = len(b.crashes)
		b.crashes = append(b.crashes, Crash{Server: crash.Server, At: crash.At})
	}
	known := &b.crashes[index]
	for _, f := range crash.Suspects {
		wasAnswered := b.answered[f].After(crash.At)
		if f != 0 && !wasAnswered && len(known.Suspects) < maxSuspects && !slices.Contains(known.Suspects, f) {
			known.Suspects = append(known.Suspects, f)
		}
	}
	return known
}

// guilty returns the suspects of a crash that were at the most crashes.
func (b *Tracker) guilty(crash Crash) []Fingerprint {
	var worst []Fingerprint
	most := 0
	for _, f := range crash.Suspects {
		count := b.count(f)
		if count > most {
			worst, most = worst[:0], count
		}
		if count == most {
			worst = append(worst, f)
		}
	}
	if most >= quarantineTied || (most >= quarantineAt && len(worst) == 1) {
		return worst
	}
	return nil
}

// count is the number of unexplained crashes that a request was at, and one
// more when it was quarantined before.
func (b *Tracker) count(f Fingerprint) int {
	count := 0
	if b.convicted[f].count > 0 {
		count = 1
	}
	for _, crash := range b.crashes {
		if slices.Contains(crash.Suspects, f) && !b.isExplained(crash) {
			count++
		}
	}
	return count
}

// isExplained reports whether a quarantined request was at a crash.
func (b *Tracker) isExplained(crash Crash) bool {
	return slices.ContainsFunc(crash.Suspects, func(f Fingerprint) bool {
		_, ok := b.quarantined[f]
		return ok
	})
}

// isOutage reports whether so many servers crashed about a time that it was
// not the doing of a request.
func (b *Tracker) isOutage(at time.Time) bool {
	count := 0
	seen := make(map[Fingerprint]int)
	for _, crash := range b.crashes {
		if !isAbout(crash, at) {
			continue
		}
		count++
		for _, f := range crash.Suspects {
			seen[f]++
		}
	}
	if count <= massServers {
		return false
	}
	for _, on := range seen {
		if on*2 > count {
			return false
		}
	}
	return true
}

func isAbout(crash Crash, at time.Time) bool { return at.Sub(crash.At).Abs() <= massWindow }

// forgetOutage clears the suspects of an outage, and releases those that were
// quarantined before it was known for one.
func (b *Tracker) forgetOutage(at time.Time) {
	for i := range b.crashes {
		if !isAbout(b.crashes[i], at) {
			continue
		}
		for _, f := range b.crashes[i].Suspects {
			b.release(f)
		}
		b.crashes[i].Suspects = nil
	}
}

// RecordAnswer clears a request that a server answered in full, and reports
// whether it was suspect or quarantined.
func (b *Tracker) RecordAnswer(now time.Time, f Fingerprint) bool {
	if len(b.answered) >= sweepAnswered {
		b.Expire(now)
	}
	b.answered[f] = now
	_, cleared := b.quarantined[f]
	b.release(f)
	for i := range b.crashes {
		crash := &b.crashes[i]
		if at := slices.Index(crash.Suspects, f); at >= 0 {
			crash.Suspects = slices.Delete(crash.Suspects, at, at+1)
			cleared = true
		}
	}
	return cleared
}

// Quarantine quarantines a fingerprint, as another daemon has.
func (b *Tracker) Quarantine(now time.Time, f Fingerprint) {
	c := b.convicted[f]
	until := now.Add(InitialQuarantine << min(c.count, maxDoublings))
	b.quarantined[f] = until
	b.convicted[f] = conviction{count: c.count + 1, forget: until.Add(keepConvicted)}
}

// release takes a quarantine back.
func (b *Tracker) release(f Fingerprint) {
	delete(b.quarantined, f)
	delete(b.convicted, f)
}

// Expire forgets what is old.
func (b *Tracker) Expire(now time.Time) {
	b.crashes = slices.DeleteFunc(b.crashes, func(c Crash) bool { return now.Sub(c.At) > SuspectRetention })
	for f, until := range b.quarantined {
		if !now.Before(until) {
			delete(b.quarantined, f)
		}
	}
	for f, c := range b.convicted {
		if !now.Before(c.forget) {
			delete(b.convicted, f)
		}
	}
	for f, at := range b.answered {
		if now.Sub(at) > mergeWindow {
			delete(b.answered, f)
		}
	}
}
