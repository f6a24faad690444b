// Package soak draws runs of a whole deployment under faults from a seed, and checks the
// promises of the product against what callers, trainers, backend servers and the managed
// platform saw. It holds values only; a player acts the plan out and fills the record.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of step. Its words stand in the output of the soak.
type Kind string

// The kinds of steps. For a step with a duration, it is the time until its effect ends.
const (
	Stop         Kind = "stop"          // a planned stop of a host; it starts again
	StopTwice    Kind = "stop twice"    // a second signal to stop, a moment after the first
	StopThenKill Kind = "stop, kill"    // a kill in the middle of a planned stop
	Kill         Kind = "kill"          // a host is killed; it starts again
	Pause        Kind = "pause"         // a host is suspended and continued
	StoreLink    Kind = "store link"    // the link of a host to the store is harmed
	ServerLink   Kind = "server link"   // the links of a server to all hosts are harmed
	StoreDown    Kind = "store down"    // the store refuses all calls
	StoreFailing Kind = "store failing" // the store makes or refuses writes, loses replies, and then refuses all calls
	StoreSlow    Kind = "store slow"
	SilentWatch  Kind = "silent watches"
	LostAnswers  Kind = "lost answers"  // a server runs requests and loses some answers
	SlowServer   Kind = "slow server"   // a server answers late
	EngineCrash  Kind = "engine crash"  // all streams of an engine break off
	Leave        Kind = "server leaves" // a server announces that it leaves; later it comes back
	Weights      Kind = "weights"       // a new version of the weights
	Routes       Kind = "routes"        // routes and a service come and go
	DropRoute    Kind = "drop route"    // a route of batch jobs goes, or comes back
	Keys         Kind = "keys"          // keys and a workspace come and go
	Crowd        Kind = "crowd"         // clients that stop short, idle or send garbage
)

// plannedKinds are the steps of ordinary operation, faultKinds the others. Kinds that stand
// more than once are drawn more often.
var (
	plannedKinds = []Kind{Stop, Stop, Stop, StopTwice, Leave, Weights, Weights, Routes, DropRoute, Keys}
	faultKinds   = []Kind{Kill, Kill, Pause, Pause, StopThenKill, StoreLink, StoreLink, ServerLink, StoreDown,
		StoreFailing, StoreFailing, StoreSlow, SilentWatch, LostAnswers, LostAnswers, SlowServer, EngineCrash, Crowd}
)

// LinkMode is how a link is harmed.
type LinkMode uint8

// The modes of links.
const (
	LinkUp      LinkMode = iota
	LinkDelayed          // bytes are held up for a while, in both directions
	LinkReset            // connections are reset, also new ones
	LinkOneWay           // replies do not arrive until the link is up again
	LinkSilent           // open connections fall silent for good; new ones work
	linkModes
)

// Step is a fault, signal or change at a time after the start of a run.
type Step struct {
	At, For time.Duration
	Kind    Kind
	// Target is the number of the host, server or route, taken modulo their count.
	Target int
	// Mode is the mode of a link. Share is the share of calls that a fault concerns.
	Mode  LinkMode
	Share float64
}

// Host is a host of the deployment.
type Host struct {
	Zone        int
	MemoryMB    int
	Descriptors int
	// Earlier is set on hosts that run the earlier build, if the player has one.
	Earlier bool
}

// JobRoute is a route of batch jobs. The hosts of all but the first have no other route.
type JobRoute struct {
	SingleVersion bool
}

// Plan is a run that was drawn from a seed. Equal seeds and lengths give equal plans.
type Plan struct {
	Seed   uint64
	Length time.Duration
	Hosts  []Host
	Grace  time.Duration
	// PlainServers is the number of servers for plain requests, Software the version of
	// the software of each engine.
	PlainServers int
	Software     []int
	// Events and Pace are the number of events of each text, and the time of each.
	Events    int
	Pace      time.Duration
	JobRoutes []JobRoute
	// Resumable is set if streams of callers may be resumed.
	Resumable bool
	// Workspaces is set if callers need keys.
	Workspaces bool
	// Duties is set if usage is reported, ChecksFencing if the platform checks the tokens.
	Duties, ChecksFencing bool
	Callers, Trainers     int
	Items                 int
	// MaxAttempts is the limit of servers for a request.
	MaxAttempts int
	Steps       []Step
}

// firstStep is when the first step comes, so that all hosts have been in touch before.
const firstStep = 5 * time.Second

// Draw draws a run in which the last steps begin before length has passed.
func Draw(seed uint64, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 43))
	p := Plan{
		Seed: seed, Length: length, Grace: time.Duration(4+2*r.IntN(6)) * time.Second,
		PlainServers: 2 + r.IntN(4), Events: 20 + r.IntN(80), Pace: time.Duration(20+r.IntN(100)) * time.Millisecond,
		Resumable: r.IntN(2) == 0, Workspaces: r.IntN(3) > 0, Duties: r.IntN(3) > 0, ChecksFencing: r.IntN(2) == 0,
		Callers: 3 + r.IntN(6), Trainers: 2 + r.IntN(3), Items: 2 + 2*r.IntN(3), MaxAttempts: 2 + r.IntN(3),
	}
	hosts := 2 + r.IntN(4)
	if r.IntN(12) == 0 {
		hosts = 8 + r.IntN(9) // A fleet.
	}
	for range hosts {
		p.Hosts = append(p.Hosts, Host{
			Zone: r.IntN(2), MemoryMB: 128 + 52*r.IntN(4), Descriptors: 600 + 500*r.IntN(4), Earlier: r.IntN(3) == 0,
		})
	}
	for range 2 + r.IntN(3) {
		p.Software = append(p.Software, 1+r.IntN(2))
	}
	for range 2 + r.IntN(2) {
		p.JobRoutes = append(p.JobRoutes, JobRoute{SingleVersion: r.IntN(2) == 0})
	}
	p.drawSteps(r)
	return p
}

// drawSteps draws steps that follow each other, overlap or come in series. A third of the
// runs have planned work only.
func (p *Plan) drawSteps(r *rand.Rand) {
	kinds := slices.Concat(plannedKinds, faultKinds)
	if r.IntN(3) == 0 {
		kinds = plannedKinds
	}
	for at := firstStep; at < p.Length; {
		step := Step{
			At: at, For: time.Duration(300+r.IntN(4200)) * time.Millisecond, Kind: kinds[r.IntN(len(kinds))],
			Target: r.IntN(1 << 10), Mode: 1 + LinkMode(r.IntN(int(linkModes)-1)), Share: 0.05 + 0.4*r.Float64(),
		}
		repeats := 1
		if r.IntN(4) == 0 {
			repeats += 1 + r.IntN(2)
		}
		for range repeats {
			p.Steps = append(p.Steps, step)
			step.At += time.Duration(200+r.IntN(800)) * time.Millisecond
			step.Target++
		}
		at = step.At
		if r.IntN(3) > 0 {
			at += time.Duration(r.IntN(2500)) * time.Millisecond
		}
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
}

// String describes the configuration in short.
func (p Plan) String() string {
	single := 0
	for _, route := range p.JobRoutes {
		if route.SingleVersion {
			single++
		}
	}
	text := fmt.Sprintf("%d hosts, %d+%d servers, grace %v, %dx%v, %d/%d single", len(p.Hosts), p.PlainServers,
		len(p.Software), p.Grace, p.Events, p.Pace, single, len(p.JobRoutes))
	for _, flag := range []struct {
		name  string
		isSet bool
	}{{"resumable", p.Resumable}, {"keys", p.Workspaces}, {"duties", p.Duties}, {"fences", p.Duties && p.ChecksFencing}} {
		if flag.isSet {
			text += ", " + flag.name
		}
	}
	return text + fmt.Sprintf(", %d steps", len(p.Steps))
}
