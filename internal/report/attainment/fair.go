package attainment

// Demand is what a party asks for, and its weight.
type Demand struct {
	Amount float64
	Weight float64
}

// MaxMinFair divides total among the demands under weighted max-min fairness:
// nobody gets more than it asks for, and what is left is divided by weight.
func MaxMinFair(total float64, demands []Demand) []float64 {
	out := make([]float64, len(demands))
	open := make([]int, 0, len(demands))
	weights := 0.0
	for i, d := range demands {
		if d.Amount > 0 && d.Weight > 0 {
			open = append(open, i)
			weights += d.Weight
		}
	}
	for len(open) > 0 {
		level := total / weights
		kept := open[:0]
		satisfied := 0.0
		for _, i := range open {
			d := demands[i]
			if d.Amount > level*d.Weight {
				kept = append(kept, i)
				continue
			}
			out[i] = d.Amount
			total -= d.Amount
			satisfied += d.Weight
		}
		open = kept
		weights -= satisfied
		if satisfied == 0 {
			for _, i := range open {
				out[i] = level * demands[i].Weight
			}
			return out
		}
	}
	return out
}
