package standin2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// trainHost and trainPath are the route of the batch job, and judgePath that of others.
	trainHost = "pule252.example"
	trainPath = "/pule252/"
	// takeoverItems are the items of the job, and textEvents and eventPause the length and
	// the pace of their texts.
	takeoverItems = 8
	textEvents    = 60
	eventPause    = 100 * time.Millisecond
	// killAfter is how long after the acceptance the owner is killed, and restartAfter when
	// it is started again. stepDeadline is when the results are due.
	killAfter    = 3 * time.Second
	restartAfter = 500 * time.Millisecond
	stepDeadline = 30 * time.Second
	// contactTime is contactMs, and idleTime the time of the rule.
	contactTime = 4 * time.Second
	idleTime    = 5 * time.Second
)

// startEngine starts a model server that generates texts as streams of events.
func startEngine(id, address string, record *journal) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{
			"stage": "dual", "models": []map[string]any{{"name": "m0", "version": 1, "loraAdapters": []string{}}}, "busy": false, "sequence": 0,
			"queueDepth": 0, "activeCount": 0, "kvUsed": 0, "kvTotal": 114094, "handles": 0,
		})
	})
	mux.HandleFunc("POST /api/order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get("Attempt-Id")
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		record.add("run", attempt, fmt.Sprintf("%s after event %d", id, last))
		w.Header().Set("Attempt-Id", attempt)
		w.Header().Set("Server-Stamp", stamp(id, attempt))
		w.Header().Set("Weight-Versions", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for n := last + 1; n <= textEvents; n++ {
			select {
			case <-time.After(eventPause):
			case <-r.Context().Done():
				record.add("dropped", attempt, fmt.Sprintf("%s at event %d", id, n))
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s event %d\n\n", n, attempt, n)
			if control.Flush() != nil {
				record.add("dropped", attempt, fmt.Sprintf("%s at event %d", id, n))
				return
			}
		}
		record.add("finished", attempt, id)
	})
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}

// jobText returns the body of a batch job.
func jobText() []byte {
	var items []map[string]any
	for i := range takeoverItems {
		items = append(items, map[string]any{
			"id": fmt.Sprintf("e5b2907c14da6f%02d", i), "path": fmt.Sprintf("/pule252/3/%d", i),
			"headers": map[string]string{"Model": "m0", "Token-Count": "1016,4300", "Prompt-Prefix": "9c2e41:1000,5d07b8:16"},
			"body":    "q83vEjRWeJA=", "tokens": 5316, "group": fmt.Sprintf("g%d", i/4),
		})
	}
	text, _ := json.Marshal(map[string]any{"trainStep": 0, "model": "m0", "minVersion": 1, "desiredCount": 2, "items": items})
	return text
}

func callJobs(host *entryHost, method, path, id string, body []byte) (int, []byte) {
	request, _ := http.NewRequest(method, "http://"+host.callers()+path, strings.NewReader(string(body)))
	request.Host = trainHost
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, text
}

// ownerOf returns the host whose daemon runs a job, by its log.
func ownerOf(d *deployment, id string) *entryHost {
	for _, h := range d.hosts {
		text, _ := os.ReadFile(d.folder + "/" + h.name + ".log")
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, "Batch job adopted.") && strings.Contains(line, `"`+id+`"`) {
				return h
			}
		}
	}
	return nil
}

// takeover kills the daemon that runs a batch job with the given ID. It checks rule LOST.
func takeover(id string) func(d *deployment, trouble bool) (bool, string, error) {
	return func(d *deployment, trouble bool) (bool, string, error) {
		d.store.put("op/config", configuration(1, []map[string]any{{
			"name": "train", "hostname": trainHost, "pathPrefix": trainPath, "routeType": "rollout", "service": "assessor-models",
			"timeoutMs": 10000, "targetLatencyMs": 400, "resultDeadlineMs": stepDeadline.Milliseconds(), "itemTtlS": 60, "priority": 0, "maxAttempts": 3,
		}}, []map[string]any{{
			"name": "assessor-models", "healthPath": "/healthz", "maxConnections": 140,
			"engine": map[string]any{"slots": 8, "stride": 71, "kvCapacityTokens": 114094, "models": []map[string]any{{"name": "m0", "version": 1}}},
		}}))
		for i, zone := range zones {
			engine, address := fmt.Sprintf("i-%04x", 200+i), d.serverAddress()
			if err := startEngine(engine, address, d.record); err != nil {
				return false, "", err
			}
			d.store.put("servers/"+engine, map[string]any{
				"service": "assessor-models", "address": address, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
				"sequence": 1, "born": time.Now().UnixMilli(), "stage": "dual", "models": []map[string]any{{"name": "m0", "version": 1, "loraAdapters": []string{}}},
			})
		}
		if err := d.startDaemons(); err != nil {
			return false, "", err
		}
		status, _ := callJobs(d.hosts[0], http.MethodPost, trainPath+"a", id, jobText())
		d.record.add("submitted", id, strconv.Itoa(status))
		if status != http.StatusAccepted {
			return false, "", fmt.Errorf("the job was not accepted: %d", status)
		}
		accepted := time.Now()
		time.Sleep(killAfter)
		owner := ownerOf(d, id)
		if owner == nil {
			return false, "", fmt.Errorf("no daemon runs the job")
		}
		var restarting sync.WaitGroup
		if trouble {
			d.record.add("killed", owner.name, "")
			owner.kill()
			restarting.Go(func() {
				time.Sleep(restartAfter)
				_ = owner.writeSettings(d.folder, d.storeAddress, false)
				_ = owner.start(d.folder)
			})
		}
		listed, last := 0, ""
		for time.Since(accepted) < stepDeadline+1500*time.Millisecond && listed < takeoverItems {
			time.Sleep(500 * time.Millisecond)
			for _, h := range d.hosts {
				status, text := callJobs(h, http.MethodGet, "/api/lots/"+url.PathEscape(id)+"?after=0", "r"+strconv.FormatInt(time.Now().UnixNano(), 16), nil)
				var page struct {
					Results []json.RawMessage `json:"results"`
				}
				_ = json.Unmarshal(text, &page)
				listed = max(listed, len(page.Results))
				last = fmt.Sprintf("%s %d with %d results", h.name, status, len(page.Results))
			}
			d.record.add("read", id, last)
		}
		restarting.Wait()
		deadline := accepted.Sub(d.record.began) + stepDeadline
		steady := accepted.Sub(d.record.began) + killAfter + restartAfter + contactTime
		idle := idleItems(d.record, steady, deadline)
		verdict := fmt.Sprintf("job %q: %d of %d items listed %.1f s after the acceptance\nLOST: %d items were not finished and at no server for %v of steady state before the step ran out of time: %v",
			id, listed, takeoverItems, time.Since(accepted).Seconds(), len(idle), idleTime, idle)
		return len(idle) > 0, verdict, nil
	}
}

// idleItems returns the items that no server has finished by the deadline and that were at
// no server for idleTime before it, since the deployment was steady.
func idleItems(record *journal, steady, deadline time.Duration) []string {
	running, finished, idleSince := make(map[string]int), make(map[string]bool), make(map[string]time.Duration)
	for _, e := range record.all() {
		if e.at > deadline {
			break
		}
		switch e.what {
		case "run":
			running[e.id]++
		case "dropped", "finished":
			running[e.id]--
			idleSince[e.id] = e.at
			finished[e.id] = finished[e.id] || e.what == "finished"
		}
	}
	var idle []string
	for id, count := range running {
		if !finished[id] && count == 0 && deadline-max(steady, idleSince[id]) >= idleTime {
			idle = append(idle, id)
		}
	}
	slices.Sort(idle)
	return idle
}
