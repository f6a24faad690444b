package steps

import (
	"context"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// handOver copies the samples that this daemon is about to lose, because it
// stops and has no data folder, to other daemons. The new holder offers them
// beside the one that stays.
func (s *service) handOver(ctx context.Context) {
	if s.config.DataFolder != "" {
		return
	}
	for keeper, ids := range s.holdings.byKeeper() {
		for begin := 0; begin < len(ids); begin += mendBatch {
			batch := s.holdings.samples(ids[begin:min(begin+mendBatch, len(ids))])
			if _, _, err := s.copyOut(ctx, batch, keeper); err != nil {
				s.log.WithError(err).Warn("Samples could not be handed over.")
				return
			}
		}
	}
}

// byKeeper lists the samples, not known to be sealed, by the host that holds
// them beside this one.
func (h *holdings) byKeeper() map[structs.HostName][]structs.SampleID {
	h.mu.Lock()
	defer h.mu.Unlock()
	ids := make(map[structs.HostName][]structs.SampleID)
	for id, known := range h.byID {
		if known.step != 0 || known.pending {
			continue
		}
		keeper := known.offer.Holders[0]
		if keeper == h.self {
			keeper = known.offer.Holders[1]
		}
		ids[keeper] = append(ids[keeper], id)
	}
	return ids
}
