package balance

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	rpcName    = "Quarantine"
	methodTell = rpcName + ".Tell"
	// probeTimeout bounds a probe; maxProbes are made, probeDelay apart,
	// since a process that crashes may hold its port for a moment.
	probeTimeout = time.Second
	probeDelay   = 300 * time.Millisecond
	maxProbes    = 2
	// tellDelay gathers crashes into one notice, and tellTimeout bounds the
	// call to one daemon.
	tellDelay   = 20 * time.Millisecond
	tellTimeout = time.Second
	// tellAttempts is how often a daemon that does not answer is told.
	tellAttempts   = 3
	tellRetryDelay = time.Second
)

// Notice is what the daemons of a zone tell each other.
type Notice struct {
	// Sent is the sender's time, from which the ages of the crashes follow.
	Sent        time.Time
	Crashes     []quarantine.Crash
	Quarantined []quarantine.Fingerprint
	Cleared     []quarantine.Fingerprint
}

func (n *Notice) isEmpty() bool {
	return len(n.Crashes) == 0 && len(n.Quarantined) == 0 && len(n.Cleared) == 0
}

// probeFunc opens and closes a connection.
type probeFunc func(ctx context.Context, address string) error

func connect(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// probeResult says whether a server takes connections.
type probeResult struct {
	server  structs.HostName
	attempt int
	up      bool
}

// probeServer finds out whether a server whose connection broke has crashed.
func (s *service) probeServer(name structs.HostName, attempt int) {
	r, ok := s.control.records[name]
	if !ok {
		s.control.breaks.Remove(name)
		s.undecided.settle(name)
		return
	}
	address, probe := r.server.Address, s.probe
	kernel.RunAsync(s.workers, probeTimeout, s.control.probes, func(ctx context.Context) (probeResult, error) {
		err := probe(ctx, address)
		return probeResult{server: name, attempt: attempt, up: err == nil}, nil
	})
}

func (s *service) onProbe(reply kernel.AsyncResult[probeResult]) {
	probed := reply.Value
	if probed.up && probed.attempt < maxProbes {
		s.loop.AfterFunc(probeDelay, func() { s.probeServer(probed.server, probed.attempt+1) })
		return
	}
	crash, _ := s.control.breaks.Remove(probed.server)
	if !probed.up {
		s.hosts.Report(probed.server, contract.SignalFailedConnect)
	}
	if !probed.up && len(crash.Suspects) > 0 {
		s.log.Warnf("%s crashed; %d requests are suspect.", crash.Server, len(crash.Suspects))
		s.crashed(crash)
		s.outgoing().Crashes = append(s.outgoing().Crashes, crash)
	}
	// Requests that are held back read the snapshot that was just published.
	s.undecided.settle(probed.server)
}

// crashed takes a crash in and quarantines what caused it.
func (s *service) crashed(crash quarantine.Crash) {
	guilty := s.control.book.RecordCrash(s.now(), crash)
	for _, f := range guilty {
		s.log.Warnf("Requests with fingerprint %x are quarantined.", uint64(f))
		s.metrics.Count("balance.quarantined", 1)
	}
	if len(guilty) > 0 {
		s.outgoing().Quarantined = append(s.outgoing().Quarantined, guilty...)
	}
	s.requestsChanged()
}

// requestsChanged publishes the suspects at once, since each moment counts.
func (s *service) requestsChanged() {
	s.control.requests = s.control.book.View()
	s.publish()
	known := len(s.control.requests.Suspects) + len(s.control.requests.Quarantined)
	if known > 0 && !s.control.expiring {
		s.control.expiring = true
		s.loop.AfterFunc(quarantine.SuspectRetention, s.expire)
	}
}

func (s *service) expire() {
	s.control.expiring = false
	s.control.book.Expire(s.now())
	s.requestsChanged()
}

// outgoing returns the notice that is being gathered and sends it soon.
func (s *service) outgoing() *Notice {
	if !s.control.sending {
		s.control.sending = true
		s.loop.AfterFunc(tellDelay, s.send)
	}
	return &s.control.outgoing
}

func (s *service) send() {
	notice := s.control.outgoing
	s.control.outgoing, s.control.sending = Notice{}, false
	if notice.isEmpty() {
		return
	}
	for _, address := range s.mates() {
		s.tell(address, notice, 1)
	}
}

// mates returns the addresses of the other daemons at which a caller may come
// again: those of the zone, and on a managed platform, whose balancer knows no
// zones of callers for long, all.
func (s *service) mates() []string {
	var addresses []string
	for _, daemon := range s.control.hosts.Daemons {
		isOwn := daemon.Name == s.config.Host || daemon.Address == s.config.Listen.Peers
		if !isOwn && (daemon.Place.Zone == s.config.Place.Zone || s.config.Platform.ClosedNetwork) {
			addresses = append(addresses, daemon.Address)
		}
	}
	return addresses
}

// tellResult is the outcome of telling one daemon.
type tellResult struct {
	address string
	notice  Notice
	attempt int
	failed  bool
	known   Notice
}

// tell tells a daemon, which answers with what it has quarantined itself.
func (s *service) tell(address string, notice Notice, attempt int) {
	peers, clock := s.peers, s.clock
	kernel.RunAsync(s.workers, tellTimeout, s.control.told, func(ctx context.Context) (tellResult, error) {
		told := tellResult{address: address, notice: notice, attempt: attempt}
		notice.Sent = clock.Now()
		told.failed = peers.Call(ctx, address, methodTell, &notice, &told.known) != nil
		return told, nil
	})
}

func (s *service) onTold(reply kernel.AsyncResult[tellResult]) {
	told := reply.Value
	if !told.failed {
		s.adopt(told.known.Quarantined)
		return
	}
	if told.attempt < tellAttempts {
		s.loop.AfterFunc(tellRetryDelay, func() { s.tell(told.address, told.notice, told.attempt+1) })
	}
}

// adopt takes over what other daemons have quarantined.
func (s *service) adopt(fingerprints []quarantine.Fingerprint) {
	changed := false
	for _, f := range fingerprints {
		if !s.control.requests.Quarantined[f] {
			s.control.book.Quarantine(s.now(), f)
			changed = true
		}
	}
	if changed {
		s.requestsChanged()
	}
}

// join asks the other daemons, once, for what they have quarantined.
func (s *service) join() {
	if s.control.joined || !s.control.hosts.Loaded {
		return
	}
	addresses := s.mates()
	s.control.joined = len(addresses) > 0
	for _, address := range addresses[:min(len(addresses), joinPeers)] {
		s.tell(address, Notice{}, 1)
	}
}

// greet tells daemons that were not on the list before what is quarantined: they
// may have asked before it was.
func (s *service) greet(before []string) {
	if len(s.control.requests.Quarantined) == 0 {
		return
	}
	notice := Notice{Quarantined: s.control.book.Quarantined()}
	for _, address := range s.mates() {
		if !slices.Contains(before, address) {
			s.tell(address, notice, 1)
		}
	}
}

// joinPeers is how many daemons a starting daemon asks.
const joinPeers = 3

// onNotice takes in what another daemon tells.
func (s *service) onNotice(notice Notice) {
	for _, crash := range notice.Crashes {
		crash.At = s.now().Add(crash.At.Sub(notice.Sent))
		s.crashed(crash)
	}
	for _, f := range notice.Cleared {
		s.control.book.RecordAnswer(s.now(), f)
	}
	s.adopt(notice.Quarantined)
	s.requestsChanged()
}

// Receiver takes the calls of other daemons under the name Quarantine.
type Receiver struct{ service *service }

// Tell takes a notice in and answers with what is quarantined here.
func (r *Receiver) Tell(notice *Notice, known *Notice) error {
	if !notice.isEmpty() {
		if err := r.service.control.notices.Post(*notice); err != nil {
			return result.Wrap(result.Overloaded, err)
		}
	}
	for f := range r.service.snapshot.Load().requests.Quarantined {
		known.Quarantined = append(known.Quarantined, f)
	}
	return nil
}
