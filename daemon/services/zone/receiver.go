package zone

import (
	"encoding/json"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/zone"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// Receiver takes the calls of other daemons under the name Zone.
type Receiver struct{ service *service }

// askCall is a follower's ask on its way to the control goroutine.
type askCall struct {
	AskArgs
	answer chan AskReply
}

// heldAsk is an ask that is answered once there is news, or after a while.
type heldAsk struct {
	call  askCall
	timer *kernel.Timer
}

// Ask answers a follower, at once when there is news for it.
func (r *Receiver) Ask(args *AskArgs, reply *AskReply) error {
	call := askCall{AskArgs: *args, answer: make(chan AskReply, 1)}
	if err := r.service.asks.Post(call); err != nil {
		return result.Wrap(result.Overloaded, err)
	}
	select {
	case *reply = <-call.answer:
	case <-r.service.loop.Done():
	}
	return nil
}

func (s *service) onAsk(call askCall) {
	cs := s.collects
	if cs == nil {
		call.answer <- AskReply{}
		return
	}
	if call.Ask.Term > cs.decide.Term() {
		s.log.Infof("%s follows term %d.", call.Ask.Member.Host, call.Ask.Term)
		call.answer <- AskReply{}
		s.stepDown()
		return
	}
	if !cs.decide.Roster().Has(call.Ask.Member) {
		s.join(call.Ask.Member)
		s.answerOrHold(call, s.lacks(call.Have))
		s.tend()
		return
	}
	s.answerOrHold(call, s.isNews(call.AskArgs) || s.lacks(call.Have))
	s.tend()
}

// answerOrHold answers an ask for which there is news, and else keeps it
// until there is.
func (s *service) answerOrHold(call askCall, isNews bool) {
	reply := s.collects.decide.HandleRequest(s.now(), call.Ask)
	if isNews {
		s.answer(call, reply)
		return
	}
	s.hold(call)
}

// isNews reports whether a follower lacks something of the settings, or has
// not yet echoed a reply of this term.
func (s *service) isNews(args AskArgs) bool {
	news, ok := s.settings.GrantState()
	if !ok {
		return false
	}
	ask := args.Ask
	return ask.Echo == 0 || ask.Term < s.collects.decide.Term() ||
		ask.Revision < news.Revision || ask.Staged < news.Round || args.InDoubt != news.Undecided
}

func (s *service) hold(call askCall) {
	held := &heldAsk{call: call}
	held.timer = s.loop.AfterFunc(s.part(holdParts), func() { s.release(held) })
	s.collects.held = append(s.collects.held, held)
}

// release answers one ask whose time is up.
func (s *service) release(held *heldAsk) {
	cs := s.collects
	if cs == nil {
		return
	}
	for i, other := range cs.held {
		if other == held {
			last := len(cs.held) - 1
			cs.held[i] = cs.held[last]
			cs.held = cs.held[:last]
			break
		}
	}
	s.answer(held.call, cs.decide.HandleRequest(s.now(), held.call.Ask))
}

// releaseAll answers all held asks because there is news.
func (s *service) releaseAll() {
	held := s.collects.held
	s.collects.held = nil
	for _, waiting := range held {
		s.loop.CancelTimer(waiting.timer)
		s.answer(waiting.call, s.collects.decide.HandleRequest(s.now(), waiting.call.Ask))
	}
}

// encodeCarry encodes what followers of a revision lack, once for all of them.
func (s *service) encodeCarry(since settings.Revision) ([]byte, error) {
	if known, ok := s.collects.carries[since]; ok {
		return known, nil
	}
	carry, err := json.Marshal(s.settings.DeltaSince(since))
	if err == nil {
		s.collects.carries[since] = carry
	}
	return carry, err
}

// answer sends a reply with what the follower lacks.
func (s *service) answer(call askCall, reply zone.LeaseReply) {
	answer := AskReply{Collects: true, Reply: reply, Parts: s.shareWith(call.Have)}
	news, known := s.settings.GrantState()
	switch {
	case !known:
		answer.Reply.Granted = false
	case s.isNews(call.AskArgs) || news.Undecided:
		carry, err := s.encodeCarry(call.Ask.Revision)
		if err != nil {
			s.log.WithError(err).Error("The settings could not be encoded.")
			answer.Reply.Granted = false
		}
		answer.Carry = carry
	}
	call.answer <- answer
}
