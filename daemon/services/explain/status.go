package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

const (
	// reportTimeout bounds the wait for the reports of all services.
	reportTimeout = time.Second
	// maxShownQueues bounds the services with work that operators are shown.
	maxShownQueues = 32
)

// refusalPrefixes are the prefixes of the counters of refusals, and what they are shown as.
// The result codes and the reasons bound their number.
var refusalPrefixes = []struct{ counter, shown string }{
	{"gate.refused.", ""},
	{"hedging.refused.", "hedge: "},
}

// refusals returns the counters of refusals by reason.
func refusals(all map[string]map[string]any) map[string]int64 {
	counts := make(map[string]int64)
	for name, values := range all {
		for _, prefix := range refusalPrefixes {
			reason, isRefusal := strings.CutPrefix(name, prefix.counter)
			if count, ok := values["count"].(int64); isRefusal && ok && count > 0 {
				counts[prefix.shown+reason] = count
			}
		}
	}
	return counts
}

// longestQueues returns the queues with the most that waits or runs, longest first.
func longestQueues(queues []contract.QueueStatus) []contract.QueueStatus {
	slices.SortFunc(queues, func(a, b contract.QueueStatus) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Running, a.Running), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return queues[:min(len(queues), maxShownQueues)]
}
