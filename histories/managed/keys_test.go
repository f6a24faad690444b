package managed

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Keys of the workspaces "north", which has two, and "south".
const (
	northKey, secondNorthKey, southKey = "north-key-8wuakn2f", "north-key-a828m82t", "south-key-qnirth77"
)

type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func workspace(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "priority": 1}
}

// putWorkspaces writes a configuration with workspaces and a public route.
func (h *harness) putWorkspaces(version int, workspaces ...map[string]any) {
	h.workspaces = workspaces
	public := routeConfig("/judge/", "idempotent")
	public["authExempt"] = true
	h.putConfiguration(version, public, routeConfig("/status/", "idempotent"))
}

// newKeysHarness returns a harness with two workspaces and logs that are kept.
func newKeysHarness(t *testing.T, events int, pace time.Duration) (*harness, *syncBuffer) {
	h := newStandardHarness(t, events, pace)
	h.putWorkspaces(2, workspace("north", northKey, secondNorthKey), workspace("south", southKey))
	logs := &syncBuffer{}
	h.logs = logs
	return h, logs
}

func withKey(key string) map[string]string { return map[string]string{"X-Api-Key": key} }

func (d *daemon) look(id, key string) callerResponse {
	return d.call(http.MethodPost, "/status/1", id, withKey(key), "")
}

// checkIdentity checks that a request names this workspace, once, and contains no key.
func checkIdentity(t *testing.T, header http.Header, workspace string) {
	t.Helper()
	must.Eq(t, workspace, strings.Join(header["Tenant"], ","))
	must.StrNotContains(t, fmt.Sprint(header), "-key-")
}

// TestKeys_ServersLearnTheWorkspaceOnly forges the workspace in every way: by a header, by
// naming it in Connection, in the headers of items and on a public route. Neither servers,
// records of the store nor logs may show a key.
func TestKeys_ServersLearnTheWorkspaceOnly(t *testing.T) {
	h, logs := newKeysHarness(t, 3, time.Millisecond)
	plain := h.addPlain("plain-2")
	h.store.removeKey("servers/plain-1")
	d := h.startDaemon("daemon-1")
	forged := map[string]string{"X-Api-Key": northKey, "Tenant": "south", "Connection": "Tenant, X-Api-Key"}
	h.waitFor("a request is served", func() bool { return d.call(http.MethodPost, "/status/1", "look", forged, "").status == http.StatusOK })
	must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/judge/1", "public", forged, "").status)
	headers := plain.headersOf()
	checkIdentity(t, headers[0], "north")
	checkIdentity(t, headers[1], "")
	body := strings.ReplaceAll(jobBody("job-1", 0, 1, 1, 1), `"Model"`, `"tenant":"south","x-api-key":"`+southKey+`","Model"`)
	must.Eq(t, http.StatusAccepted, d.call(http.MethodPost, "/train/job-1", "job-1", forged, body).status)
	h.waitFor("the job is complete", func() bool {
		response := d.call(http.MethodGet, "/api/lots/job-1", "", withKey(secondNorthKey), "")
		return strings.Contains(response.body, "completed")
	})
	for _, e := range h.engines {
		for _, run := range e.observedRuns() {
			checkIdentity(t, run.header, "north")
		}
	}
	checkIdentity(t, plain.headersOf()[2], "")
	for _, key := range []string{northKey, secondNorthKey} {
		must.StrNotContains(t, logs.String(), key)
		for _, stored := range h.store.recordsUnder("flamingobeam/") {
			must.StrNotContains(t, string(stored.Value), key)
		}
	}
}

// TestKeys_Refused sends keys that no workspace has. No server may get such a request.
func TestKeys_Refused(t *testing.T) {
	h, logs := newKeysHarness(t, 1, time.Millisecond)
	d := h.startDaemon("daemon-1")
	const guessed = "guessed-key-1"
	for _, headers := range [][]string{nil, {""}, {guessed}, {northKey, southKey}, {northKey + " " + guessed}, {"\x80\xff"}, {strings.Repeat("k", 16<<10)}} {
		for _, path := range []string{"/status/1", "/train/job-1", "/api/lots/job-1"} {
			request, err := http.NewRequest(http.MethodGet, "http://"+d.address+path, nil)
			must.NoError(t, err)
			request.Host, request.Header["X-Api-Key"] = routeHostname, headers
			response, err := http.DefaultClient.Do(request)
			must.NoError(t, err)
			_ = response.Body.Close()
			must.Eq(t, http.StatusUnauthorized, response.StatusCode, must.Sprintf("%q %s", headers, path))
		}
	}
	must.StrNotContains(t, logs.String(), guessed)
	must.Eq(t, http.StatusOK, d.look("look", northKey).status)
}

// TestKeys_RevokedOnOpenConnection takes a key away and gives it back. It must be refused
// on a connection that was used with it, also after an older configuration comes again.
func TestKeys_RevokedOnOpenConnection(t *testing.T) {
	h, _ := newKeysHarness(t, 1, time.Millisecond)
	d := h.startDaemon("daemon-1")
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	status := func() int {
		request, err := http.NewRequest(http.MethodGet, "http://"+d.address+"/status/1", nil)
		must.NoError(t, err)
		request.Host = routeHostname
		request.Header.Set("X-Api-Key", northKey)
		response, err := client.Do(request)
		must.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response.StatusCode
	}
	must.Eq(t, http.StatusOK, status())
	h.putWorkspaces(4, workspace("north", secondNorthKey), workspace("south", southKey))
	h.waitFor("the key is refused", func() bool { return status() == http.StatusUnauthorized })
	h.putWorkspaces(3, workspace("north", northKey))
	for range 100 {
		must.Eq(t, http.StatusUnauthorized, status())
		must.Eq(t, http.StatusOK, d.look("look", southKey).status)
		time.Sleep(10 * time.Millisecond)
	}
	h.putWorkspaces(5, workspace("north", northKey))
	h.waitFor("a newer configuration names the key", func() bool { return status() == http.StatusOK })
}

// TestKeys_FlawedWorkspaceKeepsItsKeys writes a configuration in which one workspace cannot
// be used. The others follow it, and the flawed one keeps the keys that it had.
func TestKeys_FlawedWorkspaceKeepsItsKeys(t *testing.T) {
	h, logs := newKeysHarness(t, 1, time.Millisecond)
	d := h.startDaemon("daemon-1")
	const newKey = "south-key-new"
	h.putWorkspaces(3, workspace("north", secondNorthKey, "a key"), workspace("south", newKey), workspace("", "nobody"))
	h.waitFor("the new key is served", func() bool { return d.look("look-1", newKey).status == http.StatusOK })
	must.Eq(t, http.StatusUnauthorized, d.look("look-2", southKey).status)
	must.Eq(t, http.StatusOK, d.look("look-3", northKey).status)
	must.StrContains(t, logs.String(), "code=5005")
	must.StrNotContains(t, logs.String(), "a key")
}

// TestKeys_JobsOfOtherWorkspaces lets another workspace read, request a body of, end and
// submit a job. To it the job must not exist, at its owner and elsewhere; the job must go
// on and outlive its key. While the store is away nothing says that it does not exist.
func TestKeys_JobsOfOtherWorkspaces(t *testing.T) {
	h, _ := newKeysHarness(t, 40, 20*time.Millisecond)
	daemons := []*daemon{h.startDaemon("daemon-1"), h.startDaemon("daemon-2")}
	body := jobBody("job-1", 0, 1, 2, 1)
	submit := func(d *daemon, key string) int {
		return d.call(http.MethodPost, "/train/job-1", "job-1", withKey(key), body).status
	}
	read := func(d *daemon, key string) callerResponse {
		return d.call(http.MethodGet, "/api/lots/job-1", "", withKey(key), "")
	}
	must.Eq(t, http.StatusAccepted, submit(daemons[0], northKey))
	for _, d := range daemons {
		must.Eq(t, http.StatusNotFound, read(d, southKey).status)
		must.Eq(t, http.StatusNotFound, d.call(http.MethodGet, "/api/items/job-1?id=job-1-0", "", withKey(southKey), "").status)
		must.Eq(t, http.StatusNotFound, d.call(http.MethodDelete, "/api/lots/job-1", "", withKey(southKey), "").status)
		must.Eq(t, http.StatusNotFound, submit(d, southKey))
		must.Eq(t, http.StatusAccepted, submit(d, secondNorthKey))
		must.Eq(t, "prompt of job-1-0", d.call(http.MethodGet, "/api/items/job-1?id=job-1-0", "", withKey(secondNorthKey), "").body)
	}
	h.store.update(func(s *storeEmulator) { s.down = true })
	for _, d := range daemons {
		must.Eq(t, http.StatusServiceUnavailable, d.call(http.MethodGet, "/api/lots/job-unknown", "", withKey(northKey), "").status)
		must.NotEq(t, http.StatusNotFound, read(d, northKey).status)
	}
	h.store.update(func(s *storeEmulator) { s.down = false })
	h.putWorkspaces(3, workspace("north", secondNorthKey), workspace("south", southKey))
	for _, d := range daemons {
		h.waitFor("the job is complete", func() bool { return strings.Count(read(d, secondNorthKey).body, "completed") == 2 })
		h.waitFor("the first key is refused", func() bool { return read(d, northKey).status == http.StatusUnauthorized })
	}
}

// TestKeys_TextsStayInTheirWorkspace ends a job whose texts are unfinished. Another
// workspace that submits the same items must not get them.
func TestKeys_TextsStayInTheirWorkspace(t *testing.T) {
	h, _ := newKeysHarness(t, 60, 10*time.Millisecond)
	d := h.startDaemon("daemon-1")
	must.Eq(t, http.StatusAccepted, d.call(http.MethodPost, "/train/job-1", "job-1", withKey(northKey), jobBody("job-1", 0, 1, 1, 1)).status)
	h.waitFor("events are sent", func() bool {
		return len(h.engines[0].observedRuns())+len(h.engines[1].observedRuns()) > 0
	})
	time.Sleep(200 * time.Millisecond)
	must.Eq(t, http.StatusOK, d.call(http.MethodDelete, "/api/lots/job-1", "", withKey(northKey), "").status)
	must.Eq(t, http.StatusAccepted, d.call(http.MethodPost, "/train/job-2", "job-2", withKey(southKey), jobBody("job-1", 0, 1, 1, 1)).status)
	h.waitFor("the second job is complete", func() bool {
		return strings.Contains(d.call(http.MethodGet, "/api/lots/job-2", "", withKey(southKey), "").body, "completed")
	})
	must.False(t, h.hasResumedRun())
}

// TestKeys_StrictRevocation cuts the only daemon off from the store, takes a key away and
// restores the link. Where revocation is strict, requests with keys must be refused as not
// run once the key must be refused, and served again after the cut, but not with that key.
func TestKeys_StrictRevocation(t *testing.T) {
	t.Parallel()
	const within = 2 * time.Second
	h, _ := newKeysHarness(t, 1, time.Millisecond)
	server := h.addPlain("plain-2")
	h.store.removeKey("servers/plain-1")
	p := h.startProcessOf(daemonBinary, "daemon-1", "bounds.strictRevoke=true", fmt.Sprintf("bounds.revokeMs=%d", within.Milliseconds()))
	h.waitFor("both keys are served", func() bool {
		return p.look("before-1", northKey).status == http.StatusOK && p.look("before-2", southKey).status == http.StatusOK
	})
	p.storeProxy.setCut(true)
	h.putWorkspaces(3, workspace("north", secondNorthKey), workspace("south", southKey))
	revoked := time.Now()
	statuses := make(map[string]int)
	look := func(key string) int {
		id := fmt.Sprint("look-", len(statuses))
		statuses[id] = p.look(id, key).status
		return statuses[id]
	}
	for since := time.Duration(0); since < 2*within; since = time.Since(revoked) {
		north, south := look(northKey), look(southKey)
		if since >= within {
			must.Eq(t, http.StatusServiceUnavailable, north)
			must.Eq(t, http.StatusServiceUnavailable, south)
		}
		must.Eq(t, http.StatusOK, p.call(http.MethodPost, "/judge/1", "public", nil, "").status)
		time.Sleep(20 * time.Millisecond)
	}
	p.storeProxy.setCut(false)
	h.waitFor("the other workspace is served again", func() bool {
		// Many, as a key might be accepted for a moment only.
		for range 50 {
			must.SliceContains(t, []int{http.StatusServiceUnavailable, http.StatusUnauthorized}, look(northKey))
		}
		return look(southKey) == http.StatusOK
	})
	for range 50 {
		must.Eq(t, http.StatusUnauthorized, look(northKey))
		must.Eq(t, http.StatusOK, look(secondNorthKey))
	}
	for _, id := range server.requests() {
		status, known := statuses[id]
		must.True(t, !known || status == http.StatusOK, must.Sprintf("%s was answered %d and ran", id, status))
	}
}
