package placement

import (
	"math"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// demandSmoothing is the weight of a new step in the moving average of a model.
const demandSmoothing = 0.3

// Demand is the moving average of the sizes of the steps of each model, in any
// unit. A model without an entry counts as the mean of the others.
type Demand map[structs.ServiceName]float64

// Observe updates the average of a model with the size of a step.
func (d Demand) Observe(model structs.ServiceName, size float64) {
	if average, ok := d[model]; ok {
		size = average + demandSmoothing*(size-average)
	}
	d[model] = size
}

// shares divides a number of engines among models in proportion to their
// demand. It rounds up, so that each model has at least one.
func (d Demand) shares(models []structs.ServiceName, count float64) []int {
	sum, known := 0.0, 0
	for _, model := range models {
		if d[model] > 0 {
			sum += d[model]
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	total := sum + mean*float64(len(models)-known)
	shares := make([]int, len(models))
	for i, model := range models {
		modelDemand := d[model]
		if modelDemand <= 0 {
			modelDemand = mean
		}
		shares[i] = max(1, int(math.Ceil(count*modelDemand/total)))
	}
	return shares
}
