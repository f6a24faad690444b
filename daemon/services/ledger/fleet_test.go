package ledger

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	fleetMembers = "session/"
	fleetConfig  = "op/"
)

// countingStore is a store in memory that counts the calls by kind and by daemon.
type countingStore struct {
	mu       sync.Mutex
	records  map[string]outside.Record
	revision outside.Revision
	changed  chan struct{}
	isDown   bool
	calls    map[string]map[string]int
	// silent holds the daemons whose calls to the store get no reply.
	silent map[string]bool
}

// setSilent leaves all further calls of the daemons without a reply.
func (s *countingStore) setSilent(daemons []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = make(map[string]bool)
	for _, daemon := range daemons {
		s.silent[daemon] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func newCountingStore() *countingStore {
	s := &countingStore{records: make(map[string]outside.Record), changed: make(chan struct{})}
	s.resetCalls()
	return s
}

func (s *countingStore) resetCalls() map[string]map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = map[string]map[string]int{"list": {}, "list-stale": {}, "watch": {}}
	return calls
}

func (s *countingStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.records[key] = outside.Record{Key: key, Value: []byte(value), Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes every call fail, also those that wait, or serves them again.
func (s *countingStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *countingStore) isSilentTo(daemon string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[daemon]
}

// read counts a call and returns the records under a prefix after a revision.
func (s *countingStore) read(kind, daemon, prefix string, after outside.Revision, counts bool) (outside.Listing, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if counts {
		s.calls[kind][daemon]++
	}
	if s.isDown {
		return outside.Listing{}, nil, errors.WithStack(outside.ErrUnavailable)
	}
	if s.silent[daemon] {
		return outside.Listing{}, nil, errNoReply
	}
	listing := outside.Listing{AsOf: s.revision}
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) && record.Revision > after {
			listing.Records = append(listing.Records, record)
		}
	}
	return listing, s.changed, nil
}

// errNoReply means that the store does not reply to a daemon.
var errNoReply = errors.New("no reply")

// awaitTimeout waits until the caller gives up if the store does not reply.
func awaitTimeout(ctx context.Context, err error) error {
	if !errors.Is(err, errNoReply) {
		return err
	}
	<-ctx.Done()
	return errors.Wrap(outside.ErrUnavailable, ctx.Err().Error())
}

// daemonStore is the store as one daemon calls it.
type daemonStore struct {
	outside.TransactionalStore
	*countingStore
	daemon string
}

func (d *daemonStore) List(ctx context.Context, prefix string) (outside.Listing, error) {
	listing, _, err := d.read("list", d.daemon, prefix, 0, true)
	return listing, awaitTimeout(ctx, err)
}

func (d *daemonStore) ListStale(ctx context.Context, prefix string) (outside.Listing, error) {
	listing, _, err := d.read("list-stale", d.daemon, prefix, 0, true)
	return listing, awaitTimeout(ctx, err)
}

func (d *daemonStore) Watch(ctx context.Context, prefix string, after outside.Revision, wait time.Duration) ([]outside.Record, outside.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for counts := true; ; counts = false {
		listing, changed, err := d.read("watch", d.daemon, prefix, after, counts)
		if err != nil || len(listing.Records) > 0 {
			return listing.Records, listing.AsOf, awaitTimeout(ctx, err)
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, listing.AsOf, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// fleetPeers calls the receivers of the other daemons of the test.
type fleetPeers struct {
	kernel.Base
	services map[string]*service

	mu sync.Mutex
	// hung holds the daemons that answer no calls.
	hung map[string]bool
}

// hang lets the daemons answer no further calls.
func (f *fleetPeers) hang(daemons []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hung = make(map[string]bool)
	for _, daemon := range daemons {
		f.hung[daemon] = true
	}
}

func (f *fleetPeers) isHung(daemon string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hung[daemon]
}

func (f *fleetPeers) Call(ctx context.Context, address, _ string, args, reply any) error {
	call, ok := args.(NewsCall)
	if !ok {
		return errors.New("not relayed in this test")
	}
	done := make(chan NewsReply, 1)
	go func() {
		var answer NewsReply
		_ = (&Receiver{service: f.services[address]}).News(call, &answer)
		if !f.isHung(address) {
			done <- answer
		}
	}()
	select {
	case *reply.(*NewsReply) = <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// followers are the ledgers of a fleet, without their other services.
type followers struct {
	store *countingStore
	peers *fleetPeers
	// config is the value of the configuration that each daemon has.
	config map[string]*atomic.Value
}

// startFollowers starts the ledgers of all daemons of some zones at once, of which some
// answer no calls. Their members are written to the store as their sessions would.
func startFollowers(t *testing.T, zones, perZone int, hung ...string) *followers {
	log := logrus.New()
	log.SetOutput(io.Discard)
	fleet := &followers{store: newCountingStore(), config: make(map[string]*atomic.Value)}
	fleet.store.put(fleetConfig+"config", "1")
	peers := &fleetPeers{services: make(map[string]*service)}
	fleet.peers = peers
	peers.hang(hung)
	ctx, cancel := context.WithCancel(context.Background())
	workers := kernel.NewWorkers(1 << 16)
	var loops sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		workers.Stop()
		loops.Wait()
	})
	var starts []func()
	for i := range zones * perZone {
		self := membership.Member{Name: fmt.Sprintf("host-%03d.1a", i), Zone: structs.ZoneName(fmt.Sprint(i % zones)), Strength: 0.2}
		self.RPCAddress = self.Name
		loop := kernel.NewLoop(clockwork.NewRealClock())
		s := &service{
			store: &daemonStore{countingStore: fleet.store, daemon: self.Name}, loop: loop, workers: workers, log: logrus.NewEntry(log),
			metrics: noMetrics{}, peers: peers, connectivity: kernel.NewSnapshot(&connectivity{}), maxDirectDelay: maxDirectDelay(3 * time.Second),
		}
		s.upstreams.known = make(chan struct{})
		value := &atomic.Value{}
		fleet.config[self.Name], peers.services[self.Name] = value, s
		live := make(map[string]membership.Member)
		s.WatchPrefix(fleetMembers, contract.WatchOptions{PollTimeout: 2 * time.Second, ListsUpstreams: true}, func(news contract.News) {
			for _, record := range news.Records {
				name, zone, _ := strings.Cut(string(record.Value), " ")
				live[name] = membership.Member{Name: name, RPCAddress: name, Zone: structs.ZoneName(zone), Strength: 0.2}
			}
			if len(live) > 0 {
				s.SetWatchUpstreams(membership.Upstreams(self, live))
			}
		})
		s.WatchPrefix(fleetConfig, contract.WatchOptions{PollTimeout: 1500 * time.Millisecond}, func(news contract.News) {
			for _, record := range news.Records {
				value.Store(string(record.Value))
			}
		})
		starts = append(starts, func() {
			loops.Go(func() { loop.Run(ctx) })
			fleet.store.put(fleetMembers+self.Name, self.Name+" "+string(self.Zone))
			must.NoError(t, s.Start())
		})
	}
	for _, start := range starts {
		start()
	}
	return fleet
}

// awaitConfig waits until every daemon that the store answers has a configuration and
// returns how long it took.
func (f *followers) awaitConfig(t *testing.T, value string) time.Duration {
	t.Helper()
	started := time.Now()
	for name, config := range f.config {
		for config.Load() != value && !f.store.isSilentTo(name) {
			must.Less(t, 10*time.Second, time.Since(started), must.Sprint(name))
			<-time.After(5 * time.Millisecond)
		}
	}
	return time.Since(started)
}

// TestFleet_OneReader starts 120 daemons of six zones at once, changes the
// configuration, and takes the store away for a time. Each change must be in force
// everywhere within the three seconds that small deployments allow; the store must not
// be listed by all of them, and be watched by one daemon of each zone at most once they
// know each other.
func TestFleet_OneReader(t *testing.T) {
	const zones, perZone = 6, 20
	fleet := startFollowers(t, zones, perZone)
	must.Less(t, 3*time.Second, fleet.awaitConfig(t, "1"))
	<-time.After(2500 * time.Millisecond) // The longest wait at the start.
	atStart := fleet.store.resetCalls()
	must.MapLen(t, 0, atStart["list"])

	fleet.store.put(fleetConfig+"config", "2")
	must.Less(t, 3*time.Second, fleet.awaitConfig(t, "2"))
	<-time.After(2 * time.Second)
	calm := fleet.store.resetCalls()
	must.MapLen(t, 0, calm["list"])
	must.MapLen(t, 0, calm["list-stale"])
	must.LessEq(t, zones, len(calm["watch"]))

	fleet.store.setDown(true)
	<-time.After(4 * time.Second)
	fleet.store.setDown(false)
	fleet.store.put(fleetConfig+"config", "3")
	must.Less(t, 3*time.Second, fleet.awaitConfig(t, "3"))
	<-time.After(time.Second)
	outage := fleet.store.resetCalls()
	must.MapLen(t, 0, outage["list"])

	fleet.store.put(fleetConfig+"config", "4")
	must.Less(t, 3*time.Second, fleet.awaitConfig(t, "4"))
	<-time.After(2 * time.Second)
	must.LessEq(t, zones, len(fleet.store.resetCalls()["watch"]))
	t.Logf("start %s, calm %s, outage %s", count(atStart), count(calm), count(outage))
}

// TestFleet_StartWhileUpstreamsHang starts daemons that find no other one answering, as
// after a loss of power of all hosts. They must not wait for the timeouts of the calls
// before they read the configuration themselves, and must not read it again and again.
func TestFleet_StartWhileUpstreamsHang(t *testing.T) {
	const zones, perZone = 3, 4
	var all []string
	for i := range zones * perZone {
		all = append(all, fmt.Sprintf("host-%03d.1a", i))
	}
	fleet := startFollowers(t, zones, perZone, all...)
	must.Less(t, upstreamPollTimeout, fleet.awaitConfig(t, "1"))
	for _, calls := range fleet.store.resetCalls()["list-stale"] {
		must.LessEq(t, 8, calls)
	}
}

// TestFleet_ChangeWhileUpstreamsHang changes the configuration while the first daemons
// of each zone, which serve changes to all others, stop answering, and again while they
// are cut off from the store alone. The change must be in force on the other daemons
// within the three seconds that small deployments allow.
func TestFleet_ChangeWhileUpstreamsHang(t *testing.T) {
	const zones, perZone, hungPerZone = 6, 10, 4
	var upstreams []string
	for i := range zones * hungPerZone {
		upstreams = append(upstreams, fmt.Sprintf("host-%03d.1a", i))
	}
	for name, fail := range map[string]func(*followers){
		"hung":               func(f *followers) { f.store.setSilent(upstreams); f.peers.hang(upstreams) },
		"cut from the store": func(f *followers) { f.store.setSilent(upstreams) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := startFollowers(t, zones, perZone)
			took := fleet.awaitConfig(t, "1")
			t.Logf("start took %s", took)
			must.Less(t, 3*time.Second, took)
			<-time.After(2500 * time.Millisecond) // The longest wait at the start.
			fail(fleet)
			<-time.After(100 * time.Millisecond)
			fleet.store.put(fleetConfig+"config", "2")
			took = fleet.awaitConfig(t, "2")
			t.Logf("took %s", took)
			must.Less(t, 3*time.Second, took)
		})
	}
}

// count describes calls by kind.
func count(calls map[string]map[string]int) string {
	var b strings.Builder
	for _, kind := range []string{"list", "list-stale", "watch"} {
		total := 0
		for _, n := range calls[kind] {
			total += n
		}
		fmt.Fprintf(&b, "%s %d by %d; ", kind, total, len(calls[kind]))
	}
	return b.String()
}
