package arrivals

import (
	"math"
	"math/rand/v2"
)

// quantiles is the number of points at which a mean is integrated.
const quantiles = 2000

// Lengths is a log-normal distribution of output lengths in tokens, cut at Max.
type Lengths struct {
	Median int     `json:"median"`
	Sigma  float64 `json:"sigma"`
	Max    int     `json:"max"`
}

// Mean returns the mean length.
func (l Lengths) Mean() float64 {
	sum := 0.0
	for i := range quantiles {
		p := (float64(i) + 0.5) / quantiles
		sum += float64(l.at(math.Sqrt2 * math.Erfinv(2*p-1)))
	}
	return sum / quantiles
}

func (l Lengths) draw(r *rand.Rand) int {
	return l.at(r.NormFloat64())
}

// at returns the length at z standard deviations.
func (l Lengths) at(z float64) int {
	n := math.Round(float64(l.Median) * math.Exp(l.Sigma*z))
	return max(1, min(int(n), l.Max))
}
