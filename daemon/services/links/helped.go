package links

import (
	"context"
	"sync"
)

// helpedRequests counts the requests of other daemons in progress. The zero value is ready
// to use, and it is safe for concurrent use.
type helpedRequests struct {
	mu    sync.Mutex
	count int
	// none is closed when the count falls to zero; nil if nobody waits.
	none chan struct{}
}

// begin counts a request, unless there are maxHelped already.
func (h *helpedRequests) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.count >= maxHelped {
		return false
	}
	h.count++
	return true
}

func (h *helpedRequests) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count--
	if h.count == 0 && h.none != nil {
		close(h.none)
		h.none = nil
	}
}

// awaitNone waits until no request is in progress. If ctx is done before, it returns the
// number of those that still are.
func (h *helpedRequests) awaitNone(ctx context.Context) int {
	h.mu.Lock()
	if h.count == 0 {
		h.mu.Unlock()
		return 0
	}
	if h.none == nil {
		h.none = make(chan struct{})
	}
	none := h.none
	h.mu.Unlock()
	select {
	case <-none:
		return 0
	case <-ctx.Done():
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.count
	}
}
