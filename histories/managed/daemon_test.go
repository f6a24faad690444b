// Package managed tests whole daemons against stand-ins of a managed platform:
// its store, its servers and its trainers, all over HTTP on loopback.
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
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/agent"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

const host = "claims.example"

// link passes bytes on between a daemon and the store until it is cut.
type link struct {
	listener net.Listener
	mu       sync.Mutex
	cut      bool
	open     map[net.Conn]bool
}

func newLink(t *testing.T, to string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := &link{listener: listener, open: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(conn, to)
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); l.set(true) })
	return l
}

func (l *link) pass(conn net.Conn, to string) {
	defer conn.Close()
	far, err := net.Dial("tcp", to)
	if err != nil || !l.add(conn, far) {
		return
	}
	defer far.Close()
	go func() { _, _ = io.Copy(far, conn); _ = far.Close() }()
	_, _ = io.Copy(conn, far)
}

func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.open[conn] = true
	}
	return !l.cut
}

// set cuts the link, which resets what is open, or heals it.
func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for conn := range l.open {
			_ = conn.Close()
		}
		clear(l.open)
	}
}

// daemon is a whole daemon in this process.
type daemon struct {
	kernel  *kernel.Kernel
	address string
	ready   string
	link    *link
}

// Ports of this package: below those that the system gives to outgoing
// connections, and each is handed out once.
const (
	firstPort = 24000
	lastPort  = 29999
)

var nextPort atomic.Int64

// freePorts finds ports that nothing listens on.
func freePorts(t *testing.T, count int) []int {
	var ports []int
	for len(ports) < count {
		port := firstPort + int(nextPort.Add(1))
		must.LessEq(t, lastPort, port)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		must.NoError(t, listener.Close())
		ports = append(ports, port)
	}
	return ports
}

func (w *world) start(name string) *daemon {
	ports := freePorts(w.t, 4)
	d := &daemon{
		link:    newLink(w.t, w.store.address()),
		address: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1]),
	}
	settings, err := platform.ParseHostConfig([]byte(d.settings(name, ports[2])))
	must.NoError(w.t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	d.kernel = agent.NewManaged(agent.RoleEntry, agent.ManagedConfig(settings, ports[3]), log)
	must.NoError(w.t, d.kernel.Start(context.Background()))
	w.daemons = append(w.daemons, d)
	stopped := false
	w.t.Cleanup(func() {
		if !stopped {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = d.kernel.Stop(ctx)
		}
	})
	w.until("daemon "+name+" is ready", func() bool { return d.isReady() })
	return d
}

func (d *daemon) isReady() bool {
	got, err := http.Get("http://" + d.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = got.Body.Close()
	return got.StatusCode == http.StatusOK
}

// until waits for a condition; one that never holds ends with the test's time.
func (w *world) until(what string, holds func() bool) {
	w.t.Helper()
	for !holds() {
		select {
		case <-w.t.Context().Done():
			w.t.Fatalf("never: %s", what)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// configure writes a version of the configuration.
func (w *world) configure(version int, routes ...map[string]any) {
	all := append([]map[string]any{
		{"name": "jobs", "hostname": host, "pathPrefix": "/train/", "routeType": "rollout", "service": engineService,
			"targetLatencyMs": 400, "resultDeadlineMs": 20000, "itemTtlS": 60, "maxAttempts": 3, "timeoutMs": 30000},
		{"name": "judge", "hostname": host, "pathPrefix": "/judge/", "routeType": "idempotent", "service": plainService,
			"targetLatencyMs": 1000, "timeoutMs": 10000, "maxAttempts": 4},
	}, routes...)
	// A route of the test goes before the usual one of its prefix.
	slices.Reverse(all)
	w.store.put("op/config", map[string]any{
		"version": version, "routes": all,
		"services": []map[string]any{
			{"name": engineService, "healthPath": "/healthz", "maxConnections": 100,
				"engine": map[string]any{"slots": 8, "stride": 64, "models": []map[string]any{{"name": modelName}}}},
			{"name": plainService, "healthPath": "/healthz", "maxConnections": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func route(prefix, kind string) map[string]any {
	return map[string]any{"name": prefix, "hostname": host, "pathPrefix": prefix, "routeType": kind, "service": plainService,
		"targetLatencyMs": 250, "timeoutMs": 5000, "maxAttempts": 3}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (d *daemon) call(method, path, id string, header map[string]string, body string) answer {
	request, err := http.NewRequest(method, "http://"+d.address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	if id != "" {
		request.Header.Set("Attempt-Id", id)
	}
	request.Header.Set("Deadline-Ms", "5000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	return answer{status: got.StatusCode, header: got.Header, body: string(text), err: err}
}

// jobOf is the body of a batch job with items named after it.
func jobOf(id string, step, minVersion, groups, size int) string {
	var items []map[string]any
	for i := range groups * size {
		item := fmt.Sprintf("%s-%d", id, i)
		items = append(items, map[string]any{
			"id": item, "path": "/train/" + item, "headers": map[string]string{"Model": modelName, "Token-Count": "100,400"},
			"body": []byte("prompt of " + item), "tokens": 500, "group": fmt.Sprintf("%s-g%d", id, i/size),
			"scoringEndpoint": map[string]any{"id": "judge-" + item, "hostname": host, "path": "/judge/" + item, "body": []byte("judge")},
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

// result is a result as a trainer reads it.
type result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Output   string   `json:"output"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

func (d *daemon) results(id string, after int) (page, int) {
	got := d.call(http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, after), "", map[string]string{"Wait-Ms": "200"}, "")
	var read page
	if got.status == http.StatusOK {
		if err := json.NewDecoder(bytes.NewBufferString(got.body)).Decode(&read); err != nil {
			return read, 0
		}
	}
	return read, got.status
}

// whole reads a job until every item is listed. A 404 is never right.
func (w *world) whole(d *daemon, id string, total int) []result {
	w.t.Helper()
	var all []result
	w.until("job "+id+" is whole", func() bool {
		read, status := d.results(id, len(all))
		must.NotEq(w.t, http.StatusNotFound, status)
		all = append(all, read.Results...)
		return len(all) == total
	})
	return all
}

// check holds that the results of a job are whole, judged and made by versions
// that the job allows.
func (w *world) check(id string, results []result, events int, oldest uint64) {
	w.t.Helper()
	seen := make(map[string]bool)
	for _, r := range results {
		must.False(w.t, seen[r.ID], must.Sprintf("%s stands twice", r.ID))
		seen[r.ID] = true
		must.StrHasPrefix(w.t, id, r.ID)
		must.Eq(w.t, "completed", r.State)
		must.Eq(w.t, textOf(r.ID, events), r.Output)
		must.Eq(w.t, stamp("judge-"+r.ID), r.Score)
		must.SliceNotEmpty(w.t, r.Versions)
		for _, version := range r.Versions {
			must.GreaterEq(w.t, oldest, version)
		}
	}
}
