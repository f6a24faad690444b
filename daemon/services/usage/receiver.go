package usage

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/usage"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
)

// rpcName is the name under which the receiver is registered with net/rpc.
const rpcName = "Usage"

// MemberAddress names a daemon and its net/rpc address. It crosses net/rpc, as do the
// following types. Their names are part of the gob encoding.
type MemberAddress struct {
	Name    string
	Address string
	// ClockError is how far its clock is ahead, in nanoseconds, as far as the holder knows.
	// IsClockSettled is set if the holder goes by that whatever the clock shows.
	ClockError     int64
	IsClockSettled bool
}

// WindowBounds are the bounds of a window in nanoseconds of true time since 1970.
type WindowBounds struct {
	Window   int64
	From, To int64
}

// CountsRequest asks for the counts of windows.
type CountsRequest struct {
	// Now is the holder's estimate of the true time, in nanoseconds since 1970.
	Now     int64
	Windows []WindowBounds
	// Members are the daemons that Gather asks.
	Members []MemberAddress
	// ClockError is how far the clock of the daemon that Read asks is ahead, in nanoseconds.
	ClockError int64
}

// CountsReply holds the counts of one daemon, or of several in a zone.
type CountsReply struct {
	// Windows are the numbers of the windows, and Counts their counts in the same order.
	Windows []int64
	Counts  []map[structs.WorkspaceName]int64
	// Answered are the names of the daemons whose counts are included.
	Answered []string
	// Clock is how far the daemon's clock, or the median of several, is ahead of the
	// holder's time. HasClock is set if it is known.
	Clock    usage.ClockReading
	HasClock bool
	// Suspects holds the daemons whose clocks differ from the holder's time. Their counts
	// are not included.
	Suspects map[string]usage.ClockReading
	// Took is how long Gather took, in nanoseconds.
	Took int64
}

// add adds the counts of a daemon.
func (r *CountsReply) add(reply CountsReply) {
	if len(reply.Windows) > 0 {
		r.Windows = reply.Windows
	}
	for i, counts := range reply.Counts {
		if i >= len(r.Counts) || len(counts) == 0 {
			continue
		}
		if r.Counts[i] == nil {
			r.Counts[i] = make(map[structs.WorkspaceName]int64)
		}
		usage.Counts(r.Counts[i]).Add(counts)
	}
}

// HandoverRequest hands the counts of a daemon that stops over to another one.
type HandoverRequest struct {
	Daemon string
	Starts []HandedStart
}

// HandedStart is a number of requests that began Age nanoseconds before the message.
type HandedStart struct {
	Age       int64
	Workspace structs.WorkspaceName
	Count     int64
}

// Receiver serves the calls of other daemons under the name Usage.
type Receiver struct{ service *service }

// Read returns the counts of this daemon.
func (r *Receiver) Read(request CountsRequest, reply *CountsReply) error {
	*reply = r.service.ownCounts(request)
	return nil
}

// Gather returns the counts of daemons of this one's zone.
func (r *Receiver) Gather(request CountsRequest, reply *CountsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), zoneTimeout)
	defer cancel()
	*reply = r.service.askMembers(ctx, request)
	return nil
}

// Adopt takes the counts of a daemon that stops.
func (r *Receiver) Adopt(request HandoverRequest, _ *struct{}) error {
	r.service.adopt(request)
	return nil
}

// ownCounts returns the counts of this daemon, by its own clock less its error.
func (s *service) ownCounts(request CountsRequest) CountsReply {
	clock, now := time.Now().UnixNano(), boottime.Now()
	reply := CountsReply{Clock: usage.ClockReading{Offset: time.Duration(clock - request.Now)}, HasClock: true}
	clock -= request.ClockError
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, window := range request.Windows {
		from, to := now-time.Duration(clock-window.From), now-time.Duration(clock-window.To)
		reply.Windows = append(reply.Windows, window.Window)
		reply.Counts = append(reply.Counts, s.meter.Sum(from, to))
	}
	return reply
}

// adopt adds the counts of a daemon that stops to those of this one.
func (s *service) adopt(request HandoverRequest) {
	now := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, start := range request.Starts {
		s.meter.Add(usage.Start{At: now - time.Duration(start.Age), Workspace: start.Workspace, Count: start.Count})
	}
	s.log.WithField("daemon", request.Daemon).WithField("entries", len(request.Starts)).Info("Took over the usage of a daemon that stops.")
}
