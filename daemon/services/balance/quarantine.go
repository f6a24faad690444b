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
	// probeTimeout bounds a probe. Up to maxProbes are made, probeDelay apart,
	// since the port of a crashing process may accept connections for a moment.
	probeTimeout = time.Second
	probeDelay   = 300 * time.Millisecond
	maxProbes    = 2
	// maxReferences is the number of other servers that are probed if a probe fails.
	maxReferences = 3
	// noticeDelay batches crashes into one notice, and noticeTimeout bounds the
	// call to one daemon.
	noticeDelay   = 20 * time.Millisecond
	noticeTimeout = time.Second
	// noticeAttempts is how often a notice is sent to a daemon that does not
	// answer.
	noticeAttempts   = 3
	noticeRetryDelay = time.Second
)

// Notice is what daemons report to each other about crashes and quarantined
// requests.
type Notice struct {
	// Sent is the sender's time, relative to which the receiver computes the
	// ages of the crashes.
	Sent time.Time
	// Crashes are the crashes that the sender confirmed by probes.
	Crashes []quarantine.Crash
	// Quarantined are the requests that the sender has quarantined.
	Quarantined []quarantine.Fingerprint
	// Cleared are the suspects that were answered.
	Cleared []quarantine.Fingerprint
}

func (n *Notice) isEmpty() bool {
	return len(n.Crashes) == 0 && len(n.Quarantined) == 0 && len(n.Cleared) == 0
}

// probeFunc opens a connection to an address and closes it.
type probeFunc func(ctx context.Context, address string) error

func probeTCP(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// probeResult reports whether a server accepts connections.
type probeResult struct {
	server  structs.HostName
	attempt int
	isUp    bool
	// isInconclusive is set if the server accepts no connection, and no other server
	// does: this daemon's links may be down.
	isInconclusive bool
}

// probeServer probes whether a server whose connection broke has crashed.
func (s *service) probeServer(name structs.HostName, attempt int) {
	r, ok := s.control.records[name]
	if !ok {
		s.control.unconfirmedCrashes.Remove(name)
		s.unconfirmed.resolve(name)
		return
	}
	address, probe, references := r.server.Address, s.probe, s.referenceAddresses(name)
	kernel.RunAsync(s.workers, probeTimeout, s.control.probes, func(ctx context.Context) (probeResult, error) {
		if probe(ctx, address) == nil {
			return probeResult{server: name, attempt: attempt, isUp: true}, nil
		}
		// The probe may have used up the time of its context.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return probeResult{server: name, attempt: attempt, isInconclusive: !reachesAny(ctx, probe, references)}, nil
	})
}

// referenceAddresses returns the addresses of some other servers, at least one of which
// must be reached for a failed probe to show that a server has crashed.
func (s *service) referenceAddresses(probed structs.HostName) []string {
	var addresses []string
	for name, r := range s.control.records {
		if name != probed && r.unlistedSince.IsZero() {
			addresses = append(addresses, r.server.Address)
		}
		if len(addresses) == maxReferences {
			break
		}
	}
	return addresses
}

// reachesAny reports whether any of the addresses accepts a connection. It returns true
// without addresses, so that the only server of a deployment can be found to have crashed.
func reachesAny(ctx context.Context, probe probeFunc, addresses []string) bool {
	for _, address := range addresses {
		if probe(ctx, address) == nil {
			return true
		}
	}
	return len(addresses) == 0
}

func (s *service) handleProbe(reply kernel.AsyncResult[probeResult]) {
	probe := reply.Value
	if probe.isUp && probe.attempt < maxProbes {
		s.loop.AfterFunc(probeDelay, func() { s.probeServer(probe.server, probe.attempt+1) })
		return
	}
	crash, _ := s.control.unconfirmedCrashes.Remove(probe.server)
	if !probe.isUp {
		s.hosts.Report(probe.server, contract.SignalFailedConnect)
	}
	if !probe.isUp && !probe.isInconclusive && !s.control.linksDown && len(crash.Suspects) > 0 {
		s.log.Warnf("Server %s crashed with %d suspect requests.", crash.Server, len(crash.Suspects))
		s.recordCrash(crash)
		s.pendingNotice().Crashes = append(s.pendingNotice().Crashes, crash)
	}
	// Requests that wait for the probe read the snapshot that was just
	// published.
	s.unconfirmed.resolve(probe.server)
}

// recordCrash records a crash and quarantines the requests that caused it.
func (s *service) recordCrash(crash quarantine.Crash) {
	quarantined := s.control.tracker.RecordCrash(s.now(), crash)
	for _, f := range quarantined {
		s.log.Warnf("Quarantined requests with fingerprint %x.", uint64(f))
		s.metrics.Count("balance.quarantined", 1)
	}
	if len(quarantined) > 0 {
		s.pendingNotice().Quarantined = append(s.pendingNotice().Quarantined, quarantined...)
	}
	s.publishQuarantine()
}

// publishQuarantine publishes suspects and quarantined requests without
// publishDelay, since such a request may arrive again at any moment.
func (s *service) publishQuarantine() {
	s.control.quarantine = s.control.tracker.View()
	s.publish()
	known := len(s.control.quarantine.Suspects) + len(s.control.quarantine.Quarantined)
	if known > 0 && !s.control.expiryScheduled {
		s.control.expiryScheduled = true
		s.loop.AfterFunc(quarantine.SuspectRetention, s.expireQuarantine)
	}
}

func (s *service) expireQuarantine() {
	s.control.expiryScheduled = false
	s.control.tracker.Expire(s.now())
	s.publishQuarantine()
}

// pendingNotice returns the notice that collects what is to be sent, and
// schedules its sending.
func (s *service) pendingNotice() *Notice {
	if !s.control.noticeScheduled {
		s.control.noticeScheduled = true
		s.loop.AfterFunc(noticeDelay, s.sendNotice)
	}
	return &s.control.pendingNotice
}

func (s *service) sendNotice() {
	notice := s.control.pendingNotice
	s.control.pendingNotice, s.control.noticeScheduled = Notice{}, false
	if notice.isEmpty() {
		return
	}
	for _, address := range s.peerAddresses() {
		s.sendNoticeTo(address, notice, 1)
	}
}

// peerAddresses returns the addresses of the other daemons to which a caller
// may send its next requests: those of the zone, or all daemons on a managed
// platform, whose load balancer does not keep a caller within a zone.
func (s *service) peerAddresses() []string {
	var addresses []string
	for _, daemon := range s.control.hosts.Daemons {
		isOwn := daemon.Name == s.config.Host || daemon.Address == s.config.Listen.Peers
		if !isOwn && (daemon.Place.Zone == s.config.Place.Zone || s.config.Platform.ClosedNetwork) {
			addresses = append(addresses, daemon.Address)
		}
	}
	return addresses
}

// noticeResult is the outcome of sending a notice to one daemon.
type noticeResult struct {
	address string
	notice  Notice
	attempt int
	failed  bool
	reply   Notice
}

// sendNoticeTo sends a notice to a daemon, whose reply lists what it has
// quarantined itself.
func (s *service) sendNoticeTo(address string, notice Notice, attempt int) {
	peers, clock := s.peers, s.clock
	kernel.RunAsync(s.workers, noticeTimeout, s.control.noticeReplies, func(ctx context.Context) (noticeResult, error) {
		outcome := noticeResult{address: address, notice: notice, attempt: attempt}
		notice.Sent = clock.Now()
		outcome.failed = peers.Call(ctx, address, methodTell, &notice, &outcome.reply) != nil
		return outcome, nil
	})
}

func (s *service) handleNoticeReply(reply kernel.AsyncResult[noticeResult]) {
	outcome := reply.Value
	if !outcome.failed {
		s.mergeQuarantined(outcome.reply.Quarantined)
		return
	}
	if outcome.attempt < noticeAttempts {
		s.loop.AfterFunc(noticeRetryDelay, func() { s.sendNoticeTo(outcome.address, outcome.notice, outcome.attempt+1) })
	}
}

// mergeQuarantined adds the requests that other daemons have quarantined.
func (s *service) mergeQuarantined(fingerprints []quarantine.Fingerprint) {
	changed := false
	for _, f := range fingerprints {
		if !s.control.quarantine.Quarantined[f] {
			s.control.tracker.Quarantine(s.now(), f)
			changed = true
		}
	}
	if changed {
		s.publishQuarantine()
	}
}

// fetchQuarantined asks other daemons, once after the start, for the requests
// that they have quarantined.
func (s *service) fetchQuarantined() {
	if s.control.quarantineFetched || !s.control.hosts.Loaded {
		return
	}
	addresses := s.peerAddresses()
	s.control.quarantineFetched = len(addresses) > 0
	for _, address := range addresses[:min(len(addresses), maxFetchPeers)] {
		s.sendNoticeTo(address, Notice{}, 1)
	}
}

// notifyNewPeers sends the quarantined requests to daemons that are new in the
// list: they may have asked before a request was quarantined.
func (s *service) notifyNewPeers(previousPeers []string) {
	if len(s.control.quarantine.Quarantined) == 0 {
		return
	}
	notice := Notice{Quarantined: s.control.tracker.Quarantined()}
	for _, address := range s.peerAddresses() {
		if !slices.Contains(previousPeers, address) {
			s.sendNoticeTo(address, notice, 1)
		}
	}
}

// maxFetchPeers is how many daemons a starting daemon asks.
const maxFetchPeers = 3

// handleNotice applies a notice of another daemon.
func (s *service) handleNotice(notice Notice) {
	for _, crash := range notice.Crashes {
		crash.At = s.now().Add(crash.At.Sub(notice.Sent))
		s.recordCrash(crash)
	}
	for _, f := range notice.Cleared {
		s.control.tracker.RecordAnswer(s.now(), f)
	}
	s.mergeQuarantined(notice.Quarantined)
	s.publishQuarantine()
}

// Receiver serves the net/rpc calls of other daemons under the name Quarantine.
type Receiver struct{ service *service }

// Tell accepts a notice and replies with the requests that are quarantined
// here. It fails with code Overloaded.
func (r *Receiver) Tell(notice *Notice, reply *Notice) error {
	if !notice.isEmpty() {
		if err := r.service.control.notices.Post(*notice); err != nil {
			return result.Wrap(result.Overloaded, err)
		}
	}
	for f := range r.service.snapshot.Load().quarantine.Quarantined {
		reply.Quarantined = append(reply.Quarantined, f)
	}
	return nil
}
