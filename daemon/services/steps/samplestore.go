package steps

import (
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// maxMemoryBytes bounds the samples of a daemon without a data folder.
const maxMemoryBytes = 256 << 20

// sampleStore holds the samples of this daemon: their records and, in memory, the
// state of each. It is safe for concurrent use.
type sampleStore struct {
	records recordStore
	self    structs.HostName
	// maxBytes bounds usedBytes.
	maxBytes int64

	mu        sync.Mutex
	byID      map[structs.SampleID]*sampleState
	usedBytes int64
	// unoffered lists the samples accepted or copied here since the last offer.
	unoffered map[structs.WorkspaceName][]structs.SampleID
}

func newSampleStore(records recordStore, self structs.HostName, maxBytes int64) *sampleStore {
	return &sampleStore{records: records, self: self, maxBytes: maxBytes, byID: make(map[structs.SampleID]*sampleState),
		unoffered: make(map[structs.WorkspaceName][]structs.SampleID)}
}

// recover rebuilds the state of the samples from the record store after a
// restart. It marks samples that were accepted here as recovered: whether their
// second copy exists is not known.
func (st *sampleStore) recover() error {
	return st.records.forEach(func(r record) {
		state := r.newState(st.self)
		state.recovered = state.unconfirmed
		st.byID[r.Sample.ID] = state
		st.usedBytes += state.bytes
	})
}

// workspaces lists the workspaces that have samples here.
func (st *sampleStore) workspaces() []structs.WorkspaceName {
	st.mu.Lock()
	defer st.mu.Unlock()
	seen := make(map[structs.WorkspaceName]bool)
	var names []structs.WorkspaceName
	for _, state := range st.byID {
		if !seen[state.workspace] {
			seen[state.workspace] = true
			names = append(names, state.workspace)
		}
	}
	return names
}

// add stores records. It returns when the record store has all of them,
// including those that a concurrent call is adding. It fails with code Overloaded
// when maxBytes would be exceeded or the record store fails.
func (st *sampleStore) add(records []record) error {
	added, err := st.reserve(records)
	if err != nil {
		return err
	}
	if err := st.records.put(records); err != nil {
		st.remove(recordIDs(added))
		return result.Wrap(result.Overloaded, err)
	}
	return nil
}

// reserve adds the state of the records that are not stored yet and returns
// those records.
func (st *sampleStore) reserve(records []record) ([]record, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var added []record
	var bytes int64
	for _, r := range records {
		if st.byID[r.Sample.ID] == nil {
			added = append(added, r)
			bytes += r.newState(st.self).bytes
		}
	}
	if st.usedBytes+bytes > st.maxBytes {
		return nil, result.New(result.Overloaded, "samples fill the %d bytes set aside for them", st.maxBytes)
	}
	for _, r := range added {
		st.byID[r.Sample.ID] = r.newState(st.self)
	}
	st.usedBytes += bytes
	return added, nil
}

// confirmReplicas records that samples have a copy on each of the holders, and
// queues them to be offered with these holders.
func (st *sampleStore) confirmReplicas(samples []structs.Sample, holders [step.HolderCount]structs.HostName) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for i := range samples {
		if state := st.byID[samples[i].ID]; state != nil {
			state.offer.Holders = holders
			state.unconfirmed, state.recovered, state.acceptedTerm = false, false, 0
			st.unoffered[state.workspace] = append(st.unoffered[state.workspace], samples[i].ID)
		}
	}
}

// underReplicated lists the samples of a workspace that are not known to be
// sealed and whose second copy is missing: a holder is not among the listed
// hosts, or the second copy is unconfirmed after a restart. Samples that this
// process accepted and has not confirmed are left out.
func (st *sampleStore) underReplicated(workspace structs.WorkspaceName, listed map[structs.HostName]bool) []structs.SampleID {
	st.mu.Lock()
	defer st.mu.Unlock()
	var ids []structs.SampleID
	for id, state := range st.byID {
		if state.workspace != workspace || state.sealedStep != 0 || (state.unconfirmed && !state.recovered) {
			continue
		}
		holders := state.offer.Holders
		if state.recovered || !listed[holders[0]] || !listed[holders[1]] {
			ids = append(ids, id)
		}
	}
	return ids
}

// load returns those of the samples that are stored here.
func (st *sampleStore) load(ids []structs.SampleID) []structs.Sample {
	samples := make([]structs.Sample, 0, len(ids))
	for _, id := range ids {
		if sample, ok := st.records.get(id); ok {
			samples = append(samples, sample)
		}
	}
	return samples
}

// remove deletes samples.
func (st *sampleStore) remove(ids []structs.SampleID) {
	st.mu.Lock()
	for _, id := range ids {
		if state := st.byID[id]; state != nil {
			st.usedBytes -= state.bytes
			delete(st.byID, id)
		}
	}
	st.mu.Unlock()
	_ = st.records.remove(ids)
}

// loadSealed returns those of the samples that are stored here, and records that
// the samples are sealed in a step.
func (st *sampleStore) loadSealed(number uint64, ids []structs.SampleID) []structs.Sample {
	samples := st.load(ids)
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, id := range ids {
		if state := st.byID[id]; state != nil {
			state.sealedStep = number
		}
	}
	return samples
}

// takeUnoffered returns the offers of the unoffered samples of a workspace and
// clears their queue.
func (st *sampleStore) takeUnoffered(workspace structs.WorkspaceName) []step.Offer {
	st.mu.Lock()
	defer st.mu.Unlock()
	var offers []step.Offer
	for _, id := range st.unoffered[workspace] {
		if state := st.byID[id]; state != nil {
			offers = append(offers, state.offer)
		}
	}
	delete(st.unoffered, workspace)
	return offers
}

// pendingOffers returns the offers of unsealed samples that the owner of a term
// has not accepted yet. It also returns those of samples born before oldest, so
// that the owner reports whether they were sealed or have become stale, and clears
// the queue of unoffered samples.
func (st *sampleStore) pendingOffers(workspace structs.WorkspaceName, term structs.Term, oldest time.Time) []step.Offer {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.unoffered, workspace)
	var offers []step.Offer
	for _, state := range st.byID {
		if state.workspace != workspace || state.sealedStep != 0 {
			continue
		}
		if (state.unconfirmed || state.acceptedTerm == term) && state.offer.Born.After(oldest) {
			continue
		}
		offers = append(offers, state.offer)
	}
	return offers
}

// applyStatuses applies the statuses that the owner of a term returned for
// offers. It deletes stale samples.
func (st *sampleStore) applyStatuses(term structs.Term, offers []step.Offer, statuses []step.SampleStatus) {
	var stale []structs.SampleID
	st.mu.Lock()
	for i, status := range statuses {
		state := st.byID[offers[i].ID]
		if state == nil {
			continue
		}
		switch status.State {
		case step.SampleWaiting:
			state.acceptedTerm = term
		case step.SampleSealed:
			state.sealedStep = status.Step
		case step.SampleStale:
			stale = append(stale, offers[i].ID)
		}
	}
	st.mu.Unlock()
	st.remove(stale)
}

// removeExpired deletes the samples of steps before firstKept.
func (st *sampleStore) removeExpired(workspace structs.WorkspaceName, firstKept uint64) {
	var expired []structs.SampleID
	st.mu.Lock()
	for id, state := range st.byID {
		if state.workspace == workspace && state.sealedStep != 0 && state.sealedStep < firstKept {
			expired = append(expired, id)
		}
	}
	st.mu.Unlock()
	st.remove(expired)
}

// hasWorkspace reports whether samples of a workspace are stored here.
func (st *sampleStore) hasWorkspace(workspace structs.WorkspaceName) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, state := range st.byID {
		if state.workspace == workspace {
			return true
		}
	}
	return false
}
