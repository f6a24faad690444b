package usage

import (
	"context"
	"maps"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/usage"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
)

const (
	// memberTimeout bounds the call to each daemon of a zone, and zoneTimeout that to the
	// daemon that asks a zone.
	memberTimeout = 700 * time.Millisecond
	zoneTimeout   = 1200 * time.Millisecond
)

// gatherResult holds the counts of the daemons that have answered.
type gatherResult struct {
	counts   map[usage.Window]usage.Counts
	answered []string
	// asked are the daemons that were asked.
	asked []membership.Member
	// offsets are how far the clocks of zones are ahead of the holder's time.
	offsets []time.Duration
	// suspects are the daemons whose clocks differ.
	suspects map[string]usage.ClockReading
}

// gatherRequest returns the request for the windows of a step.
func (s *service) gatherRequest(step usage.Step, now time.Time) CountsRequest {
	request := CountsRequest{Now: now.UnixNano()}
	for window := step.From; window <= step.To; window++ {
		request.Windows = append(request.Windows, WindowBounds{
			Window: int64(window), From: s.rules.StartOf(window).UnixNano(), To: s.rules.EndOf(window).UnixNano(),
		})
	}
	return request
}

// unanswered returns the live daemons that have not answered for the windows that are
// being gathered. It runs on the control goroutine.
func (s *service) unanswered() []membership.Member {
	var asked []membership.Member
	view := s.session.View().Load()
	hasSelf := false
	for name, member := range view.Live {
		hasSelf = hasSelf || name == view.Self.Name
		if !s.book.Answered(name) {
			asked = append(asked, member)
		}
	}
	if !hasSelf && !s.book.Answered(view.Self.Name) {
		asked = append(asked, view.Self)
	}
	return asked
}

// gather asks daemons, those of each zone through one of them, for their counts. A daemon
// of a zone that could not be asked is asked by another one the next time, as the daemons
// that have answered are not in the list any more.
func (s *service) gather(ctx context.Context, request CountsRequest, asked []membership.Member, clocks map[string]clockNote) gatherResult {
	result := gatherResult{counts: make(map[usage.Window]usage.Counts), asked: asked, suspects: make(map[string]usage.ClockReading)}
	byZone := make(map[structs.ZoneName][]membership.Member)
	for _, member := range asked {
		byZone[member.Zone] = append(byZone[member.Zone], member)
	}
	self := s.session.View().Load().Self
	var mu sync.Mutex
	var group conc.WaitGroup
	for zone, members := range byZone {
		group.Go(func() {
			reply, ok := s.askZone(ctx, self, zone, request, members, clocks)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				result.add(reply)
			}
		})
	}
	group.Wait()
	return result
}

// askZone asks the daemons of a zone through the first of them that responds.
func (s *service) askZone(ctx context.Context, self membership.Member, zone structs.ZoneName, request CountsRequest, members []membership.Member, clocks map[string]clockNote) (CountsReply, bool) {
	for _, member := range members {
		clock := clocks[member.Name]
		request.Members = append(request.Members, MemberAddress{
			Name: member.Name, Address: member.RPCAddress, ClockError: int64(clock.err), IsClockSettled: clock.isSettled,
		})
	}
	requestedAt := boottime.Now()
	if zone == self.Zone {
		return s.askMembers(ctx, request), true
	}
	failures := 0
	for _, gatherer := range membership.ByRank(members) {
		callCtx, cancel := context.WithTimeout(ctx, zoneTimeout)
		var reply CountsReply
		started := boottime.Now()
		zoneRequest := request
		zoneRequest.Now += int64(started - requestedAt)
		err := s.peers.Call(callCtx, gatherer.RPCAddress, rpcName+".Gather", zoneRequest, &reply)
		cancel()
		if err == nil {
			reply.delay(boottime.Since(started) - time.Duration(reply.Took))
			return reply, true
		}
		s.log.WithError(err).WithFields(logrus.Fields{"daemon": gatherer.Name, "zone": zone}).Info("A daemon did not gather the usage of its zone.")
		if isRefusal(err) {
			continue
		}
		if failures++; failures == maxGatherers {
			return CountsReply{}, false
		}
	}
	return CountsReply{Answered: namesOf(members)}, failures == 0
}

// maxGatherers bounds the daemons of a zone that are tried one after the other.
const maxGatherers = 2

func namesOf(members []membership.Member) []string {
	var names []string
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}

// isRefusal reports whether a daemon has refused a call, as those of earlier releases do.
// They count nothing.
func isRefusal(err error) bool {
	var refused rpc.ServerError
	return errors.As(err, &refused)
}

// askMembers asks the daemons of this one's zone for their counts.
func (s *service) askMembers(ctx context.Context, request CountsRequest) CountsReply {
	members, begun := request.Members, boottime.Now()
	request.Members = nil
	selfName := s.session.View().Load().Self.Name
	var mu sync.Mutex
	sum := CountsReply{Counts: make([]map[structs.WorkspaceName]int64, len(request.Windows)), Suspects: make(map[string]usage.ClockReading)}
	var offsets []time.Duration
	var group conc.WaitGroup
	for _, member := range members {
		group.Go(func() {
			var reply CountsReply
			request, started := request, boottime.Now()
			request.ClockError = member.ClockError
			request.Now += int64(started - begun)
			if member.Name == selfName {
				reply = s.ownCounts(request)
			} else if !s.askMember(ctx, member, request, &reply) {
				return
			}
			reply.delay(boottime.Since(started))
			mu.Lock()
			defer mu.Unlock()
			if reply.HasClock && reply.Clock.IsUseful() {
				offsets = append(offsets, reply.Clock.Offset)
			}
			if reply.HasClock && !member.IsClockSettled && reply.Clock.Differs(time.Duration(member.ClockError)) {
				sum.Suspects[member.Name] = reply.Clock
				return
			}
			sum.add(reply)
			sum.Answered = append(sum.Answered, member.Name)
		})
	}
	group.Wait()
	sum.Clock, sum.HasClock = usage.ClockReading{Offset: usage.Median(offsets)}, len(offsets) > 0
	sum.Took = int64(boottime.Since(begun))
	return sum
}

// delay takes the time into account that the messages with the reply's clocks took.
func (r *CountsReply) delay(took time.Duration) {
	r.Clock = r.Clock.Delayed(took)
	for name, reading := range r.Suspects {
		r.Suspects[name] = reading.Delayed(took)
	}
}

// askMember asks a daemon for its counts. It returns false if they are still to be asked
// for.
func (s *service) askMember(ctx context.Context, member MemberAddress, request CountsRequest, reply *CountsReply) bool {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	err := s.peers.Call(ctx, member.Address, rpcName+".Read", request, reply)
	if isRefusal(err) {
		return true
	}
	if err != nil {
		s.log.WithError(err).WithField("daemon", member.Name).Info("A daemon did not give its usage.")
	}
	return err == nil
}

// add adds the counts of a zone.
func (r *gatherResult) add(reply CountsReply) {
	for i, counts := range reply.Counts {
		if i < len(reply.Windows) && len(counts) > 0 {
			window := usage.Window(reply.Windows[i])
			if r.counts[window] == nil {
				r.counts[window] = make(usage.Counts)
			}
			r.counts[window].Add(counts)
		}
	}
	r.answered = append(r.answered, reply.Answered...)
	maps.Copy(r.suspects, reply.Suspects)
	if reply.HasClock && reply.Clock.IsUseful() {
		r.offsets = append(r.offsets, reply.Clock.Offset)
	}
}
