package zone

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/zone"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// record is the collector's entry in the store.
type record struct {
	Host    structs.HostName `json:"host"`
	Start   uint64           `json:"start"`
	Address string           `json:"address"`
	// term is the store's revision of the entry.
	term structs.Term
}

func (s *service) collectorKey() string { return "zones/" + string(s.config.Place.Zone) + "/collector" }
func (s *service) rosterKey() string    { return "zones/" + string(s.config.Place.Zone) + "/roster" }

// AskArgs are the arguments of Zone.Ask.
type AskArgs struct {
	Ask zone.LeaseRequest
	// Have are the versions of the shared parts that the follower knows.
	Have []HavePart
	// InDoubt says that the follower waits for the decision of a round.
	InDoubt bool
}

// AskReply is the reply of Zone.Ask.
type AskReply struct {
	// Collects is false when the daemon asked is not the collector.
	Collects bool
	Reply    zone.LeaseReply
	// Carry is a contract.SettingsDelta in JSON, because gob loses pointers to zero.
	Carry []byte
	// Parts are the shared parts that the follower lacks.
	Parts []SharedPart
}

// errIncomplete means that a collector's answer names newer settings than it
// carries.
var errIncomplete = errors.New("zone: the answer lacks the settings that it names")

// answer is the reply to an ask with the instant at which it was sent.
type answer struct {
	asked zone.Instant
	reply AskReply
}

// ask sends the next ask: to itself when this daemon collects, else to the
// collector on a worker.
func (s *service) ask() {
	if s.stopping {
		return
	}
	if s.collects != nil {
		s.askSelf()
		return
	}
	news, _ := s.settings.GrantState()
	args := AskArgs{Ask: s.follower.NewRequest(), Have: s.have(), InDoubt: news.Undecided}
	asked, address := s.now(), s.known.Address
	limit := s.part(askParts)
	kernel.RunAsync(s.workers, limit, s.answers, func(ctx context.Context) (answer, error) {
		got := answer{asked: asked}
		err := s.peers.Call(ctx, address, rpcName+".Ask", &args, &got.reply)
		return got, err
	})
}

func (s *service) onAnswer(reply kernel.AsyncResult[answer]) {
	if s.collects != nil {
		return
	}
	if reply.Err != nil || !reply.Value.reply.Collects {
		s.loop.AfterFunc(jitter(retryDelay), s.find)
		return
	}
	before := s.follower.Term()
	if err := s.take(reply.Value); err != nil {
		s.log.WithError(err).Debug("The collector's answer could not be used.")
		s.loop.AfterFunc(jitter(retryDelay), s.find)
		return
	}
	if reply.Value.reply.Reply.Cut {
		s.look()
	}
	if reply.Value.reply.Reply.Granted || s.follower.Term() > before {
		s.ask()
		return
	}
	s.loop.AfterFunc(jitter(retryDelay), s.ask)
}

// take applies what an answer carries before it counts as a grant.
func (s *service) take(got answer) error {
	s.mergeShared(got.reply.Parts)
	if len(got.reply.Carry) > 0 && got.reply.Reply.Term >= s.follower.Term() {
		var carry contract.SettingsDelta
		if err := json.Unmarshal(got.reply.Carry, &carry); err != nil {
			return err
		}
		if err := s.settings.ApplyDelta(carry); err != nil {
			return err
		}
	}
	if news, _ := s.settings.GrantState(); news.Round < got.reply.Reply.Round || news.Revision < got.reply.Reply.Revision {
		return errIncomplete
	}
	s.accept(got.asked, got.reply.Reply)
	return nil
}

func (s *service) accept(asked zone.Instant, reply zone.LeaseReply) {
	before := s.follower.Term()
	if !s.follower.ApplyReply(asked, reply) {
		return
	}
	s.settings.SetGrant(s.started.Add(s.follower.GrantEnds()))
	if s.follower.Term() != before {
		s.log.Infof("Following %s in term %d.", s.known.Host, s.follower.Term())
		s.publish()
	}
}

// finding is what a look for the collector came to.
type finding struct {
	collector record
	// mine is set when this daemon took the role.
	mine *taken
}

// find looks the collector up in the store, or takes the role when nobody has
// it.
func (s *service) find() {
	if s.stopping || s.collects != nil {
		return
	}
	kernel.RunAsync(s.workers, 0, s.found, s.search)
}

// search runs on a worker.
func (s *service) search(ctx context.Context) (finding, error) {
	store := s.clients.Platform().Store
	entry, err := store.Get(ctx, s.collectorKey())
	if errors.Is(err, outside.ErrNotFound) {
		mine, err := s.takeRole(ctx, store)
		return finding{mine: mine}, err
	}
	if err != nil {
		return finding{}, err
	}
	var collector record
	err = json.Unmarshal(entry.Value, &collector)
	collector.term = structs.Term(entry.Revision)
	return finding{collector: collector}, err
}

// look searches for a collector of a higher term beside the asks to a known
// one that is cut off from the store: it grants on, but cannot acknowledge.
func (s *service) look() {
	if s.looking || s.stopping || s.now() < s.lookAgain {
		return
	}
	s.looking = true
	kernel.RunAsync(s.workers, 0, s.looked, s.search)
}

func (s *service) onLooked(reply kernel.AsyncResult[finding]) {
	s.looking = false
	s.lookAgain = s.now() + jitter(s.span)
	if reply.Err != nil || s.stopping || s.collects != nil {
		return
	}
	if reply.Value.mine != nil {
		s.begin(reply.Value.mine)
	} else if reply.Value.collector.term > s.follower.Term() {
		s.known = reply.Value.collector
	}
}

func (s *service) onFound(reply kernel.AsyncResult[finding]) {
	if s.stopping || s.collects != nil {
		return
	}
	switch {
	case reply.Err != nil:
		// Without the store the collector last known may still be there.
		s.retryKnown()
	case reply.Value.mine != nil:
		s.begin(reply.Value.mine)
	default:
		s.known = reply.Value.collector
		s.ask()
	}
}

func (s *service) retryKnown() {
	if s.known.Address == "" {
		s.loop.AfterFunc(jitter(retryDelay), s.find)
		return
	}
	s.loop.AfterFunc(jitter(retryDelay), s.ask)
}

// jitter spreads a delay between half and one and a half of it.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay)
}
