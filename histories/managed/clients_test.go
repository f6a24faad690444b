package managed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startClientHost starts a daemon on a small host with a server that reads bodies.
func startClientHost(t *testing.T) (*harness, *process, net.Conn) {
	h := newHarness(t)
	h.putRoutesWithin(1, crowdBodyBytes, []map[string]any{routeConfig("/status/", "non_idempotent")})
	h.addDrainingPlain("plain-1")
	p := h.startProcessOf(daemonBinary, "daemon-1",
		fmt.Sprintf("limits.memoryMb=%d", crowdMemoryMB), fmt.Sprintf("limits.maxFds=%d", crowdDescriptors))
	conn, err := net.Dial("tcp", p.address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return h, p, conn
}

func readStatus(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

// TestClients_SlowUploadAndIdleConnection checks that no bound is met in calm by a slow but
// sound upload, nor by a connection that is idle for four fifths of the operator's limit.
func TestClients_SlowUploadAndIdleConnection(t *testing.T) {
	t.Parallel()
	const pieces, idleLimit = 20, 15 * time.Second
	_, _, conn := startClientHost(t)
	reader := bufio.NewReader(conn)
	for range 2 {
		_, err := io.WriteString(conn, crowdHead(http.MethodPost, "/status/slow", 1, fmt.Sprintf("Content-Length: %d", 1000*pieces))+"\r\n")
		must.NoError(t, err)
		for range pieces {
			time.Sleep(100 * time.Millisecond)
			_, err := io.WriteString(conn, strings.Repeat("b", 1000))
			must.NoError(t, err)
		}
		must.Eq(t, http.StatusOK, readStatus(t, reader).StatusCode)
		time.Sleep(idleLimit * 4 / 5)
	}
	_, err := io.WriteString(conn, crowdHead(http.MethodGet, "/status/after", 2)+"\r\n")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, readStatus(t, reader).StatusCode)
}

// TestClients_BodyNeverArrives checks that a request whose body stops short is refused as
// not run at its deadline, and that its connection ends.
func TestClients_BodyNeverArrives(t *testing.T) {
	t.Parallel()
	_, _, conn := startClientHost(t)
	reader := bufio.NewReader(conn)
	head := strings.Replace(crowdHead(http.MethodPost, "/status/short", 1, "Content-Length: 1000"), "60000", "500", 1)
	_, err := io.WriteString(conn, head+"\r\n"+strings.Repeat("b", 999))
	must.NoError(t, err)
	response := readStatus(t, reader)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.True(t, response.Close)
	_, err = reader.ReadByte()
	must.Error(t, err)
}

// TestClients_BodyOverLimit checks that a body over the operator's limit is refused, with
// a declared length and in chunks, and that the client gets the response.
func TestClients_BodyOverLimit(t *testing.T) {
	t.Parallel()
	_, p, conn := startClientHost(t)
	_, err := io.WriteString(conn, crowdHead(http.MethodPost, "/status/long", 1, fmt.Sprintf("Content-Length: %d", crowdBodyBytes+1))+"\r\n"+strings.Repeat("b", crowdBodyBytes+1))
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestEntityTooLarge, readStatus(t, bufio.NewReader(conn)).StatusCode)
	chunked, err := net.Dial("tcp", p.address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = chunked.Close() })
	_, err = io.WriteString(chunked, chunkedHead(2)+fmt.Sprintf("%x\r\n", crowdBodyBytes+1)+strings.Repeat("b", crowdBodyBytes+1))
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestEntityTooLarge, readStatus(t, bufio.NewReader(chunked)).StatusCode)
}
