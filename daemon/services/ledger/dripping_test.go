package ledger

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

// schedulingMargin is added to time limits for a busy machine.
const schedulingMargin = 2 * time.Second

// TestCall_DrippingStore calls a store whose responses never end but bring a byte now
// and then. Each call must end at its time limit, and the store count as unreachable.
func TestCall_DrippingStore(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for r.Context().Err() == nil {
			if _, err := w.Write([]byte(" ")); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			<-ticker.C
		}
	}))
	t.Cleanup(server.Close)
	calls := map[string]struct {
		limit time.Duration
		call  func(*service) error
	}{
		"read": {callTimeout, func(s *service) error {
			_, err := s.Get(t.Context(), "key")
			return err
		}},
		"watch": {100*time.Millisecond + watchReplyMargin, func(s *service) error {
			_, _, err := s.Watch(t.Context(), "prefix/", 1, 100*time.Millisecond)
			return err
		}},
		"commit": {callTimeout, func(s *service) error {
			_, err := s.Commit(t.Context(), outside.Transaction{Writes: []outside.Write{{Key: "key"}}})
			return err
		}},
		"renewal": {leaseCallTimeout, func(s *service) error { return s.KeepAlive(t.Context(), 1) }},
	}
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFollower(&fakeUpstreams{}, true).service
			s.connectivity.Load().watchContext, s.connectivity.Load().cancelWatches = context.WithCancel(t.Context())
			connections := transport.New(transport.Options{DialTimeout: callTimeout})
			defer connections.CloseIdleConnections()
			s.store = platform.NewStore(strings.TrimPrefix(server.URL, "http://"), connections)
			started := time.Now()
			must.ErrorIs(t, c.call(s), outside.ErrUnavailable)
			must.LessEq(t, c.limit+schedulingMargin, time.Since(started))
			_, isReached := s.ReachedSince()
			must.False(t, isReached)
		})
	}
}
