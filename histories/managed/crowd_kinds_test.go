package managed

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// crowdBody is the body of all large requests.
var crowdBody = make([]byte, crowdBodyBytes)

func TestCrowd_WholeBodies(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, bodyHead(client))
		_, _ = conn.Write(crowdBody)
		awaitAnswer(conn)
	})
}

func TestCrowd_BodiesPieceByPiece(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, bodyHead(client))
		writeInPieces(conn, crowdBody, 64<<10, 5*time.Millisecond)
		awaitAnswer(conn)
	})
}

func TestCrowd_BodiesStoppingShort(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, bodyHead(client))
		_, _ = conn.Write(crowdBody[1:])
	})
}

// TestCrowd_BodiesStoppingShortBesideOrdinary has ordinary callers send a large body each,
// one after the other, beside a crowd that has stopped short.
func TestCrowd_BodiesStoppingShortBesideOrdinary(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, bodyHead(client))
		_, _ = conn.Write(crowdBody[1:])
	})
	for i := range 3 {
		attempt := 0
		h.waitFor("a large request is answered", func() bool {
			attempt++
			response := p.call(http.MethodPost, "/status/ordinary", fmt.Sprintf("large-%d-%d", i, attempt), nil, string(crowdBody))
			return response.err == nil && response.status == http.StatusOK
		})
	}
	checkServesWithin(h, p)
}

func TestCrowd_HeadsOverLimit(t *testing.T) {
	h, p := startCrowdHost(t)
	head := strings.Repeat("a", 1<<20)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, crowdHead(http.MethodGet, "/status/crowd", client, "Long: "+head)+"\r\n")
	})
}

func TestCrowd_HeadsStoppingShort(t *testing.T) {
	h, p := startCrowdHost(t)
	head := strings.Repeat("Field-Of-Some-Length: value of some length\r\n", 60<<10/44)
	playCrowd(h, p, crowdConnections, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, crowdHead(http.MethodGet, "/status/crowd", client)+head)
	})
}

func TestCrowd_HeadsWithoutEnd(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, crowdHead(http.MethodGet, "/status/crowd", client))
		repeatUntilClosed(conn, []byte(strings.Repeat("Field: value\r\n", 1000)), crowdBodyBytes)
	})
}

func TestCrowd_LinesWithoutEnd(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(_ int, conn net.Conn) {
		repeatUntilClosed(conn, bytes.Repeat([]byte("a"), 16<<10), crowdBodyBytes)
	})
}

func TestCrowd_EmptyLinesBeforeRequest(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(_ int, conn net.Conn) {
		repeatUntilClosed(conn, bytes.Repeat([]byte("\r\n"), 8<<10), crowdBodyBytes)
	})
}

func TestCrowd_LargeChunksStoppingShort(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, chunkedHead(client)+fmt.Sprintf("%x\r\n", crowdBodyBytes))
		_, _ = conn.Write(crowdBody[1:])
	})
}

func TestCrowd_ByteChunksStoppingShort(t *testing.T) {
	h, p := startCrowdHost(t)
	chunks := bytes.Repeat([]byte("1\r\na\r\n"), 2<<20)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, chunkedHead(client))
		writeInPieces(conn, chunks, 64<<10, 0)
	})
}

func TestCrowd_ChunkExtensionsWithoutEnd(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, chunkedHead(client)+"1;")
		repeatUntilClosed(conn, bytes.Repeat([]byte("e=f;"), 4<<10), crowdBodyBytes)
	})
}

func TestCrowd_TrailersWithoutEnd(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, chunkedHead(client)+"1\r\na\r\n0\r\n")
		repeatUntilClosed(conn, []byte(strings.Repeat("Field: value\r\n", 1000)), crowdBodyBytes)
	})
}

// TestCrowd_PipelinedUnread sends requests one behind the other and reads no answer.
func TestCrowd_PipelinedUnread(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_ = conn.(patientConn).Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		repeatUntilClosed(conn, []byte(strings.Repeat(crowdHead(http.MethodGet, "/status/large", client)+"\r\n", 10)), 1<<20)
	})
}

// TestCrowd_AnswersReadByByte has many callers read large answers a byte at a time.
func TestCrowd_AnswersReadByByte(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdConnections, p.address, func(client int, conn net.Conn) {
		_ = conn.(patientConn).Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, crowdHead(http.MethodGet, "/status/large", client)+"\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(crowdPatience))
		for range 100 {
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestCrowd_IdleConnections opens more connections than the host has descriptors, at each
// of the daemon's addresses.
func TestCrowd_IdleConnections(t *testing.T) {
	for door, address := range map[string]func(p *process) string{
		"callers": func(p *process) string { return p.address }, "readiness": func(p *process) string { return p.readyAddress },
		"metrics": func(p *process) string { return p.metricsAddress },
		"calls":   func(p *process) string { return p.peersAddress }, "relay": func(p *process) string { return p.relayAddress },
	} {
		t.Run(door, func(t *testing.T) {
			h, p := startCrowdHost(t)
			playCrowd(h, p, crowdConnections, address(p), func(int, net.Conn) {})
			h.waitFor("the daemon is ready", p.isReady)
		})
	}
}

// TestCrowd_DecodedJobs submits batch jobs of very many items, of which each takes far more
// memory than text. They are malformed at their ends, so that none is accepted.
func TestCrowd_DecodedJobs(t *testing.T) {
	h, p := startCrowdHost(t)
	var job strings.Builder
	job.WriteString(`{"items":[`)
	for job.Len() < 640<<10 {
		fmt.Fprintf(&job, `{"id":"%x","path":"/"},`, job.Len())
	}
	job.WriteString(`{"id":"","path":"/"}]}`)
	playCrowd(h, p, crowdSize, p.address, func(client int, conn net.Conn) {
		_, _ = io.WriteString(conn, crowdHead(http.MethodPost, "/train/crowd", client, fmt.Sprintf("Content-Length: %d", job.Len()))+"\r\n"+job.String())
		awaitAnswer(conn)
	})
}

// TestCrowd_AcceptedJobs has callers submit sound batch jobs again and again while no engine
// runs any, together more than the host's memory.
func TestCrowd_AcceptedJobs(t *testing.T) {
	const callers, jobsPerCaller, itemsPerJob, itemBytes, tries = 8, 50, 60, 8 << 10, 3
	h, p := startCrowdHost(t)
	body := base64.StdEncoding.EncodeToString(make([]byte, itemBytes))
	playCrowd(h, p, callers, p.address, func(caller int, _ net.Conn) {
		for i := range jobsPerCaller {
			id := fmt.Sprintf("job-%d-%d", caller, i)
			items := make([]string, itemsPerJob)
			for item := range items {
				items[item] = fmt.Sprintf(`{"id":"%s-%d","path":"/train/item","body":"%s","tokens":500}`, id, item, body)
			}
			job := `{"model":"model-a","items":[` + strings.Join(items, ",") + "]}"
			for range tries {
				if p.call(http.MethodPost, "/train/"+id, id, nil, job).status == http.StatusAccepted {
					break
				}
			}
		}
	})
}

// TestCrowd_RelayedBodiesStoppingShort sends bodies to the address for requests that other
// daemons pass on.
func TestCrowd_RelayedBodiesStoppingShort(t *testing.T) {
	h, p := startCrowdHost(t)
	playCrowd(h, p, crowdSize, p.relayAddress, func(client int, conn net.Conn) {
		server := h.store.recordsUnder("servers/")[0]
		address := strings.Split(strings.Split(string(server.Value), `"address":"`)[1], `"`)[0]
		_, _ = io.WriteString(conn, crowdHead(http.MethodPost, "/", client, "Flamingobeam-Relay-Server: plain-1",
			"Flamingobeam-Relay-Address: "+address, "Flamingobeam-Relay-Target: /status/crowd", fmt.Sprintf("Content-Length: %d", crowdBodyBytes))+"\r\n")
		_, _ = conn.Write(crowdBody[1:])
	})
}

// TestCrowd_Leaves checks that nothing of a crowd remains once it has left: neither
// goroutines nor descriptors.
func TestCrowd_Leaves(t *testing.T) {
	h := newHarness(t)
	h.putRoutesWithin(1, crowdBodyBytes, []map[string]any{routeConfig("/status/", "idempotent")})
	h.addPlain("plain-1")
	d := h.startDaemon("daemon-1")
	must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/ordinary", "first", nil, "body").status)
	time.Sleep(time.Second) // The daemon's own goroutines have started.
	before := runtime.NumGoroutine()
	var conns []net.Conn
	for i := range crowdSize {
		conn, err := net.Dial("tcp", d.address)
		must.NoError(t, err)
		conns = append(conns, conn)
		_, _ = io.WriteString(conn, bodyHead(i)+"part of a body")
	}
	h.waitFor("the crowd is being served", func() bool { return runtime.NumGoroutine() >= before+crowdSize })
	for _, conn := range conns {
		_ = conn.Close()
	}
	const ownVariation = 8
	h.waitFor("its goroutines have ended", func() bool { return runtime.NumGoroutine() <= before+ownVariation })
}

// TestCrowd_SingleLargeRequest checks that a request at the default limit of a body is
// served in calm on the smallest host.
func TestCrowd_SingleLargeRequest(t *testing.T) {
	const smallestHostMB, defaultBodyBytes = 184, 32 << 20
	h := newHarness(t)
	h.putRoutesWithin(1, defaultBodyBytes, []map[string]any{routeConfig("/status/", "non_idempotent")})
	h.addDrainingPlain("plain-1")
	p := h.startProcessOf(daemonBinary, "daemon-1", fmt.Sprintf("limits.memoryMb=%d", smallestHostMB))
	for i := range 5 {
		response := p.call(http.MethodPost, "/status/large-body", fmt.Sprint("single-", i), map[string]string{"Deadline-Ms": "30000"}, strings.Repeat("b", defaultBodyBytes))
		must.NoError(t, response.err)
		must.Eq(t, http.StatusOK, response.status)
	}
	t.Logf("peak memory %d MB", p.peakMemory()>>20)
	must.LessEq(t, smallestHostMB<<20, p.peakMemory())
}
