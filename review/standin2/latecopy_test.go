package standin2

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The disruption of case "late-copy": windows of garbleFor, garbleEvery apart, in which
// garbleShare of the answers of one of the two servers come a second time, late.
const (
	garbleWindows = 8
	garbleFor     = 5 * time.Second
	garbleEvery   = 6 * time.Second
	garbleShare   = 0.03
)

// claimClients are the clients of the entry hosts of each zone: the share
// of connections is uneven.
var claimClients = []int{1, 1, 2}

const submitHost = "ficu95.example"

func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// lateCopy sends claims that may not be repeated to a service whose servers are full at
// times. It checks rules REFUSED and TWICE.
func lateCopy(d *deployment, trouble bool) (broken bool, verdict string, err error) {
	const service = "claims-portal"
	d.store.put("op/config", configuration(1, []map[string]any{{
		"name": "claims", "hostname": submitHost, "pathPrefix": "/claims/", "routeType": "non_idempotent", "service": service,
		"timeoutMs": 3000, "targetLatencyMs": 400, "priority": 0, "maxAttempts": 4,
	}}, []map[string]any{
		{"name": service, "healthPath": "/healthz", "maxConnections": 100},
		{"name": "claims-archive", "healthPath": "/healthz", "maxConnections": 100},
	}))
	random := rand.New(rand.NewPCG(7, 7))
	var randomMu sync.Mutex
	work := func() time.Duration {
		randomMu.Lock()
		defer randomMu.Unlock()
		return time.Duration(10+random.IntN(30)) * time.Millisecond
	}
	// The second service is idle: one of two servers is faulty.
	var servers []*plainServer
	for i, name := range []string{service, "claims-archive"} {
		address := d.serverAddress()
		s, err := startPlain(fmt.Sprintf("i-%04x", 100+i), zones[i], address, 6, 2, work, uint64(i+1), d.record)
		if err != nil {
			return false, "", err
		}
		servers = append(servers, s)
		d.register(name, s.id, s.zone, address, s.slots)
	}
	if err := d.startDaemons(); err != nil {
		return false, "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), garbleWindows*garbleEvery+time.Second)
	defer cancel()
	var clients sync.WaitGroup
	for i, host := range d.hosts {
		for n := range claimClients[i%len(claimClients)] {
			clients.Add(1)
			go func() {
				defer clients.Done()
				submitClaims(ctx, d, host, n)
			}()
		}
	}
	for range garbleWindows {
		servers[0].setFaulty(trouble, garbleShare)
		time.Sleep(garbleFor)
		servers[0].setFaulty(false, 0)
		time.Sleep(garbleEvery - garbleFor)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return judgeClaims(d, servers)
}

// submitClaims submits claims one after the other, each once, from a client in the zone of
// a host.
func submitClaims(ctx context.Context, d *deployment, host *entryHost, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 5 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s%s%02d%08d", host.zone[:2], host.name[len(host.name)-1:], n, i)
		request, _ := http.NewRequest(http.MethodPost, "http://"+host.callers()+"/claims/c"+id, strings.NewReader("claim "+id))
		request.GetBody = nil
		request.Host = submitHost
		request.Header.Set("Attempt-Id", id)
		request.Header.Set("Deadline-Ms", "3000")
		d.record.add("sent", id, host.name)
		response, err := client.Do(request)
		if err != nil {
			d.record.add("failed", id, err.Error())
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		detail := fmt.Sprintf("%d", response.StatusCode)
		if response.StatusCode == http.StatusOK && (err != nil || string(body) != "result of "+id) {
			detail += " with another body"
		}
		d.record.add("answered", id, detail)
		time.Sleep(5 * time.Millisecond)
	}
}

// judgeClaims finds claims that were refused and have run, and claims that ran twice.
func judgeClaims(d *deployment, servers []*plainServer) (bool, string, error) {
	runs, answers := make(map[string]int), make(map[string]string)
	for _, e := range d.record.all() {
		switch e.what {
		case "run":
			runs[e.id]++
		case "answered":
			answers[e.id] = e.detail
		}
	}
	var refused, twice, foreign []string
	for id, answer := range answers {
		switch {
		case runs[id] > 0 && (answer == "429" || answer == "503" || answer == "408" || answer == "421"):
			refused = append(refused, id)
		case strings.Contains(answer, "another"):
			foreign = append(foreign, id)
		}
	}
	for id, count := range runs {
		if count > 1 {
			twice = append(twice, id)
		}
	}
	counts := make(map[string]int)
	for _, answer := range answers {
		counts[answer]++
	}
	verdict := fmt.Sprintf("claims: %d answered %v; refusals of servers: %d, second copies: %d\nREFUSED: %d claims were answered as not run and ran: %v\nTWICE: %d claims ran twice: %v\nMIXED: %d: %v",
		len(answers), counts, servers[0].refusals, servers[0].copies, len(refused), refused, len(twice), twice, len(foreign), foreign)
	return len(refused)+len(twice)+len(foreign) > 0, verdict, nil
}
