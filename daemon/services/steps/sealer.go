package steps

import (
	"context"
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// sealer is the traffic state of a workspace whose steps this daemon owns. Its
// lock guards the pool; headToken serializes updates of the head, which write to
// the store without holding the lock.
type sealer struct {
	service   *service
	workspace structs.WorkspaceName
	term      structs.Term
	// headToken contains a token while the head is being updated.
	headToken chan struct{}

	mu   sync.Mutex
	pool *step.Pool
	// revision is the revision of the head in the store.
	revision outside.Revision
	// changed is closed, and replaced, when samples are added, a step is sealed
	// or the sealer is closed.
	changed chan struct{}
	closed  bool
}

func (s *service) newSealer(workspace structs.WorkspaceName, pool *step.Pool, revision outside.Revision) *sealer {
	return &sealer{
		service:   s,
		workspace: workspace,
		term:      pool.Head().Term,
		headToken: make(chan struct{}, 1),
		pool:      pool,
		revision:  revision,
		changed:   make(chan struct{}),
	}
}

// errNotOwner returns the error of a sealer whose daemon is no longer the owner.
func errNotOwner(workspace structs.WorkspaceName) error {
	return result.New(result.PeerUnreachable, "this daemon does not own the steps of %s", workspace)
}

// close makes further operations fail with errNotOwner and wakes the waiting
// requests, which then look up the new owner.
func (sl *sealer) close() {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.closed = true
	sl.notifyLocked()
}

func (sl *sealer) isClosed() bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.closed
}

// notifyLocked wakes the waiting requests. The caller must hold the lock.
func (sl *sealer) notifyLocked() {
	close(sl.changed)
	sl.changed = make(chan struct{})
}

// loseOwnership closes the sealer and reports the loss to the control goroutine.
func (sl *sealer) loseOwnership() {
	sl.close()
	_ = sl.service.ownershipLosses.Post(ownershipLoss{workspace: sl.workspace, term: sl.term})
}

// addOffers adds offers to the pool. It returns the status of each sample and the
// oldest step that can still be delivered.
func (sl *sealer) addOffers(now time.Time, age time.Duration, offers []step.Offer) ([]step.Standing, uint64) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	before := sl.pool.WaitingCount()
	statuses := sl.pool.Offer(now, age, offers)
	if sl.pool.WaitingCount() != before {
		sl.notifyLocked()
	}
	return statuses, sl.pool.Head().FirstKept()
}

// findStep returns the list of a sealed step, and a channel that is closed at the
// next change of the pool.
func (sl *sealer) findStep(number uint64) (step.SampleList, <-chan struct{}, error) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.closed {
		return step.SampleList{}, sl.changed, errNotOwner(sl.workspace)
	}
	list, err := sl.pool.Find(number)
	return list, sl.changed, err
}

// waitForStep returns the list of a step and seals the step if it is the next one.
// It waits for samples until ctx ends and then fails with code StepNotReady.
func (sl *sealer) waitForStep(ctx context.Context, number uint64, holds structs.WeightVersion) (step.SampleList, error) {
	for {
		list, changed, err := sl.findStep(number)
		if result.CodeOf(err) == result.StepNotReady {
			err = sl.seal(ctx, number, holds)
			if err == nil {
				continue
			}
		}
		if result.CodeOf(err) != result.StepNotReady {
			return list, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return step.SampleList{}, err
		}
	}
}

// acquireHead waits for exclusive access to the head and reports whether it got
// access before ctx ended.
func (sl *sealer) acquireHead(ctx context.Context) bool {
	select {
	case sl.headToken <- struct{}{}:
		return true
	default:
	}
	select {
	case sl.headToken <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (sl *sealer) releaseHead() { <-sl.headToken }
