package balance

import (
	"sync/atomic"

	"github.com/flamingobeam/flamingobeam/coord/route"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// serverCounters holds the counters of one backend server. It outlives
// snapshots.
type serverCounters struct {
	name structs.HostName
	// inFlight counts this daemon's requests, and suspects those of them that
	// were in flight on a server when it crashed.
	inFlight, suspects atomic.Int32
	// limit bounds inFlight, and otherLoad is the reported load from other
	// daemons. The control goroutine sets both.
	limit, otherLoad atomic.Int32
	// weightVersion is the weight version that the server last reported.
	weightVersion atomic.Uint64
	// isFailing is set by a failure and cleared by the next answer.
	isFailing atomic.Bool
	// answeredAt is when the server last answered a request, in Unix nanoseconds.
	answeredAt atomic.Int64
	// isRefusing is set when the server refuses new work. The control goroutine
	// clears it after refusalHold.
	isRefusing  atomic.Bool
	limitWindow limitWindow
}

// limitWindow accumulates the statistics from which the limit is computed,
// until the control goroutine rotates it.
type limitWindow struct {
	finishedCount, totalLatency atomic.Int64
	failedCount                 atomic.Int64
	peakInFlight                atomic.Int32
}

func (w *limitWindow) recordPeak(inFlight int32) {
	for {
		peak := w.peakInFlight.Load()
		if inFlight <= peak || w.peakInFlight.CompareAndSwap(peak, inFlight) {
			return
		}
	}
}

// tierLoad holds the load of a tier: this daemon's own requests, and those of
// other daemons. It outlives snapshots.
type tierLoad struct {
	own atomic.Int64
	// other is set by the control goroutine.
	other atomic.Int64
}

// serviceView is one service in a snapshot. Its fields are immutable; counters,
// tierLoads and admission point to shared mutable state.
type serviceView struct {
	servers   []structs.BackendServer
	table     *route.Table
	counters  []*serverCounters
	tierLoads []*tierLoad
	admission *admissionQueue
}

var _ route.Loads = (*serviceView)(nil)

// Load implements route.Loads.
func (v *serviceView) Load(server int) int {
	counters := v.counters[server]
	return int(counters.inFlight.Load() + counters.otherLoad.Load())
}

// Full implements route.Loads.
func (v *serviceView) Full(server int) bool {
	counters := v.counters[server]
	return counters.isRefusing.Load() || counters.inFlight.Load() >= counters.limit.Load()
}

// Mean implements route.Loads.
func (v *serviceView) Mean(tier int) float64 {
	t := v.tierLoads[tier]
	return float64(t.own.Load()+t.other.Load()) / float64(len(v.table.Tiers()[tier].Members))
}

// loadsFor returns the loads that routing goes by for a request.
func (v *serviceView) loadsFor(isSuspect bool) route.Loads {
	if isSuspect {
		return suspectView{v}
	}
	return v
}

// suspectView reports a server that runs a suspect as full to other suspects,
// so that the next crash shows which of them caused it.
type suspectView struct{ *serviceView }

// Full implements route.Loads.
func (v suspectView) Full(server int) bool {
	return v.counters[server].suspects.Load() > 0 || v.serviceView.Full(server)
}
