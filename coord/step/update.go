package step

// HeadUpdate is a tentative write of the head. If the list has entries, the
// caller must write it as a segment before it writes the head.
type HeadUpdate struct {
	Head Head
	List SampleList
}

// recordUpdate adds a pending update. All updates since the last commit expect
// the same revision of the head, so that at most one of them can take effect.
func (p *Pool) recordUpdate(head Head, list SampleList) HeadUpdate {
	head.Operation = p.operation
	update := HeadUpdate{Head: head, List: list}
	p.pendingUpdates[p.operation] = update
	return update
}

// UpdateOutcome is what a head that was read back means for the pending updates.
type UpdateOutcome uint8

// The outcomes of an update.
const (
	// Superseded means that another owner wrote the head.
	Superseded UpdateOutcome = iota
	// Unchanged means that no pending update has taken effect so far.
	Unchanged
	// Committed means that a pending update has taken effect.
	Committed
)

// ReconcileHead compares a head read from the store with the pending updates.
// If the head is that of a pending update, the update becomes the current state
// of the pool, and ReconcileHead returns the segments that may be deleted: those
// that the head no longer points to and those of updates that can no longer
// take effect.
func (p *Pool) ReconcileHead(readBack Head) (UpdateOutcome, []Version) {
	update, ok := p.pendingUpdates[readBack.Operation]
	if ok && update.Head.SameWrite(readBack) {
		previous := p.head
		p.head = update.Head
		p.addList(update.List)
		return Committed, append(p.clearPending(readBack.Operation), p.dropUnreferenced(previous)...)
	}
	if p.head.SameWrite(readBack) {
		return Unchanged, nil
	}
	return Superseded, nil
}

// Abandon drops a pending update whose head was certainly not written.
func (p *Pool) Abandon(update HeadUpdate) { delete(p.pendingUpdates, update.Head.Operation) }

// clearPending drops all pending updates and returns the segments of those that
// can no longer take effect: all but the committed one.
func (p *Pool) clearPending(committed uint64) []Version {
	var unreferenced []Version
	for operation, update := range p.pendingUpdates {
		if operation != committed {
			unreferenced = append(unreferenced, update.List.Version)
		}
	}
	clear(p.pendingUpdates)
	return unreferenced
}

// dropUnreferenced drops the lists that the head no longer points to, and
// returns the segments that the previous head pointed to and this one does not.
func (p *Pool) dropUnreferenced(previous Head) []Version {
	var unreferenced []Version
	for _, old := range previous.Segments {
		if i := p.head.segmentIndex(old.Step); i >= 0 {
			if p.head.Segments[i].Version != old.Version {
				unreferenced = append(unreferenced, old.Version)
			}
			continue
		}
		unreferenced = append(unreferenced, old.Version)
		for _, entry := range p.lists[old.Step].Entries {
			delete(p.sealedIn, entry.ID)
		}
		delete(p.lists, old.Step)
	}
	return unreferenced
}
