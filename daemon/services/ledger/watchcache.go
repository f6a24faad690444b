package ledger

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// hubRemovals bounds the removals of a prefix that are kept for other daemons.
	hubRemovals = 1024
	// freshFor is how long after the last answer of the store a daemon may say
	// that there is no news: a change must be in force within three seconds.
	freshFor = 2300 * time.Millisecond
	// hubWait bounds the wait of another daemon for news: one that is cut off in
	// silence is noticed soon after.
	hubWait = time.Second
	// distrustFor is how long a daemon that gave no news is left out.
	distrustFor = 3 * time.Second
)

// errNoHub means that another daemon gives no news now.
var errNoHub = errors.New("ledger: the daemon that is followed gives no news")

// hub keeps what is known of a prefix for the daemons that follow this one, so that
// the store is asked once for all. It is safe for concurrent use.
type hub struct {
	mu sync.Mutex
	// records holds the newest event of each key, removals among them.
	records  map[string]outside.Record
	removals int
	// The events after floor and up to through are complete.
	floor, through outside.Revision
	// isKnown is set while the records are complete.
	isKnown bool
	changed chan struct{}
	// heard is when the store last answered a watch of the prefix, to whoever
	// asked it, by the clock that goes on in suspension.
	heard atomic.Int64
}

func newHub() *hub { return &hub{changed: make(chan struct{})} }

// reset begins anew after the prefix was read whole.
func (h *hub) reset(records []outside.Record, at outside.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records, h.removals = make(map[string]outside.Record, len(records)), 0
	for _, record := range records {
		h.records[record.Key] = record
	}
	h.floor, h.through, h.isKnown = at, at, true
	h.wake()
}

// add takes in news that followed on what is known.
func (h *hub) add(records []outside.Record, through outside.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isKnown {
		return
	}
	for _, record := range records {
		if h.records[record.Key].Removed {
			h.removals--
		}
		if record.Removed {
			h.removals++
		}
		h.records[record.Key] = record
	}
	h.through = max(h.through, through)
	if h.removals > hubRemovals {
		h.forget()
	}
	h.wake()
}

// forget drops the older half of the removals.
func (h *hub) forget() {
	removed := make([]outside.Record, 0, h.removals)
	for _, record := range h.records {
		if record.Removed {
			removed = append(removed, record)
		}
	}
	slices.SortFunc(removed, byRevision)
	for _, record := range removed[:len(removed)/2] {
		delete(h.records, record.Key)
		h.floor = record.Revision
		h.removals--
	}
}

func byRevision(a, b outside.Record) int { return cmp.Compare(a.Revision, b.Revision) }

func (h *hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// lose forgets all: this daemon gets no news itself.
func (h *hub) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isKnown, h.records = false, nil
	h.wake()
}

// news is what a hub has for a daemon that knows all up to a revision.
type news struct {
	contract.PrefixChanges
	through outside.Revision
}

// since returns the news after a revision, or all that there is when the history
// does not go back so far; errNoHub when something may be missing; and a channel
// that is closed at the next news.
func (h *hub) since(after outside.Revision) (news, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isKnown {
		return news{}, h.changed, errNoHub
	}
	found := news{through: max(after, h.through)}
	found.Full = after < h.floor
	for _, record := range h.records {
		if found.Full && !record.Removed || !found.Full && record.Revision > after {
			found.Records = append(found.Records, record)
		}
	}
	slices.SortFunc(found.Records, byRevision)
	return found, h.changed, nil
}

// age is the time since the store answered a watch of the prefix.
func (h *hub) age() time.Duration { return boottime.Since(time.Duration(h.heard.Load())) }

// isFresh reports whether this daemon may say that there is no news.
func (h *hub) isFresh() bool { return h.age() < freshFor }

// note takes in an answer of the store that came so long ago.
func (h *hub) note(age time.Duration) {
	at := int64(boottime.Now() - age)
	for last := h.heard.Load(); last < at; last = h.heard.Load() {
		if h.heard.CompareAndSwap(last, at) {
			return
		}
	}
}

// NewsCall asks another daemon for news of a prefix.
type NewsCall struct {
	Prefix string
	After  outside.Revision
	Wait   time.Duration
}

// NewsReply is its answer.
type NewsReply struct {
	// Heard is false when the daemon does not know.
	Heard bool
	// Age is the time since the store last answered, to whoever asked it.
	Age     time.Duration
	News    contract.PrefixChanges
	Through outside.Revision
}

// News waits for news of a prefix, or for a newer word that there is none.
func (r *Receiver) News(call NewsCall, reply *NewsReply) error {
	for _, t := range r.service.tracks {
		if t.prefix == call.Prefix {
			t.hub.serve(call, reply)
			return nil
		}
	}
	return nil
}

func (h *hub) serve(call NewsCall, reply *NewsReply) {
	timer := time.NewTimer(min(call.Wait, hubWait))
	defer timer.Stop()
	isOver := false
	before := h.heard.Load()
	for {
		found, changed, err := h.since(call.After)
		reply.Heard = err == nil && h.isFresh()
		reply.News, reply.Through, reply.Age = found.PrefixChanges, found.through, h.age()
		if !reply.Heard || found.Full || len(found.Records) > 0 || isOver || h.heard.Load() > before {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		}
	}
}

// SetWatchUpstream implements contract.TransactionalStore.
func (s *service) SetWatchUpstream(address string) { s.source.Store(&address) }

// heardFrom asks the daemon that is followed for news, if there is one.
func (t *track) heardFrom(ctx context.Context, after outside.Revision) (news, error) {
	address := t.service.source.Load()
	if address == nil || *address == "" || boottime.Since(t.distrusted) < distrustFor {
		return news{}, errNoHub
	}
	wait := min(t.pace.PollTimeout, hubWait)
	ctx, cancel := context.WithTimeout(ctx, wait+answerWithin)
	defer cancel()
	var reply NewsReply
	err := t.service.peers.Call(ctx, *address, rpcName+".News", NewsCall{Prefix: t.prefix, After: after, Wait: wait}, &reply)
	if err != nil || !reply.Heard {
		t.distrusted = boottime.Now()
		t.service.log.WithField("prefix", t.prefix).WithField("source", *address).Info("The daemon that is followed gives no news.")
		return news{}, errNoHub
	}
	t.service.metrics.Count("store.heard", 1)
	t.hub.note(reply.Age)
	return news{PrefixChanges: reply.News, through: max(after, reply.Through)}, nil
}
