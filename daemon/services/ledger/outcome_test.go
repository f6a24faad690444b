package ledger

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// scriptedStore fails each commit with one error.
type scriptedStore struct {
	outside.TransactionalStore
	err error
}

func (s *scriptedStore) Commit(context.Context, outside.Transaction) (outside.Revision, error) {
	return 0, errors.WithStack(s.err)
}

// scriptedRelay is how a daemon answers a relayed call: with an error of the call, or
// with a reply.
type scriptedRelay struct {
	err   error
	reply Reply
}

// scriptedRelays answer the calls of a test in order.
type scriptedRelays struct {
	kernel.Base
	script []scriptedRelay
}

func (s *scriptedRelays) Call(_ context.Context, _, _ string, _, reply any) error {
	next := s.script[0]
	s.script = s.script[1:]
	*reply.(*Reply) = next.reply
	return next.err
}

func failedRelay(err error) scriptedRelay {
	return scriptedRelay{reply: Reply{Relayed: true, Failure: errorNumber(err)}}
}

// TestCommit_UnknownOutcomeIsNotHidden guards against a refusal that hides an earlier
// attempt of the same commit, which may have been applied: the batch job was answered
// 503 and ran.
func TestCommit_UnknownOutcomeIsNotHidden(t *testing.T) {
	lost := scriptedRelay{err: result.Wrap(result.OutcomeUnknown, context.DeadlineExceeded)}
	unsent := scriptedRelay{err: result.Wrap(result.PeerUnreachable, errors.New("connection refused"))}
	cutOff := scriptedRelay{}
	for name, test := range map[string]struct {
		// reaches is set if the daemon tries the store before its relays.
		reaches bool
		direct  error
		relays  []scriptedRelay
		want    error
	}{
		"direct lost, relay refused":          {reaches: true, direct: outside.ErrUnavailable, relays: []scriptedRelay{failedRelay(outside.ErrRefused)}, want: outside.ErrUnavailable},
		"direct lost, relay rate-limited":     {reaches: true, direct: outside.ErrUnavailable, relays: []scriptedRelay{failedRelay(outside.ErrRateLimited)}, want: outside.ErrUnavailable},
		"direct lost, second relay refused":   {reaches: true, direct: outside.ErrUnavailable, relays: []scriptedRelay{cutOff, failedRelay(outside.ErrRefused)}, want: outside.ErrUnavailable},
		"direct refused, relay lost":          {reaches: true, direct: outside.ErrRefused, relays: []scriptedRelay{lost, cutOff}, want: outside.ErrUnavailable},
		"relay lost, second relay refused":    {direct: outside.ErrRefused, relays: []scriptedRelay{lost, failedRelay(outside.ErrRefused)}, want: outside.ErrUnavailable},
		"relay lost, direct refused":          {direct: outside.ErrRefused, relays: []scriptedRelay{lost, cutOff, cutOff, cutOff}, want: outside.ErrUnavailable},
		"relay without reply, direct refused": {direct: outside.ErrRefused, relays: []scriptedRelay{failedRelay(outside.ErrUnavailable)}, want: outside.ErrUnavailable},
		"direct lost, relay in conflict":      {reaches: true, direct: outside.ErrUnavailable, relays: []scriptedRelay{failedRelay(outside.ErrConflict)}, want: outside.ErrConflict},
		"direct and relay refused":            {reaches: true, direct: outside.ErrRefused, relays: []scriptedRelay{failedRelay(outside.ErrRefused)}, want: outside.ErrRefused},
		"relay never reached, direct refused": {direct: outside.ErrRefused, relays: []scriptedRelay{unsent, cutOff, unsent, cutOff}, want: outside.ErrRefused},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFollower(&fakeUpstreams{}, test.reaches).service
			s.store, s.peers = &scriptedStore{err: test.direct}, &scriptedRelays{script: test.relays}
			s.SetRelays([]string{"a", "b", "c"})
			_, err := s.Commit(t.Context(), outside.Transaction{})
			must.ErrorIs(t, err, test.want)
			for _, other := range wireErrors[1:] {
				must.True(t, other == test.want || !errors.Is(err, other), must.Sprint(err))
			}
		})
	}
}
