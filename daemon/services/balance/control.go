package balance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/retry"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	eventCapacity = 8192
	replyCapacity = 1024
	// publishDelay batches changes into one publication.
	publishDelay = 10 * time.Millisecond
	// refusalHold is how long a server that refused new work is skipped while
	// others have capacity. It gives the host list time to catch up.
	refusalHold = time.Second
	// linkFailureDelay is how long failures of a daemon's links may look like failures
	// of servers before the links are known to be down.
	linkFailureDelay = 4 * time.Second
	// adaptInterval is the length of the window from which limits are computed.
	adaptInterval = 250 * time.Millisecond
)

// eventKind is the kind of an event that a traffic goroutine observed.
type eventKind uint8

const (
	// eventNone shows nothing about the server: the caller canceled the
	// request.
	eventNone eventKind = iota
	// eventAnswered means that a server that had failed answered again.
	eventAnswered
	// eventConnectFailed means that no connection could be opened.
	eventConnectFailed
	// eventFailed means that the server refused the request or did not answer
	// in time.
	eventFailed
	// eventRefused means that the server takes no new work, for the first time
	// within refusalHold.
	eventRefused
	// eventConnectionLost means that the connection broke during the request.
	eventConnectionLost
	// eventSuspectAnswered means that a request suspected of a crash was
	// answered.
	eventSuspectAnswered
	// eventVersionChanged means that the server reported another weight
	// version.
	eventVersionChanged
)

// isFailure reports whether the event counts against the server.
func (k eventKind) isFailure() bool {
	return k == eventConnectFailed || k == eventFailed || k == eventRefused || k == eventConnectionLost
}

// SetLinksDown implements contract.LinkFailures.
func (s *service) SetLinksDown(down bool) {
	s.control.linksDown = down
	if !down {
		return
	}
	now := s.now()
	for name, r := range s.control.records {
		if !r.health.RevokeSince(now.Add(-linkFailureDelay)) {
			continue
		}
		s.log.Infof("Ejection of server %s is revoked: this daemon's links failed.", name)
		s.loop.CancelTimer(r.recoveryTimer)
		r.recoveryTimer = nil
	}
	s.schedulePublish()
}

// event is sent by traffic goroutines to the control goroutine.
type event struct {
	server      structs.HostName
	kind        eventKind
	fingerprint quarantine.Fingerprint
}

// control is the state of the control goroutine, with the mailboxes that feed
// it.
type control struct {
	events        *kernel.Mailbox[event]
	hostChanges   *kernel.Mailbox[kernel.AsyncResult[*contract.HostView]]
	loads         *kernel.Mailbox[kernel.AsyncResult[loadReport]]
	probes        *kernel.Mailbox[kernel.AsyncResult[probeResult]]
	notices       *kernel.Mailbox[Notice]
	noticeReplies *kernel.Mailbox[kernel.AsyncResult[noticeResult]]
	traffic       *kernel.CoalescingMailbox[struct{}, struct{}]
	// timersRunning is set while the timers of limits and load polls run.
	// Traffic goroutines read it.
	timersRunning atomic.Bool

	// The fields below are only for the control goroutine.
	hosts   *contract.HostView
	records map[structs.HostName]*serverRecord
	// unlisted holds the records of servers that are not in the host list now.
	unlisted map[structs.HostName]*serverRecord
	services map[structs.ServiceName]*serviceRecord
	// zoneEngines are the engines of this daemon's zone, which are polled for
	// their load.
	zoneEngines        []*serverRecord
	tracker            *quarantine.Tracker
	quarantine         quarantine.View
	unconfirmedCrashes *quarantine.UnconfirmedCrashes
	pendingNotice      Notice
	noticeScheduled    bool
	quarantineFetched  bool
	publishScheduled   bool
	expiryScheduled    bool
	pollScheduled      bool
	pollIndex          int
	// linksDown is set while failures are those of this daemon's own links.
	linksDown bool
}

// serverRecord is the control goroutine's state of a backend server.
type serverRecord struct {
	server        structs.BackendServer
	counters      *serverCounters
	adaptive      limit.AdaptiveLimit
	health        retry.Health
	recoveryTimer *kernel.Timer
	// unlistedSince is when the server left the host list; zero while it is
	// listed.
	unlistedSince time.Time
}

// initControl initializes the state before the control loop runs.
func (s *service) initControl() {
	s.snapshot = kernel.NewSnapshot(&snapshot{})
	s.unconfirmed = newUnconfirmedFailures()
	s.control.records = make(map[structs.HostName]*serverRecord)
	s.control.unlisted = make(map[structs.HostName]*serverRecord)
	s.control.services = make(map[structs.ServiceName]*serviceRecord)
	s.control.hosts = &contract.HostView{}
	s.control.tracker = quarantine.NewTracker()
	s.control.unconfirmedCrashes = quarantine.NewUnconfirmedCrashes()
	s.control.events = kernel.NewMailbox(s.loop, eventCapacity, s.handleEvent)
	s.control.hostChanges = kernel.NewMailbox(s.loop, replyCapacity, s.handleHosts)
	s.control.loads = kernel.NewMailbox(s.loop, replyCapacity, s.handleLoad)
	s.control.probes = kernel.NewMailbox(s.loop, replyCapacity, s.handleProbe)
	s.control.notices = kernel.NewMailbox(s.loop, replyCapacity, s.handleNotice)
	s.control.noticeReplies = kernel.NewMailbox(s.loop, replyCapacity, s.handleNoticeReply)
	s.control.traffic = kernel.NewCoalescingMailbox(s.loop, 1, func(struct{}, struct{}) { s.startTimers() })
	s.loop.AfterFunc(0, func() { s.applyHosts(s.hosts.View().Load()) })
}

// watchHosts waits on a worker for the next host view.
func (s *service) watchHosts() {
	current := s.control.hosts
	view := s.hosts.View()
	kernel.RunAsync(s.workers, 0, s.control.hostChanges, func(ctx context.Context) (*contract.HostView, error) {
		newest, replaced := view.Watch()
		if newest != current {
			return newest, nil
		}
		select {
		case <-replaced:
			return view.Load(), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
}

func (s *service) handleHosts(reply kernel.AsyncResult[*contract.HostView]) {
	if reply.Err == nil {
		s.applyHosts(reply.Value)
	}
}

func (s *service) applyHosts(hosts *contract.HostView) {
	previousPeers := s.peerAddresses()
	s.control.hosts = hosts
	s.rebuildServices()
	s.publish()
	s.fetchQuarantined()
	s.notifyNewPeers(previousPeers)
	// Views that arrive during the delay are applied together.
	s.loop.AfterFunc(publishDelay, s.watchHosts)
}

func (s *service) handleEvent(e event) {
	now := s.now()
	if s.control.linksDown && e.kind.isFailure() {
		s.unconfirmed.resolve(e.server)
		if e.kind == eventRefused {
			if r, ok := s.control.records[e.server]; ok {
				r.counters.isRefusing.Store(false)
			}
		}
		return
	}
	switch e.kind {
	case eventSuspectAnswered:
		if s.control.tracker.RecordAnswer(now, e.fingerprint) {
			s.pendingNotice().Cleared = append(s.pendingNotice().Cleared, e.fingerprint)
			s.publishQuarantine()
		}
		return
	case eventConnectionLost:
		if s.control.unconfirmedCrashes.AddSuspect(now, e.server, e.fingerprint) {
			s.probeServer(e.server, 1)
		}
	}
	r, ok := s.control.records[e.server]
	if !ok {
		return
	}
	switch e.kind {
	case eventAnswered:
		r.health.RecordSuccess()
	case eventVersionChanged:
		s.schedulePublish()
	case eventRefused:
		s.loop.AfterFunc(refusalHold, func() { r.counters.isRefusing.Store(false) })
		s.recordFailure(now, e.server, r)
	default:
		s.recordFailure(now, e.server, r)
	}
}

// recordFailure counts a failure of a server and ejects it after too many.
func (s *service) recordFailure(now time.Time, name structs.HostName, r *serverRecord) {
	if !r.health.RecordFailure(now, func() bool { return s.mayEject(now, r.server.Service) }) {
		return
	}
	s.log.Warnf("Ejected failing server %s.", name)
	s.metrics.Count("balance.ejections", 1)
	s.schedulePublish()
	s.scheduleRecovery(now, r)
}

// mayEject reports whether one more server of a service may be ejected, within
// retry.MaxEjectedFraction.
func (s *service) mayEject(now time.Time, service structs.ServiceName) bool {
	sr := s.control.services[service]
	if sr == nil {
		return false
	}
	ejected := 1
	for _, r := range sr.records {
		if share, _ := r.health.Share(now); share == 0 {
			ejected++
		}
	}
	return float64(ejected) <= retry.MaxEjectedFraction*float64(len(sr.records))
}

// scheduleRecovery publishes a server's share at each step of its return from
// ejection.
func (s *service) scheduleRecovery(now time.Time, r *serverRecord) {
	s.loop.CancelTimer(r.recoveryTimer)
	r.recoveryTimer = nil
	if _, next := r.health.Share(now); !next.IsZero() {
		r.recoveryTimer = s.loop.AfterFunc(next.Sub(now), func() {
			s.schedulePublish()
			s.scheduleRecovery(s.now(), r)
		})
	}
}

// schedulePublish publishes after publishDelay, once for all changes until
// then.
func (s *service) schedulePublish() {
	if s.control.publishScheduled {
		return
	}
	s.control.publishScheduled = true
	s.loop.AfterFunc(publishDelay, func() {
		s.control.publishScheduled = false
		s.publish()
	})
}

// signalTraffic starts the timers of limits and load polls unless they run.
func (s *service) signalTraffic() {
	if s.control.timersRunning.Load() || s.control.timersRunning.Swap(true) {
		return
	}
	_ = s.control.traffic.Post(struct{}{}, struct{}{})
}

func (s *service) startTimers() {
	s.loop.AfterFunc(adaptInterval, s.adaptLimits)
	if !s.control.pollScheduled {
		s.control.pollScheduled = true
		s.loop.AfterFunc(loadPollInterval, s.pollLoad)
	}
}

// loadReport is the load that an engine reported, with the number of this
// daemon's requests there when it was polled.
type loadReport struct {
	server      structs.HostName
	ownInFlight int32
	load        outside.LoadReport
}
