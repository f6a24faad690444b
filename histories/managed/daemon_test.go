// Package managed tests whole daemons against emulators of a managed platform,
// its store, its backend servers and its trainers, over HTTP on loopback.
package managed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/agent"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

// routeHostname is the hostname of all routes.
const routeHostname = "claims.example"

// storeProxy forwards TCP connections from a daemon to the store until it is cut.
type storeProxy struct {
	listener net.Listener
	mu       sync.Mutex
	isCut    bool
	conns    map[net.Conn]bool
}

func newStoreProxy(t *testing.T, storeAddress string) *storeProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &storeProxy{listener: listener, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn, storeAddress)
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); p.setCut(true) })
	return p
}

func (p *storeProxy) forward(conn net.Conn, storeAddress string) {
	defer conn.Close()
	storeConn, err := net.Dial("tcp", storeAddress)
	if err != nil || !p.addConns(conn, storeConn) {
		return
	}
	defer storeConn.Close()
	go func() { _, _ = io.Copy(storeConn, conn); _ = storeConn.Close() }()
	_, _ = io.Copy(conn, storeConn)
}

func (p *storeProxy) addConns(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
	return !p.isCut
}

// setCut cuts the link and closes its connections, or restores it.
func (p *storeProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	if cut {
		for conn := range p.conns {
			_ = conn.Close()
		}
		clear(p.conns)
	}
}

// daemon is a daemon that runs in the process of the test.
type daemon struct {
	kernel       *kernel.Kernel
	address      string
	readyAddress string
	// metricsAddress is the operators' address.
	metricsAddress string
	storeProxy     *storeProxy
}

// startDaemon starts a daemon in this process and waits until it is ready.
func (h *harness) startDaemon(name string) *daemon { return h.startDaemonWith(name, nil) }

// startDaemonWith starts a daemon that opens its connections to servers with dial.
func (h *harness) startDaemonWith(name string, dial config.DialFunc) *daemon {
	ports := freePorts(h.t, 3)
	d := &daemon{
		storeProxy: newStoreProxy(h.t, h.store.address()),
		address:    fmt.Sprintf("127.0.0.1:%d", ports[0]), readyAddress: fmt.Sprintf("127.0.0.1:%d", ports[1]),
		metricsAddress: fmt.Sprintf("127.0.0.1:%d", ports[2]),
	}
	settings, err := platform.ParseHostConfig([]byte(d.hostConfig(name, freePortRange(h.t))))
	must.NoError(h.t, err)
	log := logrus.New()
	var last lastLines
	log.SetOutput(&last)
	if h.logs != nil {
		log.SetOutput(io.MultiWriter(h.logs, &last))
	}
	h.t.Cleanup(func() {
		if h.t.Failed() {
			h.t.Logf("log of %s:\n%s", name, last.String())
		}
	})
	daemonConfig := agent.ManagedConfig(settings, ports[2])
	daemonConfig.Platform.DialServer = dial
	d.kernel = agent.NewManaged(agent.RoleEntry, daemonConfig, log)
	must.NoError(h.t, d.kernel.Start(context.Background()))
	h.daemons = append(h.daemons, d)
	stopped := false
	h.t.Cleanup(func() {
		if !stopped {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = d.kernel.Stop(ctx)
		}
	})
	h.waitFor("daemon "+name+" is ready", func() bool { return d.isReady() })
	return d
}

func (d *daemon) isReady() bool {
	response, err := http.Get("http://" + d.readyAddress + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitFor polls until the condition holds. There is no timeout of its own: a
// condition that never holds blocks until the timeout of go test.
func (h *harness) waitFor(description string, condition func() bool) {
	h.t.Helper()
	for !condition() {
		select {
		case <-h.t.Context().Done():
			h.t.Fatalf("condition not met: %s", description)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// putConfiguration writes a version of the configuration with the default routes
// and the given ones.
func (h *harness) putConfiguration(version int, routes ...map[string]any) {
	allRoutes := append([]map[string]any{
		{"name": "jobs", "hostname": routeHostname, "pathPrefix": "/train/", "routeType": "rollout", "service": engineService,
			"targetLatencyMs": 400, "resultDeadlineMs": 20000, "itemTtlS": 60, "maxAttempts": 3, "timeoutMs": 30000},
		{"name": "judge", "hostname": routeHostname, "pathPrefix": "/judge/", "routeType": "idempotent", "service": plainService,
			"targetLatencyMs": 1000, "timeoutMs": 10000, "maxAttempts": 4},
	}, routes...)
	// The given routes precede the default route of the same prefix.
	slices.Reverse(allRoutes)
	h.putRoutes(version, allRoutes)
}

// putRoutes writes a configuration with exactly these routes.
func (h *harness) putRoutes(version int, routes []map[string]any) {
	h.putRoutesWithin(version, 1<<20, routes)
}

// putRoutesWithin is putRoutes with another limit of a request's body, in bytes.
func (h *harness) putRoutesWithin(version, maxBody int, routes []map[string]any) {
	configuration := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": engineService, "healthPath": "/healthz", "maxConnections": 100,
				"engine": map[string]any{"slots": 8, "stride": 64, "models": []map[string]any{{"name": modelName}}}},
			{"name": plainService, "healthPath": "/healthz", "maxConnections": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if h.workspaces != nil {
		configuration["tenants"] = h.workspaces
	}
	h.store.put("op/config", configuration)
}

// routeConfig returns a route to the plain service.
func routeConfig(prefix, routeType string) map[string]any {
	return map[string]any{"name": prefix, "hostname": routeHostname, "pathPrefix": prefix, "routeType": routeType, "service": plainService,
		"targetLatencyMs": 250, "timeoutMs": 5000, "maxAttempts": 3}
}

// callerResponse is the response that a caller received, or the error.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to the daemon on a connection of its own. An empty id sends
// no Attempt-Id.
func (d *daemon) call(method, path, id string, header map[string]string, body string) callerResponse {
	request, err := http.NewRequest(method, "http://"+d.address+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	request.Host = routeHostname
	if id != "" {
		request.Header.Set("Attempt-Id", id)
	}
	request.Header.Set("Deadline-Ms", "5000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// jobBody returns the body of a batch job whose item IDs begin with the job's ID.
func jobBody(id string, step, minVersion, groups, groupSize int) string {
	var items []map[string]any
	for i := range groups * groupSize {
		item := fmt.Sprintf("%s-%d", id, i)
		items = append(items, map[string]any{
			"id": item, "path": "/train/" + item, "headers": map[string]string{"Model": modelName, "Token-Count": "100,400"},
			"body": []byte("prompt of " + item), "tokens": 500, "group": fmt.Sprintf("%s-g%d", id, i/groupSize),
			"scoringEndpoint": map[string]any{"id": "judge-" + item, "hostname": routeHostname, "path": "/judge/" + item, "body": []byte("judge")},
		})
	}
	encoded, err := json.Marshal(map[string]any{
		"trainStep": step, "model": modelName, "minVersion": minVersion, "desiredCount": groups, "items": items,
	})
	if err != nil {
		panic(err)
	}
	return string(encoded)
}

// itemResult is the result of an item in the response to a trainer.
type itemResult struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Output   string   `json:"output"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

// resultPage is a page of a job's results.
type resultPage struct {
	Total   int          `json:"total"`
	Next    int          `json:"next"`
	Results []itemResult `json:"results"`
}

// fetchResults reads the results of a job after a position and returns the HTTP
// status.
func (d *daemon) fetchResults(id string, after int) (resultPage, int) {
	response := d.call(http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, after), "", map[string]string{"Wait-Ms": "200"}, "")
	var page resultPage
	if response.status == http.StatusOK {
		if err := json.NewDecoder(bytes.NewBufferString(response.body)).Decode(&page); err != nil {
			return page, 0
		}
	}
	return page, response.status
}

// fetchAllResults reads a job until every item has a result. The status 404 fails
// the test, as the job exists.
func (h *harness) fetchAllResults(d *daemon, id string, total int) []itemResult {
	h.t.Helper()
	var results []itemResult
	h.waitFor("job "+id+" is complete", func() bool {
		page, status := d.fetchResults(id, len(results))
		must.NotEq(h.t, http.StatusNotFound, status)
		results = append(results, page.Results...)
		return len(results) == total
	})
	return results
}

// checkResults checks that results are listed once, completed and scored, that
// their texts are complete, and that no weight version is below the job's minimum.
func (h *harness) checkResults(id string, results []itemResult, events int, minVersion uint64) {
	h.t.Helper()
	seenIDs := make(map[string]bool)
	for _, r := range results {
		must.False(h.t, seenIDs[r.ID], must.Sprintf("%s is listed twice", r.ID))
		seenIDs[r.ID] = true
		must.StrHasPrefix(h.t, id, r.ID)
		must.Eq(h.t, "completed", r.State)
		must.Eq(h.t, outputText(r.ID, events), r.Output)
		must.Eq(h.t, serverStamp("judge-"+r.ID), r.Score)
		must.SliceNotEmpty(h.t, r.Versions)
		for _, version := range r.Versions {
			must.GreaterEq(h.t, minVersion, version)
		}
	}
}
