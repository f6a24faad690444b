package steps

import (
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// maxMemory bounds what a daemon without a data folder holds, in bytes.
const maxMemory = 256 << 20

// holdings are the samples that this daemon holds.
type holdings struct {
	bodies bodies
	self   structs.HostName
	// limit bounds bytes.
	limit int64

	mu    sync.Mutex
	byID  map[structs.SampleID]*held
	bytes int64
	// fresh are the samples taken in here and not yet offered at all.
	fresh map[structs.WorkspaceName][]structs.SampleID
}

func newHoldings(bodies bodies, self structs.HostName, limit int64) *holdings {
	return &holdings{bodies: bodies, self: self, limit: limit, byID: make(map[structs.SampleID]*held),
		fresh: make(map[structs.WorkspaceName][]structs.SampleID)}
}

// recover takes in what the body store still has after a restart. Whether the
// second copy of a sample taken in here is still there is not known then.
func (h *holdings) recover() error {
	return h.bodies.each(func(r record) {
		described := r.describe(h.self)
		described.recovered = described.pending
		h.byID[r.Sample.ID] = described
		h.bytes += described.bytes
	})
}

// workspaces lists the workspaces of the samples held.
func (h *holdings) workspaces() []structs.WorkspaceName {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := make(map[structs.WorkspaceName]bool)
	var names []structs.WorkspaceName
	for _, known := range h.byID {
		if !seen[known.workspace] {
			seen[known.workspace] = true
			names = append(names, known.workspace)
		}
	}
	return names
}

// keep holds samples and returns once the body store has them, also those
// that another call is keeping right now. It fails with code Overloaded when
// there is no room.
func (h *holdings) keep(records []record) error {
	fresh, err := h.reserve(records)
	if err != nil {
		return err
	}
	if err := h.bodies.put(records); err != nil {
		h.drop(idsOf(fresh))
		return result.Wrap(result.Overloaded, err)
	}
	return nil
}

// reserve enters the records that are not held yet.
func (h *holdings) reserve(records []record) ([]record, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var fresh []record
	var bytes int64
	for _, r := range records {
		if h.byID[r.Sample.ID] == nil {
			fresh = append(fresh, r)
			bytes += r.describe(h.self).bytes
		}
	}
	if h.bytes+bytes > h.limit {
		return nil, result.New(result.Overloaded, "samples fill the %d bytes set aside for them", h.limit)
	}
	for _, r := range fresh {
		h.byID[r.Sample.ID] = r.describe(h.self)
	}
	h.bytes += bytes
	return fresh, nil
}

// confirm says that samples taken in here have their second copy.
func (h *holdings) confirm(samples []structs.Sample, holders [step.HolderCount]structs.HostName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range samples {
		if known := h.byID[samples[i].ID]; known != nil {
			known.offer.Holders = holders
			known.pending, known.recovered, known.offered = false, false, 0
			h.fresh[known.workspace] = append(h.fresh[known.workspace], samples[i].ID)
		}
	}
}

// alone lists the samples of a workspace, not known to be sealed, that have no
// second holder among the listed hosts.
func (h *holdings) alone(workspace structs.WorkspaceName, listed map[structs.HostName]bool) []structs.SampleID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []structs.SampleID
	for id, known := range h.byID {
		if known.workspace != workspace || known.step != 0 || (known.pending && !known.recovered) {
			continue
		}
		holders := known.offer.Holders
		if known.recovered || !listed[holders[0]] || !listed[holders[1]] {
			ids = append(ids, id)
		}
	}
	return ids
}

// samples returns those of the samples that are held here.
func (h *holdings) samples(ids []structs.SampleID) []structs.Sample {
	samples := make([]structs.Sample, 0, len(ids))
	for _, id := range ids {
		if sample, ok := h.bodies.get(id); ok {
			samples = append(samples, sample)
		}
	}
	return samples
}

// drop forgets samples.
func (h *holdings) drop(ids []structs.SampleID) {
	h.mu.Lock()
	for _, id := range ids {
		if known := h.byID[id]; known != nil {
			h.bytes -= known.bytes
			delete(h.byID, id)
		}
	}
	h.mu.Unlock()
	_ = h.bodies.remove(ids)
}

// fetch returns those of the samples of a sealed step that are held here.
func (h *holdings) fetch(number uint64, ids []structs.SampleID) []structs.Sample {
	samples := h.samples(ids)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		if known := h.byID[id]; known != nil {
			known.step = number
		}
	}
	return samples
}

// takeFresh returns the offers of the samples taken in since the last call.
func (h *holdings) takeFresh(workspace structs.WorkspaceName) []step.Offer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var offers []step.Offer
	for _, id := range h.fresh[workspace] {
		if known := h.byID[id]; known != nil {
			offers = append(offers, known.offer)
		}
	}
	delete(h.fresh, workspace)
	return offers
}

// unsettled returns the offers of a workspace that the owner of a term does
// not know yet, or whose samples are past their age and of unknown fate.
func (h *holdings) unsettled(workspace structs.WorkspaceName, term structs.Term, oldest time.Time) []step.Offer {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.fresh, workspace)
	var offers []step.Offer
	for _, known := range h.byID {
		if known.workspace != workspace || known.step != 0 {
			continue
		}
		if (known.pending || known.offered == term) && known.offer.Born.After(oldest) {
			continue
		}
		offers = append(offers, known.offer)
	}
	return offers
}

// settle takes in what the owner of a term said of offers.
func (h *holdings) settle(term structs.Term, offers []step.Offer, standings []step.SampleStatus) {
	var stale []structs.SampleID
	h.mu.Lock()
	for i, standing := range standings {
		known := h.byID[offers[i].ID]
		if known == nil {
			continue
		}
		switch standing.State {
		case step.SampleWaiting:
			known.offered = term
		case step.SampleSealed:
			known.step = standing.Step
		case step.SampleStale:
			stale = append(stale, offers[i].ID)
		}
	}
	h.mu.Unlock()
	h.drop(stale)
}

// forget drops the samples of steps that are no longer kept.
func (h *holdings) forget(workspace structs.WorkspaceName, firstKept uint64) {
	var past []structs.SampleID
	h.mu.Lock()
	for id, known := range h.byID {
		if known.workspace == workspace && known.step != 0 && known.step < firstKept {
			past = append(past, id)
		}
	}
	h.mu.Unlock()
	h.drop(past)
}

// has reports whether samples of a workspace are held.
func (h *holdings) has(workspace structs.WorkspaceName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, known := range h.byID {
		if known.workspace == workspace {
			return true
		}
	}
	return false
}
