package managed

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The tests of crowds play clients that nobody controls against a daemon in a process of
// its own on a small host. scripts/test.sh runs them after all others, one at a time.

const (
	// crowdMemoryMB and crowdDescriptors are the limits of the host.
	crowdMemoryMB    = 128
	crowdDescriptors = 512
	// reservedDescriptors is how many of them the platform keeps from sockets.
	reservedDescriptors = 200
	// crowdBodyBytes is the operator's limit of a body.
	crowdBodyBytes = 4 << 20
	// crowdSize is the number of clients of a crowd with large bodies, which together
	// send about twice the host's memory.
	crowdSize = 64
	// crowdConnections is the number of clients of a crowd that holds connections.
	crowdConnections = 600
	// crowdPatience bounds each write of a client. A daemon need not read.
	crowdPatience = 4 * time.Second
	// largeAnswerBytes is the size of the servers' answers under /status/large.
	largeAnswerBytes = 250 << 10
)

// startCrowdHost starts a daemon on a small host with one server.
func startCrowdHost(t *testing.T) (*harness, *process) {
	h := newHarness(t)
	h.putRoutesWithin(1, crowdBodyBytes, []map[string]any{routeConfig("/status/", "idempotent"), routeConfig("/train/", "rollout")})
	h.addDrainingPlain("plain-1")
	p := h.startProcessOf(daemonBinary, "daemon-1",
		fmt.Sprintf("limits.memoryMb=%d", crowdMemoryMB), fmt.Sprintf("limits.maxFds=%d", crowdDescriptors))
	return h, p
}

// addDrainingPlain adds a plain server that reads the bodies of its requests.
func (h *harness) addDrainingPlain(id string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !checkInstance(w, r, id) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", attempt)
		w.Header().Set("Server-Stamp", serverStamp(attempt))
		if strings.HasPrefix(r.URL.Path, "/status/large") {
			_, _ = w.Write(make([]byte, largeAnswerBytes))
			return
		}
		fmt.Fprint(w, "answer to "+attempt)
	}))
	h.t.Cleanup(server.Close)
	h.putServerEntry(id, plainService, server.Listener.Addr().String(), "ready", nil, 0)
}

// peakMemory returns the peak resident memory of the process in bytes, and zero if it
// has ended.
func (p *process) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(value)[0])
			return kib << 10
		}
	}
	return 0
}

func (p *process) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries)
}

// watchDescriptors samples the open descriptors until the returned function is called,
// which returns the highest number.
func (p *process) watchDescriptors() func() int {
	stop, highest := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			most = max(most, p.openDescriptors())
			select {
			case <-stop:
				highest <- most
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() int { close(stop); return <-highest }
}

// awaitSettled waits until the number of open descriptors has not changed for a while, as
// the daemon accepts connections later than the system does.
func (p *process) awaitSettled() {
	const steadySamples = 25
	last := -1
	for steady := 0; steady < steadySamples; steady++ {
		if now := p.openDescriptors(); now != last {
			last, steady = now, 0
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// playCrowd lets as many clients act at once, each on a connection to an address. The
// connections stay open until the end of the test, as far as the daemon leaves them open.
// Then the daemon must live within the limits of its host and answer an ordinary request.
func playCrowd(h *harness, p *process, clients int, address string, act func(client int, conn net.Conn)) {
	h.t.Helper()
	endWatch := p.watchDescriptors()
	var acting sync.WaitGroup
	for i := range clients {
		acting.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdPatience)
			if err != nil {
				return
			}
			h.t.Cleanup(func() { _ = conn.Close() })
			act(i, patientConn{conn})
		})
	}
	acting.Wait()
	p.awaitSettled()
	h.t.Logf("beside the crowd: peak memory %d MB, descriptors %d", p.peakMemory()>>20, p.openDescriptors())
	checkServesWithin(h, p)
	must.LessEq(h.t, crowdDescriptors-reservedDescriptors, endWatch())
}

// checkServesWithin checks that the daemon lives, has stayed within the memory of its
// host and answers an ordinary request, before which it may refuse some.
func checkServesWithin(h *harness, p *process) {
	h.t.Helper()
	attempt := 0
	h.waitFor("an ordinary request is answered", func() bool {
		if p.peakMemory() == 0 {
			h.t.Fatal("the daemon has ended")
		}
		attempt++
		response := p.call(http.MethodPost, "/status/ordinary", fmt.Sprint("ordinary-", attempt), nil, "body")
		return response.err == nil && response.status == http.StatusOK
	})
	must.LessEq(h.t, crowdMemoryMB<<20, p.peakMemory())
}

// patientConn bounds each write.
type patientConn struct{ net.Conn }

// Write implements net.Conn.
func (c patientConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(crowdPatience))
	return c.Conn.Write(p)
}

// writeInPieces writes content in pieces of a size until one fails.
func writeInPieces(conn net.Conn, content []byte, size int, pause time.Duration) {
	for len(content) > 0 {
		piece := content[:min(size, len(content))]
		if _, err := conn.Write(piece); err != nil {
			return
		}
		content = content[len(piece):]
		time.Sleep(pause)
	}
}

// repeatUntilClosed writes content again and again until the connection fails or limit
// bytes are written.
func repeatUntilClosed(conn net.Conn, content []byte, limit int) {
	for written := 0; written < limit; written += len(content) {
		if _, err := conn.Write(content); err != nil {
			return
		}
	}
}

// awaitAnswer waits for the first byte of an answer or the end of the connection.
func awaitAnswer(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(crowdPatience))
	_, _ = conn.Read(make([]byte, 1))
}

// crowdHead returns the head of a request without the empty line at its end.
func crowdHead(method, path string, client int, lines ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd-%d\r\nDeadline-Ms: 60000\r\n", method, path, routeHostname, client) +
		strings.Join(append(lines, ""), "\r\n")
}

func bodyHead(client int) string {
	return crowdHead(http.MethodPost, "/status/crowd", client, fmt.Sprintf("Content-Length: %d", crowdBodyBytes)) + "\r\n"
}

func chunkedHead(client int) string {
	return crowdHead(http.MethodPost, "/status/crowd", client, "Transfer-Encoding: chunked") + "\r\n"
}
