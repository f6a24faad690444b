package links

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

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
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &service{
		log: logrus.NewEntry(log), metrics: noMetrics{},
		session:                 fakeSession{view: kernel.NewSnapshot(&contract.SessionView{Live: live})},
		avoidedHelpers:          make(map[string]time.Time),
		relayTransport:          transport.New(transport.Options{DialTimeout: time.Second, MaxIdlePerHost: 1}),
		singleUseRelayTransport: transport.New(transport.Options{DialTimeout: time.Second, SingleUse: true}),
	}
}

// buildGet builds a request whose caller has set a header that is for daemons only.
func buildGet(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://server/claims/1", nil)
	request.Header.Set(headerRepeatable, "yes")
	return request, err
}

func buildPost(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://server/status/1", strings.NewReader("body"))
	request.GetBody = nil
	return request, err
}

// noMetrics drops all metrics.
type noMetrics struct{ contract.Metrics }

func (noMetrics) Count(string, int64) {}

func (noMetrics) Time(string, time.Duration) {}

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

// TestRelay_UnknownOutcomeIsNotHidden guards against reporting a look-up as not sent that
// one helper may have passed on, because the others refuse it.
func TestRelay_UnknownOutcomeIsNotHidden(t *testing.T) {
	var attempts atomic.Int64
	respond := func(w http.ResponseWriter, _ *http.Request) {
		if attempts.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		refuseRelayed(w, refusalBusy)
	}
	var members []membership.Member
	for _, name := range []string{"first.1", "second.1"} {
		helper := httptest.NewServer(http.HandlerFunc(respond))
		defer helper.Close()
		members = append(members, membership.Member{Name: name, RelayAddress: strings.TrimPrefix(helper.URL, "http://"), RelaysOnce: true})
	}
	_, err := newRelayClient(members...).relay(t.Context(), contract.Exchange{Repeatable: true, Build: buildPost})
	must.Error(t, err)
	must.Eq(t, 2, attempts.Load())
	must.False(t, transport.IsDialFailure(err))
}

// memberOfEarlierRelease is membership.Member without the fields that were added since.
type memberOfEarlierRelease struct {
	Name         string `json:"name"`
	RPCAddress   string `json:"peers"`
	RelayAddress string `json:"relay,omitempty"`
	Zone         string `json:"zone"`
}

// TestMember_ReadByEarlierRelease checks that an earlier release reads the record of a
// daemon of this one.
func TestMember_ReadByEarlierRelease(t *testing.T) {
	encoded, err := json.Marshal(membership.Member{Name: "new.1", RPCAddress: "p", RelayAddress: "b", RelaysOnce: true, IsStopping: true, Zone: "z"})
	must.NoError(t, err)
	var read memberOfEarlierRelease
	must.NoError(t, json.Unmarshal(encoded, &read))
	must.Eq(t, memberOfEarlierRelease{Name: "new.1", RPCAddress: "p", RelayAddress: "b", Zone: "z"}, read)
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
