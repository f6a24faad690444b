package managed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// extraBytesServer is a plain server that answers every request and sends extra
// bytes on its connections.
type extraBytesServer struct {
	mu      sync.Mutex
	ran     map[string]int
	atOnce  func(answer string) string
	onIdle  func(answer string) string
	onNext  func(answer string) string
	pending sync.WaitGroup
}

// answerTo returns the whole answer to a request.
func answerTo(r *http.Request) string {
	id := r.Header.Get("Attempt-Id")
	body := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// serve answers the requests of a connection until it is closed.
func (s *extraBytesServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	previous := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.ran[r.Header.Get("Attempt-Id")]++
		s.mu.Unlock()
		answer := answerTo(r)
		if previous != "" && s.onNext != nil {
			_, _ = io.WriteString(conn, s.onNext(previous))
		}
		previous = answer
		if s.atOnce != nil {
			answer += s.atOnce(answer)
		}
		_, _ = io.WriteString(conn, answer)
		if s.onIdle != nil {
			s.pending.Go(func() {
				<-time.After(2 * time.Millisecond)
				_, _ = io.WriteString(conn, s.onIdle(answer))
			})
		}
	}
}

// start listens and returns the server's address.
func (s *extraBytesServer) start(t *testing.T) string {
	s.ran = make(map[string]int)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// TestManaged_ExtraBytes lets one of three servers send bytes beyond its answers:
// a second copy, a head, half a head or garbage, at once, while the connection is
// idle, or before the answer to the next request. No caller may get the answer to
// another request, every idempotent request must be answered, and a request that
// may run once must not be sent twice.
func TestManaged_ExtraBytes(t *testing.T) {
	extras := map[string]func(answer string) string{
		"second copy": func(answer string) string { return answer },
		"head alone": func(answer string) string {
			head, _, _ := strings.Cut(answer, "\r\n\r\n")
			return head + "\r\n\r\n"
		},
		"half a head": func(answer string) string { return answer[:30] },
		"early hints": func(string) string { return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" },
		"garbage":     func(string) string { return "\x00\x01\x02 no response" },
	}
	for name, extra := range extras {
		for when, configure := range map[string]func(s *extraBytesServer){
			"at once":       func(s *extraBytesServer) { s.atOnce = extra },
			"while idle":    func(s *extraBytesServer) { s.onIdle = extra },
			"before next":   func(s *extraBytesServer) { s.onNext = extra },
			"all the while": func(s *extraBytesServer) { s.atOnce, s.onIdle, s.onNext = extra, extra, extra },
		} {
			t.Run(name+" "+when, func(t *testing.T) { checkExtraBytes(t, configure) })
		}
	}
}

// checkExtraBytes sends look-ups and claims through a daemon. A claim whose
// connection had extra bytes may have an unknown outcome.
func checkExtraBytes(t *testing.T, configure func(s *extraBytesServer)) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/status/", "idempotent"), routeConfig("/claims/", "non_idempotent"))
	servers := make([]*extraBytesServer, 3)
	for i := range servers {
		servers[i] = &extraBytesServer{}
		if i == 0 {
			configure(servers[i])
		}
		h.putServerEntry(fmt.Sprintf("plain-%d", i), plainService, servers[i].start(t), "ready", nil, 0)
	}
	d := h.startDaemon("daemon-1")
	for i := range 12 {
		for path, statuses := range map[string][]int{"/status/1": {http.StatusOK}, "/claims/1": {http.StatusOK, http.StatusBadGateway}} {
			id := fmt.Sprintf("%s-%d", path[1:6], i)
			response := d.call(http.MethodPost, path, id, nil, "x")
			must.NoError(t, response.err)
			must.SliceContains(t, statuses, response.status, must.Sprint(id, response.body))
			if response.status == http.StatusOK {
				must.Eq(t, "answer to "+id, response.body)
				must.Eq(t, "s-"+id, response.header.Get("Server-Stamp"))
			}
		}
	}
	for _, s := range servers {
		s.pending.Wait()
		s.mu.Lock()
		for id, count := range s.ran {
			if strings.HasPrefix(id, "claim") {
				must.Eq(t, 1, count, must.Sprint(id))
			}
		}
		s.mu.Unlock()
	}
	for i := range 12 {
		total := 0
		for _, s := range servers {
			s.mu.Lock()
			total += s.ran[fmt.Sprintf("claim-%d", i)]
			s.mu.Unlock()
		}
		must.LessEq(t, 1, total)
	}
}

// TestManaged_SpoiltConnectionsCostOneRequest guards against requests that fail one after
// the other because a server spoils each of its connections: after the first one, none of
// them may be used a second time for a while.
func TestManaged_SpoiltConnectionsCostOneRequest(t *testing.T) {
	const requests, hold = 60, 3 * time.Second
	for name, extra := range map[string]func(string) string{
		"response to another": func(answer string) string { return answer },
		"garbage":             func(string) string { return "\x00\x01\x02 no response" },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.putConfiguration(1, routeConfig("/claims/", "non_idempotent"))
			servers := []*extraBytesServer{{onNext: extra}, {}}
			for i, s := range servers {
				h.putServerEntry(fmt.Sprint("plain-", i), plainService, s.start(t), "ready", nil, 0)
			}
			d := h.startDaemon("daemon-1")
			started, failed := time.Now(), 0
			for i := range requests {
				if d.call(http.MethodPost, "/claims/1", fmt.Sprint("claim-", i), nil, "x").status != http.StatusOK {
					failed++
				}
			}
			must.LessEq(t, 1+int(time.Since(started)/hold), failed)
		})
	}
}

// TestManaged_PlannedStopUnderLoad stops a daemon while callers send requests in
// bursts on kept connections. Every request must be answered, and a response during
// the stop must close its connection, so that none is cut when the daemon ends.
func TestManaged_PlannedStopUnderLoad(t *testing.T) {
	// With so many servers the callers find a place also when the machine is busy and the
	// daemon lowers its limits.
	const callers, servers = 40, 8
	h := newStandardHarness(t, 1, time.Millisecond)
	for i := range servers - 1 {
		h.addPlain(fmt.Sprint("plain-", 2+i))
	}
	d := h.startDaemon("daemon-1")
	var wg sync.WaitGroup
	stopping := make(chan struct{})
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				request, err := http.NewRequest(http.MethodPost, "http://"+d.address+"/status/1", strings.NewReader("x"))
				must.NoError(t, err)
				id := fmt.Sprintf("look-%d-%d", i, n)
				request.Host = routeHostname
				request.Header.Set("Attempt-Id", id)
				// The transport must not repeat a request that was cut.
				request.GetBody = nil
				isStopping := isClosed(stopping)
				response, err := client.Do(request)
				must.NoError(t, err, must.Sprint(id))
				body, err := io.ReadAll(response.Body)
				must.NoError(t, err)
				_ = response.Body.Close()
				must.Eq(t, http.StatusOK, response.StatusCode)
				must.Eq(t, "POST /status/1 by "+id, string(body))
				if isStopping {
					must.True(t, response.Close)
					return
				}
			}
		})
	}
	<-time.After(300 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- d.kernel.Stop(context.Background()) }()
	h.waitFor("the daemon is not ready", func() bool { return !d.isReady() })
	close(stopping)
	wg.Wait()
	must.NoError(t, <-stopped)
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// TestManaged_PlannedStopHalfRequests stops a daemon while requests are half sent: in
// the head, or in the body. Each must be answered once the rest arrives, also when two
// daemons stop at once.
func TestManaged_PlannedStopHalfRequests(t *testing.T) {
	h := newStandardHarness(t, 1, time.Millisecond)
	daemons := []*daemon{h.startDaemon("daemon-1"), h.startDaemon("daemon-2")}
	type halfRequest struct {
		conn net.Conn
		id   string
		rest string
	}
	var requests []halfRequest
	for i, d := range daemons {
		for k, cut := range []string{"Host: ", "Content-Length: 10\r\n\r\nhalf"} {
			id := fmt.Sprintf("look-%d-%d", i, k)
			whole := fmt.Sprintf("POST /status/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 10\r\n\r\nhalf of it", routeHostname, id)
			end := strings.Index(whole, cut) + len(cut)
			conn, err := net.Dial("tcp", d.address)
			must.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, whole[:end])
			must.NoError(t, err)
			requests = append(requests, halfRequest{conn: conn, id: id, rest: whole[end:]})
		}
	}
	stopped := make(chan error, len(daemons))
	for _, d := range daemons {
		go func() { stopped <- d.kernel.Stop(context.Background()) }()
	}
	for _, d := range daemons {
		h.waitFor("the daemon is not ready", func() bool { return !d.isReady() })
	}
	for _, request := range requests {
		_, err := io.WriteString(request.conn, request.rest)
		must.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(request.conn), nil)
		must.NoError(t, err, must.Sprint(request.id))
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.Eq(t, "POST /status/1 by "+request.id, string(body))
	}
	for range daemons {
		must.NoError(t, <-stopped)
	}
}
