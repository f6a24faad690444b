package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got: a status, or an error if there is no complete answer.
type answer struct {
	status     int
	retryAfter time.Duration
	body       string
	// received is when the first byte of the answer arrived.
	received time.Time
	err      error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status=%d, no complete answer: %v", a.status, a.err)
	}
	return fmt.Sprintf("status=%d bytes=%d", a.status, len(a.body))
}

// request is a client attempt.
type request struct {
	method, host, path, id string
	deadline               time.Duration
	wait                   time.Duration
	// key is the Idempotency-Key; empty if there is none.
	key  string
	body string
}

// send sends a client attempt to a daemon. The client leaves at its deadline.
func (w *world) send(client *http.Client, d *daemon, r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	outgoing, err := http.NewRequestWithContext(ctx, r.method, "http://"+d.front()+r.path, body)
	if err != nil {
		return answer{err: err}
	}
	// The client's own library must not repeat a request.
	outgoing.GetBody = nil
	outgoing.Host = r.host
	if r.id != "" {
		outgoing.Header.Set("Attempt-Id", r.id)
	}
	outgoing.Header.Set("Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		outgoing.Header.Set("Idempotency-Key", r.key)
	}
	if r.wait > 0 {
		outgoing.Header.Set("Wait-Ms", strconv.FormatInt(r.wait.Milliseconds(), 10))
	}
	response, err := client.Do(outgoing)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	got := answer{status: response.StatusCode, received: time.Now()}
	if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		got.retryAfter = time.Duration(after * float64(time.Second))
	}
	text, err := io.ReadAll(response.Body)
	got.body, got.err = string(text), err
	return got
}

// oneUse returns a client that opens a connection for each request.
func oneUse() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// jobBody is the body of a batch job of groups of two items.
func jobBody(id string, items int) string {
	var list []map[string]any
	for n := range items {
		item := fmt.Sprintf("%s-i%02d", id, n)
		list = append(list, map[string]any{
			"id": item, "path": trainPrefix + "3/" + item,
			"headers": map[string]string{"Model": modelName, "Token-Count": "1016,4260", "Prompt-Prefix": fmt.Sprintf("9c2e41:1000,%x:16", 0x5d07b8+n)},
			"body":    []byte("prompt of " + item), "tokens": 5276, "group": fmt.Sprintf("%s-g%d", id, n/2),
			"scoringEndpoint": map[string]any{"id": "score-" + item, "hostname": portalHost, "path": judgePrefix + item, "body": []byte("text")},
		})
	}
	text, err := json.Marshal(map[string]any{
		"trainStep": 0, "model": modelName, "minVersion": 1, "desiredCount": items / 2, "items": list,
	})
	if err != nil {
		cannotRun("%v", err)
	}
	return string(text)
}

type itemResult struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

type page struct {
	Total   int          `json:"total"`
	Next    int          `json:"next"`
	Results []itemResult `json:"results"`
}

// submit submits a batch job once.
func (w *world) submit(d *daemon, id string, items int, deadline time.Duration) answer {
	got := w.send(oneUse(), d, request{method: "POST", host: trainHost, path: trainPrefix + id, id: id, deadline: deadline, body: jobBody(id, items)})
	w.note("trainer: submission of %s at %s: %v", id, d.name, got)
	return got
}

// read reads the results of a batch job from a position.
func (w *world) read(d *daemon, id string, after int) (page, answer) {
	got := w.send(oneUse(), d, request{
		method: "GET", host: trainHost, path: fmt.Sprintf("/api/lots/%s?after=%d", id, after), deadline: 2500 * time.Millisecond, wait: time.Second,
	})
	var found page
	if got.err == nil && got.status == http.StatusOK {
		if err := json.Unmarshal([]byte(got.body), &found); err != nil {
			got.err = err
		}
	}
	w.note("trainer: read of %s after %d at %s: status=%d total=%d results=%d", id, after, d.name, got.status, found.Total, len(found.Results))
	return found, got
}
