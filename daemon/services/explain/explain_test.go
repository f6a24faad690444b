package explain

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

func TestRefusals_ByReason(t *testing.T) {
	all := map[string]map[string]any{
		"gate.refused.overloaded":       {"count": int64(3)},
		"gate.refused.not-found":        {"count": int64(0)},
		"hedging.refused.service-limit": {"count": int64(2)},
		"gate.answered":                 {"count": int64(9)},
		"gate.refused.odd":              {"value": 1.5},
	}
	must.Eq(t, map[string]int64{"overloaded": 3, "hedge: service-limit": 2}, refusals(all))
}

func TestLongestQueues_Bounded(t *testing.T) {
	var queues []contract.QueueStatus
	for i := range 3 * maxShownQueues {
		queues = append(queues, contract.QueueStatus{
			Service: structs.ServiceName(fmt.Sprintf("service-%d", i)), QueueReport: limit.QueueReport{Waiting: i, Running: 1},
		})
	}
	shown := longestQueues(queues)
	must.Len(t, maxShownQueues, shown)
	must.Eq(t, 3*maxShownQueues-1, shown[0].Waiting)
}
