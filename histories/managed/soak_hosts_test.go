package managed

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/flamingobeam/flamingobeam/emulate/soak"
)

// soakHost is a host of which the daemon is started again when it has ended.
type soakHost struct {
	name, binary string
	settings     []string
	link         *faultyLink
	limits       soak.Host

	mu          sync.Mutex
	process     *process
	incarnation int
	asked       time.Duration
	killed      bool
	logs        []string
}

// current returns the process of the host, or nil while there is none, and its number.
func (h *soakHost) current() (*process, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process, h.incarnation
}

// startHosts starts the daemons of all hosts and waits until they are ready.
func (s *soakPlayer) startHosts() {
	current := daemonBinary
	if *soakDaemon != "" {
		current = *soakDaemon
	}
	for i, limits := range s.plan.Hosts {
		host := &soakHost{name: fmt.Sprint("daemon-", i+1), binary: current, limits: limits, link: newFaultyLink(s.t, s.store.address())}
		// Releases from before keys run only where there are none (docs/design/keys.md).
		if limits.Earlier && *soakEarlier != "" && !s.plan.Workspaces {
			host.binary = *soakEarlier
		}
		host.settings = []string{
			"platformConfig.address=" + host.link.address(), fmt.Sprintf("bounds.graceS=%g", s.plan.Grace.Seconds()),
			fmt.Sprintf("limits.memoryMb=%d", limits.MemoryMB), fmt.Sprintf("limits.maxFds=%d", limits.Descriptors),
			"zones.zone-b=region-a", "zone=" + []string{"zone-a", "zone-b"}[limits.Zone],
		}
		if s.plan.Duties {
			host.settings = append(host.settings, s.duties.settings(s.plan.ChecksFencing)...)
		}
		s.hosts = append(s.hosts, host)
		s.keepers.Go(func() { s.keep(host) })
	}
	s.keepers.Go(s.sample)
	for _, host := range s.hosts {
		s.waitFor(host.name+" is ready", func() bool { p, _ := host.current(); return p != nil && p.isReady() })
	}
}

// restartDelay is how long after its end a daemon is started again.
const restartDelay = 300 * time.Millisecond

// keep starts the daemon of a host again and again.
func (s *soakPlayer) keep(host *soakHost) {
	for {
		began := s.now()
		p := s.launchProcess(host.binary, host.name, host.settings...)
		host.mu.Lock()
		host.process, host.asked, host.killed = p, 0, false
		host.incarnation++
		host.logs = append(host.logs, p.logPath)
		host.mu.Unlock()
		exited := make(chan struct{})
		go func() { _ = p.command.Wait(); close(exited) }()
		for isReady := false; !isReady && !isClosed(exited); {
			isReady = p.isReady()
			select {
			case <-exited:
			case <-time.After(20 * time.Millisecond):
			}
		}
		s.trouble(host.name, began)
		<-exited
		log, _ := os.ReadFile(p.logPath)
		isPortTaken := strings.Contains(string(log), "address-taken") // By a process outside the run.
		host.mu.Lock()
		exit := soak.Exit{Host: host.name, At: s.now(), Asked: host.asked, Killed: host.killed || isPortTaken}
		host.process = nil
		host.mu.Unlock()
		s.note(func(r *soak.Record) { r.Exits = append(r.Exits, exit) })
		select {
		case <-s.over:
			return
		case <-time.After(restartDelay):
		}
		s.trouble(host.name, exit.At)
	}
}

// trouble notes that a host, or all hosts, were disturbed from a time until now.
func (s *soakPlayer) trouble(host string, from time.Duration) {
	s.note(func(r *soak.Record) {
		r.Troubles = append(r.Troubles, soak.Trouble{Host: host, From: from, To: s.now()})
	})
}

// stop asks a process to stop. It is killed if it lives a second longer than its grace period.
func (s *soakPlayer) stop(host *soakHost) {
	host.mu.Lock()
	p := host.process
	if p == nil {
		host.mu.Unlock()
		return
	}
	if host.asked == 0 {
		host.asked = s.now()
	}
	_ = p.command.Process.Signal(syscall.SIGTERM)
	host.mu.Unlock()
	s.keepers.Go(func() {
		select {
		case <-time.After(s.plan.Grace + time.Second):
			s.kill(host, p)
		case <-s.over:
		}
	})
}

// kill kills a process if it is still the one of the host.
func (s *soakPlayer) kill(host *soakHost, p *process) {
	host.mu.Lock()
	if p == nil || host.process != p {
		host.mu.Unlock()
		return
	}
	host.killed = true
	from := s.now()
	_ = p.command.Process.Kill()
	host.mu.Unlock()
	s.trouble(host.name, from)
}

// sample watches the memory and descriptors of all processes, and how long this process is
// held up.
func (s *soakPlayer) sample() {
	const interval, tolerance = 100 * time.Millisecond, 50 * time.Millisecond
	for !isClosed(s.over) {
		last := s.now()
		time.Sleep(interval)
		late := s.now() - last - interval
		for _, host := range s.hosts {
			p, _ := host.current()
			if p == nil {
				continue
			}
			sample := soak.Sample{Host: host.name, Memory: p.peakMemory(), MemoryLimit: host.limits.MemoryMB << 20,
				Descriptors: p.openDescriptors(), MaxSockets: host.limits.Descriptors - reservedDescriptors}
			s.note(func(r *soak.Record) { r.Samples = append(r.Samples, sample) })
		}
		if late > tolerance {
			s.note(func(r *soak.Record) { r.Slack += late })
		}
	}
}

// end ends all processes and waits until they are gone.
func (s *soakPlayer) end() {
	for _, over := range []chan struct{}{s.loadOver, s.probesOver} {
		if !isClosed(over) {
			close(over)
		}
	}
	close(s.over)
	for _, host := range s.hosts {
		p, _ := host.current()
		s.kill(host, p)
	}
	s.keepers.Wait()
}
