package managed

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// route asks where a request of a workspace would go.
func (d *daemon) route(t *testing.T, question contract.RouteQuestion) contract.RouteExplanation {
	t.Helper()
	question.Host = routeHostname
	if question.Method == "" {
		question.Method = http.MethodPost
	}
	code, body := d.ask(t, contract.PathRoute+"?"+question.Query().Encode())
	must.Eq(t, http.StatusOK, code, must.Sprint(string(body)))
	must.StrNotContains(t, string(body), "-key-")
	var explanation contract.RouteExplanation
	must.NoError(t, json.Unmarshal(body, &explanation))
	return explanation
}

// counters returns the counters that requests change.
func (d *daemon) counters(t *testing.T) []string {
	t.Helper()
	_, body := d.ask(t, "/metrics")
	return slices.DeleteFunc(strings.Split(string(body), "\n"), func(line string) bool {
		name, _, _ := strings.Cut(line, " ")
		isOfRequests := slices.ContainsFunc([]string{"gate.", "dispatch.", "hedging.", "retries.", "limits.", "balance.refused", "jobs.", "intake."}, func(prefix string) bool {
			return strings.HasPrefix(name, prefix)
		})
		return !isOfRequests || !strings.HasSuffix(name, ".count")
	})
}

// whyNot returns why a server was passed over.
func whyNot(explanation contract.RouteExplanation, server string) string {
	for _, candidate := range explanation.Candidates {
		if string(candidate.Server) == server {
			return candidate.PassedOver
		}
	}
	return "not a candidate"
}

// checkRefusal checks that a response is the refusal that was forecast.
func checkRefusal(t *testing.T, explanation contract.RouteExplanation, got callerResponse) {
	t.Helper()
	must.NotNil(t, explanation.Refusal)
	must.Eq(t, explanation.Refusal.Status, got.status)
	must.Eq(t, fmt.Sprintf(`{"code":%d}`, explanation.Refusal.Code), got.body)
	after := ""
	if explanation.Refusal.RetryAfterSeconds > 0 {
		after = fmt.Sprintf("%.2f", explanation.Refusal.RetryAfterSeconds)
	}
	must.Eq(t, after, got.header.Get("Retry-After"))
}

// TestRoute_HoldsForTheRequest asks where requests would go and sends them. The server that
// was named must get the request, and the refusal that was named must come. Questions
// change no counter.
func TestRoute_HoldsForTheRequest(t *testing.T) {
	h := newHarness(t)
	h.workspaces = []map[string]any{workspace("north", northKey)}
	h.putConfiguration(3, routeConfig("/status/", "idempotent"))
	near, far := h.addPlain("plain-near"), h.addPlain("plain-far")
	entry := serverEntry(plainService, far.server.Listener.Addr().String(), "ready", nil, 0)
	entry["zone"] = "zone-b"
	h.store.put("servers/plain-far", entry)
	d := h.startDaemon("daemon-1")
	h.awaitMembers(1)
	h.waitFor("it serves", func() bool { return d.look("first", northKey).status == http.StatusOK })
	status := contract.RouteQuestion{Path: "/status/1", Workspace: "north"}

	before := d.counters(t)
	explanation := d.route(t, status)
	for range 20 {
		must.Eq(t, explanation.Chosen, d.route(t, status).Chosen)
	}
	must.Eq(t, before, d.counters(t))
	must.Nil(t, explanation.Refusal)
	must.Eq(t, 3, explanation.ConfigurationVersion)
	must.Eq(t, "/status/", explanation.Route)
	must.Eq(t, "plain-near", string(explanation.Chosen))
	must.StrContains(t, whyNot(explanation, "plain-far"), "nearer")
	must.NotNil(t, explanation.Hedge)
	must.Eq(t, http.StatusOK, d.look("look-1", northKey).status)
	must.SliceContains(t, near.requests(), "look-1")

	near.announce("Server-Limit", "0.1")
	h.waitFor("the limit is used up", func() bool {
		d.look("press", northKey)
		return d.route(t, status).Chosen == "plain-far"
	})
	must.StrContains(t, whyNot(d.route(t, status), "plain-near"), "limit of 0.1 requests")
	must.Eq(t, http.StatusOK, d.look("look-2", northKey).status)
	must.SliceContains(t, far.requests(), "look-2")
	must.SliceNotContains(t, near.requests(), "look-2")

	d.storeProxy.setCut(true)
	must.Eq(t, "plain-far", string(d.route(t, status).Chosen))
	must.SliceEmpty(t, d.status(t).Missing)
	checkRefusal(t, d.route(t, contract.RouteQuestion{Path: "/status/1", Workspace: "nobody"}), d.look("look-3", "unknown"))
	checkRefusal(t, d.route(t, contract.RouteQuestion{Path: "/nowhere"}), d.call(http.MethodPost, "/nowhere", "look-4", withKey(northKey), ""))
}

// TestRoute_QueueAndRefusalOfFullService fills a service whose servers do not respond. The
// place in the queue and the refusal must be what requests then get.
func TestRoute_QueueAndRefusalOfFullService(t *testing.T) {
	h := newHarness(t)
	h.workspaces = []map[string]any{workspace("north", northKey)}
	patient := routeConfig("/claims/", "non_idempotent")
	patient["timeoutMs"] = 60000
	h.putConfiguration(1, patient)
	p := h.addPlain("plain-1")
	release := make(chan struct{})
	hold := func(http.ResponseWriter, *http.Request) bool { <-release; return false }
	p.update(func() { p.faults = slices.Repeat([]func(http.ResponseWriter, *http.Request) bool{hold}, 1000) })
	d := h.startDaemon("daemon-1")
	defer close(release)
	question := contract.RouteQuestion{Path: "/claims/1", Workspace: "north", Timeout: time.Minute}
	header := map[string]string{"X-Api-Key": northKey, "Deadline-Ms": "60000"}
	var sent, ended atomic.Int64
	ends := make(chan callerResponse, 1000)
	send := func() {
		id := fmt.Sprintf("claim-%d", sent.Add(1))
		go func() {
			ends <- d.call(http.MethodPost, "/claims/1", id, header, "")
			ended.Add(1)
		}()
	}
	waiting := func() int {
		for _, queue := range d.status(t).Queues {
			if queue.Service == plainService {
				return queue.Running + queue.Waiting
			}
		}
		return 0
	}
	fill := func(isEnough func(contract.RouteExplanation) bool) contract.RouteExplanation {
		for {
			explanation := d.route(t, question)
			if isEnough(explanation) {
				return explanation
			}
			send()
			h.waitFor("the request runs or waits", func() bool { return ended.Load() > 0 || waiting() == int(sent.Load()) })
			select {
			case end := <-ends:
				t.Fatalf("a request has ended while the server holds all: %d %v %s, forecast %+v", end.status, end.err, end.body, explanation)
			default:
			}
		}
	}
	explanation := fill(func(e contract.RouteExplanation) bool { return e.Admission != nil && e.Admission.Queue > 0 })
	must.Eq(t, 1, explanation.Admission.Queue)
	must.Eq(t, explanation.Admission.Places, explanation.Admission.Running)
	send()
	h.waitFor("one waits", func() bool { return ended.Load() > 0 || waiting() == int(sent.Load()) })
	must.Eq(t, 2, d.route(t, question).Admission.Queue)

	explanation = fill(func(e contract.RouteExplanation) bool { return e.Refusal != nil })
	must.Zero(t, ended.Load())
	checkRefusal(t, explanation, d.call(http.MethodPost, "/claims/1", "claim-refused", header, ""))
}

// TestRoute_OwnerAndEngineOfJob asks two daemons for the owner of a job, and the owner for the
// engine of its item, and submits the job.
func TestRoute_OwnerAndEngineOfJob(t *testing.T) {
	h, _ := newKeysHarness(t, 20, 5*time.Millisecond)
	first, second := h.startTwoDaemons()
	question := contract.RouteQuestion{Path: "/train/job-1", Workspace: "north", Model: modelName, MinVersion: 1}
	owners := map[string]*daemon{"daemon-1": first, "daemon-2": second}
	h.waitFor("engines run the model", func() bool {
		return first.route(t, question).Chosen != "" && second.route(t, question).Chosen != ""
	})
	owner := first.route(t, question).Job.Owner
	must.Eq(t, owner, second.route(t, question).Job.Owner)
	explanation := owners[owner].route(t, question)
	must.Eq(t, explanation.Chosen, first.route(t, question).Chosen)
	must.Eq(t, explanation.Chosen, second.route(t, question).Chosen)
	must.SliceEmpty(t, second.route(t, contract.RouteQuestion{Method: http.MethodGet, Path: "/api/lots/job-1"}).Candidates)
	must.Eq(t, 20.0, explanation.Job.DueSeconds)
	must.Len(t, 2, explanation.Candidates)
	submitted := first.call(http.MethodPost, "/train/job-1", "job-1", withKey(northKey), jobBody("job-1", 1, 1, 1, 1))
	must.Eq(t, http.StatusAccepted, submitted.status)
	must.Eq(t, owner, h.jobOwner("job-1"))
	h.waitFor("the item runs", func() bool {
		return slices.ContainsFunc(h.engines, func(e *engine) bool { return len(e.observedRuns()) > 0 })
	})
	for _, e := range h.engines {
		must.Eq(t, e.id == string(explanation.Chosen), len(e.observedRuns()) > 0)
	}
	must.NotEq(t, "", whyNot(owners[owner].route(t, contract.RouteQuestion{Path: "/train/job-2", Workspace: "north", Model: modelName, MinVersion: 9}), "engine-1"))
}

// TestRoute_OwnerOfEarlierRelease asks for the owner of jobs whose daemon does not know the
// question. The answer must name it and say that its view is missing.
func TestRoute_OwnerOfEarlierRelease(t *testing.T) {
	h := newStandardHarness(t, 1, time.Millisecond)
	daemons := h.startReleases([2]string{daemonBinary, earlierRelease(t, "9634fe6")})
	var explanation contract.RouteExplanation
	h.waitFor("the earlier release owns a model", func() bool {
		for i := range 50 {
			question := contract.RouteQuestion{Path: "/train/job", Model: structs.ServiceName(fmt.Sprint("model-", i))}
			explanation = daemons[0].route(t, question)
			if explanation.Job.Owner == "daemon-2" {
				return true
			}
		}
		return false
	})
	must.StrContains(t, strings.Join(explanation.Notes, "; "), "the owner did not answer")
	must.Len(t, 2, explanation.Candidates)
}
