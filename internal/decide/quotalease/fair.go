package quotalease

import "slices"

// MaxMinFair divides an amount among demands, max-min fair by water-filling: no demand
// gets more than it asked for while another gets less than both its demand and that
// share. If all demands are met, half of the remainder is divided in proportion to demand
// and half evenly, so that a growing demand has some headroom. The result is in the order
// of the demands and its sum does not exceed the amount.
func MaxMinFair(amount float64, demands []float64) []float64 {
	out := make([]float64, len(demands))
	if len(demands) == 0 || amount <= 0 {
		return out
	}
	order := make([]int, len(demands))
	total := 0.0
	for i := range order {
		order[i] = i
		total += max(0, demands[i])
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case demands[a] < demands[b]:
			return -1
		case demands[a] > demands[b]:
			return 1
		}
		return a - b
	})
	left := amount
	for k, i := range order {
		out[i] = min(max(0, demands[i]), left/float64(len(order)-k))
		left -= out[i]
	}
	if left <= 0 || total >= amount {
		return out
	}
	for i, d := range demands {
		even := 1 / float64(len(demands))
		if total > 0 {
			even = (even + max(0, d)/total) / 2
		}
		out[i] += left * even
	}
	return out
}

// idleShare is the fraction of a limit in short supply that roles without demand may hold
// together, so that their first requests can be admitted.
const idleShare = 0.02

// raiseToMinimum raises shares below minUseful to it, or sets them to zero, the largest
// shares first as far as the amount suffices. Turn rotates the order of equal shares.
func raiseToMinimum(amount, minUseful float64, shares []float64, turn int) []float64 {
	n := len(shares)
	order, need := make([]int, n), 0.0
	for i, s := range shares {
		order[i] = i
		need += max(0, minUseful-s)
	}
	if need == 0 {
		return shares
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case shares[a] > shares[b]:
			return -1
		case shares[a] < shares[b]:
			return 1
		}
		return (a+turn)%n - (b+turn)%n
	})
	// What the raised shares lack is taken from the larger ones.
	out, left, idle := make([]float64, n), amount, amount*idleShare
	for _, i := range order {
		if left < minUseful || shares[i] == 0 && idle < minUseful {
			break
		}
		if shares[i] == 0 {
			idle -= minUseful
		}
		out[i] = minUseful
		left -= minUseful
	}
	above := 0.0
	for i, s := range shares {
		if out[i] > 0 {
			above += max(0, s-minUseful)
		}
	}
	for i, s := range shares {
		if out[i] > 0 && above > 0 {
			out[i] += min(1, left/above) * max(0, s-minUseful)
		}
	}
	return out
}
