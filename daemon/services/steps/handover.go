package steps

import (
	"context"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// handOverSamples copies unsealed samples to other daemons before a planned
// stop, unless a data folder preserves them. Each sample gets a new holder in
// place of this host; it offers the sample, as does the remaining holder.
func (s *service) handOverSamples(ctx context.Context) {
	if s.config.DataFolder != "" {
		return
	}
	for holder, ids := range s.sampleStore.unsealedByOtherHolder() {
		for start := 0; start < len(ids); start += copyBatchSize {
			batch := s.sampleStore.load(ids[start:min(start+copyBatchSize, len(ids))])
			if _, _, err := s.copyToPeer(ctx, batch, holder); err != nil {
				s.log.WithError(err).Warn("Failed to hand over samples.")
				return
			}
		}
	}
}

// unsealedByOtherHolder groups the samples that are not known to be sealed and
// have a confirmed second copy by the other host that holds them.
func (st *sampleStore) unsealedByOtherHolder() map[structs.HostName][]structs.SampleID {
	st.mu.Lock()
	defer st.mu.Unlock()
	ids := make(map[structs.HostName][]structs.SampleID)
	for id, state := range st.byID {
		if state.sealedStep != 0 || state.unconfirmed {
			continue
		}
		holder := state.offer.Holders[0]
		if holder == st.self {
			holder = state.offer.Holders[1]
		}
		ids[holder] = append(ids[holder], id)
	}
	return ids
}
