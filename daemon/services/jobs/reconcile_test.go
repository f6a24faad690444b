package jobs

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// memoryStore holds records in memory. It does not check conditions.
type memoryStore struct {
	contract.TransactionalStore
	mu       sync.Mutex
	records  map[string]outside.Record
	revision outside.Revision
	// loseReplies makes Commit fail after it has applied a transaction.
	loseReplies bool
}

func (m *memoryStore) Get(_ context.Context, key string) (outside.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, ok := m.records[key]
	if !ok {
		return outside.Record{}, outside.ErrNotFound
	}
	return record, nil
}

func (m *memoryStore) List(_ context.Context, prefix string) (outside.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listing := outside.Listing{AsOf: m.revision}
	for key, record := range m.records {
		if strings.HasPrefix(key, prefix) {
			listing.Records = append(listing.Records, record)
		}
	}
	return listing, nil
}

func (m *memoryStore) Commit(_ context.Context, transaction outside.Transaction) (outside.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	for _, write := range transaction.Writes {
		m.records[write.Key] = outside.Record{Key: write.Key, Value: write.Value, Revision: m.revision}
	}
	if m.loseReplies {
		return 0, outside.ErrUnavailable
	}
	return m.revision, nil
}

// recordedPeers records the methods that were called.
type recordedPeers struct {
	contract.Peers
	mu      sync.Mutex
	methods []string
}

func (p *recordedPeers) Call(_ context.Context, _, method string, _, _ any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.methods = append(p.methods, method)
	return nil
}

// newStoredService returns a service on host-1 with a memory store, beside a live
// daemon on host-2. Its control loop runs.
func newStoredService(t *testing.T) (*service, *memoryStore, *recordedPeers) {
	t.Helper()
	s, store, peers := newService(), &memoryStore{records: make(map[string]outside.Record)}, &recordedPeers{}
	s.store, s.jobStore, s.peers = store, newJobStore(store), peers
	s.workers, s.loopExecutor = kernel.NewWorkers(10), kernel.NewLoopExecutor(s.loop)
	// There are no engines to place items on.
	s.isStopping = true
	s.adoptions = kernel.NewMailbox(s.loop, mailboxCapacity, s.adopt)
	view := sessionView("host-1.1a", "host-2.1a")
	view.Self = membership.Member{Name: "host-1.1a"}
	for name, member := range view.Live {
		member.RPCAddress = name
		view.Live[name] = member
	}
	s.session.(*fakeServices).session.Publish(view)
	ctx, cancel := context.WithCancel(t.Context())
	go s.loop.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-s.loop.Done()
		s.workers.Stop()
	})
	return s, store, peers
}

func storeJob(t *testing.T, s *service, owner string) storedJob {
	t.Helper()
	job := &batch.Job{ID: "job", Items: []batch.Item{{ID: "a"}}}
	source := []byte(`{"items":[{"id":"a"}]}`)
	stored, err := s.jobStore.create(t.Context(), job, source, batch.Ownership{Owner: owner, Epoch: 2, Submitted: 1})
	must.NoError(t, err)
	s.jobStore.jobs[job.ID] = job
	return stored
}

// TestReconcileOwnership_LostAdopt asks a daemon for the results of a job that was
// handed over to it without notice. It must adopt the job.
func TestReconcileOwnership_LostAdopt(t *testing.T) {
	s, _, _ := newStoredService(t)
	storeJob(t, s, "host-1.1a")
	var reply ResultsRPC
	must.NoError(t, (&Receiver{service: s}).Results(contract.ResultsRequest{ID: "job"}, &reply))
	must.False(t, reply.Known)
	isOwned := func() bool { return s.isOwned("job") }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(isOwned), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
}

// TestReconcileOwnership_OtherOwner asks a daemon for a job that another one owns, by
// an outdated cache.
func TestReconcileOwnership_OtherOwner(t *testing.T) {
	s, _, _ := newStoredService(t)
	storeJob(t, s, "host-2.1a")
	s.reconcileOwnership("job")
	isPending := func() bool { _, isPending := s.reconciling.Load("job"); return isPending }
	must.True(t, isPending())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !isPending() }), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
	must.False(t, s.isOwned("job"))
}

// TestTakeOverOrphans_RemindsOwner sweeps over the open job of a live owner, which must be
// notified.
func TestTakeOverOrphans_RemindsOwner(t *testing.T) {
	s, _, peers := newStoredService(t)
	storeJob(t, s, "host-2.1a")
	isGone := func(string) bool { return false }
	_, err := s.takeOverOrphans(t.Context(), false, isGone)
	must.NoError(t, err)
	must.Len(t, 0, peers.methods)
	_, err = s.takeOverOrphans(t.Context(), true, isGone)
	must.NoError(t, err)
	must.Eq(t, []string{"Jobs.Owned"}, peers.methods)
}

// TestHandOverJob_LostReply loses the reply of the store to the write that hands a
// job over. The successor must still get the job with its texts.
func TestHandOverJob_LostReply(t *testing.T) {
	s, store, peers := newStoredService(t)
	stored := storeJob(t, s, "host-1.1a")
	store.loseReplies = true
	s.handOverJob(t.Context(), handover{id: "job", ownership: stored.ownership}, "host-2.1a")
	must.Eq(t, []string{"Jobs.Adopt"}, peers.methods)
}

// TestHandOverJob_DropsJob checks that a daemon no longer owns a job that it has handed
// over, as reads of its results would wait there.
func TestHandOverJob_DropsJob(t *testing.T) {
	s, _, _ := newStoredService(t)
	stored := storeJob(t, s, "host-1.1a")
	s.deliverAdoption(adoption{storedJob: stored})
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.isOwned("job") }), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
	s.handOverJob(t.Context(), handover{id: "job", ownership: stored.ownership}, "host-2.1a")
	must.False(t, s.isOwned("job"))
}
