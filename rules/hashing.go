package rules

import "math"

// Hashing: weighted rendezvous scores, and pseudo-random numbers that are equal at every gateway.

// score is the weighted rendezvous score of a key at a member.
func (r *Router) score(key uint64, m *member) float64 {
	w := 1.0
	if r.cfg.Weights == WeightsNominal || r.cfg.Weights == WeightsRough {
		w = m.capacity()
	}
	return -w / math.Log(hashUnit(key, m.ID, 1))
}

// hashUnit hashes a key and a member to a number above 0 and below 1.
func hashUnit(key uint64, id ServerID, salt uint64) float64 {
	return (float64(mix(mix(key+salt)^uint64(id)*0xd6e8feb86659fd93)>>11) + 0.5) / (1 << 53)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// groupKey returns the key of a group, apart from those of objects by its top bit.
func groupKey(g int) uint64 { return 1<<63 | uint64(g) }
