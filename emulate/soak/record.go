package soak

import (
	"strings"
	"time"
)

// Bounds of the platform, for hosts that are in touch.
const (
	// contact is how long a host and the store must have been without trouble.
	contact = 4 * time.Second
	// drain, apply, revoke, cancel and settle are how soon a leaving server gets no work, a
	// configuration applies, a removed key is refused, nothing of an ended job starts, and
	// a job is known everywhere.
	drain, apply, revoke, cancel, settle = 3 * time.Second, 3 * time.Second, 5 * time.Second, 3 * time.Second, time.Second
	// thaw is how long after its resumption late calls of a host do not count.
	thaw = 300 * time.Millisecond
)

// CallKind is what may be done with a request.
type CallKind uint8

// The kinds of calls.
const (
	Repeatable CallKind = iota
	Once
)

// Call is a request as its caller saw it. Times count from the start of the run.
type Call struct {
	ID, Host, Service, Path string
	Kind                    CallKind
	Sent, Ended             time.Duration
	// Status is 0 without a response. Cut is set when the connection ended before the
	// response was whole, and before the caller had lost patience.
	Status int
	Cut    bool
	// Got and Want are the response and its stamp; Got is the part that arrived.
	Got, Want string
	// Final is set on calls after the end of all faults.
	Final bool
}

// Run is a request that a server began to run.
type Run struct {
	ID, Server, Service string
	Software            string
	Begun               time.Duration
	// After is the position after which the run continues, Events what it made.
	After, Events int
	Versions      []uint64
}

// Job is a batch job as its trainer saw it.
type Job struct {
	ID    string
	Items []string
	// Statuses are the responses to all submissions; 0 without a response.
	Statuses []int
	// Accepted, Ended and RouteGone are when it was accepted, when its end was
	// acknowledged, and when its route went; 0 means never.
	Accepted, Ended, RouteGone time.Duration
	// EndTried is set if an end was sent at all.
	EndTried      bool
	MinVersion    uint64
	SingleVersion bool
}

// Result is an item of a page of results. Text and Score are right if they equal their
// wanted values.
type Result struct {
	ID, State                        string
	Text, WantText, Score, WantScore string
	Versions                         []uint64
}

// Read is the response to a read of a batch job's results.
type Read struct {
	Job, Host     string
	Sent          time.Duration
	After, Status int
	Total         int
	Results       []Result
	// Final is set on reads after the end of all faults, from the first position.
	Final bool
}

// Probe is a request that shows which configuration or key a daemon knows.
type Probe struct {
	Host string
	// Incarnation is the number of the daemon's process.
	Incarnation int
	Sent, Ended time.Duration
	// Generation is that of the route asked for; Key is set for a probe of a key instead.
	Generation int
	Key        string
	Status     int
}

// Key is a key of a workspace. Given is 0 for keys of the first configuration, Removed for
// keys that stay.
type Key struct{ Given, Removed time.Duration }

// Leaving is a server that does not take new work for a while.
type Leaving struct {
	Server   string
	At, Back time.Duration
}

// DutyCall is a call of a duty that the platform received.
type DutyCall struct {
	At     time.Duration
	Holder string
	Token  uint64
	Window int64
	Counts string
}

// Exit is the end of a daemon's process.
type Exit struct {
	Host string
	At   time.Duration
	// Asked is when it was asked to end, 0 if it was not; Killed is set if it was killed.
	Asked  time.Duration
	Killed bool
}

// Sample is the use of memory, in bytes, and of descriptors by a daemon's process.
type Sample struct {
	Host                    string
	Memory, MemoryLimit     int
	Descriptors, MaxSockets int
}

// Trouble is a time at which a host is disturbed. Host is empty for all hosts.
type Trouble struct {
	Host     string
	From, To time.Duration
}

// Record is what the parties of a run saw.
type Record struct {
	Plan Plan
	// Slack is added to all bounds: how long the player itself was held up, and more.
	Slack    time.Duration
	Calls    []Call
	Runs     []Run
	Jobs     []Job
	Reads    []Read
	Probes   []Probe
	Acks     map[int]time.Duration // of the generations of the configuration
	Keys     map[string]Key
	Leavings []Leaving
	Duties   []DutyCall
	// HolderLease is the lease of the holder of a duty.
	HolderLease time.Duration
	Exits       []Exit
	Samples     []Sample
	Troubles    []Trouble
}

// isCalm reports whether a host had no trouble in a time; an empty host means all hosts.
func (r *Record) isCalm(host string, from, to time.Duration) bool {
	for _, t := range r.Troubles {
		if (t.Host == host || t.Host == "" || host == "") && t.From <= to && t.To >= from {
			return false
		}
	}
	return true
}

// isRefusal reports whether a status promises that a request has not run and never will.
func isRefusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func isSuccess(status int) bool { return status/100 == 2 }

// runsByID returns the runs of each request.
func (r *Record) runsByID() map[string][]Run {
	runs := make(map[string][]Run)
	for _, run := range r.Runs {
		runs[run.ID] = append(runs[run.ID], run)
	}
	return runs
}

// rewardPrefix begins the IDs of reward calls, before the ID of the item.
const rewardPrefix = "judge-"

func itemOf(id string) string { return strings.TrimPrefix(id, rewardPrefix) }
