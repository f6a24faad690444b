package ledger

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// rpcName is the receiver's name in net/rpc.
	rpcName = "Ledger"
	// relayWithin bounds a relayed call beyond the time that it may wait: a
	// round trip between regions and a call to the store.
	relayWithin = 700 * time.Millisecond
	// relayFollow is the longest wait of a relayed watch.
	relayFollow = time.Second
	// relayMost is how many daemons are asked for one call.
	relayMost = 2
)

// errNoRelay means that no daemon could make the call for this one.
var errNoRelay = errors.New("ledger: no daemon relays calls")

// relays are the addresses of daemons that may reach the store when this one
// does not, the nearest first.
type relays struct{ addresses atomic.Pointer[[]string] }

// SetRelays implements contract.TransactionalStore.
func (s *service) SetRelays(addresses []string) { s.relays.addresses.Store(&addresses) }

// Operation names a call of the store.
type Operation uint8

// The calls that are relayed.
const (
	OpRead Operation = iota
	OpScan
	OpFollow
	OpCommit
	OpGrant
	OpKeepAlive
	OpRevoke
)

// Call is a call that another daemon makes for this one.
type Call struct {
	Op          Operation
	Key         string
	After       outside.Revision
	Wait        time.Duration
	Lease       outside.LeaseID
	Transaction outside.Transaction
}

// Reply is what the store answered to a relayed call.
type Reply struct {
	// Relayed is false when the other daemon does not reach the store either.
	Relayed bool
	// Failure is an index into failures, or zero.
	Failure  int
	Records  []outside.Record
	Revision outside.Revision
	Lease    outside.LeaseID
	TTL      time.Duration
}

// failures are the errors that cross net/rpc by number.
var failures = []error{
	nil, outside.ErrNotFound, outside.ErrConflict, outside.ErrRateLimited, outside.ErrTooLarge,
	outside.ErrLeaseLost, outside.ErrRefused, outside.ErrCompacted, outside.ErrUnavailable,
}

func numberOf(err error) int {
	if err == nil {
		return 0
	}
	for number, failure := range failures {
		if failure != nil && errors.Is(err, failure) {
			return number
		}
	}
	return len(failures) - 1
}

// Receiver makes calls for daemons that do not reach the store.
type Receiver struct{ service *service }

// Do makes a call if this daemon reaches the store.
func (r *Receiver) Do(call Call, reply *Reply) error {
	if _, reached := r.service.ReachedSince(); !reached {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), call.Wait+relayWithin)
	defer cancel()
	err := r.service.direct(ctx, call, reply)
	reply.Relayed, reply.Failure = true, numberOf(err)
	return nil
}

// direct makes a call over this daemon's own connection.
func (s *service) direct(ctx context.Context, call Call, reply *Reply) error {
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

// relay has another daemon make a call. An error other than errNoRelay is the
// store's.
func (s *service) relay(ctx context.Context, call Call, reply *Reply) error {
	known := s.relays.addresses.Load()
	if known == nil {
		return errNoRelay
	}
	for i, address := range *known {
		if i == relayMost || ctx.Err() != nil {
			break
		}
		bounded, cancel := context.WithTimeout(ctx, call.Wait+relayWithin)
		*reply = Reply{}
		err := s.peers.Call(bounded, address, rpcName+".Do", call, reply)
		cancel()
		if err == nil && reply.Relayed {
			s.metrics.Count("store.relayed", 1)
			return failures[min(max(0, reply.Failure), len(failures)-1)]
		}
	}
	return errNoRelay
}

// do makes a call over the own connection and, where the store does not serve
// this daemon, through another one. While the store is lost the other daemon
// goes first; the renewal of the session finds out when it is back.
func (s *service) do(ctx context.Context, name string, limit time.Duration, call Call) (Reply, error) {
	var reply Reply
	_, reached := s.ReachedSince()
	if !reached && call.Op != OpKeepAlive && call.Op != OpGrant {
		if err := s.relay(ctx, call, &reply); !errors.Is(err, errNoRelay) {
			return reply, err
		}
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	started := time.Now()
	err := s.direct(bounded, call, &reply)
	cancel()
	if err != nil && ctx.Err() != nil {
		// A call that its own caller gave up says nothing of the store.
		return reply, err
	}
	s.saw(name, started, err)
	if err == nil || !isAbsence(err) {
		return reply, err
	}
	var relayed Reply
	if relayErr := s.relay(ctx, call, &relayed); !errors.Is(relayErr, errNoRelay) {
		return relayed, relayErr
	}
	return reply, err
}
