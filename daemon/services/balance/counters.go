package balance

import (
	"sync/atomic"

	"github.com/flamingobeam/flamingobeam/coord/route"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// place holds the counters of one backend server. It outlives snapshots.
type place struct {
	name structs.HostName
	// inFlight counts the own requests, and suspects those of them that were
	// on a server that crashed.
	inFlight, suspects atomic.Int32
	// limit is the bound of inFlight, others the reported load that is not
	// the own; the control goroutine sets both.
	limit, others atomic.Int32
	// version is the weight version that the server last reported.
	version atomic.Uint64
	// failing is set from a failure until the next answer.
	failing atomic.Bool
	// refusing is set when the server refused new work, until the control
	// goroutine has taken it in.
	refusing atomic.Bool
	window   window
}

// window sums what the limit is found from, until the control goroutine takes
// it.
type window struct {
	finished, latency atomic.Int64
	refused           atomic.Int64
	peak              atomic.Int32
}

func (w *window) reached(inFlight int32) {
	for {
		peak := w.peak.Load()
		if inFlight <= peak || w.peak.CompareAndSwap(peak, inFlight) {
			return
		}
	}
}

// tierLoad sums the loads of a tier. It outlives snapshots.
type tierLoad struct {
	own atomic.Int64
	// others is set by the control goroutine.
	others atomic.Int64
}

// view is one service in a snapshot. Its fields are immutable; places, tiers
// and pool hold counters.
type view struct {
	servers []structs.BackendServer
	table   *route.Table
	places  []*place
	tiers   []*tierLoad
	pool    *pool
}

var _ route.Loads = (*view)(nil)

// Load implements route.Loads.
func (v *view) Load(server int) int {
	p := v.places[server]
	return int(p.inFlight.Load() + p.others.Load())
}

// Full implements route.Loads.
func (v *view) Full(server int) bool {
	p := v.places[server]
	return p.refusing.Load() || p.inFlight.Load() >= p.limit.Load()
}

// Mean implements route.Loads.
func (v *view) Mean(tier int) float64 {
	t := v.tiers[tier]
	return float64(t.own.Load()+t.others.Load()) / float64(len(v.table.Tiers()[tier].Members))
}

// isolated makes a server that runs a suspect look full to other suspects, so
// that the next crash shows which of them it was.
type isolated struct{ *view }

// Full implements route.Loads.
func (i isolated) Full(server int) bool {
	return i.places[server].suspects.Load() > 0 || i.view.Full(server)
}
