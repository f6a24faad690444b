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

// slowPortal is a plain service that executes a submission at once and blocks before
// it finishes the response.
type slowPortal struct {
	*service.Service
	blockingPortal
}

func (s *slowPortal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Handler().ServeHTTP(w, r)
	if r.Method != http.MethodPost {
		return
	}
	s.entered <- struct{}{}
	<-s.release
}

// httpResult is the result of an HTTP request.
type httpResult struct {
	code, outcome string
	status        int
	body          []byte
	err           error
}

func postRequest(address, path, key, body string) httpResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/workspaces/audit/"+path, strings.NewReader(body))
	if err != nil {
		return httpResult{err: err}
	}
	request.Header.Set("Idempotency-Key", key)
	got, err := http.DefaultClient.Do(request)
	if err != nil {
		return httpResult{err: err}
	}
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	return httpResult{
		code: got.Header.Get("Flamingobeam-Code"), outcome: got.Header.Get("Flamingobeam-Outcome"),
		status: got.StatusCode, body: text, err: err,
	}
}

// busyDaemon is a daemon with a submission and a rollout in flight. The engine's
// streams of the rollout have stalled.
type busyDaemon struct {
	portal              *slowPortal
	engine              *engine.Engine
	kernel              *kernel.Kernel
	address             string
	submission, rollout chan httpResult
}

func startBusyDaemon(t *testing.T, stopWithin time.Duration) *busyDaemon {
	b := &busyDaemon{
		portal:     &slowPortal{Service: service.New("portal-1"), blockingPortal: blockingPortal{entered: make(chan struct{}), release: make(chan struct{})}},
		engine:     engine.New(engine.DefaultOptions()),
		submission: make(chan httpResult, 1),
		rollout:    make(chan httpResult, 1),
	}
	b.engine.SetFaults(engine.Faults{StallAfter: 2})
	fleet := store.NewFleet(0)
	addServer(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, b.portal)
	addServer(t, fleet, structs.BackendServer{Name: "judge-1", Place: ashanti, Service: "judge"}, service.New("judge-1").Handler())
	addServer(t, fleet, structs.BackendServer{Name: "engine-1", Place: ashanti, Service: "assessor", Kind: structs.KindEngine}, b.engine.Handler())
	platform := httptest.NewServer(store.Handler(store.New(store.DefaultLimits(), 1), fleet))
	t.Cleanup(platform.Close)
	peer, _ := startHost(t, fleet, platform.Listener.Addr().String(), "ashanti-2")
	t.Cleanup(func() { stopDaemon(t, peer) })
	b.kernel, b.address = startHost(t, fleet, platform.Listener.Addr().String(), "ashanti-1", stopWithin)
	createDocument(t, b.kernel)
	awaitSnapshot(hostView(t, b.kernel), func(v *contract.HostView) bool { return len(v.Services) == 3 && len(v.Daemons) == 2 })
	for _, service := range []structs.ServiceName{"portal", "judge", "assessor"} {
		awaitServers(t, b.kernel, service, 1)
	}
	checkLookup(t, b.address)
	go func() { b.submission <- postRequest(b.address, "service/submissions", "key-1", "claim") }()
	select {
	case <-b.portal.entered:
	case got := <-b.submission:
		t.Fatalf("the submission ended early: %s", got.body)
	}
	go func() {
		b.rollout <- postRequest(b.address, "rollouts", "", `{"group":"g","prompt":"p","max_tokens":40}`)
	}()
	for b.streams() == 0 {
		select {
		case got := <-b.rollout:
			t.Fatalf("the rollout ended early: %s", got.body)
		case <-time.After(time.Millisecond):
		}
	}
	return b
}

// streams counts the engine's streams that have generated tokens.
func (b *busyDaemon) streams() int {
	count := 0
	for _, record := range b.engine.Records() {
		if len(record.Spans) > 0 {
			count++
		}
	}
	return count
}

// stop starts a shutdown and returns once the daemon reports itself unready or
// refuses connections. The channel receives the result of the shutdown.
func (b *busyDaemon) stop() chan error {
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

// checkSubmission checks that the submission ran once and got its full response.
func (b *busyDaemon) checkSubmission(t *testing.T) {
	t.Helper()
	got := <-b.submission
	must.NoError(t, got.err)
	must.Eq(t, service.ReceiptOf("key-1", "claim"), string(got.body))
	must.Len(t, 1, b.portal.Runs())
}

// TestShutdown_CompletesRequestsInFlight guards against a shutdown that cuts off a
// rollout or a submission that can finish in time.
func TestShutdown_CompletesRequestsInFlight(t *testing.T) {
	b := startBusyDaemon(t, time.Hour)
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

// TestShutdown_AbortsSlowRollout stops a daemon whose rollout does not end in time.
// The caller must learn that the rollout may have run, and the submission must still
// complete.
func TestShutdown_AbortsSlowRollout(t *testing.T) {
	b := startBusyDaemon(t, 200*time.Millisecond)
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
