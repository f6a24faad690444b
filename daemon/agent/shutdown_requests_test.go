package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/engine"
	"github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// slowPortal is a plain service that holds each submission after it ran it.
type slowPortal struct {
	*service.Service
	portal
}

func (s *slowPortal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Handler().ServeHTTP(w, r)
	if r.Method != http.MethodPost {
		return
	}
	s.entered <- struct{}{}
	<-s.release
}

// received is an answer as its caller got it.
type received struct {
	code, outcome string
	status        int
	body          []byte
	err           error
}

func post(address, path, key, body string) received {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/workspaces/audit/"+path, strings.NewReader(body))
	if err != nil {
		return received{err: err}
	}
	request.Header.Set("Idempotency-Key", key)
	got, err := http.DefaultClient.Do(request)
	if err != nil {
		return received{err: err}
	}
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	return received{
		code: got.Header.Get("Flamingobeam-Code"), outcome: got.Header.Get("Flamingobeam-Outcome"),
		status: got.StatusCode, body: text, err: err,
	}
}

// busy is a daemon in the middle of a submission and of a rollout whose streams
// make no more tokens.
type busy struct {
	portal              *slowPortal
	engine              *engine.Engine
	kernel              *kernel.Kernel
	address             string
	submission, rollout chan received
}

func startBusy(t *testing.T, stopWithin time.Duration) *busy {
	b := &busy{
		portal:     &slowPortal{Service: service.New("portal-1"), portal: portal{entered: make(chan struct{}), release: make(chan struct{})}},
		engine:     engine.New(engine.DefaultOptions()),
		submission: make(chan received, 1),
		rollout:    make(chan received, 1),
	}
	b.engine.SetFaults(engine.Faults{StallAfter: 2})
	fleet := store.NewFleet(0)
	list(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, b.portal)
	list(t, fleet, structs.BackendServer{Name: "judge-1", Place: ashanti, Service: "judge"}, service.New("judge-1").Handler())
	list(t, fleet, structs.BackendServer{Name: "engine-1", Place: ashanti, Service: "assessor", Kind: structs.KindEngine}, b.engine.Handler())
	platform := httptest.NewServer(store.Handler(store.New(store.DefaultLimits(), 1), fleet))
	t.Cleanup(platform.Close)
	mate, _ := startHost(t, fleet, platform.Listener.Addr().String(), "ashanti-2")
	t.Cleanup(func() { stop(t, mate) })
	b.kernel, b.address = startHost(t, fleet, platform.Listener.Addr().String(), "ashanti-1", stopWithin)
	create(t, b.kernel)
	await(served(t, b.kernel), func(v *contract.HostView) bool { return len(v.Services) == 3 && len(v.Daemons) == 2 })
	for _, service := range []structs.ServiceName{"portal", "judge", "assessor"} {
		awaitServers(t, b.kernel, service, 1)
	}
	lookUp(t, b.address)
	go func() { b.submission <- post(b.address, "service/submissions", "key-1", "claim") }()
	select {
	case <-b.portal.entered:
	case got := <-b.submission:
		t.Fatalf("the submission ended early: %s", got.body)
	}
	go func() { b.rollout <- post(b.address, "rollouts", "", `{"group":"g","prompt":"p","max_tokens":40}`) }()
	for b.streams() == 0 {
		select {
		case got := <-b.rollout:
			t.Fatalf("the rollout ended early: %s", got.body)
		case <-time.After(time.Millisecond):
		}
	}
	return b
}

// streams counts the streams that have made tokens.
func (b *busy) streams() int {
	count := 0
	for _, record := range b.engine.Records() {
		if len(record.Spans) > 0 {
			count++
		}
	}
	return count
}

// stop returns once the daemon says that it is stopping, or takes no more
// connections.
func (b *busy) stop() chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- b.kernel.Stop(context.Background()) }()
	for ready := true; ready; {
		got, err := http.Get("http://" + b.address + "/healthz/ready")
		ready = err == nil && got.StatusCode == http.StatusOK
		if err == nil {
			_ = got.Body.Close()
		}
	}
	return stopped
}

// checkSubmission holds that the submission was answered whole and ran once.
func (b *busy) checkSubmission(t *testing.T) {
	t.Helper()
	got := <-b.submission
	must.NoError(t, got.err)
	must.Eq(t, service.ReceiptOf("key-1", "claim"), string(got.body))
	must.Len(t, 1, b.portal.Runs())
}

// TestShutdown_RolloutAndSubmissionAreAnsweredWhole stops a daemon in the
// middle of both and lets them go on.
func TestShutdown_RolloutAndSubmissionAreAnsweredWhole(t *testing.T) {
	b := startBusy(t, time.Hour)
	stopped := b.stop()
	b.engine.SetFaults(engine.Faults{})
	close(b.portal.release)
	b.checkSubmission(t)
	got := <-b.rollout
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status, must.Sprintf("%s", got.body))
	var reply contract.RolloutReply
	must.NoError(t, json.Unmarshal(got.body, &reply))
	must.Len(t, 2, reply.Samples)
	must.NoError(t, <-stopped)
}

// TestShutdown_RolloutThatGoesOnIsBrokenOffTruthfully stops a daemon whose
// rollout does not end in time; the submission is still answered.
func TestShutdown_RolloutThatGoesOnIsBrokenOffTruthfully(t *testing.T) {
	b := startBusy(t, 200*time.Millisecond)
	stopped := b.stop()
	got := <-b.rollout
	must.NoError(t, got.err)
	must.Eq(t, "4006", got.code)
	must.Eq(t, string(result.MayHaveRun), got.outcome)
	must.StrContains(t, string(got.body), "stopping")
	close(b.portal.release)
	b.checkSubmission(t)
	must.NoError(t, <-stopped)
}
