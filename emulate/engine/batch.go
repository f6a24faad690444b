package engine

import (
	"slices"
	"time"
)

// wake begins to step the batch unless it is being stepped. The caller holds
// the lock.
func (e *Engine) wake() {
	if e.ticking || e.crashed {
		return
	}
	e.ticking = true
	span, _ := e.options.pace()
	time.AfterFunc(span, e.tick)
}

// tick steps the batch once. When no stream can move it rests until the next
// wake.
func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ticking = false
	if e.crashed {
		return
	}
	e.schedule()
	moved := false
	for _, st := range e.streams {
		moved = e.step(st) || moved
	}
	if moved {
		e.wake()
	}
}

// schedule gives free places in the batch to the waiting streams, those of a
// lower class and earlier arrival first.
func (e *Engine) schedule() {
	var waiting []*stream
	taken := make([]bool, e.options.MaxRunning)
	for _, st := range e.streams {
		if st.record.Ending != Running {
			st.running = false
		}
		if st.running {
			taken[st.slot] = true
		} else if st.record.Ending == Running {
			waiting = append(waiting, st)
		}
	}
	slices.SortFunc(waiting, func(a, b *stream) int {
		if a.generation.Priority != b.generation.Priority {
			return int(a.generation.Priority) - int(b.generation.Priority)
		}
		return int(a.arrival) - int(b.arrival)
	})
	for slot, busy := range taken {
		if busy || len(waiting) == 0 {
			continue
		}
		e.begin(waiting[0], slot)
		waiting = waiting[1:]
	}
}

// begin puts a stream into the batch; what the cache lacks must be read first.
func (e *Engine) begin(st *stream, slot int) {
	st.running, st.slot = true, slot
	st.prefill = e.options.prefillTicks(e.cache.read(st.generation.Prompt + st.generation.Prefix))
}

// step moves a stream on by one step of the batch and reports whether it
// could move.
func (e *Engine) step(st *stream) bool {
	if !st.running || st.record.Ending != Running {
		return false
	}
	if st.prefill > 0 {
		st.prefill--
		return true
	}
	_, count := e.options.pace()
	if stall := e.faults.StallAfter; stall > 0 {
		count = min(count, stall-st.made)
	}
	if count <= 0 {
		return false
	}
	st.advance(count, e.versionFor(st))
	if st.left() == 0 {
		st.end(Whole)
	} else if cut := e.faults.CutAfter; cut > 0 && st.made >= cut {
		st.end(Cut)
	}
	return true
}
