package placement

import (
	"math"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// demandSmoothing is the weight of a new step in the demand for a model.
const demandSmoothing = 0.3

// Demand is what the steps of each model ask for, in any unit; a model that is
// not there counts as the mean of the others.
type Demand map[structs.ServiceName]float64

// Observe takes in the size of one more step of a model.
func (d Demand) Observe(model structs.ServiceName, size float64) {
	if old, ok := d[model]; ok {
		size = old + demandSmoothing*(size-old)
	}
	d[model] = size
}

// shares divides a count over models by their demand, rounded up, so that each
// model has at least one.
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
		part := d[model]
		if part <= 0 {
			part = mean
		}
		shares[i] = max(1, int(math.Ceil(count*part/total)))
	}
	return shares
}
