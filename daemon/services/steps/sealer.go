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

// sealer is the traffic state of a workspace whose steps this daemon owns.
// Offers come in under its lock; changes of the head are made one at a time.
type sealer struct {
	service   *service
	workspace structs.WorkspaceName
	term      structs.Term
	// turn holds a token while the head is being changed.
	turn chan struct{}

	mu     sync.Mutex
	decide *step.Pool
	// revision is that of the head in the store.
	revision outside.Revision
	// news is closed when samples came in or a step was sealed.
	news   chan struct{}
	closed bool
}

func (s *service) newSealer(workspace structs.WorkspaceName, decide *step.Pool, revision outside.Revision) *sealer {
	return &sealer{
		service:   s,
		workspace: workspace,
		term:      decide.Head().Term,
		turn:      make(chan struct{}, 1),
		decide:    decide,
		revision:  revision,
		news:      make(chan struct{}),
	}
}

// errNotOwner is the failure of a sealer whose daemon was replaced.
func errNotOwner(workspace structs.WorkspaceName) error {
	return result.New(result.PeerUnreachable, "this daemon does not own the steps of %s", workspace)
}

// close ends the sealer; those who wait look for the new owner.
func (sl *sealer) close() {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.closed = true
	sl.wake()
}

func (sl *sealer) isClosed() bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.closed
}

// wake tells those who wait of news; the lock must be held.
func (sl *sealer) wake() {
	close(sl.news)
	sl.news = make(chan struct{})
}

// overtaken closes the pool and tells the control goroutine.
func (sl *sealer) overtaken() {
	sl.close()
	_ = sl.service.losses.Post(loss{workspace: sl.workspace, term: sl.term})
}

// offer takes in samples and says what became of each.
func (sl *sealer) offer(now time.Time, age time.Duration, offers []step.Offer) ([]step.SampleStatus, uint64) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	before := sl.decide.WaitingCount()
	standings := sl.decide.Offer(now, age, offers)
	if sl.decide.WaitingCount() != before {
		sl.wake()
	}
	return standings, sl.decide.Head().FirstKept()
}

// find looks a sealed step up and returns the channel of the next news.
func (sl *sealer) find(number uint64) (step.SampleList, <-chan struct{}, error) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.closed {
		return step.SampleList{}, sl.news, errNotOwner(sl.workspace)
	}
	list, err := sl.decide.Find(number)
	return list, sl.news, err
}

// step returns a step, sealing it when it is the next one. It waits for
// samples until ctx ends and then fails with code StepNotReady.
func (sl *sealer) step(ctx context.Context, number uint64, holds structs.WeightVersion) (step.SampleList, error) {
	for {
		list, news, err := sl.find(number)
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
		case <-news:
		case <-ctx.Done():
			return step.SampleList{}, err
		}
	}
}

// acquire takes the turn to change the head and reports whether it got it.
func (sl *sealer) acquire(ctx context.Context) bool {
	select {
	case sl.turn <- struct{}{}:
		return true
	default:
	}
	select {
	case sl.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (sl *sealer) release() { <-sl.turn }
