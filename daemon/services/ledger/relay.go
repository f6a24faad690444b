package ledger

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// rpcName is the receiver's name in net/rpc.
	rpcName = "Ledger"
	// relayMargin is added to the timeout of a relayed call: a round trip
	// between regions and a call to the store.
	relayMargin = 700 * time.Millisecond
	// relayWatchTimeout is the longest wait of a relayed watch.
	relayWatchTimeout = time.Second
	// maxRelayAttempts is how many daemons are tried for one call.
	maxRelayAttempts = 2
)

// errNoRelay means that no other daemon could make the call for this one.
var errNoRelay = errors.New("ledger: no relay available")

// relayList holds the addresses of daemons that may reach the store when this
// one does not, nearest first.
type relayList struct {
	addresses atomic.Pointer[[]string]
	// next is the index of the daemon to try next: the last one that made a call,
	// or the one after the last that could not.
	next atomic.Uint32
}

// SetRelays implements contract.TransactionalStore. The daemon that serves as a relay
// now remains the first one that is tried.
func (s *service) SetRelays(addresses []string) {
	if previous := s.relays.addresses.Load(); previous != nil && len(*previous) > 0 {
		current := (*previous)[int(s.relays.next.Load())%len(*previous)]
		s.relays.next.Store(uint32(max(0, slices.Index(addresses, current))))
	}
	s.relays.addresses.Store(&addresses)
}

// Operation identifies a call to the store in net/rpc.
type Operation uint8

// The operations that can be relayed.
const (
	OpRead Operation = iota
	OpScan
	OpFollow
	OpCommit
	OpGrant
	OpKeepAlive
	OpRevoke
	OpScanStale
)

// Call is a call to the store that another daemon makes for this one.
type Call struct {
	Op Operation
	// Key is the key of OpRead, and the prefix of OpScan, OpScanStale and
	// OpFollow.
	Key string
	// After is the revision after which OpFollow returns changes.
	After outside.Revision
	// Wait is the longest wait of OpFollow, and the TTL that OpGrant requests.
	Wait time.Duration
	// Lease is the lease of OpKeepAlive and OpRevoke.
	Lease outside.LeaseID
	// Transaction is what OpCommit commits.
	Transaction outside.Transaction
}

// Reply is the store's reply to a relayed call.
type Reply struct {
	// Relayed is false when the other daemon does not reach the store either.
	Relayed bool
	// Failure is an index into wireErrors; zero is success.
	Failure int
	// Records is the result of OpRead, OpScan, OpScanStale and OpFollow.
	Records []outside.Record
	// Revision is that of the listing or the commit, or the one up to which the
	// changes of OpFollow are complete.
	Revision outside.Revision
	// Lease and TTL are the result of OpGrant.
	Lease outside.LeaseID
	TTL   time.Duration
}

// wireErrors are the errors that cross net/rpc by their index. The order is
// part of the protocol.
var wireErrors = []error{
	nil, outside.ErrNotFound, outside.ErrConflict, outside.ErrRateLimited, outside.ErrTooLarge,
	outside.ErrLeaseLost, outside.ErrRefused, outside.ErrCompacted, outside.ErrUnavailable,
}

func errorNumber(err error) int {
	if err == nil {
		return 0
	}
	for number, wireError := range wireErrors {
		if wireError != nil && errors.Is(err, wireError) {
			return number
		}
	}
	return len(wireErrors) - 1
}

// Receiver serves net/rpc calls of other daemons: calls to the store, and
// changes of prefixes.
type Receiver struct{ service *service }

// Do makes a call to the store if this daemon reaches it.
func (r *Receiver) Do(call Call, reply *Reply) error {
	if _, reached := r.service.ReachedSince(); !reached {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), call.Wait+relayMargin)
	defer cancel()
	err := r.service.callStore(ctx, call, reply)
	reply.Relayed, reply.Failure = true, errorNumber(err)
	return nil
}

// callStore makes a call over this daemon's own connection.
func (s *service) callStore(ctx context.Context, call Call, reply *Reply) error {
	var err error
	switch call.Op {
	case OpRead:
		var record outside.Record
		record, err = s.store.Get(ctx, call.Key)
		reply.Records = []outside.Record{record}
	case OpScan:
		var listing outside.Listing
		listing, err = s.store.List(ctx, call.Key)
		reply.Records, reply.Revision = listing.Records, listing.AsOf
	case OpScanStale:
		var listing outside.Listing
		listing, err = s.store.ListStale(ctx, call.Key)
		reply.Records, reply.Revision = listing.Records, listing.AsOf
	case OpFollow:
		reply.Records, reply.Revision, err = s.store.Watch(ctx, call.Key, call.After, call.Wait)
	case OpCommit:
		reply.Revision, err = s.store.Commit(ctx, call.Transaction)
	case OpGrant:
		reply.Lease, reply.TTL, err = s.store.Grant(ctx, call.Wait)
	case OpKeepAlive:
		err = s.store.KeepAlive(ctx, call.Lease)
	case OpRevoke:
		err = s.store.Revoke(ctx, call.Lease)
	}
	return err
}

// attempts are the attempts of one call that have been made so far, over this daemon's own
// connection and through other daemons.
type attempts struct {
	// mayBeApplied is set after an attempt that got no reply: the store may have applied
	// it, or may do so later.
	mayBeApplied bool
}

// record adds an attempt that failed and returns the error of the call. A refusal
// only holds for its own attempt, and does not show that an earlier one was not applied.
func (a *attempts) record(err error) error {
	isRefusal := errors.Is(err, outside.ErrRefused) || errors.Is(err, outside.ErrRateLimited) || errors.Is(err, outside.ErrTooLarge)
	if a.mayBeApplied && isRefusal {
		return errors.Wrapf(outside.ErrUnavailable, "an earlier attempt may be applied; the last one: %v", err)
	}
	a.mayBeApplied = a.mayBeApplied || errors.Is(err, outside.ErrUnavailable)
	return err
}

// callRelay makes a call through another daemon. An error other than errNoRelay
// comes from the store.
func (s *service) callRelay(ctx context.Context, call Call, reply *Reply, made *attempts) error {
	addresses := s.relays.addresses.Load()
	if addresses == nil {
		return errNoRelay
	}
	for range min(maxRelayAttempts, len(*addresses)) {
		if ctx.Err() != nil {
			break
		}
		index := s.relays.next.Load()
		address := (*addresses)[int(index)%len(*addresses)]
		callCtx, cancel := context.WithTimeout(ctx, call.Wait+relayMargin)
		*reply = Reply{}
		err := s.peers.Call(callCtx, address, rpcName+".Do", call, reply)
		cancel()
		if err == nil && reply.Relayed {
			s.metrics.Count("store.relayed", 1)
			return made.record(wireErrors[min(max(0, reply.Failure), len(wireErrors)-1)])
		}
		if err != nil && result.CodeOf(err) != result.PeerUnreachable {
			made.mayBeApplied = true
		}
		s.relays.next.CompareAndSwap(index, index+1)
	}
	return errNoRelay
}

// call makes a call over this daemon's own connection and, if the store is
// unavailable there, through another daemon. While the store is known to be
// unreachable, the other daemon is tried first; renewals of the session's lease
// still go to the store directly and detect when it is back.
//
// If an attempt may have been applied, a later refusal is returned as ErrUnavailable.
// After ErrConflict such an attempt may be the cause of the conflict.
func (s *service) call(ctx context.Context, metric string, timeout time.Duration, call Call) (Reply, error) {
	var reply Reply
	var made attempts
	_, reached := s.ReachedSince()
	if !reached && call.Op != OpKeepAlive && call.Op != OpGrant {
		if err := s.callRelay(ctx, call, &reply, &made); !errors.Is(err, errNoRelay) {
			return reply, err
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	started := time.Now()
	err := s.callStore(callCtx, call, &reply)
	cancel()
	if err != nil && ctx.Err() != nil {
		// A call that its caller canceled shows nothing about the store.
		return reply, made.record(err)
	}
	s.recordCall(metric, started, err)
	if _, reached = s.ReachedSince(); err == nil || !isUnavailable(err) && (reached || !errors.Is(err, outside.ErrRateLimited)) {
		return reply, made.record(err)
	}
	err = made.record(err)
	var relayReply Reply
	if relayErr := s.callRelay(ctx, call, &relayReply, &made); !errors.Is(relayErr, errNoRelay) {
		return relayReply, relayErr
	}
	return reply, made.record(err)
}
