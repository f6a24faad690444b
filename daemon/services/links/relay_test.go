package links

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// fakeSession is a session with a fixed view.
type fakeSession struct {
	contract.Session
	view *kernel.Snapshot[contract.SessionView]
}

func (f fakeSession) View() *kernel.Snapshot[contract.SessionView] { return f.view }

// newRelayClient returns a service that knows some daemons.
func newRelayClient(members ...membership.Member) *service {
	live := make(map[string]membership.Member)
	for _, member := range members {
		live[member.Name] = member
	}
	return &service{
		session:                 fakeSession{view: kernel.NewSnapshot(&contract.SessionView{Live: live})},
		avoidedHelpers:          make(map[string]time.Time),
		relayTransport:          transport.New(transport.Options{DialTimeout: time.Second, MaxIdlePerHost: 1}),
		singleUseRelayTransport: transport.New(transport.Options{DialTimeout: time.Second, SingleUse: true}),
	}
}

func buildGet(ctx context.Context) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodGet, "http://server/claims/1", nil)
}

// TestRelayThrough_HelperBreaksOff guards against a request that reaches a helper twice:
// its connection ends after it has passed the request on.
func TestRelayThrough_HelperBreaksOff(t *testing.T) {
	var received atomic.Int64
	helper := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer helper.Close()
	member := membership.Member{Name: "helper.1", RelayAddress: strings.TrimPrefix(helper.URL, "http://"), RelaysOnce: true}
	s := newRelayClient(member)
	response, _, err := s.relayThrough(t.Context(), member, contract.Exchange{Repeatable: true, Build: buildGet})
	must.NoError(t, err)
	transport.Discard(response)
	_, isFinal, err := s.relayThrough(t.Context(), member, contract.Exchange{Build: buildGet})
	must.Error(t, err)
	must.True(t, isFinal)
	must.Eq(t, 2, received.Load())
}

// TestHelpers_EarlierRelease checks that a request that must not be repeated is not sent
// through a helper of an earlier release, which might send it twice.
func TestHelpers_EarlierRelease(t *testing.T) {
	var earlier, current membership.Member
	must.NoError(t, json.Unmarshal([]byte(`{"name":"old.1","peers":"p","relay":"a","zone":"z"}`), &earlier))
	must.NoError(t, json.Unmarshal([]byte(`{"name":"new.1","peers":"p","relay":"b","relays_once":true,"zone":"z"}`), &current))
	s := newRelayClient(earlier, current)
	must.Len(t, 2, s.helpers(false))
	must.Eq(t, []membership.Member{current}, s.helpers(true))
}

// TestRelayThrough_RepeatableHeader checks that only helpers that know the header get it:
// others would pass it on to the server. Without it a request is sent once.
func TestRelayThrough_RepeatableHeader(t *testing.T) {
	for name, test := range map[string]struct {
		helper     membership.Member
		repeatable bool
		want       string
	}{
		"current helper":               {helper: membership.Member{RelaysOnce: true}, repeatable: true, want: "1"},
		"current helper, at most once": {helper: membership.Member{RelaysOnce: true}},
		"helper of an earlier release": {helper: membership.Member{}, repeatable: true},
	} {
		t.Run(name, func(t *testing.T) {
			var got string
			helper := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Get(headerRepeatable) }))
			defer helper.Close()
			test.helper.RelayAddress = strings.TrimPrefix(helper.URL, "http://")
			response, _, err := newRelayClient().relayThrough(t.Context(), test.helper, contract.Exchange{Repeatable: test.repeatable, Build: buildGet})
			must.NoError(t, err)
			transport.Discard(response)
			must.Eq(t, test.want, got)
		})
	}
}
