package ledger

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// fakeRelays are daemons of which one reaches the store.
type fakeRelays struct {
	kernel.Base
	reaching string
	asked    []string
}

func (f *fakeRelays) Call(_ context.Context, address, _ string, _, reply any) error {
	f.asked = append(f.asked, address)
	*reply.(*Reply) = Reply{Relayed: address == f.reaching, Revision: 7}
	return nil
}

// TestCallRelay_MostDaemonsRefused lets the store refuse most daemons, the nearest
// among them. Further calls must find the one that reaches it, and keep to it also when
// the list of daemons changes.
func TestCallRelay_MostDaemonsRefused(t *testing.T) {
	relays := &fakeRelays{reaching: "e"}
	s := newFollower(&fakeUpstreams{}, false).service
	s.peers = relays
	s.SetRelays([]string{"a", "b", "c", "d", "e", "f"})
	for range 2 {
		must.ErrorIs(t, s.callRelay(t.Context(), Call{}, &Reply{}, &attempts{}), errNoRelay)
	}
	var reply Reply
	must.NoError(t, s.callRelay(t.Context(), Call{}, &reply, &attempts{}))
	must.Eq(t, outside.Revision(7), reply.Revision)
	s.SetRelays([]string{"a", "c", "e", "f"})
	must.NoError(t, s.callRelay(t.Context(), Call{}, &reply, &attempts{}))
	must.Eq(t, []string{"a", "b", "c", "d", "e", "e"}, relays.asked)
}
