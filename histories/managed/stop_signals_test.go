package managed

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestManaged_SecondStopSignal guards against a second request to stop that ends the
// process before its requests have ended.
func TestManaged_SecondStopSignal(t *testing.T) {
	t.Parallel()
	const grace = 8 * time.Second
	h := newHarness(t)
	h.putStreamRoute(30 * time.Second)
	server, timed := h.addPlain("plain-1"), newTimedStreams()
	p := h.startProcess("daemon-1")
	await := h.beginTimedStreams(&p.daemon, []*plainServer{server}, timed, []time.Duration{grace * 5 / 6})
	timed.signal(t, p)
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM} {
		<-time.After(time.Second)
		must.NoError(t, p.command.Process.Signal(signal))
	}
	must.True(t, isWhole(await()[0]))
	timed.checkExit(t, p, grace)
}

// TestManaged_StopSignalDuringStart sends SIGTERM at many moments of a start. The process
// must end within its grace period, counted from the signal.
func TestManaged_StopSignalDuringStart(t *testing.T) {
	t.Parallel()
	const grace = 4 * time.Second
	h := newStandardHarness(t, 1, time.Millisecond)
	var starts sync.WaitGroup
	for i := range 12 {
		starts.Go(func() {
			timed := newTimedStreams()
			p := h.launchProcess(daemonBinary, fmt.Sprint("daemon-", i), graceSetting(grace))
			<-time.After(time.Duration(i) * 4 * time.Millisecond)
			timed.signal(t, p)
			_ = p.command.Wait()
			took := time.Since(timed.signaledAt)
			t.Logf("daemon-%d ended %s after its signal at %s", i, took, timed.signaledAt.UTC())
			must.Less(t, grace, took)
			// Before the program handles signals, the system ends it.
			if status := p.command.ProcessState.Sys().(syscall.WaitStatus); status.Signaled() {
				must.Eq(t, syscall.SIGTERM, status.Signal())
				return
			}
			must.True(t, p.command.ProcessState.Success())
		})
	}
	starts.Wait()
}
