package ledger

import (
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// delivery is changes on their way to the control loop.
type delivery struct {
	contract.News
	// repliedAt is when the store made the reply that contains them, in nanoseconds since
	// boot.
	repliedAt int64
}

// handledReplies tells up to which reply of the store all changes of a prefix have been
// handled. The zero value is ready to use, and it is safe for concurrent use.
type handledReplies struct {
	mu sync.Mutex
	// pending is the number of deliveries that have not been handled.
	pending int
	// last is when the store made the newest such reply, in nanoseconds since boot.
	last int64
}

// begin counts a delivery.
func (h *handledReplies) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending++
}

// end records that a delivery has been handled, or was lost if repliedAt is zero.
func (h *handledReplies) end(repliedAt int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending--
	h.last = max(h.last, repliedAt)
}

// confirm records a reply without changes.
func (h *handledReplies) confirm(repliedAt int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending == 0 {
		h.last = max(h.last, repliedAt)
	}
}

// age returns the time since the last reply.
func (h *handledReplies) age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return boottime.Since(time.Duration(h.last))
}
