package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// hubEvents bounds the events of a prefix that are kept for other daemons.
	hubEvents = 1024
	// freshFor is how long after its last answer from the store a daemon may
	// say that there is no news: a change must be in force within three
	// seconds.
	freshFor = 2300 * time.Millisecond
	// hubWait bounds the wait of another daemon for news.
	hubWait = 2 * time.Second
	// distrustFor is how long a daemon that gave no news is left out.
	distrustFor = 3 * time.Second
)

// errNoHub means that the zone's follower gives no news now.
var errNoHub = errors.New("ledger: the zone's follower gives no news")

// hub keeps the newest events of a prefix for the other daemons of the zone, so
// that the store is asked once for each zone. It is safe for concurrent use.
type hub struct {
	mu     sync.Mutex
	events []outside.Record
	// The events after floor and up to through are complete.
	floor, through outside.Revision
	// isKnown is set while the events are complete.
	isKnown bool
	changed chan struct{}
}

func newHub() *hub { return &hub{changed: make(chan struct{})} }

// reset begins anew after the prefix was read whole.
func (h *hub) reset(at outside.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events, h.floor, h.through = nil, at, at
	h.wake()
}

// add takes in an answer of the store.
func (h *hub) add(records []outside.Record, through outside.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, records...)
	h.through = max(h.through, through)
	if extra := len(h.events) - hubEvents; extra > 0 {
		h.floor = h.events[extra-1].Revision
		h.events = append([]outside.Record(nil), h.events[extra:]...)
	}
	h.wake()
}

func (h *hub) wake() {
	h.isKnown = true
	close(h.changed)
	h.changed = make(chan struct{})
}

// lose forgets all: the store gives this daemon no news.
func (h *hub) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isKnown = false
	close(h.changed)
	h.changed = make(chan struct{})
}

// since returns the events after a revision, errNoHub when others may be missing,
// and a channel that is closed at the next news.
func (h *hub) since(after outside.Revision) ([]outside.Record, outside.Revision, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isKnown {
		return nil, after, h.changed, errNoHub
	}
	if after < h.floor {
		return nil, after, h.changed, outside.ErrCompacted
	}
	var news []outside.Record
	for _, event := range h.events {
		if event.Revision > after {
			news = append(news, event)
		}
	}
	return news, max(after, h.through), h.changed, nil
}

// isFresh reports whether this daemon may say that there is no news: the watch
// with the shortest wait, which notices for all when watches are cut in silence,
// was answered a moment ago.
func (s *service) isFresh() bool {
	return boottime.Since(time.Duration(s.heard.Load())) < freshFor
}

// NewsCall asks the zone's follower for news of a prefix.
type NewsCall struct {
	Prefix string
	After  outside.Revision
	Wait   time.Duration
}

// NewsReply is its answer.
type NewsReply struct {
	// Heard is false when the follower does not know.
	Heard     bool
	Compacted bool
	Records   []outside.Record
	Through   outside.Revision
}

// News waits for news of a prefix that this daemon follows itself.
func (r *Receiver) News(call NewsCall, reply *NewsReply) error {
	for _, t := range r.service.tracks {
		if t.prefix == call.Prefix {
			t.serve(call, reply)
			return nil
		}
	}
	return nil
}

func (t *track) serve(call NewsCall, reply *NewsReply) {
	timer := time.NewTimer(min(call.Wait, hubWait))
	defer timer.Stop()
	isOver := false
	for {
		records, through, changed, err := t.hub.since(call.After)
		if !t.service.isFresh() {
			err = errNoHub
		}
		reply.Compacted = errors.Is(err, outside.ErrCompacted)
		reply.Heard = err == nil || reply.Compacted
		reply.Records, reply.Through = records, through
		if err != nil || len(records) > 0 || isOver {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		}
	}
}

// SetFollower implements contract.Ledger.
func (s *service) SetFollower(address string) { s.follower.Store(&address) }

// heardFrom asks the zone's follower for news, unless it is this daemon itself.
func (t *track) heardFrom(ctx context.Context, after outside.Revision) ([]outside.Record, outside.Revision, error) {
	address := t.service.follower.Load()
	if address == nil || *address == "" || boottime.Since(t.distrusted) < distrustFor {
		return nil, after, errNoHub
	}
	wait := min(t.pace.Wait, hubWait)
	ctx, cancel := context.WithTimeout(ctx, wait+answerWithin)
	defer cancel()
	var reply NewsReply
	err := t.service.peers.Call(ctx, *address, rpcName+".News", NewsCall{Prefix: t.prefix, After: after, Wait: wait}, &reply)
	switch {
	case err != nil || !reply.Heard:
		t.distrusted = boottime.Now()
		t.service.log.WithField("prefix", t.prefix).WithField("follower", *address).Info("The zone's follower gives no news.")
		return nil, after, errNoHub
	case reply.Compacted:
		return nil, after, outside.ErrCompacted
	}
	t.service.metrics.Count("store.heard", 1)
	return reply.Records, max(after, reply.Through), nil
}
