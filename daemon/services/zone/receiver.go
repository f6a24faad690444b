package zone

import (
	"encoding/json"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/zone"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// Receiver is the net/rpc receiver of the calls of other daemons. It is
// registered as Zone.
type Receiver struct{ service *service }

// pendingRequest is a follower's request on its way to the control goroutine.
type pendingRequest struct {
	AskArgs
	reply chan AskReply
}

// heldRequest is a request that is answered at the next update for the
// follower, or when its timer fires.
type heldRequest struct {
	request pendingRequest
	timer   *kernel.Timer
}

// Ask handles a follower's grant request: at once when there is an update for
// the follower, else after holdSixths sixths of T at the latest. It fails with
// code Overloaded when too many requests are queued.
func (r *Receiver) Ask(args *AskArgs, reply *AskReply) error {
	request := pendingRequest{AskArgs: *args, reply: make(chan AskReply, 1)}
	if err := r.service.requests.Post(request); err != nil {
		return result.Wrap(result.Overloaded, err)
	}
	select {
	case *reply = <-request.reply:
	case <-r.service.loop.Done():
	}
	return nil
}

func (s *service) onRequest(request pendingRequest) {
	cs := s.collector
	if cs == nil {
		request.reply <- AskReply{}
		return
	}
	if request.Ask.Term > cs.protocol.Term() {
		s.log.Infof("Stepping down: %s follows term %d.", request.Ask.Member.Host, request.Ask.Term)
		request.reply <- AskReply{}
		s.stepDown()
		return
	}
	if !cs.protocol.Roster().Has(request.Ask.Member) {
		s.addPendingMember(request.Ask.Member)
		s.replyOrHold(request, s.lacksSharedState(request.Have))
		s.advanceRoundAndRoster()
		return
	}
	s.replyOrHold(request, s.needsUpdate(request.AskArgs) || s.lacksSharedState(request.Have))
	s.advanceRoundAndRoster()
}

// replyOrHold replies to a request when sendNow is set, and else holds it
// until there is an update.
func (s *service) replyOrHold(request pendingRequest, sendNow bool) {
	reply := s.collector.protocol.HandleRequest(s.now(), request.Ask)
	if sendNow {
		s.sendReply(request, reply)
		return
	}
	s.holdRequest(request)
}

// needsUpdate reports whether a follower has older settings or an older round
// than the collector, or has not yet echoed a reply of this term.
func (s *service) needsUpdate(args AskArgs) bool {
	state, ok := s.settings.GrantState()
	if !ok {
		return false
	}
	ask := args.Ask
	return ask.Echo == 0 || ask.Term < s.collector.protocol.Term() ||
		ask.Revision < state.Revision || ask.Staged < state.Round || args.InDoubt != state.Undecided
}

func (s *service) holdRequest(request pendingRequest) {
	held := &heldRequest{request: request}
	held.timer = s.loop.AfterFunc(s.grantSixths(holdSixths), func() { s.replyToHeld(held) })
	s.collector.heldRequests = append(s.collector.heldRequests, held)
}

// replyToHeld replies to one held request when its timer fires.
func (s *service) replyToHeld(held *heldRequest) {
	cs := s.collector
	if cs == nil {
		return
	}
	for i, other := range cs.heldRequests {
		if other == held {
			last := len(cs.heldRequests) - 1
			cs.heldRequests[i] = cs.heldRequests[last]
			cs.heldRequests = cs.heldRequests[:last]
			break
		}
	}
	s.sendReply(held.request, cs.protocol.HandleRequest(s.now(), held.request.Ask))
}

// replyToAllHeld replies to all held requests after an update.
func (s *service) replyToAllHeld() {
	heldRequests := s.collector.heldRequests
	s.collector.heldRequests = nil
	for _, held := range heldRequests {
		s.loop.CancelTimer(held.timer)
		s.sendReply(held.request, s.collector.protocol.HandleRequest(s.now(), held.request.Ask))
	}
}

// encodeDelta encodes the settings changes since a revision, once for all
// followers that have it.
func (s *service) encodeDelta(since settings.Revision) ([]byte, error) {
	if encoded, ok := s.collector.encodedDeltas[since]; ok {
		return encoded, nil
	}
	encoded, err := json.Marshal(s.settings.DeltaSince(since))
	if err == nil {
		s.collector.encodedDeltas[since] = encoded
	}
	return encoded, err
}

// sendReply sends a reply with the updates that the follower needs.
func (s *service) sendReply(request pendingRequest, leaseReply zone.Reply) {
	reply := AskReply{Collects: true, Reply: leaseReply, Parts: s.encodeSharedStates(request.Have)}
	state, known := s.settings.GrantState()
	switch {
	case !known:
		reply.Reply.Granted = false
	case s.needsUpdate(request.AskArgs) || state.Undecided:
		delta, err := s.encodeDelta(request.Ask.Revision)
		if err != nil {
			s.log.WithError(err).Error("Cannot encode the settings delta.")
			reply.Reply.Granted = false
		}
		reply.Carry = delta
	}
	request.reply <- reply
}
