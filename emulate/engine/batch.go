package engine

import (
	"slices"
	"time"
)

// scheduleStep schedules the next step of the batch unless one is pending or the
// engine has crashed. The caller holds the mutex.
func (e *Engine) scheduleStep() {
	if e.stepPending || e.crashed {
		return
	}
	e.stepPending = true
	interval, _ := e.options.stepSize()
	time.AfterFunc(interval, e.stepBatch)
}

// stepBatch runs one step of the batch. When no stream makes progress, no
// further step runs until the next call of scheduleStep.
func (e *Engine) stepBatch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepPending = false
	if e.crashed {
		return
	}
	e.assignSlots()
	progressed := false
	for _, st := range e.streams {
		progressed = e.advanceStream(st) || progressed
	}
	if progressed {
		e.scheduleStep()
	}
}

// assignSlots assigns the free slots of the batch to the waiting streams, in
// order of class, lowest value first, and then of arrival.
func (e *Engine) assignSlots() {
	var waiting []*stream
	occupied := make([]bool, e.options.MaxRunning)
	for _, st := range e.streams {
		if st.record.Ending != Running {
			st.running = false
		}
		if st.running {
			occupied[st.slot] = true
		} else if st.record.Ending == Running {
			waiting = append(waiting, st)
		}
	}
	slices.SortFunc(waiting, func(a, b *stream) int {
		if a.request.Priority != b.request.Priority {
			return int(a.request.Priority) - int(b.request.Priority)
		}
		return int(a.arrivalNumber) - int(b.arrivalNumber)
	})
	for slot, busy := range occupied {
		if busy || len(waiting) == 0 {
			continue
		}
		e.startStream(waiting[0], slot)
		waiting = waiting[1:]
	}
}

// startStream puts a stream into a slot of the batch. The part of its prompt
// that is not in the prefix cache must be prefilled first.
func (e *Engine) startStream(st *stream, slot int) {
	st.running, st.slot = true, slot
	st.prefillSteps = e.options.prefillSteps(e.cache.add(st.request.Prompt + st.request.Prefix))
}

// advanceStream runs one step of the batch for a stream and reports whether the
// stream made progress.
func (e *Engine) advanceStream(st *stream) bool {
	if !st.running || st.record.Ending != Running {
		return false
	}
	if st.prefillSteps > 0 {
		st.prefillSteps--
		return true
	}
	_, count := e.options.stepSize()
	if stall := e.faults.StallAfter; stall > 0 {
		count = min(count, stall-st.generatedTokens)
	}
	if count <= 0 {
		return false
	}
	st.appendTokens(count, e.versionFor(st))
	if st.remainingTokens() == 0 {
		st.finish(Whole)
	} else if cut := e.faults.CutAfter; cut > 0 && st.generatedTokens >= cut {
		st.finish(Cut)
	}
	return true
}
