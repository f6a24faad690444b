package limits

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.LimitForecaster = (*service)(nil)

// LimitOf implements contract.LimitForecaster.
func (s *service) LimitOf(server structs.HostName) (float64, time.Duration, bool) {
	return s.limitOf(server)
}
