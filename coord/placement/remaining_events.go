package placement

import "math"

// hintSpread is the standard deviation of the logarithm of a text's length over
// its caller's hint: half of the texts lie within 0.7 and 1.4 times their hint.
const hintSpread = 0.5

// EstimateRemainingEvents estimates how many events a text still needs, from the hint of its
// caller and what has been made, both in events: the mean over all texts of that
// hint that are longer than what has been made.
func EstimateRemainingEvents(hint, made float64) float64 {
	hint = math.Max(hint, 1)
	mean := hint * math.Exp(hintSpread*hintSpread/2)
	if made <= 0 {
		return mean
	}
	x := math.Log(made/hint) / hintSpread
	longer := upperTail(x)
	if longer < 1e-9 {
		// Far beyond the hint the formula loses its digits.
		return made / 2
	}
	return math.Max(1, mean*upperTail(x-hintSpread)/longer-made)
}

// upperTail is the probability that a standard normal variable exceeds x.
func upperTail(x float64) float64 { return math.Erfc(x/math.Sqrt2) / 2 }
