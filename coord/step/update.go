package step

// HeadUpdate is a change of the head that may or may not have been written. A
// list with entries is to be written as a segment before the head.
type HeadUpdate struct {
	Head Head
	List SampleList
}

// attempt remembers a change of the head. All attempts since the last ReconcileHead
// are made against one revision of the head, so that at most one of them can
// take effect.
func (p *Pool) attempt(head Head, list SampleList) HeadUpdate {
	head.Operation = p.operation
	made := HeadUpdate{Head: head, List: list}
	p.attempts[p.operation] = made
	return made
}

// UpdateOutcome says what a head that was read back means for its reader.
type UpdateOutcome uint8

// The verdicts.
const (
	// Superseded means that another owner wrote the head.
	Superseded UpdateOutcome = iota
	// Unchanged means that no attempt has taken effect so far.
	Unchanged
	// Committed means that an attempt has taken effect.
	Committed
)

// ReconcileHead takes in a head that is known to be written. When it is that of an
// attempt, the attempt becomes the present state, and ReconcileHead returns the
// segments that the head no longer points to.
func (p *Pool) ReconcileHead(written Head) (UpdateOutcome, []Version) {
	made, ok := p.attempts[written.Operation]
	if ok && made.Head.SameWrite(written) {
		before := p.head
		p.head = made.Head
		p.keep(made.List)
		return Committed, append(p.abandon(written.Operation), p.forget(before)...)
	}
	if p.head.SameWrite(written) {
		return Unchanged, nil
	}
	return Superseded, nil
}

// Abandon forgets an attempt whose head was certainly not written.
func (p *Pool) Abandon(made HeadUpdate) { delete(p.attempts, made.Head.Operation) }

// abandon forgets all attempts and returns the segments of those that can no
// longer take effect.
func (p *Pool) abandon(committed uint64) []Version {
	var unused []Version
	for operation, made := range p.attempts {
		if operation != committed {
			unused = append(unused, made.List.Version)
		}
	}
	clear(p.attempts)
	return unused
}

// forget drops the lists that the head no longer points to.
func (p *Pool) forget(before Head) []Version {
	var unused []Version
	for _, old := range before.Segments {
		if i := p.head.find(old.Step); i >= 0 {
			if p.head.Segments[i].Version != old.Version {
				unused = append(unused, old.Version)
			}
			continue
		}
		unused = append(unused, old.Version)
		for _, entry := range p.lists[old.Step].Entries {
			delete(p.sealed, entry.ID)
		}
		delete(p.lists, old.Step)
	}
	return unused
}
