package managed

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// addFaultyEngine adds an engine that handles each item with a function, for as long as
// the caller keeps the connection.
func (h *harness) addFaultyEngine(id string, handle func(w http.ResponseWriter, r *http.Request)) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !checkInstance(w, r, id) {
			return
		}
		if r.Method != http.MethodPost {
			writeJSON(w, map[string]any{"models": []map[string]any{{"name": modelName, "version": 1}}})
			return
		}
		item := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", item)
		w.Header().Set("Server-Stamp", serverStamp(item))
		w.Header().Set("Weight-Versions", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		handle(w, r)
	}))
	h.t.Cleanup(server.CloseClientConnections)
	entry := serverEntry(engineService, server.Listener.Addr().String(), "ready", []map[string]any{{"name": modelName, "version": 1}}, 0)
	entry["version"] = "v1"
	h.store.put("servers/"+id, entry)
}

// writeBlocks writes blocks of a stream, 16 MB a second at most, until the caller closes
// the connection.
func writeBlocks(w http.ResponseWriter, r *http.Request, block func(number int) string) {
	for number := 1; r.Context().Err() == nil; number++ {
		if _, err := fmt.Fprint(w, block(number)); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		<-time.After(time.Millisecond)
	}
}

// TestManaged_EndlessEngineStreams lets one of two engines send bytes without end to each
// item. The daemon must close these streams and hold little of them, and the other engine
// must complete the job within the time that its route allows.
func TestManaged_EndlessEngineStreams(t *testing.T) {
	const blockBytes, maxHeap = 16 << 10, 64 << 20
	filler := strings.Repeat("x", blockBytes)
	lines := strings.Repeat(": x\n", blockBytes/4)
	emptyLines := strings.Repeat("\n", blockBytes)
	for name, block := range map[string]func(number int) string{
		"events":       func(number int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", number, filler) },
		"empty events": func(number int) string { return fmt.Sprintf("id: %d\n\n", number) },
		"event":        func(int) string { return filler },
		"comments":     func(int) string { return lines },
		"empty lines":  func(int) string { return emptyLines },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.putConfiguration(1)
			h.addPlain("plain-1")
			h.addEngine("engine-1", 20, 20*time.Millisecond)
			h.addFaultyEngine("engine-2", func(w http.ResponseWriter, r *http.Request) { writeBlocks(w, r, block) })
			d := h.startDaemon("daemon-1")
			submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 8, 1))
			runtime.GC()
			started := time.Now()
			var results []itemResult
			var peak uint64
			h.waitFor("the job is complete", func() bool {
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapAlloc)
				must.Less(t, resultDeadline, time.Since(started), must.Sprintf("%d results, peak %d MB", len(results), peak>>20))
				page, _ := d.fetchResults("job-1", len(results))
				results = append(results, page.Results...)
				return len(results) == 8
			})
			h.checkResults("job-1", results, 20, 1)
			must.Less(t, maxHeap, peak)
			t.Logf("peak heap %d MB", peak>>20)
		})
	}
}

// TestManaged_EmptyEventsBeforeCut guards against texts that are listed without their
// beginning: one of two engines sends events without data and breaks off before there are
// too many of them. The other engine must not continue after these.
func TestManaged_EmptyEventsBeforeCut(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1)
	h.addPlain("plain-1")
	h.addEngine("engine-1", 20, 20*time.Millisecond)
	h.addFaultyEngine("engine-2", func(w http.ResponseWriter, r *http.Request) {
		for number := 1; number <= 10; number++ {
			_, _ = fmt.Fprintf(w, "id: %d\n\n", number)
		}
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 8, 1))
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 8), 20, 1)
}
