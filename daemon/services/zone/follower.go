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

// collectorRecord is the collector's entry in the store.
type collectorRecord struct {
	Host    structs.HostName `json:"host"`
	Start   uint64           `json:"start"`
	Address string           `json:"address"`
	// term is the store's revision of the entry.
	term structs.Term
}

func (s *service) collectorKey() string { return "zones/" + string(s.config.Place.Zone) + "/collector" }
func (s *service) rosterKey() string    { return "zones/" + string(s.config.Place.Zone) + "/roster" }

// AskArgs are the arguments of the net/rpc method Zone.Ask.
type AskArgs struct {
	Ask zone.Ask
	// Have lists the versions of the shared states that the follower has.
	Have []HavePart
	// InDoubt is set while the follower has an undecided round.
	InDoubt bool
}

// AskReply is the reply of the net/rpc method Zone.Ask.
type AskReply struct {
	// Collects is false when the called daemon is not the collector.
	Collects bool
	Reply    zone.Reply
	// Carry is a contract.SettingsDelta in JSON, because gob loses pointers to zero.
	Carry []byte
	// Parts are the updates of the shared states for which the follower has an
	// older version.
	Parts []SharedPart
}

// errIncompleteReply means that a reply names a newer round or revision than
// the settings that it carries lead to.
var errIncompleteReply = errors.New("zone: reply names a newer round or revision than its settings")

// timedReply is a collector's reply with the time at which the request was
// sent.
type timedReply struct {
	requestedAt zone.Instant
	reply       AskReply
}

// requestGrant sends the next grant request to the collector, on a worker. On
// the collector itself it runs runCollector instead.
func (s *service) requestGrant() {
	if s.stopping {
		return
	}
	if s.collector != nil {
		s.runCollector()
		return
	}
	state, _ := s.settings.GrantState()
	args := AskArgs{Ask: s.follower.NewRequest(), Have: s.sharedVersions(), InDoubt: state.Undecided}
	requestedAt, address := s.now(), s.knownCollector.Address
	timeout := s.grantSixths(requestTimeoutSixths)
	kernel.RunAsync(s.workers, timeout, s.replies, func(ctx context.Context) (timedReply, error) {
		answer := timedReply{requestedAt: requestedAt}
		err := s.peers.Call(ctx, address, rpcName+".Ask", &args, &answer.reply)
		return answer, err
	})
}

func (s *service) onReply(reply kernel.AsyncResult[timedReply]) {
	if s.collector != nil {
		return
	}
	if reply.Err != nil || !reply.Value.reply.Collects {
		s.loop.AfterFunc(jitter(retryDelay), s.findCollector)
		return
	}
	before := s.follower.Term()
	if err := s.applyReply(reply.Value); err != nil {
		s.log.WithError(err).Debug("Cannot apply the collector's reply.")
		s.loop.AfterFunc(jitter(retryDelay), s.findCollector)
		return
	}
	if reply.Value.reply.Reply.Cut {
		s.checkSuccessor()
	}
	if reply.Value.reply.Reply.Granted || s.follower.Term() > before {
		s.requestGrant()
		return
	}
	s.loop.AfterFunc(jitter(retryDelay), s.requestGrant)
}

// applyReply applies the updates that a reply carries, and only then the
// grant.
func (s *service) applyReply(answer timedReply) error {
	s.mergeSharedParts(answer.reply.Parts)
	if len(answer.reply.Carry) > 0 && answer.reply.Reply.Term >= s.follower.Term() {
		var delta contract.SettingsDelta
		if err := json.Unmarshal(answer.reply.Carry, &delta); err != nil {
			return err
		}
		if err := s.settings.ApplyDelta(delta); err != nil {
			return err
		}
	}
	if state, _ := s.settings.GrantState(); state.Round < answer.reply.Reply.Round || state.Revision < answer.reply.Reply.Revision {
		return errIncompleteReply
	}
	s.applyLeaseReply(answer.requestedAt, answer.reply.Reply)
	return nil
}

func (s *service) applyLeaseReply(requestedAt zone.Instant, reply zone.Reply) {
	before := s.follower.Term()
	if !s.follower.ApplyReply(requestedAt, reply) {
		return
	}
	s.settings.SetGrant(s.clockOrigin.Add(s.follower.GrantEnds()))
	if s.follower.Term() != before {
		s.log.Infof("Following %s in term %d.", s.knownCollector.Host, s.follower.Term())
		s.publishView()
	}
}

// searchResult is the outcome of searchCollector.
type searchResult struct {
	collector collectorRecord
	// acquired is set when this daemon acquired the collector role.
	acquired *acquiredRole
}

// findCollector looks up the collector in the store, or acquires the role when
// there is none.
func (s *service) findCollector() {
	if s.stopping || s.collector != nil {
		return
	}
	kernel.RunAsync(s.workers, 0, s.searchResults, s.searchCollector)
}

// searchCollector reads the collector's entry from the store and acquires the
// role if there is none. It runs on a worker.
func (s *service) searchCollector(ctx context.Context) (searchResult, error) {
	store := s.clients.Platform().Store
	entry, err := store.Get(ctx, s.collectorKey())
	if errors.Is(err, outside.ErrNotFound) {
		acquired, err := s.acquireRole(ctx, store)
		return searchResult{acquired: acquired}, err
	}
	if err != nil {
		return searchResult{}, err
	}
	var collector collectorRecord
	err = json.Unmarshal(entry.Value, &collector)
	collector.term = structs.Term(entry.Revision)
	return searchResult{collector: collector}, err
}

// checkSuccessor looks in the store for a collector of a higher term while the
// known collector is cut off from the store. Such a collector still grants but
// cannot acknowledge rounds, so requests to it continue meanwhile.
func (s *service) checkSuccessor() {
	if s.checkingSuccessor || s.stopping || s.now() < s.nextSuccessorCheck {
		return
	}
	s.checkingSuccessor = true
	kernel.RunAsync(s.workers, 0, s.successorChecks, s.searchCollector)
}

func (s *service) onSuccessorCheck(reply kernel.AsyncResult[searchResult]) {
	s.checkingSuccessor = false
	s.nextSuccessorCheck = s.now() + jitter(s.grantDuration)
	if reply.Err != nil || s.stopping || s.collector != nil {
		return
	}
	if reply.Value.acquired != nil {
		s.startCollecting(reply.Value.acquired)
	} else if reply.Value.collector.term > s.follower.Term() {
		s.knownCollector = reply.Value.collector
	}
}

func (s *service) onSearchResult(reply kernel.AsyncResult[searchResult]) {
	if s.stopping || s.collector != nil {
		return
	}
	switch {
	case reply.Err != nil:
		// The known collector may still be reachable while the store is not.
		s.retryKnownCollector()
	case reply.Value.acquired != nil:
		s.startCollecting(reply.Value.acquired)
	default:
		s.knownCollector = reply.Value.collector
		s.requestGrant()
	}
}

func (s *service) retryKnownCollector() {
	if s.knownCollector.Address == "" {
		s.loop.AfterFunc(jitter(retryDelay), s.findCollector)
		return
	}
	s.loop.AfterFunc(jitter(retryDelay), s.requestGrant)
}

// jitter returns a random duration between 0.5 and 1.5 times delay.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay)
}
