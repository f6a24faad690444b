package placement

import "math"

// lengthLogStdDev is the standard deviation of the logarithm of the ratio of a
// text's length to the hint of its caller: half of the texts are between 0.7
// and 1.4 times as long as their hint.
const lengthLogStdDev = 0.5

// EstimateRemainingEvents returns the expected number of events until a text is
// complete, given the hint of its caller and the events generated so far. It is
// the mean over all texts with that hint that are longer than the generated
// part.
func EstimateRemainingEvents(hint, generated float64) float64 {
	hint = math.Max(hint, 1)
	mean := hint * math.Exp(lengthLogStdDev*lengthLogStdDev/2)
	if generated <= 0 {
		return mean
	}
	x := math.Log(generated/hint) / lengthLogStdDev
	tail := upperTail(x)
	if tail < 1e-9 {
		// Far beyond the hint the quotient loses its precision.
		return generated / 2
	}
	return math.Max(1, mean*upperTail(x-lengthLogStdDev)/tail-generated)
}

// upperTail returns the probability that a standard normal variable exceeds x.
func upperTail(x float64) float64 { return math.Erfc(x/math.Sqrt2) / 2 }
