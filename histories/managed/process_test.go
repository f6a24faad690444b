package managed

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// process is a daemon that runs as a process of its own.
type process struct {
	daemon
	command *exec.Cmd
	// peersAddress and relayAddress are those of net/rpc and of requests that other daemons
	// pass on.
	peersAddress, relayAddress string
	logPath                    string
}

// daemonBinary is the path of flamingobeamd, built once for all tests of the
// package.
var daemonBinary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "managed")
	if err != nil {
		panic(err)
	}
	daemonBinary = filepath.Join(folder, "flamingobeamd")
	build := exec.Command("go", "build", "-o", daemonBinary, "github.com/flamingobeam/flamingobeam/cmd/flamingobeamd")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build flamingobeamd: %v: %s", err, output))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// startProcess starts a daemon as a process and waits until it is ready. If the
// test fails, the end of the daemon's log is printed.
func (h *harness) startProcess(name string) *process { return h.startProcessOf(daemonBinary, name) }

// startProcessOf is startProcess for another binary of flamingobeamd, and with further
// lines of the host's settings.
func (h *harness) startProcessOf(binary, name string, settings ...string) *process {
	p := h.launchProcess(binary, name, settings...)
	h.waitFor("daemon "+name+" is ready", p.isReady)
	return p
}

// launchProcess is startProcessOf without the wait until the daemon is ready.
func (h *harness) launchProcess(binary, name string, settings ...string) *process {
	ports := freePorts(h.t, 3)
	p := &process{daemon: daemon{
		storeProxy: newStoreProxy(h.t, h.store.address()),
		address:    fmt.Sprintf("127.0.0.1:%d", ports[0]), readyAddress: fmt.Sprintf("127.0.0.1:%d", ports[1]),
	}}
	folder := h.t.TempDir()
	configPath := filepath.Join(folder, "local.conf")
	peersPort := freePortRange(h.t)
	p.metricsAddress = fmt.Sprintf("127.0.0.1:%d", ports[2])
	p.peersAddress, p.relayAddress = fmt.Sprintf("127.0.0.1:%d", peersPort), fmt.Sprintf("127.0.0.1:%d", peersPort+1)
	lines := append([]string{p.hostConfig(name, peersPort)}, settings...)
	must.NoError(h.t, os.WriteFile(configPath, []byte(strings.Join(lines, "\n")), 0o600))
	p.command = exec.Command(binary, "entry", fmt.Sprintf("--metrics-port=%d", ports[2]))
	p.command.Env = append(os.Environ(), "FLAMINGOBEAM_NODE_FILE="+configPath)
	log, err := os.Create(filepath.Join(folder, "log"))
	must.NoError(h.t, err)
	p.command.Stdout, p.command.Stderr, p.logPath = log, log, log.Name()
	must.NoError(h.t, p.command.Start())
	h.t.Cleanup(func() {
		p.kill()
		if h.t.Failed() {
			content, _ := os.ReadFile(log.Name())
			lines := strings.Split(string(content), "\n")
			h.t.Logf("log of %s:\n%s", name, strings.Join(lines[max(0, len(lines)-60):], "\n"))
		}
		_ = log.Close()
	})
	return p
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// hostConfig returns the host's settings file.
func (d *daemon) hostConfig(name string, peersPort int) string {
	return strings.Join([]string{
		"nodeName=" + name, "zone=zone-a", "region=region-a", "zones.zone-a=region-a", "ip=127.0.0.1",
		"listenAddrs.front=" + d.address, "listenAddrs.ready=" + d.readyAddress,
		fmt.Sprintf("internalPortRange=%d,%d", peersPort, peersPort+1),
		"platformConfig.address=" + d.storeProxy.listener.Addr().String(),
	}, "\n")
}

// TestManaged_OwnerKilled kills the owner of a job. The successor must resume the
// texts from their checkpoints and list no result twice.
func TestManaged_OwnerKilled(t *testing.T) {
	h := newStandardHarness(t, 200, 20*time.Millisecond)
	first, second := h.startProcess("daemon-1"), h.startDaemon("daemon-2")
	submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 2, 1))
	h.waitFor("a checkpoint is stored", func() bool { return len(h.store.recordsUnder("flamingobeam/job/text/")) > 0 })
	first.kill()
	h.checkResults("job-1", h.fetchAllResults(second, "job-1", 2), 200, 1)
	must.True(t, h.hasResumedRun())
}

// TestManaged_OwnerFrozen suspends the owner of a job for longer than its lease
// and resumes it after its successor has listed the results. The former owner must
// not return an empty list; both daemons return the same results.
func TestManaged_OwnerFrozen(t *testing.T) {
	h := newStandardHarness(t, 200, 20*time.Millisecond)
	first, second := h.startProcess("daemon-1"), h.startDaemon("daemon-2")
	submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 2, 1))
	h.waitFor("a checkpoint is stored", func() bool { return len(h.store.recordsUnder("flamingobeam/job/text/")) > 0 })
	must.NoError(t, first.command.Process.Signal(syscall.SIGSTOP))
	h.waitFor("another daemon owns the job", func() bool { return h.jobOwner("job-1") == "daemon-2" })
	results := h.fetchAllResults(second, "job-1", 2)
	h.checkResults("job-1", results, 200, 1)
	must.NoError(t, first.command.Process.Signal(syscall.SIGCONT))
	if page, status := first.fetchResults("job-1", 0); status == http.StatusOK {
		must.Eq(t, results, page.Results)
	}
	must.Eq(t, results, h.fetchAllResults(&first.daemon, "job-1", 2))
}

// TestManaged_AllKilledAtOnce kills the only daemon and starts it again. Listed
// results must be preserved and the job must complete.
func TestManaged_AllKilledAtOnce(t *testing.T) {
	h := newStandardHarness(t, 120, 20*time.Millisecond)
	first := h.startProcess("daemon-1")
	submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 2, 1))
	h.waitFor("a checkpoint is stored", func() bool { return len(h.store.recordsUnder("flamingobeam/job/text/")) > 0 })
	first.kill()
	restarted := h.startProcess("daemon-1")
	h.checkResults("job-1", h.fetchAllResults(&restarted.daemon, "job-1", 2), 120, 1)
	must.True(t, h.hasResumedRun())
}

// TestManaged_StoreAccessThroughPeer cuts one daemon off from the store. It must
// accept, run and list its job through the other daemon, and stay its owner.
func TestManaged_StoreAccessThroughPeer(t *testing.T) {
	h := newStandardHarness(t, 60, 20*time.Millisecond)
	first, second := h.startProcess("daemon-1"), h.startDaemon("daemon-2")
	h.waitFor("both daemons are live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == 2 })
	time.Sleep(300 * time.Millisecond) // Longer than the batching delay of session updates.
	first.storeProxy.setCut(true)
	submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 2, 1))
	results := h.fetchAllResults(&first.daemon, "job-1", 2)
	h.checkResults("job-1", results, 60, 1)
	must.Eq(t, "daemon-1", h.jobOwner("job-1"))
	must.Eq(t, results, h.fetchAllResults(second, "job-1", 2))
}

// TestManaged_PlannedStopServesRequests sends SIGTERM while a client uses
// keep-alive connections. Each request must get its response, and the process must
// exit by itself.
func TestManaged_PlannedStopServesRequests(t *testing.T) {
	h := newStandardHarness(t, 1, time.Millisecond)
	p := h.startProcess("daemon-1")
	client := &http.Client{}
	must.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	h.waitFor("daemon-1 is not ready", func() bool { return !p.isReady() })
	for i := range 50 {
		request, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/status/1", nil)
		must.NoError(t, err)
		request.Host = routeHostname
		request.Header.Set("Attempt-Id", fmt.Sprintf("look-%d", i))
		response, err := client.Do(request)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		_ = response.Body.Close()
	}
	must.NoError(t, p.command.Wait())
}
