package managed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// writeEndlessly hijacks the connection, writes a start and then a block again and
// again until the peer closes the connection.
func writeEndlessly(w http.ResponseWriter, start, block string) bool {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	for _, err = conn.Write([]byte(start)); err == nil; {
		_, err = conn.Write([]byte(block))
	}
	return true
}

// responseStart returns the start of a response to a request.
func responseStart(r *http.Request, status string) string {
	return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nServer-Stamp: s\r\n"
}

// TestManaged_EndlessResponses lets the first server send bytes without end that
// are no response. The caller must get the response of the second server, and the
// first must see its connection closed.
func TestManaged_EndlessResponses(t *testing.T) {
	for name, fault := range map[string]func(w http.ResponseWriter, r *http.Request) bool{
		"garbage": func(w http.ResponseWriter, _ *http.Request) bool { return writeEndlessly(w, "", "no response ") },
		"header line": func(w http.ResponseWriter, r *http.Request) bool {
			return writeEndlessly(w, responseStart(r, "200 OK")+"X: ", "xxxxxxxxxxxxxxxx")
		},
		"header lines": func(w http.ResponseWriter, r *http.Request) bool {
			return writeEndlessly(w, responseStart(r, "200 OK"), "X: xxxxxxxxxxxxx\r\n")
		},
		"informational responses": func(w http.ResponseWriter, _ *http.Request) bool {
			return writeEndlessly(w, "", "HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n")
		},
		"body of a failure": func(w http.ResponseWriter, r *http.Request) bool {
			return writeEndlessly(w, responseStart(r, "500 Internal Server Error")+"\r\n", "xxxxxxxxxxxxxxxx")
		},
		"body of a refusal": func(w http.ResponseWriter, r *http.Request) bool {
			return writeEndlessly(w, responseStart(r, "503 Service Unavailable")+"Not-Executed: 1\r\n\r\n", "xxxxxxxxxxxxxxxx")
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newStandardHarness(t, 1, time.Millisecond)
			p := h.addPlain("plain-2")
			d := h.startDaemon("daemon-1")
			closed := make(chan struct{})
			p.mu.Lock()
			p.faults = append(p.faults, func(w http.ResponseWriter, r *http.Request) bool {
				defer close(closed)
				return fault(w, r)
			})
			p.mu.Unlock()
			isUsed := func() bool { return len(p.requests()) > 0 }
			for i := 0; !isUsed(); i++ {
				id := fmt.Sprintf("look-%d", i)
				response := d.call(http.MethodPost, "/status/1", id, nil, "")
				must.NoError(t, response.err)
				must.Eq(t, http.StatusOK, response.status)
				must.Eq(t, "POST /status/1 by "+id, response.body)
			}
			<-closed
		})
	}
}

// TestManaged_EndlessBody lets 100 callers get bodies without end and without a
// length. Each response must end incomplete by the caller's deadline, what the
// daemon holds must stay within 4 MB for each, which is a buffer that doubles as
// it grows, and a request afterwards must be answered.
func TestManaged_EndlessBody(t *testing.T) {
	const callers, heapPerCaller = 100, 4 << 20
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/claims/", "non_idempotent"))
	p := h.addPlain("plain-1")
	for range callers {
		p.faults = append(p.faults, func(w http.ResponseWriter, r *http.Request) bool {
			return writeEndlessly(w, responseStart(r, "200 OK")+"\r\n", "xxxxxxxxxxxxxxxx")
		})
	}
	d := h.startDaemon("daemon-1")
	started := time.Now()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			conn := openCaller(t, d, fmt.Sprintf("claim-%d", i))
			defer conn.Close()
			// The caller does not read, so the daemon cannot pass the body on.
			<-time.After(2 * time.Second)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			if response.StatusCode == http.StatusOK {
				_, err = io.Copy(io.Discard, response.Body)
				must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			}
		})
	}
	var peak uint64
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(50 * time.Millisecond):
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc)
		}
	}
	must.Less(t, callers*heapPerCaller, peak)
	t.Logf("peak heap %d MB with %d callers", peak>>20, callers)
	must.Less(t, 30*time.Second, time.Since(started))
	p.mu.Lock()
	p.faults = nil
	p.mu.Unlock()
	must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/claims/1", "claim-last", nil, "").status)
}

// openCaller sends a request for a claim on a connection of its own and returns the
// connection.
func openCaller(t *testing.T, d *daemon, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", d.address)
	must.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /claims/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n", routeHostname, id)
	must.NoError(t, err)
	return conn
}
